const CHECK_INTERVAL_MS = 50;
/** Weight of the latest check in the moving average. */
const EWMA_WEIGHT = 0.3;

/** Measures how late the event loop runs timers, while it is started. */
export class LoopDelayMonitor {
    private timer: NodeJS.Timeout | undefined;
    private expectedAtMs = 0;
    private averageMs = 0;

    /** Moving average of the delay, in milliseconds; 0 while the monitor is stopped. */
    get delayMs(): number {
        return this.timer === undefined ? 0 : this.averageMs;
    }

    /** Starts measuring, unless it has been started. */
    start(): void {
        if (this.timer === undefined) {
            this.averageMs = 0;
            this.expectedAtMs = performance.now() + CHECK_INTERVAL_MS;
            this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
        }
    }

    /** Stops measuring. */
    stop(): void {
        clearInterval(this.timer);
        this.timer = undefined;
    }

    private check(): void {
        const nowMs = performance.now();
        const delayMs = Math.max(0, nowMs - this.expectedAtMs);
        this.averageMs += EWMA_WEIGHT * (delayMs - this.averageMs);
        this.expectedAtMs = nowMs + CHECK_INTERVAL_MS;
    }
}
