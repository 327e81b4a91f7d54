import type { PlaceRequestOptions, Route } from "@heatherline/fleet";

/** Timeout of a place request; the item then requests a place again, with its queue position recomputed. */
const PLACE_REQUEST_TIMEOUT_MS = 4_000;

/** A batch item that needs a place. */
export interface PlaceableItem extends Pick<PlaceRequestOptions, "remainingMs" | "dueInMs"> {
    readonly organisation: string;
    /** Sum of the prompt tokens and the maximum of output tokens. */
    readonly tokens: number;
}

/**
 * @param route - Route of the item's job.
 * @param service - The service that the item goes to.
 * @param item - The item.
 * @returns The part of its place request that follows from these.
 */
export function newItemPlaceOptions(
    route: Route,
    service: string,
    { organisation, remainingMs, dueInMs, tokens }: PlaceableItem,
): Omit<PlaceRequestOptions, "fingerprint" | "signal"> {
    return {
        service,
        workClass: "batch",
        organisation,
        priority: route.priority,
        usefulForMs: PLACE_REQUEST_TIMEOUT_MS,
        targetLatencyMs: PLACE_REQUEST_TIMEOUT_MS,
        giveUpAfterMs: PLACE_REQUEST_TIMEOUT_MS,
        remainingMs,
        dueInMs,
        allowedRegions: route.allowedRegions,
        route: route.name,
        promptTokens: tokens,
        rate: undefined,
    };
}
