/** Initial estimates of the events of an item and of the time between two events. */
const INITIAL_EVENTS = 200;
const INITIAL_EVENT_GAP_MS = 25;
const SMOOTHING = 0.1;
/** In shorter runs the time to the first event counts for too much. */
const MIN_EVENTS = 20;

/** Estimates how long batch items take, as moving averages over earlier runs. */
export class ItemDurationEstimator {
    private expectedEventCount = INITIAL_EVENTS;
    private gapMs = INITIAL_EVENT_GAP_MS;

    /**
     * @param events - Events of a run.
     * @param tookMs - How long it took.
     */
    recordRun(events: number, tookMs: number): void {
        if (events >= MIN_EVENTS) {
            this.gapMs += SMOOTHING * (tookMs / events - this.gapMs);
        }
    }

    /**
     * @param events - Events of an item that is finished.
     */
    recordFinished(events: number): void {
        this.expectedEventCount += SMOOTHING * (events - this.expectedEventCount);
    }

    /**
     * @param events - Events that an item has.
     * @returns Expected time at an endpoint until it is finished, in milliseconds.
     */
    getRemainingMs(events: number): number {
        return Math.max(1, this.expectedEventCount - events) * this.gapMs;
    }
}
