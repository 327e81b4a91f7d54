import { LayerError } from "@heatherline/common";

/**
 * - `invalid`: the job or one of its lines is invalid; nothing was accepted.
 * - `conflict`: the idempotency key belongs to a job with different content.
 * - `not-found`: there is no such job for this organisation.
 * - `unavailable`: the store can't be reached; nothing is known to be accepted.
 */
export type BatchErrorKind = "invalid" | "conflict" | "not-found" | "unavailable";

/** An error of the batch layer. Its message is sent to the caller. */
export class BatchError extends LayerError<BatchErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for the caller.
     * @param cause - The underlying error.
     */
    constructor(kind: BatchErrorKind, message: string, cause?: unknown) {
        super("batch", kind, message, cause);
    }
}
