import type { HeldPlace, RequestEnd, ResponseFigures } from "@heatherline/fleet";
import type { EndpointSender } from "../endpoints/endpointClient";

/** How a request that held a place ended. */
export interface PlaceEnd {
    readonly end: RequestEnd;
    /** Whether the endpoint is blamed for having sent nothing. */
    readonly wasSilent: boolean;
    /** Time from the grant of the place to the first part of the response. */
    readonly firstResponseMs?: number | undefined;
    /** Whether the endpoint produced enough to show that the request doesn't crash it. */
    readonly hasResponded?: boolean;
    /** What else is known of the response, such as that it broke although the endpoint's health isn't blamed for it. */
    readonly figures?: ResponseFigures | undefined;
}

/**
 * Releases a place. An endpoint is blamed for a broken connection or for silence only if the fault isn't this instance's
 * own link, since whoever grants places pauses a blamed endpoint for all instances.
 *
 * @param place - The place.
 * @param placeEnd - How the request there ended.
 * @param endpoints - Finds out where the fault is.
 */
export async function releasePlace(place: HeldPlace, placeEnd: PlaceEnd, endpoints: EndpointSender): Promise<void> {
    const { end, wasSilent, firstResponseMs, hasResponded, figures } = placeEnd;
    const needsCheck = end === "broken" || wasSilent;
    const isLinkFault = needsCheck && await endpoints.findFault(place.endpoint) === "link";
    // What this instance's own link broke is no failure of the endpoint's version.
    const known = isLinkFault || figures === undefined ? [] : [figures];
    place.release(isLinkFault ? "lost" : end, firstResponseMs, hasResponded, ...known);
}
