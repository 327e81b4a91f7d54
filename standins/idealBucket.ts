/** Rate and burst of an organisation. */
export interface IdealBounds {
    readonly ratePerS: number;
    readonly burst: number;
}

/** A request and the decision on it. */
export interface DecidedRequest {
    readonly arrivedAtMs: number;
    readonly decidedAtMs: number;
    readonly isAdmitted: boolean;
}

/** How admission decisions compare with one ideal token bucket for the whole fleet. */
export interface IdealBucketResult {
    readonly admitted: number;
    readonly refused: number;
    /** Highest number of tokens by which the admitted requests overdrew the bucket. */
    readonly overdrawnTokens: number;
    /** Requests refused although admitting them would not have overdrawn the bucket, at their arrival or later. */
    readonly wronglyRefused: number;
}

/**
 * Compares admission decisions with those of one ideal token bucket, which starts full.
 *
 * @param bounds - Rate and burst of the organisation.
 * @param requests - All its requests.
 * @returns The comparison.
 */
export function compareWithIdealBucket(bounds: IdealBounds, requests: readonly DecidedRequest[]): IdealBucketResult {
    const admittedAtMs = requests.filter(({ isAdmitted }) => isAdmitted).map(({ decidedAtMs }) => decidedAtMs).sort((
        a,
        b,
    ) => a - b);
    const lowestLevel = findLowestLevel(bounds, admittedAtMs, -Infinity);
    const refused = requests.filter(({ isAdmitted }) => !isAdmitted);
    const wronglyRefused = refused.filter(({ arrivedAtMs }) =>
        findLowestLevel(bounds, [...admittedAtMs, arrivedAtMs].sort((a, b) => a - b), arrivedAtMs) >= 0
    );
    return {
        admitted: admittedAtMs.length,
        refused: refused.length,
        overdrawnTokens: Math.max(0, -lowestLevel),
        wronglyRefused: wronglyRefused.length,
    };
}

/** Returns the lowest level of the bucket from `fromMs` on, if a token is taken at each of the ascending times. */
function findLowestLevel(bounds: IdealBounds, timesMs: readonly number[], fromMs: number): number {
    let level = bounds.burst;
    let lowestLevel = bounds.burst;
    let beforeMs = timesMs[0] ?? 0;
    for (const timeMs of timesMs) {
        level = Math.min(bounds.burst, level + (timeMs - beforeMs) / 1_000 * bounds.ratePerS) - 1;
        beforeMs = timeMs;
        if (timeMs >= fromMs) {
            lowestLevel = Math.min(lowestLevel, level);
        }
    }
    return lowestLevel;
}
