import { LayerError } from "@heatherline/common";

/**
 * - `conflict`: another version is current; nothing was written.
 * - `unavailable`: the store did not take the call; nothing was written.
 * - `unknown`: no answer came; a write may have taken effect.
 * - `rejected`: the store refused the call as malformed or too large.
 * - `compacted`: the watch position is too old; list again.
 */
export type StoreErrorKind = "conflict" | "unavailable" | "unknown" | "rejected" | "compacted";

/** An error of the store layer. */
export class StoreError extends LayerError<StoreErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for people.
     * @param cause - The error below.
     */
    constructor(kind: StoreErrorKind, message: string, cause?: unknown) {
        super("store", kind, message, cause);
    }
}
