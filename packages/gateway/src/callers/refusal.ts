import type { RefusalReason } from "@heatherline/fleet";

/** Reasons for which the gateway sends an error response of its own. */
export type GatewayRefusalReason =
    | RefusalReason
    | "bad-request"
    | "no-route"
    | "key-missing"
    | "key-unknown"
    | "region-not-allowed"
    | "config-unknown"
    | "config-stale"
    | "body-too-large"
    | "headers-too-large"
    | "timeout"
    | "endpoint-failed"
    | "stopping"
    | "store-unavailable"
    | "job-too-large"
    | "outcome-unknown"
    | "job-id-taken"
    | "not-found";

/** An error response that the gateway generates itself. */
export interface Refusal {
    readonly status: number;
    readonly reason: GatewayRefusalReason;
    /** Time after which the caller may retry; `undefined` where a retry would not help. */
    readonly retryAfterMs: number | undefined;
    /** The values that led to the refusal, for the log. */
    readonly detail: string;
}

const STATUSES: Record<GatewayRefusalReason, number> = {
    overloaded: 503,
    "no-endpoint": 503,
    "rate-limited": 429,
    "crashes-endpoints": 503,
    "version-gone": 503,
    "origin-unknown": 503,
    "too-many-tokens": 400,
    "no-hedge": 503,
    unavailable: 503,
    "bad-request": 400,
    "no-route": 404,
    "key-missing": 401,
    "key-unknown": 401,
    "region-not-allowed": 403,
    "config-unknown": 503,
    "config-stale": 503,
    "body-too-large": 413,
    "headers-too-large": 431,
    timeout: 504,
    "endpoint-failed": 502,
    stopping: 503,
    "store-unavailable": 503,
    "job-too-large": 429,
    "outcome-unknown": 504,
    "job-id-taken": 409,
    "not-found": 404,
};

/** What a retry can't change. */
const FINAL_REASONS: ReadonlySet<GatewayRefusalReason> = new Set(["version-gone", "origin-unknown"]);

/** Retry delay for callers where no better estimate is known, in milliseconds. */
const DEFAULT_RETRY_MS = 300;

/**
 * @param reason - Why no endpoint's response is sent.
 * @param detail - The values that led to the refusal, for the log.
 * @param retryAfterMs - Time after which the caller may retry; defaults for temporary conditions (429 and 503).
 * @returns The refusal.
 */
export function newRefusal(reason: GatewayRefusalReason, detail = "", retryAfterMs?: number): Refusal {
    const status = STATUSES[reason];
    const isTemporary = (status === 503 || status === 429) && !FINAL_REASONS.has(reason);
    return { status, reason, detail, retryAfterMs: retryAfterMs ?? (isTemporary ? DEFAULT_RETRY_MS : undefined) };
}
