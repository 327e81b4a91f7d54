import type { Logger } from "@heatherline/common";
import type { HeldPlace } from "@heatherline/fleet";
import type { EndpointSender } from "../endpoints/endpointClient";

/** What the check depends on. */
export interface CrashCheckDependencies {
    readonly endpoints: EndpointSender;
    readonly logger: Logger;
}

/**
 * Reports a crash if the endpoint of a place crashed: it accepts no connections then; one that only lost this one does.
 *
 * @param deps - What the check depends on.
 * @param place - The place.
 * @param requestId - The request that ran there.
 */
export async function reportIfCrashed(
    { endpoints, logger }: CrashCheckDependencies,
    place: HeldPlace,
    requestId: string | undefined,
): Promise<void> {
    const { endpoint } = place;
    const fault = await endpoints.findFault(endpoint);
    if (fault === "endpoint") {
        place.reportCrash();
    }
    const { endpointId } = endpoint;
    logger.info({ event: "endpoint-checked", endpoint: endpointId, requestId, isListening: fault === "none", fault });
}
