import { rankByRendezvous } from "@heatherline/common";
import type { EndpointEntry, MemberEntry, RateBounds, RateTolerance } from "./types";

const MS_PER_S = 1_000;
/** Initial tokens of one organisation without a coordinator, summed over all deputies and instances. */
const FALLBACK_START_TOKENS = 12;
/** The part of `FALLBACK_START_TOKENS` for instances that reach no deputy either. */
const ALONE_START_TOKENS = 2;
/** Takeovers within one window that the tolerance is divided over. */
const TAKEOVERS_IN_WINDOW = 2;

interface DataCentreMembers {
    readonly instanceIds: ReadonlySet<string>;
    /** Takes the place of the coordinator while none is reachable. */
    readonly deputy: MemberEntry | undefined;
}

/**
 * Divides slots and rates for the time without a coordinator. Each data centre has a part of each rate and the slots of
 * its own endpoints. Its deputy uses them for the instances that reach it; a smaller part belongs to each instance
 * alone. The shares of instances that know the same members add up to no more than the whole under any partition.
 */
export class FallbackShares {
    private readonly byDataCentre = new Map<string, DataCentreMembers>();
    private readonly all: DataCentreMembers;
    private readonly dataCentreOf: ReadonlyMap<string, string>;
    /** By endpoint and its slots, the instances that get one slot more than the others. */
    private readonly remainderIds = new Map<string, ReadonlySet<string>>();

    /**
     * @param members - All registered instances.
     */
    constructor(members: readonly MemberEntry[]) {
        this.all = newDataCentreMembers("", members);
        this.dataCentreOf = new Map(members.map(({ instanceId, dataCentre }) => [instanceId, dataCentre]));
        for (const dataCentre of new Set(this.dataCentreOf.values())) {
            const own = members.filter(member => member.dataCentre === dataCentre);
            this.byDataCentre.set(dataCentre, newDataCentreMembers(dataCentre, own));
        }
    }

    /**
     * @param dataCentre - A data centre.
     * @returns The instance that places requests for the others there while they reach no coordinator.
     */
    getDeputy(dataCentre: string): MemberEntry | undefined {
        return this.byDataCentre.get(dataCentre)?.deputy;
    }

    /**
     * Divides an endpoint's slots among the instances of its data centre, or among all instances if there are none. The
     * remainder goes to other instances at each endpoint, so that each instance gets slots somewhere.
     *
     * @param entry - The endpoint.
     * @param instanceId - An instance.
     * @returns Concurrent requests that the instance may send to the endpoint on its own.
     */
    getSlots(entry: EndpointEntry, instanceId: string): number {
        const { instanceIds } = this.getSharers(entry);
        if (!instanceIds.has(instanceId)) {
            return 0;
        }
        return Math.floor(entry.slots / instanceIds.size) + (this.getRemainderIds(entry).has(instanceId) ? 1 : 0);
    }

    /**
     * @param entry - An endpoint.
     * @param instanceIds - Instances.
     * @returns Slots of the endpoint that they may use on their own, in total.
     */
    sumSlots(entry: EndpointEntry, instanceIds: ReadonlySet<string>): number {
        if (instanceIds.size === 0) {
            return 0;
        }
        let slots = 0;
        for (const instanceId of this.getSharers(entry).instanceIds) {
            slots += instanceIds.has(instanceId) ? this.getSlots(entry, instanceId) : 0;
        }
        return slots;
    }

    /**
     * @param entry - An endpoint.
     * @param instanceIds - Instances.
     * @returns Which fraction of the instances that share the endpoint they are.
     */
    getSharerFraction(entry: EndpointEntry, instanceIds: ReadonlySet<string>): number {
        const sharers = this.getSharers(entry).instanceIds;
        const count = [...sharers].filter(instanceId => instanceIds.has(instanceId)).length;
        return sharers.size === 0 ? 0 : count / sharers.size;
    }

    /**
     * @param instanceId - An instance.
     * @returns The fraction of each rate that it may use on its own.
     */
    getAloneFraction(instanceId: string): number {
        const dataCentre = this.dataCentreOf.get(instanceId);
        if (dataCentre === undefined) {
            return 0;
        }
        const count = this.getCount(dataCentre);
        return getAlonePart(count) / count / this.byDataCentre.size;
    }

    /**
     * @param dataCentre - A data centre.
     * @returns The fraction of each rate that its deputy may use: what the instances there don't use alone, and what it
     * would use alone itself.
     */
    getDeputyFraction(dataCentre: string): number {
        const { deputy } = this.byDataCentre.get(dataCentre) ?? {};
        if (deputy === undefined) {
            return 0;
        }
        const sharedPart = 1 - getAlonePart(this.getCount(dataCentre));
        return sharedPart / this.byDataCentre.size + this.getAloneFraction(deputy.instanceId);
    }

    /**
     * @param instanceIds - Instances that a coordinator doesn't reach.
     * @returns The fraction of each rate that they may use on their own or as deputies, in total.
     */
    sumFractions(instanceIds: ReadonlySet<string>): number {
        let fraction = 0;
        for (const instanceId of instanceIds) {
            const dataCentre = this.dataCentreOf.get(instanceId) ?? "";
            const isDeputy = this.getDeputy(dataCentre)?.instanceId === instanceId;
            fraction += isDeputy ? this.getDeputyFraction(dataCentre) : this.getAloneFraction(instanceId);
        }
        return fraction;
    }

    /**
     * Chooses at random whether an instance that decides alone starts with one token or none, so that all such instances
     * together start with about `ALONE_START_TOKENS`.
     *
     * @param random - Between 0 and 1.
     * @returns Tokens of an organisation.
     */
    getAloneStartTokens(random: number): number {
        return random * this.all.instanceIds.size < ALONE_START_TOKENS ? 1 : 0;
    }

    /** @returns Tokens of an organisation with which one deputy starts. */
    getDeputyStartTokens(): number {
        return (FALLBACK_START_TOKENS - ALONE_START_TOKENS) / Math.max(1, this.byDataCentre.size);
    }

    private getCount(dataCentre: string): number {
        return this.byDataCentre.get(dataCentre)?.instanceIds.size ?? 0;
    }

    private getSharers({ dataCentre }: EndpointEntry): DataCentreMembers {
        return this.byDataCentre.get(dataCentre) ?? this.all;
    }

    private getRemainderIds(entry: EndpointEntry): ReadonlySet<string> {
        const { endpointId, slots } = entry;
        const key = `${endpointId}/${slots}`;
        let remainderIds = this.remainderIds.get(key);
        if (remainderIds === undefined) {
            const { instanceIds } = this.getSharers(entry);
            remainderIds = new Set(rankByRendezvous(endpointId, [...instanceIds]).slice(0, slots % instanceIds.size));
            this.remainderIds.set(key, remainderIds);
        }
        return remainderIds;
    }
}

/**
 * @param bounds - Rate and burst over the whole fleet.
 * @param fraction - A fraction of it.
 * @param startTokens - Tokens that a bucket starts with.
 * @returns The fraction; the burst is at least the start tokens and the one token that a request needs.
 */
export function scaleRateBounds(bounds: RateBounds, fraction: number, startTokens: number): RateBounds {
    return { ratePerS: bounds.ratePerS * fraction, burst: Math.max(1, startTokens, bounds.burst * fraction) };
}

/**
 * A new coordinator doesn't know which tokens were taken just before, so its buckets start with no more than the
 * tolerance allows on top of a full window.
 *
 * @param bounds - Rate and burst over the whole fleet.
 * @param tolerance - How far admitted requests may exceed them.
 * @returns Tokens with which a bucket begins after a takeover.
 */
export function getTakeoverStartTokens(bounds: RateBounds, tolerance: RateTolerance): number {
    const regular = bounds.ratePerS * tolerance.windowMs / MS_PER_S + bounds.burst;
    const spare = regular * tolerance.overPart + tolerance.extraRequests - FALLBACK_START_TOKENS;
    return Math.max(0, Math.min(bounds.burst, spare / TAKEOVERS_IN_WINDOW));
}

/** The fewer instances a data centre has, the more of its part each can use alone. */
function getAlonePart(instanceCount: number): number {
    return 1 / Math.sqrt(instanceCount);
}

/** The deputy is the instance with the most CPU; rendezvous hashing breaks ties. */
function newDataCentreMembers(dataCentre: string, members: readonly MemberEntry[]): DataCentreMembers {
    const mostCpu = Math.max(0, ...members.map(({ processorShare }) => processorShare));
    const largest = members.filter(({ processorShare }) => processorShare === mostCpu);
    const [deputyId] = rankByRendezvous(dataCentre, largest.map(({ instanceId }) => instanceId));
    return {
        instanceIds: new Set(members.map(({ instanceId }) => instanceId)),
        deputy: largest.find(({ instanceId }) => instanceId === deputyId),
    };
}
