import { monotonicMs } from "@heatherline/common";

/**
 * What an attempt at an endpoint says about the endpoint's health.
 *
 * - `success`: the response was complete.
 * - `slow`: the response, or its first byte, took far too long.
 * - `overloaded`: the endpoint rejected the request because of overload, or only lost the connection.
 * - `crashed`: the connection was lost or the response incomplete, and a new connection was not kept open.
 * - `refused`: there was no connection.
 * - `restarted`: the endpoint has another start mark than before.
 */
export type HealthEvent = "success" | "slow" | "overloaded" | "crashed" | "refused" | "restarted";

/** Concurrency bounds of an endpoint, from the service document. */
export interface WarmUpBounds {
    /** Concurrency limit of a cold endpoint. */
    readonly coldConcurrency: number;
    /** Concurrency limit of a warm endpoint. */
    readonly maxConcurrency: number;
    /** How long the endpoint stays cold after its first response, in milliseconds. */
    readonly warmUpMs: number;
}

/** Minimum time between two increases of the limit. */
const RAMP_STEP_MS = 300;
const RAMP_FACTOR = 2;
const SLOW_EVENTS_TO_COLD = 2;
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 8_000;

/**
 * Adapts the concurrency limit of an endpoint as it warms up. An endpoint in a cold or unknown state starts with its
 * cold concurrency. After the warm-up time, which begins with its first response, the limit grows step by step while
 * requests succeed at the limit. An overload halves it, but not below cold concurrency. It falls back to cold
 * concurrency at once when the endpoint crashes, restarts, refuses connections or responds far slower; after a crash or a
 * refused connection it is 0 for a backoff time first.
 */
export class WarmUpLimiter {
    private limit: number;
    private successes = 0;
    private slowEvents = 0;
    private firstResponseAtMs: number | undefined;
    private rampedAtMs = monotonicMs();
    private blockedUntilMs = 0;
    private backoffMs = INITIAL_BACKOFF_MS;

    /**
     * @param bounds - Concurrency bounds of the endpoint.
     * @param knownLimit - Limit that the previous owner of the endpoint had reached; 0 if it is not known.
     */
    constructor(private bounds: WarmUpBounds, knownLimit = 0) {
        this.limit = Math.min(Math.max(bounds.coldConcurrency, knownLimit), bounds.maxConcurrency);
        if (knownLimit > bounds.coldConcurrency) {
            this.firstResponseAtMs = -Infinity;
        }
    }

    /** @returns The concurrency limit now; 0 during the backoff after a failure. */
    getLimit(): number {
        return monotonicMs() < this.blockedUntilMs ? 0 : this.limit;
    }

    /** @returns Whether the limit has reached the maximum concurrency. */
    isWarm(): boolean {
        return this.getLimit() >= this.bounds.maxConcurrency;
    }

    /**
     * Applies changed bounds.
     *
     * @param bounds - The new bounds.
     */
    setBounds(bounds: WarmUpBounds): void {
        this.bounds = bounds;
        this.limit = Math.min(Math.max(this.limit, bounds.coldConcurrency), bounds.maxConcurrency);
    }

    /**
     * Adapts the limit to the outcome of an attempt.
     *
     * @param event - What the attempt says about the endpoint's health.
     */
    recordEvent(event: HealthEvent): void {
        switch (event) {
            case "success":
                this.recordSuccess();
                return;
            case "slow":
                this.slowEvents += 1;
                if (this.slowEvents >= SLOW_EVENTS_TO_COLD) {
                    this.resetToCold();
                }
                return;
            case "overloaded":
                this.limit = Math.max(
                    Math.min(this.bounds.coldConcurrency, this.limit),
                    Math.floor(this.limit / RAMP_FACTOR),
                );
                this.successes = 0;
                return;
            case "restarted":
                this.resetToCold();
                return;
            case "crashed":
            case "refused":
                this.resetToCold();
                if (monotonicMs() < this.blockedUntilMs) {
                    // The failure is already known; further reports must not extend the backoff.
                    return;
                }
                this.blockedUntilMs = monotonicMs() + this.backoffMs;
                this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS);
                return;
        }
    }

    private recordSuccess(): void {
        const nowMs = monotonicMs();
        if (nowMs < this.blockedUntilMs) {
            // The request ended before the failure and says nothing about the endpoint since.
            return;
        }
        this.firstResponseAtMs ??= nowMs;
        this.slowEvents = 0;
        this.backoffMs = INITIAL_BACKOFF_MS;
        if (nowMs - this.firstResponseAtMs < this.bounds.warmUpMs) {
            return;
        }
        this.successes += 1;
        if (this.successes < this.limit || nowMs - this.rampedAtMs < RAMP_STEP_MS) {
            return;
        }
        this.limit = Math.min(this.limit * RAMP_FACTOR, this.bounds.maxConcurrency);
        this.successes = 0;
        this.rampedAtMs = nowMs;
    }

    private resetToCold(): void {
        this.limit = this.bounds.coldConcurrency;
        this.firstResponseAtMs = undefined;
        this.successes = 0;
        this.slowEvents = 0;
        this.rampedAtMs = monotonicMs();
    }
}
