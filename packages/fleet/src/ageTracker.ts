/** How far the wall clock may run ahead before the machine is taken to have been suspended, in milliseconds. */
const SUSPENSION_TOLERANCE_MS = 150;

/**
 * Measures the age of data. The monotonic clock stops while the machine is suspended and the wall clock may be set, so
 * the age is the larger of what the two clocks show.
 */
export class AgeTracker {
    private monotonicMs = -Infinity;
    private wallMs = -Infinity;

    /**
     * Records that the data was current some time ago; has no effect if it is known to have been current later.
     *
     * @param ageMs - How long ago.
     */
    markCurrent(ageMs: number): void {
        if (ageMs < this.getAgeMs()) {
            this.monotonicMs = performance.now() - ageMs;
            this.wallMs = Date.now() - ageMs;
        }
    }

    /** @returns Milliseconds since the data was last known to be current. */
    getAgeMs(): number {
        return Math.max(performance.now() - this.monotonicMs, Date.now() - this.wallMs);
    }
}

/** A moment on both clocks, to find out later how much time has passed, suspension included. */
export interface Timestamp {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** @returns The present moment. */
export function newTimestamp(): Timestamp {
    return { monotonicMs: performance.now(), wallMs: Date.now() };
}

/**
 * @param moment - An earlier moment.
 * @returns Milliseconds since then; a small disagreement of the clocks is ignored.
 */
export function getElapsedMs(moment: Timestamp): number {
    const monotonicMs = performance.now() - moment.monotonicMs;
    const wallMs = Date.now() - moment.wallMs;
    return wallMs > monotonicMs + SUSPENSION_TOLERANCE_MS ? wallMs : monotonicMs;
}
