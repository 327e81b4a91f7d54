import type { RequestEnd } from "./types";

/** First pause of an endpoint; doubles with each further one until a request succeeds. In milliseconds. */
const INITIAL_PAUSE_MS = 150;
/** Longest pause; a recovered endpoint is used again within this time, in milliseconds. */
const MAX_PAUSE_MS = 1_200;
/** Consecutive broken connections after which an endpoint counts as down; single ones don't pause it. */
const BREAKS_FOR_PAUSE = 3;
/** Consecutive failures after which an endpoint counts as failing all requests. */
const FAILURES_FOR_PAUSE = 6;

/** Weight of the latest request in the moving average of failures. */
const FAILURE_EWMA_WEIGHT = 0.15;
/** Time constant of the average's decay, so that an endpoint that is avoided is tried again; in milliseconds. */
const FAILURE_DECAY_MS = 5_000;
/** How much each kind of end counts as a failure; kinds that are left out don't count. */
const FAILURE_WEIGHTS: Partial<Record<RequestEnd, number>> = {
    done: 0,
    rejected: 0.5,
    failed: 1,
    broken: 1,
    silent: 1,
    unreachable: 1,
};

/**
 * Health of one endpoint, derived from how its requests end. An unhealthy endpoint is paused: it is sent no requests
 * for a while, then one at a time until one succeeds.
 */
export class EndpointHealth {
    private consecutivePauses = 0;
    private consecutiveBreaks = 0;
    private consecutiveFailures = 0;
    private pausedUntilMs = 0;
    private isProbing = false;
    private averageFailure = 0;
    private averagedAtMs = performance.now();

    /** Moving average of the fraction of requests that failed. */
    get failureRate(): number {
        return this.averageFailure * Math.exp((this.averagedAtMs - performance.now()) / FAILURE_DECAY_MS);
    }

    /** Whether it is paused, or is sent one request at a time until one succeeds. */
    get isTriedAgain(): boolean {
        return this.isProbing;
    }

    /**
     * Records the end of a request.
     *
     * @param end - How it ended.
     * @param mayPauseForSilence - Whether the endpoint is paused if it was silent.
     * @returns Whether it starts a pause of the endpoint.
     */
    recordEnd(end: RequestEnd, mayPauseForSilence = true): boolean {
        const weight = FAILURE_WEIGHTS[end];
        if (weight !== undefined) {
            const previous = this.failureRate;
            this.averageFailure = previous + FAILURE_EWMA_WEIGHT * (weight - previous);
            this.averagedAtMs = performance.now();
        }
        switch (end) {
            case "done":
                this.consecutivePauses = 0;
                this.consecutiveBreaks = 0;
                this.consecutiveFailures = 0;
                this.isProbing = false;
                return false;
            case "unreachable":
                return this.pause();
            case "silent":
                return mayPauseForSilence && this.pause();
            case "broken":
                this.consecutiveBreaks += 1;
                return this.consecutiveBreaks >= BREAKS_FOR_PAUSE || this.isProbing ? this.pause() : false;
            case "failed":
                this.consecutiveFailures += 1;
                return this.consecutiveFailures >= FAILURES_FOR_PAUSE ? this.pause() : false;
            case "lost":
                return false;
            case "rejected":
                return this.isProbing ? this.pause() : false;
        }
    }

    /**
     * @param running - Number of requests that run there now.
     * @returns Whether the endpoint may be sent a request; after a pause it gets one at a time until one succeeds.
     */
    canAccept(running: number): boolean {
        return performance.now() >= this.pausedUntilMs && (!this.isProbing || running === 0);
    }

    /** @returns Remaining time of the pause in milliseconds; 0 without a pause. */
    getPauseLeftMs(): number {
        return Math.max(0, this.pausedUntilMs - performance.now());
    }

    private pause(): boolean {
        const nowMs = performance.now();
        if (nowMs < this.pausedUntilMs) {
            return false;
        }
        this.pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this.consecutivePauses);
        this.consecutivePauses += 1;
        this.isProbing = true;
        return true;
    }
}
