/** Decides how many batch items may run alongside online requests. */
export interface BatchAdmission {
    readonly name: string;
    /** Whether running items are preempted when online requests find no free credit. */
    readonly isPreempting: boolean;
    /**
     * @param credits - Credits of this instance for the service.
     * @param online - Number of online requests that run or wait.
     * @param batch - Number of batch items that run.
     * @returns Number of further items that may start.
     */
    countAllowed(credits: number, online: number, batch: number): number;
    /**
     * Records the duration of an online request.
     *
     * @param durationMs - Time for which the request held its slot, in milliseconds.
     */
    recordOnlineDuration(durationMs: number): void;
}

/** Fraction of all credits that is reserved for new online requests. */
const ONLINE_RESERVE_FRACTION = 0.1;

/** Uses all credits that online requests leave free, except a reserve; online requests preempt batch items at once. */
export class CreditAdmission implements BatchAdmission {
    readonly name = "credits";
    readonly isPreempting = true;

    countAllowed(credits: number, online: number, batch: number): number {
        return Math.max(0, credits - online - batch - Math.floor(credits * ONLINE_RESERVE_FRACTION));
    }

    recordOnlineDuration(): void {
        // The number of credits decides; latency is not considered.
    }
}

/** Baseline for comparisons: a fixed concurrency limit, whatever the online load. */
export class FixedAdmission implements BatchAdmission {
    readonly name = "fixed";
    readonly isPreempting = false;

    /**
     * @param limit - Largest number of items that run at the same time.
     */
    constructor(private readonly limit: number) {}

    countAllowed(credits: number, online: number, batch: number): number {
        return Math.max(0, Math.min(credits - online - batch, this.limit - batch));
    }

    recordOnlineDuration(): void {
        // The limit is fixed.
    }
}

const ADJUST_INTERVAL_MS = 500;
const MAX_LATENCY_RATIO = 1.25;
/** Growth of the best latency per request, so that it adapts to lasting changes. */
const BEST_LATENCY_DRIFT = 1.001;
const LATENCY_SMOOTHING = 0.1;

/**
 * Baseline for comparisons: additive increase of the limit while the mean online latency stays near its best value,
 * multiplicative decrease when it rises.
 */
export class LatencyAdmission implements BatchAdmission {
    readonly name = "latency";
    readonly isPreempting = false;
    private limit = 1;
    private meanMs: number | undefined;
    private bestMs = Infinity;
    private adjustedAtMs = 0;

    countAllowed(credits: number, online: number, batch: number): number {
        this.adjustLimit();
        return Math.max(0, Math.min(credits - online - batch, Math.floor(this.limit) - batch));
    }

    recordOnlineDuration(durationMs: number): void {
        this.meanMs = this.meanMs === undefined
            ? durationMs
            : this.meanMs + LATENCY_SMOOTHING * (durationMs - this.meanMs);
        this.bestMs = Math.min(this.bestMs * BEST_LATENCY_DRIFT, this.meanMs);
    }

    private adjustLimit(): void {
        const nowMs = performance.now();
        if (nowMs - this.adjustedAtMs < ADJUST_INTERVAL_MS) {
            return;
        }
        this.adjustedAtMs = nowMs;
        const isHigh = this.meanMs !== undefined && this.meanMs > this.bestMs * MAX_LATENCY_RATIO;
        this.limit = isHigh ? Math.max(1, this.limit / 2) : this.limit + 1;
    }
}
