import type { EndpointEntry, MemberEntry, PlaceOutcome, PlaceRequest, RequestEnd } from "../../packages/fleet/src";

/** The one service of replays. */
export const SERVICE = "model";

/** Faults that are active now; the replay changes them. */
export interface Conditions {
    /** Requests a second that a cold endpoint takes; 0 while none is cold. */
    coldRatePerS: number;
    /** The data centre that is cut off from the others. */
    cutDataCentre: string | undefined;
    /** Instances that have been killed and not restarted yet. */
    readonly deadInstances: Set<string>;
}

/** What a placement strategy needs from the replay. */
export interface PlacementDependencies {
    readonly members: readonly MemberEntry[];
    readonly conditions: Conditions;
    /**
     * Preempts the batch item at a place; the replay releases the place when the item has stopped.
     *
     * @param placeId - The place.
     */
    preempt(placeId: string): void;
}

/** A way to divide endpoints among the instances. */
export interface PlacementStrategy {
    readonly name: string;
    /** Messages between instances so far. */
    readonly messageCount: number;
    /**
     * Places a request, which may have to wait in a queue.
     *
     * @param request - Place request of one instance.
     * @returns The place, or a refusal.
     */
    place(request: PlaceRequest): Promise<PlaceOutcome>;
    /**
     * Releases a place, so that its slot is free for another request.
     *
     * @param placeId - The place.
     * @param end - How the request there ended.
     */
    release(placeId: string, end: RequestEnd): void;
    /**
     * Replaces the set of endpoints.
     *
     * @param entries - The endpoints from now on.
     */
    setEndpoints(entries: readonly EndpointEntry[]): void;
    /** Kills the instance that places requests for others, if the strategy has one. */
    killCoordinator(): void;
    /** Places waiting requests where changed {@link Conditions} now allow it. */
    onConditionsChanged(): void;
    /** Refuses all waiting requests, at the end of the replay. */
    refuseWaiting(): void;
}

/** Creates a placement strategy. */
export type NewPlacementStrategy = (deps: PlacementDependencies) => PlacementStrategy;
