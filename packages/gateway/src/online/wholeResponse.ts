import type { EndpointResponse } from "../endpoints/endpointClient";
import type { AttemptOutcome } from "./attemptOutcome";

const MIN_REDIRECT_STATUS = 300;
/** Responses with this status or a higher one count as failed. */
const MIN_FAILURE_STATUS = 500;
/** These tell callers that a request has not run; an endpoint says so with a header of its own. */
const NOT_EXECUTED_STATUSES = new Set([408, 429, 503]);

/**
 * @param response - A response that is no stream.
 * @param body - Its body; `undefined` if that is incomplete or too large.
 * @param hasStarted - Whether the caller has received a part of another response.
 * @returns Why the caller doesn't get it; `undefined` if it does.
 */
export function findWholeFault(
    { status, head, rawHeaders }: EndpointResponse,
    body: Buffer | undefined,
    hasStarted: boolean,
): Extract<AttemptOutcome, { kind: "ended"; }> | undefined {
    if (body === undefined || (status < MIN_REDIRECT_STATUS && !head.isSigned)) {
        const reason = body === undefined ? "the body is incomplete or too large" : "the response is not signed";
        return { kind: "ended", end: "broken", reason };
    }
    if (NOT_EXECUTED_STATUSES.has(status)) {
        return { kind: "ended", end: "failed", reason: `status ${status}, though it may have run` };
    }
    if (status >= MIN_FAILURE_STATUS || hasStarted) {
        return { kind: "ended", end: "failed", reason: `status ${status}`, failure: { status, rawHeaders, body } };
    }
    return undefined;
}
