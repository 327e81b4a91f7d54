const CHECK_INTERVAL_MS = 50;
/** Weight of the latest check in the moving average. */
const EWMA_WEIGHT = 0.3;
/** Measuring ends this long after it was last asked for. */
const IDLE_MS = 5_000;

/** Measures how late the event loop runs timers, from when it is started until it has not been started again for a while. */
export class LoopDelayMonitor {
    private timer: NodeJS.Timeout | undefined;
    private expectedAtMs = 0;
    private startedAtMs = 0;
    private averageMs = 0;

    /** Moving average of the delay, in milliseconds; 0 while it is stopped. */
    get delayMs(): number {
        return this.timer === undefined ? 0 : this.averageMs;
    }

    /** Starts measuring, or goes on with it. */
    start(): void {
        this.startedAtMs = performance.now();
        if (this.timer === undefined) {
            this.averageMs = 0;
            this.expectedAtMs = this.startedAtMs + CHECK_INTERVAL_MS;
            this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
        }
    }

    private check(): void {
        const nowMs = performance.now();
        const delayMs = Math.max(0, nowMs - this.expectedAtMs);
        this.averageMs += EWMA_WEIGHT * (delayMs - this.averageMs);
        this.expectedAtMs = nowMs + CHECK_INTERVAL_MS;
        if (nowMs - this.startedAtMs > IDLE_MS) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }
}
