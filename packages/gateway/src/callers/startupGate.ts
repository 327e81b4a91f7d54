/** In most starts the coordinator is found within this time, and callers' latency objectives leave room for it. */
const COORDINATOR_WAIT_MS = 150;
/** For longer waits a refusal with a retry delay is better for callers. */
const MAX_WAIT_MS = 600;

/** What an instance knows after its start. */
export interface StartupState {
    /** @returns Whether this instance is the coordinator or can reach the one that is. */
    isCoordinatorKnown(): boolean;
    /** @returns Whether configuration, endpoints and instances are known, so that fallback mode is possible. */
    canRunInFallbackMode(): boolean;
}

/**
 * Holds requests that arrive just after the start until this instance knows what it needs to decide about them. After a
 * power loss of all instances, waiting takes a fraction of the callers' latency objective, whereas a refusal misses it.
 * The wait for a coordinator is short: a new one would get all held requests at once, and must start with low rates.
 */
export class StartupGate {
    private isOpen = false;
    private mayOpenWithoutCoordinator = false;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param state - What the instance knows.
     */
    constructor(private readonly state: StartupState) {}

    /** Starts the timers; after the longest wait requests are handled with what is known. */
    start(): void {
        setTimeout(() => {
            this.mayOpenWithoutCoordinator = true;
            this.check();
        }, COORDINATOR_WAIT_MS).unref();
        setTimeout(() => this.open(), MAX_WAIT_MS).unref();
    }

    /** Opens the gate if enough is known by now. */
    check(): void {
        const { state } = this;
        const isCoordinatorSettled = state.isCoordinatorKnown() || this.mayOpenWithoutCoordinator;
        if (!this.isOpen && state.canRunInFallbackMode() && isCoordinatorSettled) {
            this.open();
        }
    }

    /** Waits until the gate is open. */
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
