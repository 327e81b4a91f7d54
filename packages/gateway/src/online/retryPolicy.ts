import type { Route } from "@heatherline/fleet";
import { newRefusal, type Refusal } from "../callers/refusal";

/** Limit of attempts that did not run the request; they don't count towards the route's `maxAttempts`. */
const MAX_REJECTED_ATTEMPTS = 4;
/** Without a way to one endpoint there is hardly one to others, so that few are tried. */
const NO_PATH_WEIGHT = 2;

/**
 * How one attempt at a request ended without a response for the caller.
 *
 * - `unreachable`: not sent.
 * - `no-path`: not sent, since neither this instance nor another one that relays requests reaches the endpoint.
 * - `unsendable`: not sent, since it can't be sent to any endpoint.
 * - `rejected`: the endpoint states that it did not run it.
 * - `broken`: it may have run, in part or wholly.
 * - `failed`: it ran, and the endpoint answered with a failure.
 */
export type AttemptEnd = "unreachable" | "no-path" | "unsendable" | "rejected" | "broken" | "failed";

/** Counts the attempts at one request and decides whether it may be retried. */
export class RetryPolicy {
    /** Attempts in which the request may have run. */
    private runs = 0;
    private rejectedAttempts = 0;

    /**
     * @param route - Its kind decides whether a request may run more than once; its `maxAttempts` is the limit.
     */
    constructor(private readonly route: Route) {}

    /** Whether an endpoint may have run a part of the request. */
    get mayHaveRun(): boolean {
        return this.runs > 0;
    }

    /** @returns Whether an attempt that receives nothing may be aborted in favour of another one. */
    mayRetryOnSilence(): boolean {
        return isRetryable(this.route) && this.runs + 1 < this.route.maxAttempts;
    }

    /**
     * @param end - How an attempt ended.
     * @returns Whether the request may be sent again.
     */
    recordAttempt(end: AttemptEnd): boolean {
        if (end === "unsendable") {
            return false;
        }
        if (end === "unreachable" || end === "rejected" || end === "no-path") {
            this.rejectedAttempts += end === "no-path" ? NO_PATH_WEIGHT : 1;
            return this.rejectedAttempts <= MAX_REJECTED_ATTEMPTS &&
                (this.runs === 0 || this.runs < this.route.maxAttempts);
        }
        this.runs += 1;
        return isRetryable(this.route) && this.runs < this.route.maxAttempts;
    }

    /** Records that an attempt was cancelled since another one was faster; it may have run. */
    recordCancelled(): void {
        this.runs += 1;
    }

    /**
     * Replaces a refusal that tells the caller that the request did not run (429 and 503) if it may have run.
     *
     * @param refusal - The refusal to send if no endpoint has run the request.
     * @returns The refusal to send.
     */
    correctRefusal(refusal: Refusal): Refusal {
        const impliesNotExecuted = refusal.status === 503 || refusal.status === 429;
        return this.mayHaveRun && impliesNotExecuted ? newRefusal("endpoint-failed", refusal.detail) : refusal;
    }
}

/**
 * @param route - A route.
 * @returns Whether its requests may run more than once.
 */
export function isRetryable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "streaming" && route.isResumable);
}
