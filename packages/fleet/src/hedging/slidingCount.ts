const BUCKETS = 8;

/** Counts events of a recent period. */
export class SlidingCount {
    private readonly counts = new Array<number>(BUCKETS).fill(0);
    private lastBucket = 0;

    /**
     * @param periodMs - Length of the period.
     */
    constructor(private readonly periodMs: number) {}

    /** Records an event now. */
    record(): void {
        const bucket = this.advance();
        this.counts[bucket % BUCKETS] = (this.counts[bucket % BUCKETS] ?? 0) + 1;
    }

    /** @returns Events in the period until now. */
    getCount(): number {
        this.advance();
        return this.counts.reduce((sum, count) => sum + count, 0);
    }

    private advance(): number {
        const bucket = Math.floor(performance.now() / (this.periodMs / BUCKETS));
        const passed = Math.min(BUCKETS, bucket - this.lastBucket);
        for (let step = 0; step < passed; step += 1) {
            this.counts[(bucket - step) % BUCKETS] = 0;
        }
        this.lastBucket = bucket;
        return bucket;
    }
}
