import { build, type Histogram } from "hdr-histogram-js";
import { newSeededRandom } from "./random";

/** An open-loop load: requests are sent at a given rate, however long earlier ones take. */
export interface OpenLoop {
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly seed: number;
    /**
     * Sends one request.
     *
     * @param index - Number of the request, from 0.
     * @returns Whether its latency is recorded.
     */
    readonly send: (index: number) => Promise<boolean>;
}

/**
 * Result of a run. Latencies start when a request was due to be sent, not when it was sent, so that a stalled sender
 * doesn't hide them (coordinated omission).
 */
export interface OpenLoopResult {
    readonly sent: number;
    /** Number of requests whose latency was recorded. */
    readonly counted: number;
    readonly latencyUs: Histogram;
}

const MIN_PAUSE_MS = 1;

/**
 * Sends requests with exponentially distributed gaps (a Poisson process) and waits for all of them to end.
 *
 * @param loop - The load.
 * @returns Counts, and latencies in microseconds.
 */
export async function runOpenLoop(loop: OpenLoop): Promise<OpenLoopResult> {
    const random = newSeededRandom(loop.seed);
    const nextGapMs = () => -Math.log(1 - random()) / loop.ratePerS * 1_000;
    const latencyUs = newHistogram();
    const pending = new Set<Promise<void>>();
    const startMs = performance.now();
    let dueMs = nextGapMs();
    let sent = 0;
    let counted = 0;
    while (dueMs < loop.durationMs) {
        const nowMs = performance.now() - startMs;
        while (dueMs <= nowMs && dueMs < loop.durationMs) {
            const dueAtMs = startMs + dueMs;
            const task = loop.send(sent).then(isCounted => {
                if (isCounted) {
                    counted += 1;
                    latencyUs.recordValue(Math.max(1, Math.round((performance.now() - dueAtMs) * 1_000)));
                }
            }).finally(() => pending.delete(task));
            pending.add(task);
            sent += 1;
            dueMs += nextGapMs();
        }
        await new Promise(resolve => setTimeout(resolve, Math.max(MIN_PAUSE_MS, dueMs - nowMs - MIN_PAUSE_MS)));
    }
    await Promise.all(pending);
    return { sent, counted, latencyUs };
}

/** @returns A histogram for latencies of up to ten minutes, in microseconds. */
export function newHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 600_000_000,
        numberOfSignificantValueDigits: 3,
        useWebAssembly: false,
    });
}

/**
 * @param histogram - Latencies in microseconds.
 * @param percentile - From 0 to 100.
 * @returns The latency in milliseconds.
 */
export function getPercentileMs(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / 1_000;
}
