import { sleep } from "@heatherline/common";
import { getSoftwareVersion, type SoftwareVersions } from "./softwareVersions";
import { StreamOrigins } from "./streamOrigins";
import type { EndpointEntry, PlaceOutcome, PlaceRequest, StreamOrigin, StreamOriginReport } from "./types";

const POLL_INTERVAL_MS = 20;

/** A place request that may be decided, or the refusal of one that can't be. */
export type LocatedRequest =
    | { readonly kind: "located"; readonly request: PlaceRequest; readonly origin?: StreamOrigin | undefined; }
    | { readonly kind: "refused"; readonly outcome: Extract<PlaceOutcome, { kind: "refused"; }>; };

/**
 * Finds where the stream began that a request goes on with, and restricts the request to that service and that software
 * version.
 */
export class StreamLocator {
    private readonly origins: StreamOrigins;

    /**
     * @param versions - Which versions have served lately.
     */
    constructor(private readonly versions: SoftwareVersions) {
        this.origins = new StreamOrigins(() => versions.retentionMs);
    }

    /**
     * Restricts a request if the origin of its stream is recorded; its restriction then needs no other record.
     *
     * @param request - A request.
     * @returns The request, or a refusal if its route no longer leads to where the stream began.
     */
    locateByRecord(request: PlaceRequest): LocatedRequest {
        const origin = this.origins.get(request.resumedStream?.requestId ?? "");
        if (origin === undefined) {
            return { kind: "located", request };
        }
        const located = restrict(request, origin);
        return located.kind === "refused"
            ? located
            : { ...located, request: { ...located.request, resumedStream: undefined } };
    }

    /**
     * Restricts a request by what is recorded, or because only one version can have begun its stream.
     *
     * @param request - A request.
     * @param retryAfterMs - Time after which an unknown origin may be known; 0 if it never will be.
     * @returns The request; a refusal if its stream can't go on.
     */
    locate(request: PlaceRequest, retryAfterMs: number): LocatedRequest {
        if (request.resumedStream === undefined) {
            return { kind: "located", request };
        }
        const origin = this.findOrigin(request);
        if (origin !== undefined) {
            return restrict(request, origin);
        }
        const detail = `where the stream of request ${request.resumedStream.requestId} began is not known`;
        return { kind: "refused", outcome: { kind: "refused", reason: "origin-unknown", retryAfterMs, detail } };
    }

    /**
     * Waits until the origin of the request's stream is known.
     *
     * @param request - A request.
     * @param waitMs - Longest wait in milliseconds; none if negative.
     */
    async waitForOrigin(request: PlaceRequest, waitMs: number): Promise<void> {
        const untilMs = performance.now() + waitMs;
        while (
            request.resumedStream !== undefined && this.findOrigin(request) === undefined
            && performance.now() < untilMs
        ) {
            await sleep(POLL_INTERVAL_MS);
        }
    }

    /**
     * Records where a placed request runs, under its own id and, if it goes on with another request's stream, under that
     * one's.
     *
     * @param request - The request, as it was placed.
     * @param endpoint - Where it was placed.
     * @returns What was recorded; without ids if nothing was.
     */
    record({ streamId, resumedStream }: PlaceRequest, endpoint: EndpointEntry): StreamOriginReport {
        const origin = { service: endpoint.service, softwareVersion: getSoftwareVersion(endpoint) };
        const requestIds = [streamId ?? "", resumedStream?.requestId ?? ""].filter(requestId => requestId !== "");
        requestIds.forEach(requestId => this.origins.record(requestId, origin));
        return { ...origin, requestIds };
    }

    /**
     * @param reports - Where streams began that others granted places for.
     */
    adopt(reports: readonly StreamOriginReport[]): void {
        this.origins.adopt(reports);
    }

    /** @returns Where recent streams began. */
    getReports(): StreamOriginReport[] {
        return this.origins.getReports();
    }

    private findOrigin({ resumedStream }: PlaceRequest): StreamOrigin | undefined {
        const { requestId = "", services = [] } = resumedStream ?? {};
        const [service = ""] = services;
        const soleVersion = services.length === 1 ? this.versions.getSole(service) : undefined;
        const soleOrigin = soleVersion === undefined ? undefined : { service, softwareVersion: soleVersion };
        return this.origins.get(requestId) ?? soleOrigin;
    }
}

/**
 * @param request - A request.
 * @returns Whether it goes on with a stream, of which its caller would lose what it has received.
 */
export function isResumption({ workClass, resumedStream, softwareVersion }: PlaceRequest): boolean {
    return workClass === "online" && (resumedStream !== undefined || softwareVersion !== undefined);
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

function restrict(request: PlaceRequest, origin: StreamOrigin): LocatedRequest {
    const { service, softwareVersion } = origin;
    return request.resumedStream?.services.includes(service) === true
        ? { kind: "located", request: { ...request, service, softwareVersion }, origin }
        : { kind: "refused", outcome: newVersionGoneRefusal(origin) };
}
