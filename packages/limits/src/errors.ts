import { LayerError } from "@heatherline/common";

/**
 * - `exceeded`: the organisation has used its rate and burst.
 * - `unavailable`: nobody can be asked who may decide; nothing is known about the rate.
 * - `aborted`: given up while waiting.
 */
export type LimitErrorKind = "exceeded" | "unavailable" | "aborted";

/** An error of the limit layer. */
export class LimitError extends LayerError<LimitErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for people.
     * @param retryAfterMs - When a request would be admitted at the earliest, in milliseconds.
     */
    constructor(kind: LimitErrorKind, message: string, readonly retryAfterMs: number) {
        super("limits", kind, message);
    }
}
