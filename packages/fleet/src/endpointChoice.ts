import type { PlaceRequest } from "./types";

/** Added to the load (0 to 1) of an endpoint in another data centre, so that local ones are used until they are full. */
const REMOTE_COST = 1;
/** Added to the load of an endpoint that fails all requests; one that fails some is used when better ones are full. */
const FAILURE_COST = 4;
/** How much the speed of endpoints counts for batch items: they leave the fast ones to online requests. */
const BATCH_URGENCY = -0.5;
/** The same for online requests with a loose objective. */
const LOOSE_URGENCY = 0.5;

/**
 * @param request - A request.
 * @param tightestTargetMs - Latency objective of the service's most urgent requests.
 * @returns How much the speed of endpoints counts for it, 1 for the most urgent requests.
 */
export function getUrgency({ workClass, targetLatencyMs }: PlaceRequest, tightestTargetMs: number): number {
    if (workClass === "batch") {
        return BATCH_URGENCY;
    }
    return LOOSE_URGENCY + (1 - LOOSE_URGENCY) * Math.min(1, tightestTargetMs / Math.max(1, targetLatencyMs));
}

/**
 * @param load - Running requests per slot.
 * @param isRemote - Whether the endpoint is in another data centre than the request.
 * @param failureRate - Fraction of its requests that failed.
 * @param slowness - Factor on the service's mean time that is expected of the endpoint.
 * @param urgency - How much this counts for the request.
 * @returns The cost of the endpoint, in times of a mean response at an idle endpoint; the lowest is chosen. An engine
 * that is full takes about twice as long, and another data centre costs as much. With a slowness of 1 it is the load and
 * these two additions.
 */
export function getCost(
    load: number,
    isRemote: boolean,
    failureRate: number,
    slowness: number,
    urgency: number,
): number {
    const speedCost = slowness === 1 ? load : (1 + urgency * (slowness - 1)) * (1 + load) - 1;
    return speedCost + (isRemote ? REMOTE_COST : 0) + failureRate * FAILURE_COST;
}
