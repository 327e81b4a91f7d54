import type { Route } from "@heatherline/fleet";
import { newRefusal, type Refusal } from "./refusal";

/** Sends that an endpoint turned down without running the request, beyond those that count as attempts. */
const MAX_UNRUN_SENDS = 4;

/**
 * How one send of a request ended without an answer for the caller.
 *
 * - `unreachable`: not sent.
 * - `rejected`: the endpoint states that it did not run it.
 * - `broken`: it may have run, in part or wholly.
 * - `failed`: it ran, and the endpoint answered with a failure.
 */
export type SendEnd = "unreachable" | "rejected" | "broken" | "failed";

/** Keeps count of what was sent for one request, and decides what may be sent again. */
export class RepeatPolicy {
    private runs = 0;
    private unrunSends = 0;

    /**
     * @param route - The route's kind decides what may be repeated.
     */
    constructor(private readonly route: Route) {}

    /** Whether an endpoint may have run a part of the request. */
    get mayHaveRun(): boolean {
        return this.runs > 0;
    }

    /** @returns Whether a send may be given up for another because nothing comes. */
    mayRepeatSilent(): boolean {
        return isRepeatable(this.route) && this.runs + 1 < this.route.maxAttempts;
    }

    /**
     * @param end - How a send ended.
     * @returns Whether the request may be sent again.
     */
    noteEnd(end: SendEnd): boolean {
        if (end === "unreachable" || end === "rejected") {
            this.unrunSends += 1;
            return this.unrunSends <= MAX_UNRUN_SENDS && (this.runs === 0 || this.runs < this.route.maxAttempts);
        }
        this.runs += 1;
        return isRepeatable(this.route) && this.runs < this.route.maxAttempts;
    }

    /**
     * @param wanted - The refusal that is due if nothing has run.
     * @returns The refusal that is true.
     */
    toTrueRefusal(wanted: Refusal): Refusal {
        const promisesNotRun = wanted.status === 503 || wanted.status === 429;
        return this.mayHaveRun && promisesNotRun ? newRefusal("endpoint-failed", wanted.detail) : wanted;
    }
}

/**
 * @param route - A route.
 * @returns Whether its requests may run more than once.
 */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "streaming" && route.isResumable);
}
