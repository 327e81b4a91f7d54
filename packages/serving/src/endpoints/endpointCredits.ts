import type { EndpointSpec } from "@heatherline/config";
import type { WorkClass } from "../exchange";
import type { CreditGrant } from "./creditAllocator";
import type { HealthEvent } from "./warmUpLimiter";

/** What a credit pool knows of one endpoint. */
export interface EndpointCredits {
    readonly endpoint: string;
    readonly service: string;
    spec: EndpointSpec;
    grant: CreditGrant | undefined;
    validUntilMs: number;
    readonly outstanding: Record<WorkClass, number>;
    /** Decaying maximum of the online requests that run there. */
    recentOnline: number;
    events: HealthEvent[];
    startMark: string | undefined;
    meanFirstByteMs: number | undefined;
    exclusiveRequests: number;
    /** Functions that preempt the batch items that run there, oldest item first. */
    readonly preemptions: (() => void)[];
}

/**
 * @param endpoint - Identity of the endpoint.
 * @param service - Its service.
 * @param spec - Its configuration.
 * @returns An entry without credits.
 */
export function newEndpointCredits(endpoint: string, service: string, spec: EndpointSpec): EndpointCredits {
    return {
        endpoint,
        service,
        spec,
        grant: undefined,
        validUntilMs: 0,
        outstanding: { online: 0, batch: 0 },
        recentOnline: 0,
        events: [],
        startMark: undefined,
        meanFirstByteMs: undefined,
        exclusiveRequests: 0,
        preemptions: [],
    };
}

/**
 * @param entry - An endpoint.
 * @returns Number of this instance's requests that run there.
 */
export function countOutstanding(entry: EndpointCredits): number {
    return entry.outstanding.online + entry.outstanding.batch;
}
