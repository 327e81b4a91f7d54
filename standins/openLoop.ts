import { build, type Histogram } from "hdr-histogram-js";
import { newSeededRandom } from "./random";

/** Requests that arrive on their own, whatever becomes of those before. */
export interface OpenLoop {
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly seed: number;
    /**
     * Sends one request.
     *
     * @param index - Its number.
     * @returns Whether it counts for the latency.
     */
    readonly send: (index: number) => Promise<boolean>;
}

/** Latencies of a run, from when each request was due, so that a stalled sender hides nothing. */
export interface OpenLoopResult {
    readonly sent: number;
    readonly counted: number;
    readonly latencyUs: Histogram;
}

const PUMP_MS = 1;

/**
 * Sends requests at random times (a Poisson process).
 *
 * @param loop - What to send, and how often.
 * @returns The latencies in microseconds.
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
        await new Promise(resolve => setTimeout(resolve, Math.max(PUMP_MS, dueMs - nowMs - PUMP_MS)));
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
