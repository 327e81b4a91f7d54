/** Time constant of the moving average, short enough to follow a peak; in milliseconds. */
const DECAY_TIME_MS = 250;

/** Moving average of the rate at which requests arrive. */
export class ArrivalRate {
    /** Number of arrivals, with exponentially decaying weights. */
    private weight = 0;
    private updatedAtMs = performance.now();

    /** Records an arrival. */
    recordArrival(): void {
        this.decay();
        this.weight += 1;
    }

    /**
     * @param horizonMs - Period from now on, in milliseconds.
     * @returns Expected arrivals in it, rounded down.
     */
    getExpectedCount(horizonMs: number): number {
        this.decay();
        return Math.floor(this.weight / DECAY_TIME_MS * horizonMs);
    }

    private decay(): void {
        const nowMs = performance.now();
        this.weight *= Math.exp((this.updatedAtMs - nowMs) / DECAY_TIME_MS);
        this.updatedAtMs = nowMs;
    }
}
