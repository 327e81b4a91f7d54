import type { SoftwareVersions } from "./softwareVersions";
import type { StreamOrigins } from "./streamOrigins";
import type { PlaceOutcome, PlaceRequest, ResumedStream, StreamOrigin } from "./types";

/** A place request that may be decided, or the refusal of one that can't be. */
export type LocatedRequest =
    | { readonly kind: "located"; readonly request: PlaceRequest; }
    | { readonly kind: "refused"; readonly outcome: Extract<PlaceOutcome, { kind: "refused"; }>; };

/**
 * @param stream - A stream that a caller takes up.
 * @param streams - Where recent streams began.
 * @param versions - Which versions have served lately.
 * @returns Where the stream began; `undefined` if that isn't certain.
 */
export function findOrigin(
    { requestId, services }: ResumedStream,
    streams: StreamOrigins,
    versions: SoftwareVersions,
): StreamOrigin | undefined {
    const recorded = streams.get(requestId);
    const [service = ""] = services;
    const soleVersion = services.length === 1 ? versions.getSole(service) : undefined;
    return recorded ?? (soleVersion === undefined ? undefined : { service, softwareVersion: soleVersion });
}

/**
 * Restricts a request that goes on with a stream to the service and the version that began it.
 *
 * @param request - The request.
 * @param origin - Where its stream began; `undefined` if that isn't certain.
 * @param retryAfterMs - Time after which that may be known; 0 if it never will be.
 * @returns The restricted request; a refusal if the stream can't go on.
 */
export function locateRequest(
    request: PlaceRequest,
    origin: StreamOrigin | undefined,
    retryAfterMs = 0,
): LocatedRequest {
    const { resumedStream } = request;
    if (resumedStream === undefined) {
        return { kind: "located", request };
    }
    if (origin === undefined) {
        const detail = `where the stream of request ${resumedStream.requestId} began is not known`;
        return { kind: "refused", outcome: { kind: "refused", reason: "origin-unknown", retryAfterMs, detail } };
    }
    if (!resumedStream.services.includes(origin.service)) {
        return { kind: "refused", outcome: newVersionGoneRefusal(origin) };
    }
    const { service, softwareVersion } = origin;
    return { kind: "located", request: { ...request, service, softwareVersion } };
}

/**
 * @param origin - Where a stream began.
 * @returns The refusal of a request that is to go on with it, where nothing can.
 */
export function newVersionGoneRefusal(
    { service, softwareVersion }: StreamOrigin,
): Extract<PlaceOutcome, { kind: "refused"; }> {
    const detail = `no endpoint of ${service} has version ${softwareVersion}, which began the stream`;
    return { kind: "refused", reason: "version-gone", retryAfterMs: 0, detail };
}

/**
 * Records where the stream of a placed request runs, under its own id and, if it goes on with another request's stream,
 * under that one's.
 *
 * @param streams - Where recent streams began.
 * @param request - The request, as it was placed.
 * @param origin - Where it was placed.
 * @returns The ids that were recorded.
 */
export function recordStream(
    streams: StreamOrigins,
    { streamId, resumedStream }: PlaceRequest,
    origin: StreamOrigin,
): string[] {
    const requestIds = [streamId, resumedStream?.requestId].filter(id => id !== undefined && id !== "") as string[];
    requestIds.forEach(requestId => streams.record(requestId, origin));
    return requestIds;
}
