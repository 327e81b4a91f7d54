/** Runs a task at the earliest of the times that it was scheduled for, and then waits to be scheduled again. */
export class EarliestTimer {
    private timer: NodeJS.Timeout | undefined;
    private dueAtMs = Infinity;

    /**
     * @param run - The task.
     */
    constructor(private readonly run: () => void) {}

    /**
     * @param delayMs - Time until the task is to run at the latest, in milliseconds.
     */
    schedule(delayMs: number): void {
        const dueAtMs = performance.now() + delayMs;
        if (dueAtMs >= this.dueAtMs) {
            return;
        }
        this.cancel();
        this.dueAtMs = dueAtMs;
        this.timer = setTimeout(() => {
            this.cancel();
            this.run();
        }, delayMs);
    }

    /** Forgets what was scheduled. */
    cancel(): void {
        clearTimeout(this.timer);
        this.dueAtMs = Infinity;
    }
}
