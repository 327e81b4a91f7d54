import { LayerError } from "@heatherline/common";

/** Error codes that callers see; docs/CALLERS.md explains each. */
export type RefusalCode =
    | "bad-request"
    | "body-too-large"
    | "bad-deadline"
    | "deadline-passed"
    | "deadline-unreachable"
    | "not-found"
    | "method-not-allowed"
    | "model-not-found"
    | "key-missing"
    | "key-invalid"
    | "key-withdrawn"
    | "organisation-not-allowed"
    | "rate-limited"
    | "limit-unavailable"
    | "quarantined"
    | "idempotency-mismatch"
    | "idempotency-unavailable"
    | "already-running"
    | "outcome-unknown"
    | "no-endpoint"
    | "queue-full"
    | "endpoint-failed"
    | "caller-gone"
    | "store-unavailable"
    | "shutting-down"
    | "internal";

/**
 * Whether a request did not run at an endpoint: `true` if it certainly did not, `false` if it did, `unknown` if it may
 * have run.
 */
export type NotRun = true | false | "unknown";

/** The error response to a request that gets no response from an endpoint. */
export class Refusal extends LayerError<RefusalCode> {
    /**
     * @param kind - Stable error code.
     * @param status - HTTP status.
     * @param message - One sentence for the caller.
     * @param notRun - Whether the request certainly did not run.
     * @param retryAfterMs - Time after which a retry makes sense, in milliseconds; absent if none does.
     * @param cause - The underlying error; never shown to callers.
     */
    constructor(
        kind: RefusalCode,
        readonly status: number,
        message: string,
        readonly notRun: NotRun,
        readonly retryAfterMs?: number,
        cause?: unknown,
    ) {
        super("serving", kind, message, cause);
    }
}

/**
 * - `refused`: no connection; the request was not sent.
 * - `reset`: the connection was lost after bytes may have been sent.
 * - `overloaded`: the endpoint rejected an idempotent request because of overload, with status 429 or 503; very likely
 *   it did not run, but callers are told that this is unknown.
 * - `timeout`: no response in time; not reported by `HttpDispatcher`, which leaves this to the exchange's deadline.
 * - `truncated`: the response ended early.
 * - `stray`: the response belongs to another request.
 * - `aborted`: the request was aborted by this instance.
 */
export type DispatchErrorKind = "refused" | "reset" | "overloaded" | "timeout" | "truncated" | "stray" | "aborted";

/** An error of one attempt at one endpoint. */
export class DispatchError extends LayerError<DispatchErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param isSent - Whether bytes of the request may have reached the endpoint.
     * @param cause - The underlying error.
     */
    constructor(kind: DispatchErrorKind, message: string, readonly isSent: boolean, cause?: unknown) {
        super("dispatch", kind, message, cause);
    }
}

/**
 * - `no-endpoint`: no endpoint accepts the request now.
 * - `queue-full`: too many requests are waiting.
 * - `unreachable-deadline`: the expected wait exceeds the time until the deadline.
 * - `aborted`: the request was aborted while it waited.
 */
export type RoutingErrorKind = "no-endpoint" | "queue-full" | "unreachable-deadline" | "aborted";

/** An error of queueing and routing. */
export class RoutingError extends LayerError<RoutingErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param retryAfterMs - Time after which a retry makes sense, in milliseconds.
     */
    constructor(kind: RoutingErrorKind, message: string, readonly retryAfterMs: number) {
        super("routing", kind, message);
    }
}
