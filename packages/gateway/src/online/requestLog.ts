import type { Logger, ResponseEnd } from "@heatherline/common";
import type { HeldPlace } from "@heatherline/fleet";
import type { GatewayMetrics } from "../metrics";
import type { ExchangePlaces } from "./exchangePlaces";
import type { OnlineRequest } from "./onlineRequest";
import type { StreamRelay } from "./responseRelay";

/** What is logged of an attempt without a response for the caller. */
export interface EndedAttempt {
    readonly place: HeldPlace;
    readonly end: string;
    readonly reason: string;
    /** Why this instance aborted it; `undefined` if it didn't. */
    readonly abortedFor: string | undefined;
    readonly bodyEnd: ResponseEnd | undefined;
    readonly mayRetry: boolean;
}

/**
 * Logs the end of an attempt.
 *
 * @param logger - The log.
 * @param request - The request.
 * @param relay - Relays the request's stream.
 * @param attempt - The attempt.
 */
export function logEndedAttempt(
    logger: Logger,
    { caller }: OnlineRequest,
    relay: StreamRelay,
    { place, end, reason, abortedFor, bodyEnd, mayRetry }: EndedAttempt,
): void {
    logger.info({
        event: "attempt-ended",
        requestId: caller.requestId,
        endpoint: place.endpoint.endpointId,
        softwareVersion: place.endpoint.softwareVersion,
        end,
        reason,
        abortedFor,
        events: relay.eventCount,
        ...relay.responseEnd ?? bodyEnd,
        quietMs: Math.round(relay.quietMs),
        mayRepeat: mayRetry,
        promptParts: caller.sharedPromptParts.join(),
    });
}

/** How a request ended. */
export interface RequestEndLine {
    readonly outcome: string;
    readonly status: number;
    readonly reason: string;
    readonly detail: string;
    readonly attempts: number;
    /** The place of the latest attempt. */
    readonly place: HeldPlace | undefined;
    readonly bodyEnd: ResponseEnd | undefined;
}

/** What is needed for the line about a request. */
export interface RequestLogContext {
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
    readonly request: OnlineRequest;
    readonly relay: StreamRelay;
    readonly places: ExchangePlaces;
}

/**
 * Logs the end of a request, and counts it.
 *
 * @param context - What is needed for it.
 * @param line - How the request ended.
 */
export function logRequest(
    { logger, metrics, request, relay, places }: RequestLogContext,
    { place, bodyEnd, ...line }: RequestEndLine,
): void {
    const { caller, arrivedAtMs } = request;
    const { route, organisation, configVersion } = places.admitted;
    const durationMs = Math.round(performance.now() - arrivedAtMs);
    metrics.recordRequest(route.kind, line.outcome, line.reason, durationMs);
    logger.info({
        event: "request",
        requestId: caller.requestId,
        route: route.name,
        kind: route.kind,
        organisation: organisation?.name,
        configVersion,
        ...line,
        endpoint: place?.endpoint.endpointId ?? "",
        softwareVersion: place?.endpoint.softwareVersion,
        resumes: caller.resumedRequestId,
        resumedAfter: caller.lastEventId,
        ...places.lastPlace,
        events: relay.eventCount,
        ...relay.responseEnd ?? bodyEnd,
        placedAfterMs: places.placedAfterMs,
        durationMs,
    });
}
