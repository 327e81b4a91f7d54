import type { RolloutLimits } from "./types";

/**
 * Part of the slack that is used. The rest covers requests that reach the service but not this count, such as those that
 * instances place on their own, and requests that were counted but never sent.
 */
const USED_SLACK = 0.5;
/** Part of the budget of the whole roll-out that the canary phase may spend; the rest is for moving the traffic. */
const CANARY_PART = 0.6;
/** Part of the slack that the steps below the whole traffic may use, so that the canary phase leaves them some. */
const USED_SLACK_OF_STEPS = 0.8;
/** Part of the present budget that the canary phase leaves for the steps. */
const CANARY_PART_OF_PRESENT = 0.8;
/** Part of the canary's budget that may be spent at the beginning; the rest is spread, since a version may turn bad later. */
const EARLY_PART = 0.3;

/**
 * Once the new version has all traffic, it is sent about as many requests as run at a time before their responses can show
 * a fault. Those beyond the slack that the steps leave are kept of the budget, up to this part of it.
 */
const RESERVED_PART = 0.5;

/** Counts the requests that the new version is sent, before they are sent, and how many it may be sent. */
export class ExposureBudget {
    /** Upper bound that is stored, so that the next coordinator counts requests that this one doesn't report. */
    storedExposed: number;
    /** Requests that run at all versions. */
    running = 0;

    /**
     * @param limits - Limits on the use of a bad version.
     * @param exposed - Requests that the new version has been sent at most.
     * @param total - Requests that have reached the service since the order.
     */
    constructor(private readonly limits: RolloutLimits, public exposed = 0, public total = 0) {
        this.storedExposed = exposed;
    }

    /** Requests that may still be sent in the steps below the whole traffic. */
    get leftForSteps(): number {
        const allowed = this.getAllowed(USED_SLACK_OF_STEPS);
        return Math.floor(allowed - this.getReserve(allowed)) - this.exposed;
    }

    /**
     * @param elapsedMs - Time since the order.
     * @param durationMs - Time from the order to the deadline.
     * @param canaryMs - Time from the order to the end of the canary phase.
     * @returns Requests that the canary phase may still send now.
     */
    getCanaryLeft(elapsedMs: number, durationMs: number, canaryMs: number): number {
        const { exposedFraction, exposedSlack } = this.limits;
        const projectedTotal = this.total * Math.max(1, durationMs / Math.max(1, elapsedMs));
        const projected = CANARY_PART * (exposedFraction * projectedTotal + exposedSlack * USED_SLACK);
        const canary = projected - this.getReserve(projected);
        const part = EARLY_PART + (1 - EARLY_PART) * Math.min(1, elapsedMs / Math.max(1, canaryMs));
        const present = CANARY_PART_OF_PRESENT * this.getAllowed(USED_SLACK);
        return Math.floor(Math.min(present, canary * part)) - this.exposed;
    }

    /** Whether the stored bound still covers another request. */
    get isCovered(): boolean {
        return this.exposed < this.storedExposed;
    }

    /** @returns Requests of a part of the budget that are left for the time until the whole traffic shows a fault. */
    private getReserve(budget: number): number {
        const uncovered = this.running - this.limits.exposedSlack * (1 - USED_SLACK_OF_STEPS);
        return Math.min(Math.max(0, uncovered), RESERVED_PART * budget);
    }

    private getAllowed(usedSlack: number): number {
        return this.limits.exposedFraction * this.total + this.limits.exposedSlack * usedSlack;
    }
}
