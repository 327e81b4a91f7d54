import { monotonicMs } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import { LimitError } from "./errors";
import { getSubjectKey, type LimitBounds, type LimitSubject, type RateLimiter, type RatePermit } from "./types";

interface Bucket {
    level: number;
    updatedAtMs: number;
}

/** Baseline for comparisons: each instance gets an equal part of every rate and burst, whatever its traffic. */
export class StaticSplitLimiter implements RateLimiter {
    readonly name = "static-split";
    private readonly buckets = new Map<string, Bucket>();

    /**
     * @param countInstances - Counts the instances among which rates are divided.
     */
    constructor(private readonly countInstances: () => number) {}

    async acquire(subject: LimitSubject, bounds: LimitBounds): Promise<Result<RatePermit, LimitError>> {
        const key = getSubjectKey(subject);
        const burst = bounds.burst / this.countInstances();
        const ratePerS = bounds.ratePerS / this.countInstances();
        const nowMs = monotonicMs();
        const bucket = this.buckets.get(key) ?? { level: burst, updatedAtMs: nowMs };
        this.buckets.set(key, bucket);
        bucket.level = Math.min(burst, bucket.level + (nowMs - bucket.updatedAtMs) / 1_000 * ratePerS);
        bucket.updatedAtMs = nowMs;
        if (bucket.level < 1) {
            const retryAfterMs = (1 - bucket.level) / ratePerS * 1_000;
            return err(new LimitError("exceeded", "this instance's part of the rate is exceeded", retryAfterMs));
        }
        bucket.level -= 1;
        return ok({ refund: () => undefined });
    }
}
