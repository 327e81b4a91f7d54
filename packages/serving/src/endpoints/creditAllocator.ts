import { invariant, monotonicMs, rankByRendezvous } from "@heatherline/common";
import { type HealthEvent, type WarmUpBounds, WarmUpLimiter } from "./warmUpLimiter";

/** An instance's demand for credits of one endpoint, and its current use. */
export interface CreditDemand {
    readonly instanceId: string;
    /** Online requests that run or wait for this endpoint. */
    readonly online: number;
    /** Spare credits requested in advance for new online requests. */
    readonly spare: number;
    /** Batch items that run or wait for this endpoint. */
    readonly batch: number;
    /** Requests that run there now, of both classes. */
    readonly inUse: number;
    /** Whether the endpoint is requested for exclusive use by one request. */
    readonly isExclusive: boolean;
    /** Limit of the endpoint in the last valid grant, 0 if there is none. A new owner starts from this limit. */
    readonly knownLimit: number;
    /** Health events since the last demand. */
    readonly events: readonly HealthEvent[];
}

/** Concurrency that an instance may use until it expires. */
export interface CreditGrant {
    readonly credits: number;
    /** Concurrency limit of the endpoint now, from which fallback credits are computed. */
    readonly limit: number;
    readonly isWarm: boolean;
    /** Whether the total demand exceeds the limit, so that unused credits should be returned soon. */
    readonly isContended: boolean;
    /** Whether no other instance may use the endpoint during this grant. */
    readonly isExclusive: boolean;
    /** Validity in milliseconds from when the demand was sent. */
    readonly ttlMs: number;
}

interface Allocation {
    credits: number;
    expiresAtMs: number;
    demand: CreditDemand;
}

/** Validity of credits; instances renew them well before they expire. */
export const CREDIT_TTL_MS = 2_000;

/** Minimum time for which an endpoint is shared between two exclusive uses. */
const EXCLUSIVE_PAUSE_MS = 500;

/** Interval at which the order of equal demands rotates. */
const ROTATION_INTERVAL_MS = 100;

/**
 * Allocates the credits of one endpoint to instances; run by the owner of the endpoint. A credit is the right to run
 * one request at a time there. At the time of a grant, the sum of all granted credits never exceeds the endpoint's
 * concurrency limit. Online demand is met first, then spare credits, then batch demand, each divided among the
 * instances with max-min fairness.
 */
export class EndpointCreditAllocator {
    readonly warmUpLimiter: WarmUpLimiter;
    private readonly allocations = new Map<string, Allocation>();
    /** The instance that has requested exclusive use and gets the next grants. */
    private exclusiveFor: string | undefined;
    /** Until when the endpoint stays shared after an exclusive use. */
    private sharedUntilMs = 0;

    /**
     * @param endpoint - Identity of the endpoint.
     * @param bounds - Concurrency bounds from the service document.
     * @param knownLimit - Limit that the previous owner had reached; 0 if it is not known.
     * @param onRebalance - Called with each instance that should renew its credits: it has more than its share while
     * another one has less, or it has less while credits are free.
     */
    constructor(
        private readonly endpoint: string,
        bounds: WarmUpBounds,
        knownLimit: number,
        private readonly onRebalance: (instanceId: string) => void,
    ) {
        this.warmUpLimiter = new WarmUpLimiter(bounds, knownLimit);
    }

    /**
     * Handles the demand of one instance.
     *
     * @param demand - The demand.
     * @param members - All members of the data centre; they may use their fallback credits while they can't reach the
     * owner.
     * @returns The credits that the instance may use.
     */
    grant(demand: CreditDemand, members: readonly string[]): CreditGrant {
        for (const event of demand.events) {
            this.warmUpLimiter.recordEvent(event);
        }
        this.dropExpired();
        this.updateExclusive(demand);
        const limit = this.warmUpLimiter.getLimit();
        const others = this.sumOthers(demand.instanceId) + this.sumFallbackCredits(demand.instanceId, members, limit);
        const available = Math.max(0, limit - others);
        const target = this.computeTarget(demand, limit);
        const credits = Math.max(Math.min(target, available), 0);
        this.allocations.set(demand.instanceId, {
            // A lower grant doesn't stop running requests; they count until the instance reports their end.
            credits: Math.max(credits, demand.inUse),
            expiresAtMs: monotonicMs() + CREDIT_TTL_MS,
            demand,
        });
        invariant(
            "credits-within-limit",
            credits === 0 || others + credits <= limit,
            () => `${this.endpoint}: ${others} held by others and ${credits} granted exceed ${limit}`,
        );
        this.rebalance(limit, demand.instanceId);
        return {
            credits,
            limit,
            isWarm: this.warmUpLimiter.isWarm(),
            isContended: this.sumDemands() > limit,
            isExclusive: this.exclusiveFor === demand.instanceId && others === 0,
            ttlMs: CREDIT_TTL_MS,
        };
    }

    /**
     * Removes an instance that is known to have ended.
     *
     * @param instanceId - The instance.
     */
    removeInstance(instanceId: string): void {
        this.allocations.delete(instanceId);
    }

    private updateExclusive(demand: CreditDemand): void {
        const exclusiveInstance = this.exclusiveFor;
        if (
            exclusiveInstance !== undefined &&
            (!this.allocations.has(exclusiveInstance) ||
                (exclusiveInstance === demand.instanceId && !demand.isExclusive))
        ) {
            this.exclusiveFor = undefined;
            this.sharedUntilMs = monotonicMs() + EXCLUSIVE_PAUSE_MS;
        }
        if (demand.isExclusive && monotonicMs() >= this.sharedUntilMs) {
            this.exclusiveFor ??= demand.instanceId;
        }
    }

    private computeTarget(demand: CreditDemand, limit: number): number {
        if (this.exclusiveFor !== undefined) {
            return this.exclusiveFor === demand.instanceId ? Math.min(1, limit) : 0;
        }
        const others = [...this.allocations.values()].map(allocation => allocation.demand).filter(other =>
            other.instanceId !== demand.instanceId
        );
        const demands = [demand, ...others].sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
        const position = demands.indexOf(demand);
        // If there is less than one credit per instance, equal demands get it in rotation.
        const rotation = Math.floor(monotonicMs() / ROTATION_INTERVAL_MS);
        let remaining = limit;
        let target = 0;
        for (const demandKind of ["online", "spare", "batch"] as const) {
            const shares = computeMaxMinShares(demands.map(other => other[demandKind]), remaining, rotation);
            remaining -= sum(shares);
            target += shares[position] ?? 0;
        }
        return target;
    }

    private rebalance(limit: number, requester: string): void {
        const entries = [...this.allocations].map(([instanceId, { credits, demand }]) => ({
            instanceId,
            excess: credits - this.computeTarget(demand, limit),
        }));
        const underAllocated = entries.filter(({ excess }) => excess < 0);
        if (underAllocated.length === 0) {
            return;
        }
        const hasFreeCredits = sum([...this.allocations.values()].map(({ credits }) => credits)) < limit;
        const toNotify = hasFreeCredits ? underAllocated : entries.filter(({ excess }) => excess > 0);
        for (const { instanceId } of toNotify) {
            if (instanceId !== requester) {
                this.onRebalance(instanceId);
            }
        }
    }

    private sumDemands(): number {
        return sum([...this.allocations.values()].map(({ demand }) => demand.online + demand.spare + demand.batch));
    }

    private sumOthers(instanceId: string): number {
        return sum(
            [...this.allocations].filter(([id]) => id !== instanceId).map(([, allocation]) => allocation.credits),
        );
    }

    /** Members without a valid allocation may be using their fallback credits. */
    private sumFallbackCredits(requester: string, members: readonly string[], limit: number): number {
        const unreachable = members.filter(member => member !== requester && !this.allocations.has(member));
        return sum(unreachable.map(member => getFallbackCredits(this.endpoint, limit, members, member)));
    }

    private dropExpired(): void {
        const nowMs = monotonicMs();
        for (const [instanceId, allocation] of this.allocations) {
            if (allocation.expiresAtMs <= nowMs) {
                this.allocations.delete(instanceId);
            }
        }
    }
}

/**
 * Divides a total among demands with max-min fairness, in whole units: no share exceeds its demand, and the smallest
 * shares are as large as possible.
 *
 * @param demands - The demands.
 * @param total - The total to divide.
 * @param rotation - Decides which of several equal demands is served first.
 * @returns The share of each demand.
 */
export function computeMaxMinShares(demands: readonly number[], total: number, rotation = 0): number[] {
    const shares = demands.map(() => 0);
    const rank = (index: number) => (index + rotation) % demands.length;
    const order = demands
        .map((_, index) => index)
        .sort((left, right) => (demands[left] ?? 0) - (demands[right] ?? 0) || rank(left) - rank(right));
    let remaining = total;
    for (const [served, index] of order.entries()) {
        const equalShare = Math.ceil(remaining / (order.length - served));
        const share = Math.min(demands[index] ?? 0, equalShare, remaining);
        shares[index] = share;
        remaining -= share;
    }
    return shares;
}

/**
 * The part of an endpoint's limit that an instance may use while it can't reach the owner. The fallback credits of all
 * members add up to the limit.
 *
 * @param endpoint - The endpoint.
 * @param limit - Its limit.
 * @param members - All members of the endpoint's data centre.
 * @param instanceId - The instance.
 * @returns Number of fallback credits; 0 if the instance isn't a member.
 */
export function getFallbackCredits(
    endpoint: string,
    limit: number,
    members: readonly string[],
    instanceId: string,
): number {
    const rank = rankByRendezvous(endpoint, members).indexOf(instanceId);
    if (rank < 0) {
        return 0;
    }
    return Math.floor(limit / members.length) + (rank < limit % members.length ? 1 : 0);
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
