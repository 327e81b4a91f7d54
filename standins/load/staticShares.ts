import {
    Dispatcher,
    type EndpointEntry,
    FallbackShares,
    type MemberEntry,
    type Place,
    type PlaceOutcome,
    type PlaceRequest,
    type RateBounds,
    type RequestEnd,
    TokenBuckets,
} from "../../packages/fleet/src";
import { SLOTS_PER_ENDPOINT } from "./pattern";
import type { PlacementDependencies, PlacementStrategy } from "./strategy";

/** Tokens of one organisation with which all instances together start. */
const START_TOKENS = 12;
/** Largest burst of one organisation at an instance, in tokens. */
const MAX_BURST = 1.5;

/**
 * Strategy without a coordinator: each instance admits requests against its own static share of each endpoint's slots
 * and of each rate limit. The other strategies use it as their fallback mode.
 */
export class StaticShares implements PlacementStrategy {
    readonly name: string = "static parts";
    messageCount = 0;
    protected readonly fallbackDispatchers: ReadonlyMap<string, Dispatcher>;
    /** Places that a shared queue granted; they count against the static share of the instance that holds them. */
    protected readonly coordinatedPlaces = new Map<string, Place>();
    protected readonly shares: FallbackShares;
    private readonly fallbackRates: ReadonlyMap<string, TokenBuckets>;

    /**
     * @param deps - Instances and conditions.
     */
    constructor(protected readonly deps: PlacementDependencies) {
        const { members } = deps;
        this.shares = new FallbackShares(members);
        this.fallbackDispatchers = new Map(members.map(member => [
            member.instanceId,
            this.newDispatcher(entry => this.getFallbackCapacity(entry, member)),
        ]));
        this.fallbackRates = new Map(members.map(({ instanceId }, index) => [
            instanceId,
            new TokenBuckets(
                bounds => divideRate(bounds, members.length),
                () => index < START_TOKENS ? 1 : 0,
            ),
        ]));
    }

    place(request: PlaceRequest): Promise<PlaceOutcome> {
        return this.placeInFallbackMode(request);
    }

    release(placeId: string, end: RequestEnd): void {
        for (const dispatcher of this.fallbackDispatchers.values()) {
            dispatcher.release(placeId, end);
        }
    }

    setEndpoints(entries: readonly EndpointEntry[]): void {
        this.fallbackDispatchers.forEach(dispatcher => dispatcher.setEndpoints(entries));
    }

    killCoordinator(): void {
        // There is no coordinator.
    }

    onConditionsChanged(): void {
        this.fallbackDispatchers.forEach(dispatcher => dispatcher.dispatchAll());
    }

    refuseWaiting(): void {
        this.fallbackDispatchers.forEach(dispatcher => dispatcher.refuseAll("over"));
    }

    protected async placeInFallbackMode(request: PlaceRequest): Promise<PlaceOutcome> {
        const refusal = takeRateToken(this.fallbackRates.get(request.instanceId) as TokenBuckets, request);
        return refusal ?? (this.fallbackDispatchers.get(request.instanceId) as Dispatcher).place(request);
    }

    protected newDispatcher(getCapacity: (entry: EndpointEntry) => number): Dispatcher {
        return new Dispatcher({
            getCapacity,
            getLimitPerS: () => undefined,
            getStreamDelayMs: () => 0,
            getColdRatePerS: entry => this.deps.conditions.coldRatePerS * getCapacity(entry) / SLOTS_PER_ENDPOINT,
            getRegion: () => "",
            preempt: ({ placeId }) => this.deps.preempt(placeId),
        });
    }

    protected isCutOff(dataCentre: string, from: string): boolean {
        const { cutDataCentre } = this.deps.conditions;
        return dataCentre !== from && (dataCentre === cutDataCentre || from === cutDataCentre);
    }

    private getFallbackCapacity(entry: EndpointEntry, { instanceId, dataCentre }: MemberEntry): number {
        if (this.isCutOff(entry.dataCentre, dataCentre)) {
            return 0;
        }
        const taken = [...this.coordinatedPlaces.values()]
            .filter(place => place.endpointId === entry.endpointId && place.instanceId === instanceId);
        return Math.max(0, this.shares.getSlots(entry, instanceId) - taken.length);
    }
}

function divideRate(bounds: RateBounds, instanceCount: number): RateBounds {
    return {
        ratePerS: bounds.ratePerS / instanceCount,
        burst: Math.max(1, Math.min(MAX_BURST, bounds.burst / instanceCount)),
    };
}

/**
 * @param rates - Buckets.
 * @param request - A request.
 * @returns A refusal where the organisation has no token left.
 */
export function takeRateToken(rates: TokenBuckets, { organisation, rate }: PlaceRequest): PlaceOutcome | undefined {
    const decision = rate === undefined ? undefined : rates.take(organisation, rate);
    return decision?.isTaken === false
        ? { kind: "refused", reason: "rate-limited", retryAfterMs: decision.retryAfterMs, detail: "" }
        : undefined;
}
