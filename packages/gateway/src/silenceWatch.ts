/**
 * An endpoint with a free slot begins to respond within some tens of milliseconds; without a response for this long it
 * is considered unavailable.
 */
export const FIRST_RESPONSE_TIMEOUT_MS = 600;
/**
 * A stream without an event for this long counts as stalled; events arrive every few tens of milliseconds, every few
 * hundred from a slow endpoint.
 */
const STALL_TIMEOUT_MS = 800;
const STALL_POLL_MS = 200;

/** What a watch needs to know of an attempt, and what it does. */
export interface WatchedAttempt {
    /** @returns Whether the response has begun to arrive. */
    readonly hasResponded: () => boolean;
    /** @returns Time since the last event, in milliseconds. */
    readonly getQuietMs: () => number;
    /** @returns Whether the endpoint has responded to no other request since the attempt began either. */
    readonly isEndpointSilent: () => boolean;
    /** Whether a stalled stream may resume at another endpoint. */
    readonly mayResume: boolean;
    /** Reports that the endpoint does not begin to respond in time. */
    readonly reportSilence: () => void;
    /** Aborts the attempt, if the request may be retried. */
    readonly abort: () => void;
}

/**
 * Watches for an endpoint that does not begin to respond, or for a stream that stalls.
 *
 * @param attempt - The attempt.
 * @returns A function that stops watching.
 */
export function watchForSilence(attempt: WatchedAttempt): () => void {
    const firstResponseTimer = setTimeout(() => {
        if (attempt.hasResponded()) {
            return;
        }
        attempt.reportSilence();
        if (attempt.isEndpointSilent()) {
            attempt.abort();
        }
    }, FIRST_RESPONSE_TIMEOUT_MS);
    const stallTimer = !attempt.mayResume ? undefined : setInterval(() => {
        if (attempt.hasResponded() && attempt.getQuietMs() > STALL_TIMEOUT_MS) {
            attempt.abort();
        }
    }, STALL_POLL_MS);
    return () => {
        clearTimeout(firstResponseTimer);
        clearInterval(stallTimer);
    };
}
