import type { Logger } from "@heatherline/common";
import type { HedgeDelays, PlacementClient } from "@heatherline/fleet";
import type { Admission } from "../callers/admission";
import type { EndpointSender } from "../endpoints/endpointClient";
import type { HeldBodies } from "../heldBodies";
import type { GatewayMetrics } from "../metrics";
import type { WireCodec } from "../wireCodec";
import type { CallerBuffers } from "./callerBuffer";

/** What the handling of online requests depends on. */
export interface OnlineDependencies {
    readonly admission: Admission;
    readonly placement: PlacementClient;
    readonly endpoints: EndpointSender;
    readonly wire: WireCodec;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Holds responses for callers that read slowly; without it, endpoints wait for them. */
    readonly callerBuffers?: CallerBuffers | undefined;
    /** Counts the error responses that are kept while requests are sent again; absent where they are not counted. */
    readonly bodies?: HeldBodies | undefined;
    /** Says when a request is slow, so that it is sent to a second endpoint; absent if none is. */
    readonly hedgeDelays?: HedgeDelays | undefined;
}
