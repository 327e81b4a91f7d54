import { LayerError } from "@heatherline/common";

/** Codes of refusals and failures as callers see them; docs/CALLERS.md explains each. */
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

/** Whether the request was run by an endpoint: certain either way, or not known. */
export type NotRun = true | false | "unknown";

/** The final answer to a request that gets no answer from an endpoint. */
export class Refusal extends LayerError<RefusalCode> {
    /**
     * @param kind - Stable code.
     * @param status - HTTP status.
     * @param message - One sentence for the caller.
     * @param notRun - Whether the request certainly did not run.
     * @param retryAfterMs - When to come back, in milliseconds, where coming back makes sense.
     * @param cause - The error below; never shown to callers.
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
 * - `reset`: the connection broke after bytes may have been sent.
 * - `overloaded`: the endpoint answered that it can't take it; it did not run.
 * - `timeout`: no answer in time.
 * - `truncated`: the answer ended early.
 * - `stray`: the answer belongs to another request.
 * - `aborted`: given up by this side.
 */
export type DispatchErrorKind = "refused" | "reset" | "overloaded" | "timeout" | "truncated" | "stray" | "aborted";

/** An error of one attempt at one endpoint. */
export class DispatchError extends LayerError<DispatchErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for people.
     * @param isSent - Whether bytes of the request may have reached the endpoint.
     * @param cause - The error below.
     */
    constructor(kind: DispatchErrorKind, message: string, readonly isSent: boolean, cause?: unknown) {
        super("dispatch", kind, message, cause);
    }
}

/**
 * - `no-endpoint`: no endpoint may take the request now.
 * - `queue-full`: too many wait already.
 * - `unreachable-deadline`: the wait would outlast the deadline.
 * - `aborted`: given up while waiting.
 */
export type RoutingErrorKind = "no-endpoint" | "queue-full" | "unreachable-deadline" | "aborted";

/** An error of queueing and routing. */
export class RoutingError extends LayerError<RoutingErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for people.
     * @param retryAfterMs - When to come back, in milliseconds.
     */
    constructor(kind: RoutingErrorKind, message: string, readonly retryAfterMs: number) {
        super("routing", kind, message);
    }
}
