import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { vi } from "vitest";

/**
 * Replaces timers and clocks by ones that the test advances, and `Math.random` by a seeded generator.
 *
 * @param seed - Seed of the random numbers.
 */
export function useSimulatedTime(seed: number): void {
    vi.useFakeTimers({
        toFake: [
            "setTimeout",
            "clearTimeout",
            "setInterval",
            "clearInterval",
            "setImmediate",
            "clearImmediate",
            "Date",
            "performance",
        ],
    });
    const generator = xoroshiro128plus(seed);
    vi.spyOn(Math, "random").mockImplementation(() => (generator.next() >>> 0) / 2 ** 32);
}

/** Restores timers, clocks and `Math.random`, and discards pending timers. */
export function useRealTime(): void {
    vi.clearAllTimers();
    vi.useRealTimers();
    vi.restoreAllMocks();
}

/**
 * Advances the simulated time in steps.
 *
 * @param lengthMs - Time to advance by, in milliseconds.
 * @param stepMs - Length of a step, in milliseconds.
 * @param check - Called after each step.
 */
export async function advanceTime(lengthMs: number, stepMs: number, check: () => void): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += stepMs) {
        await vi.advanceTimersByTimeAsync(stepMs);
        check();
    }
}
