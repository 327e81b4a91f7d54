import { LayerError } from "@heatherline/common";

/**
 * - `conflict`: another version is current; nothing was written.
 * - `unavailable`: the store did not accept the call; nothing was written.
 * - `unknown`: there was no response, or an unexpected one; a write may have taken effect.
 * - `rejected`: the store rejected the call as malformed or too large.
 * - `compacted`: the watch revision is no longer in the store's history; list again.
 */
export type StoreErrorKind = "conflict" | "unavailable" | "unknown" | "rejected" | "compacted";

/** An error of the store layer. */
export class StoreError extends LayerError<StoreErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param cause - The underlying error.
     */
    constructor(kind: StoreErrorKind, message: string, cause?: unknown) {
        super("store", kind, message, cause);
    }
}
