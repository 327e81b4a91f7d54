import { LayerError } from "@heatherline/common";

/**
 * - `exceeded`: the organisation has used up its rate and burst.
 * - `unavailable`: no owner of the subject can be reached, so it is unknown whether the request is within the rate.
 * - `aborted`: the request was aborted while it waited for a token.
 */
export type LimitErrorKind = "exceeded" | "unavailable" | "aborted";

/** An error of the rate limiting layer. */
export class LimitError extends LayerError<LimitErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param retryAfterMs - Time until a retry may be admitted at the earliest, in milliseconds.
     */
    constructor(kind: LimitErrorKind, message: string, readonly retryAfterMs: number) {
        super("limits", kind, message);
    }
}
