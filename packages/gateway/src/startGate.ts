/** Callers would rather hear of another try than wait longer than this for an instance that has just started. */
const PATIENCE_MS = 600;

/**
 * Holds requests that arrive just after the start until this instance knows what it needs to answer them. After a loss
 * of power of all instances that takes a fraction of the callers' latency objective, while a refusal costs them all of
 * it.
 */
export class StartGate {
    private isOpen = false;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param isReady - Whether this instance knows what it needs.
     */
    constructor(private readonly isReady: () => boolean) {}

    /** Begins to count the time; afterwards requests are answered with what is known. */
    start(): void {
        setTimeout(() => this.open(), PATIENCE_MS).unref();
    }

    /** Looks whether the instance is ready by now. */
    check(): void {
        if (!this.isOpen && this.isReady()) {
            this.open();
        }
    }

    /** Waits for the start to be over. */
    async wait(): Promise<void> {
        if (!this.isOpen) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
    }

    private open(): void {
        this.isOpen = true;
        this.waiting.splice(0).forEach(resolve => resolve());
    }
}
