import { getTokens } from "./endpointMemory";
import type { PlaceRequest, WorkClass } from "./types";

/** A place in use. */
export interface Place {
    readonly placeId: string;
    readonly endpointId: string;
    readonly instanceId: string;
    readonly service: string;
    readonly workClass: WorkClass;
    readonly organisation: string;
    /** Name of the request's route, if known. */
    readonly route?: string | undefined;
    readonly grantedAtMs: number;
    readonly dueAtMs: number;
    /** Batch: when the item is expected to be finished. */
    readonly finishAtMs: number;
    /** Prompt tokens and maximum of output tokens. */
    readonly tokens?: number | undefined;
    /** Online: tokens of the prompt; absent from instances of earlier releases and for places that others granted. */
    readonly promptTokens?: number | undefined;
    /** Whether the batch item has been asked to release the place. */
    isPreempted: boolean;
}

/**
 * @param request - The place request.
 * @param placeId - Id of the place.
 * @param endpointId - Endpoint of the place.
 * @returns The place, granted now.
 */
export function newPlace(request: PlaceRequest, placeId: string, endpointId: string): Place {
    const nowMs = performance.now();
    return {
        placeId,
        endpointId,
        instanceId: request.instanceId,
        service: request.service,
        workClass: request.workClass,
        organisation: request.organisation,
        route: request.route,
        grantedAtMs: nowMs,
        dueAtMs: nowMs + request.dueInMs,
        finishAtMs: nowMs + request.remainingMs,
        tokens: getTokens(request),
        promptTokens: request.work?.promptTokens,
        isPreempted: false,
    };
}
