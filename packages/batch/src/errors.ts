import { LayerError } from "@heatherline/common";

/**
 * - `invalid`: the job or one of its lines is not valid; nothing was accepted.
 * - `conflict`: the idempotency key belongs to a job with other content.
 * - `not-found`: there is no such job for this organisation.
 * - `unavailable`: the store can't be reached; nothing is known to be accepted.
 */
export type BatchErrorKind = "invalid" | "conflict" | "not-found" | "unavailable";

/** An error of the batch layer. */
export class BatchError extends LayerError<BatchErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for the caller.
     * @param cause - The error below.
     */
    constructor(kind: BatchErrorKind, message: string, cause?: unknown) {
        super("batch", kind, message, cause);
    }
}
