const WINDOW_MS = 1_000;

/** Tracks the requests sent to one endpoint, so that their number in any period of a second can be limited. */
export class SendWindow {
    private sentAtMs: number[] = [];

    /** Records that a request is sent now. */
    recordSend(): void {
        const nowMs = performance.now();
        while ((this.sentAtMs[0] ?? Infinity) <= nowMs - WINDOW_MS) {
            this.sentAtMs.shift();
        }
        this.sentAtMs.push(nowMs);
    }

    /**
     * @param maxPerS - Maximum number of requests in any second; 0 for no limit.
     * @returns Milliseconds until the next request may be sent.
     */
    getWaitMs(maxPerS: number): number {
        if (maxPerS <= 0) {
            return 0;
        }
        const windowStartMs = performance.now() - WINDOW_MS;
        const blockingSentAtMs = this.sentAtMs[this.sentAtMs.length - Math.max(1, Math.floor(maxPerS))];
        return blockingSentAtMs === undefined ? 0 : Math.max(0, blockingSentAtMs - windowStartMs);
    }

    /** @returns A copy, on which further requests can be recorded without effect on this window. */
    copy(): SendWindow {
        const copy = new SendWindow();
        copy.sentAtMs = [...this.sentAtMs];
        return copy;
    }
}
