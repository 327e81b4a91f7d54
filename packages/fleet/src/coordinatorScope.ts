import type { FallbackShares } from "./fallbackShares";
import { getTakeoverStartTokens, scaleRateBounds } from "./fallbackShares";
import type { FleetView } from "./fleetView";
import { TokenBuckets } from "./tokenBuckets";
import type { EndpointEntry, MemberEntry, RateBounds, RateTolerance } from "./types";

/** What a coordinator may grant: to which instances, and which part of each endpoint and rate. */
export interface CoordinatorScope {
    /** Rates of all organisations, as far as this coordinator may admit requests to them. */
    readonly tokenBuckets: TokenBuckets;
    /** @returns The instances that it decides for. */
    getMembers(): readonly MemberEntry[];
    /**
     * @param instanceIds - Instances that it decides for and doesn't reach, which may use their shares on their own.
     */
    setSilentInstances(instanceIds: ReadonlySet<string>): void;
    /**
     * @param entry - An endpoint.
     * @returns Concurrent requests that it may be sent.
     */
    getCapacity(entry: EndpointEntry): number;
    /**
     * @param entry - An endpoint.
     * @returns Which fraction of the requests per second that the endpoint takes it may be sent.
     */
    getRateFraction(entry: EndpointEntry): number;
}

/** The scope of the fleet's coordinator: everything but the shares of instances that it doesn't reach. */
export class FleetScope implements CoordinatorScope {
    readonly tokenBuckets: TokenBuckets;
    private silentIds: ReadonlySet<string> = new Set();

    /**
     * @param view - Fleet view.
     * @param epoch - Epoch of the coordinator; 1 is the fleet's first one, before which no tokens were taken.
     * @param getRateTolerance - Returns how far rates may be exceeded.
     */
    constructor(private readonly view: FleetView, epoch: number, getRateTolerance: () => RateTolerance) {
        this.tokenBuckets = new TokenBuckets(
            bounds => this.scaleRate(bounds),
            bounds => epoch === 1 ? bounds.burst : getTakeoverStartTokens(bounds, getRateTolerance()),
        );
    }

    getMembers(): readonly MemberEntry[] {
        return this.view.members;
    }

    setSilentInstances(instanceIds: ReadonlySet<string>): void {
        this.silentIds = instanceIds;
    }

    getCapacity(entry: EndpointEntry): number {
        return Math.max(0, entry.slots - this.shares.sumSlots(entry, this.silentIds));
    }

    getRateFraction(entry: EndpointEntry): number {
        return 1 - this.shares.getSharerFraction(entry, this.silentIds);
    }

    private get shares(): FallbackShares {
        return this.view.fallbackShares;
    }

    private scaleRate(bounds: RateBounds): RateBounds {
        const memberCount = Math.max(1, this.view.members.length);
        const liveFraction = 1 - this.shares.sumFractions(this.silentIds);
        return {
            ratePerS: Math.max(bounds.ratePerS * liveFraction, bounds.ratePerS / memberCount),
            burst: bounds.burst,
        };
    }
}

/**
 * The scope of a data centre's deputy: the endpoints of the data centre and its part of each rate, for instances that
 * reach the deputy and no coordinator.
 */
export class DataCentreScope implements CoordinatorScope {
    readonly tokenBuckets: TokenBuckets;
    private silentIds: ReadonlySet<string> = new Set();

    /**
     * @param view - Fleet view.
     * @param dataCentre - The data centre.
     */
    constructor(private readonly view: FleetView, private readonly dataCentre: string) {
        this.tokenBuckets = new TokenBuckets(
            bounds => {
                const { fallbackShares } = view;
                const fraction = fallbackShares.getDeputyFraction(dataCentre);
                return scaleRateBounds(bounds, fraction, fallbackShares.getDeputyStartTokens());
            },
            () => view.fallbackShares.getDeputyStartTokens(),
        );
    }

    getMembers(): readonly MemberEntry[] {
        return this.view.members.filter(({ dataCentre }) => dataCentre === this.dataCentre);
    }

    setSilentInstances(instanceIds: ReadonlySet<string>): void {
        this.silentIds = instanceIds;
    }

    getCapacity(entry: EndpointEntry): number {
        const isOwn = entry.dataCentre === this.dataCentre;
        return isOwn ? Math.max(0, entry.slots - this.view.fallbackShares.sumSlots(entry, this.silentIds)) : 0;
    }

    getRateFraction(entry: EndpointEntry): number {
        return 1 - this.view.fallbackShares.getSharerFraction(entry, this.silentIds);
    }
}
