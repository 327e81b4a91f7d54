/** @returns Milliseconds on the monotonic clock. Values of different processes must not be compared. */
export function monotonicMs(): number {
    return performance.now();
}

/**
 * @param delayMs - How long to wait, in milliseconds.
 * @param signal - Ends the wait early when it is aborted.
 * @returns A promise that resolves after the delay or on the abort, whichever comes first.
 */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, delayMs);
        signal?.addEventListener("abort", finish, { once: true });
    });
}

/**
 * @param baseMs - Mean of the delay in milliseconds.
 * @returns A random delay between 0.5 and 1.5 times the mean, in milliseconds.
 */
export function withJitter(baseMs: number): number {
    return baseMs * (0.5 + Math.random());
}

/**
 * Runs a task repeatedly until stopped. Runs don't overlap.
 *
 * @param intervalMs - Returns the delay between the end of a run and the start of the next one, in milliseconds.
 * @param run - The task; it must handle its own errors.
 * @returns A function that stops the loop; its promise resolves when the current run has ended.
 */
export function startLoop(intervalMs: () => number, run: (signal: AbortSignal) => Promise<void>): () => Promise<void> {
    const abortController = new AbortController();
    const loop = async () => {
        while (!abortController.signal.aborted) {
            await run(abortController.signal);
            await sleep(intervalMs(), abortController.signal);
        }
    };
    const ended = loop();
    return async () => {
        abortController.abort();
        await ended;
    };
}
