import { sleep } from "@heatherline/common";
import type { BatchItem, ItemResult } from "./types";

/** How one attempt at an item ended. */
export type ItemOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly body: unknown; }
    /** Preempted by online requests; it ran in part or not at all. */
    | { readonly kind: "preempted"; }
    /** No endpoint received it. */
    | { readonly kind: "not-run"; readonly retryAfterMs: number; }
    /** No attempt can ever succeed. */
    | { readonly kind: "impossible"; readonly reason: string; }
    /** It failed after it may have run. */
    | { readonly kind: "failed"; readonly reason: string; }
    | { readonly kind: "cancelled"; };

/** Sends items to the endpoints of the fleet. */
export interface ItemExecutor {
    /**
     * Makes one attempt to run an item.
     *
     * @param item - The item.
     * @param job - The job that the item belongs to.
     * @param signal - Cancels the attempt.
     * @returns How the attempt ended.
     */
    execute(item: BatchItem, job: ItemJob, signal: AbortSignal): Promise<ItemOutcome>;
}

/** What an attempt needs to know of the job that an item belongs to. */
export interface ItemJob {
    readonly organisation: string;
    readonly service: string;
    /** Whether items may run again after a failure. */
    readonly isIdempotent: boolean;
}

/**
 * Maximum number of error responses to an item; after them the item fails. Attempts that got no response, since the
 * endpoint crashed, say nothing about the item and don't count.
 */
export const MAX_ITEM_ATTEMPTS = 4;
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 5_000;
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Runs an item, with retries, until it has a final result.
 *
 * @param executor - Makes single attempts.
 * @param item - The item.
 * @param job - The job that the item belongs to.
 * @param signal - Cancels the item; its result is then `cancelled`.
 * @returns The final result.
 */
export async function runItem(
    executor: ItemExecutor,
    item: BatchItem,
    job: ItemJob,
    signal: AbortSignal,
): Promise<ItemResult> {
    const { customId } = item;
    let attempts = 0;
    let errorResponses = 0;
    let reason = "";
    while (!signal.aborted) {
        const outcome = await executor.execute(item, job, signal);
        switch (outcome.kind) {
            case "answered":
                attempts += 1;
                if (outcome.status < FIRST_ERROR_STATUS) {
                    return { customId, outcome: "completed", status: outcome.status, body: outcome.body, attempts };
                }
                errorResponses += 1;
                reason = `status ${outcome.status}`;
                if (outcome.status < FIRST_SERVER_ERROR_STATUS || !job.isIdempotent) {
                    return {
                        customId,
                        outcome: "failed",
                        status: outcome.status,
                        body: outcome.body,
                        reason,
                        attempts,
                    };
                }
                break;
            case "failed":
                attempts += 1;
                reason = outcome.reason;
                break;
            case "impossible":
                return { customId, outcome: "failed", reason: outcome.reason, attempts };
            case "not-run":
                await sleep(Math.min(Math.max(outcome.retryAfterMs, RETRY_DELAY_MS), MAX_RETRY_DELAY_MS), signal);
                continue;
            case "preempted":
                continue;
            case "cancelled":
                return { customId, outcome: "cancelled", attempts };
        }
        if (!job.isIdempotent || errorResponses >= MAX_ITEM_ATTEMPTS) {
            return { customId, outcome: "failed", reason, attempts };
        }
        await sleep(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * attempts), signal);
    }
    return { customId, outcome: "cancelled", attempts };
}
