/** @returns Milliseconds on the monotonic clock. Never compare values of two processes. */
export function monotonicMs(): number {
    return performance.now();
}

/**
 * @param delayMs - How long to wait, in milliseconds.
 * @param signal - Ends the wait early.
 * @returns A promise that resolves after the delay or the abort, whichever comes first.
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
 * @param baseMs - Middle of the range in milliseconds.
 * @returns A random delay between half of the base and one and a half times the base, in milliseconds.
 */
export function withJitter(baseMs: number): number {
    return baseMs * (0.5 + Math.random());
}

/**
 * Runs a task again and again until stopped. A run starts only after the one before has ended.
 *
 * @param intervalMs - Delay between the end of a run and the next start, in milliseconds.
 * @param run - The task; it must handle its own errors.
 * @returns A function that stops the loop and resolves when the last run has ended.
 */
export function startLoop(intervalMs: () => number, run: (signal: AbortSignal) => Promise<void>): () => Promise<void> {
    const stopping = new AbortController();
    const loop = async () => {
        while (!stopping.signal.aborted) {
            await run(stopping.signal);
            await sleep(intervalMs(), stopping.signal);
        }
    };
    const ended = loop();
    return async () => {
        stopping.abort();
        await ended;
    };
}
