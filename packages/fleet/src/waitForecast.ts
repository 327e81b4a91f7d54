import { copyFlat } from "./copyFlat";

/** First guess of how long an online request keeps its place, in milliseconds. */
const INITIAL_HOLD_TIME_MS = 500;
/** First guess of the time from the grant of a place to the first part of the response, in milliseconds. */
const INITIAL_FIRST_ANSWER_MS = 60;
/** Factor on the mean time to the first part of the response, which allows for its variance. */
const FIRST_ANSWER_MARGIN = 1.25;
/** Factor on the forecast wait: an early refusal serves callers better than a place that comes too late. */
const WAIT_MARGIN = 1.25;
/** Weight of a new value in the moving averages. */
const SMOOTHING = 0.1;
/** Time for a batch item to give its place up, in milliseconds. */
const PREEMPTION_MS = 8;
/** A scheduled retry that is overdue by this much is no longer expected, in milliseconds. */
const RETRY_EXPIRY_MS = 500;
/** Shortest retry delay for a refused caller, in milliseconds. */
const MIN_RETRY_MS = 50;

/** State of a service's queue that a forecast is based on. */
export interface QueueState {
    /** Places that online requests may hold in total. */
    readonly capacity: number;
    /** Places that are free, or that batch items release at once when preempted. */
    readonly available: number;
    /** Places that are free. */
    readonly free: number;
    /** Whether there are places only at endpoints that are tried again after a pause, or none. */
    readonly isOnlyTriedAgain: boolean;
    /** Time until a paused endpoint may be tried again, where there are no places; in milliseconds. */
    readonly pauseLeftMs: number;
    /** Requests that will be served before the one in question. */
    readonly ahead: number;
}

/**
 * Forecasts how long a request will wait for a place: from how long places are kept, how many there are, who waits,
 * and who was refused and will retry.
 */
export class WaitForecast {
    private holdMs = INITIAL_HOLD_TIME_MS;
    private firstAnswerMs = INITIAL_FIRST_ANSWER_MS;
    private scheduledRetries: { readonly fingerprint: string; readonly atMs: number; }[] = [];

    /** @returns A copy, in which retries can be scheduled and taken without effect on this forecast. */
    copy(): WaitForecast {
        const copy = copyFlat(this);
        copy.scheduledRetries = [...this.scheduledRetries];
        return copy;
    }

    /**
     * @param heldMs - How long a served online request kept its place.
     */
    recordHoldTime(heldMs: number): void {
        this.holdMs += SMOOTHING * (heldMs - this.holdMs);
    }

    /**
     * @param tookMs - Time from the grant of a place to the first part of the response.
     */
    recordFirstAnswer(tookMs: number): void {
        this.firstAnswerMs += SMOOTHING * (tookMs - this.firstAnswerMs);
    }

    /** How long a served online request keeps its place on average, in milliseconds. */
    get meanHoldMs(): number {
        return this.holdMs;
    }

    /** @returns Time to allow for from the grant of a place to the first part of the response, in milliseconds. */
    getFirstAnswerMs(): number {
        return this.firstAnswerMs * FIRST_ANSWER_MARGIN;
    }

    /**
     * @param queue - State of the queue.
     * @returns The expected wait in milliseconds; infinite where there are no places. An endpoint that was paused is
     * tried with one request, so that only the first request in the queue may count on it.
     */
    getWaitMs(queue: QueueState): number {
        if (queue.capacity === 0) {
            return queue.ahead === 0 ? queue.pauseLeftMs : Infinity;
        }
        const excess = queue.ahead + 1 - queue.available;
        if (excess > 0) {
            return PREEMPTION_MS + WAIT_MARGIN * excess * this.holdMs / queue.capacity;
        }
        return queue.ahead < queue.free ? 0 : PREEMPTION_MS;
    }

    /**
     * Chooses when a refused caller should retry, spreads the retries over time, and records them.
     *
     * @param queue - State of the queue.
     * @param fingerprint - Fingerprint of the refused request.
     * @returns The delay in milliseconds.
     */
    scheduleRetry(queue: QueueState, fingerprint: string): number {
        const nowMs = performance.now();
        this.scheduledRetries = this.scheduledRetries.filter(({ atMs }) => atMs > nowMs - RETRY_EXPIRY_MS);
        const ahead = queue.ahead + this.scheduledRetries.length;
        const waitMs = this.getWaitMs({ ...queue, ahead });
        const retryAfterMs = Math.max(MIN_RETRY_MS, Number.isFinite(waitMs) ? waitMs : this.holdMs);
        if (fingerprint !== "") {
            this.scheduledRetries.push({ fingerprint, atMs: nowMs + retryAfterMs });
        }
        return retryAfterMs;
    }

    /**
     * Removes the scheduled retry of a request.
     *
     * @param fingerprint - Fingerprint of the request.
     * @returns Whether it was refused before and asked to retry.
     */
    takeScheduledRetry(fingerprint: string): boolean {
        const position = this.scheduledRetries.findIndex(planned => planned.fingerprint === fingerprint);
        if (fingerprint === "" || position < 0) {
            return false;
        }
        this.scheduledRetries.splice(position, 1);
        return true;
    }
}
