import { monotonicMs } from "@heatherline/common";

/** How an attempt at an endpoint went, as far as the endpoint's health is concerned. */
export type HealthEvent = "success" | "slow" | "overloaded" | "crashed" | "refused" | "restarted";

const RAMP_STEP_MS = 300;
const RAMP_FACTOR = 2;
const SLOW_EVENTS_TO_COLD = 2;
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 8_000;

/**
 * Decides how many requests an endpoint may carry at once. An endpoint of unknown or cold state starts with its
 * cold concurrency; the limit grows step by step while the endpoint answers at the limit, and falls back at once
 * when it crashes, restarts, refuses connections or answers far slower than before.
 */
export class WarmthTracker {
    private limit: number;
    private successes = 0;
    private slowEvents = 0;
    private steppedAtMs = monotonicMs();
    private blockedUntilMs = 0;
    private backoffMs = FIRST_BACKOFF_MS;

    /**
     * @param coldConcurrency - Requests at once that a cold endpoint carries.
     * @param maxConcurrency - Requests at once that a warm endpoint carries.
     */
    constructor(private coldConcurrency: number, private maxConcurrency: number) {
        this.limit = coldConcurrency;
    }

    /** @returns Requests that the endpoint may carry at once now; 0 while it is left alone after a failure. */
    getLimit(): number {
        return monotonicMs() < this.blockedUntilMs ? 0 : this.limit;
    }

    /** @returns Whether the endpoint carries its full load. */
    isWarm(): boolean {
        return this.getLimit() >= this.maxConcurrency;
    }

    /** @returns Milliseconds until the endpoint may be tried again; 0 when it may be tried now. */
    getBlockedMs(): number {
        return Math.max(0, this.blockedUntilMs - monotonicMs());
    }

    /**
     * Takes over changed bounds from the service document.
     *
     * @param coldConcurrency - See the constructor.
     * @param maxConcurrency - See the constructor.
     */
    setBounds(coldConcurrency: number, maxConcurrency: number): void {
        this.coldConcurrency = coldConcurrency;
        this.maxConcurrency = maxConcurrency;
        this.limit = Math.min(Math.max(this.limit, coldConcurrency), maxConcurrency);
    }

    /**
     * @param event - How an attempt went.
     */
    note(event: HealthEvent): void {
        switch (event) {
            case "success":
                this.noteSuccess();
                return;
            case "slow":
                this.slowEvents += 1;
                if (this.slowEvents >= SLOW_EVENTS_TO_COLD) {
                    this.turnCold();
                }
                return;
            case "overloaded":
                this.limit = Math.max(Math.min(this.coldConcurrency, this.limit), Math.floor(this.limit / RAMP_FACTOR));
                this.successes = 0;
                return;
            case "restarted":
                this.turnCold();
                return;
            case "crashed":
            case "refused":
                this.turnCold();
                this.blockedUntilMs = monotonicMs() + this.backoffMs;
                this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS);
                return;
        }
    }

    private noteSuccess(): void {
        this.successes += 1;
        this.slowEvents = 0;
        this.backoffMs = FIRST_BACKOFF_MS;
        const nowMs = monotonicMs();
        if (this.successes < this.limit || nowMs - this.steppedAtMs < RAMP_STEP_MS) {
            return;
        }
        this.limit = Math.min(this.limit * RAMP_FACTOR, this.maxConcurrency);
        this.successes = 0;
        this.steppedAtMs = nowMs;
    }

    private turnCold(): void {
        this.limit = this.coldConcurrency;
        this.successes = 0;
        this.slowEvents = 0;
        this.steppedAtMs = monotonicMs();
    }
}
