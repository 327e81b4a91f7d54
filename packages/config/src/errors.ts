import { LayerError } from "@heatherline/common";

/**
 * - `invalid`: the document is invalid; `faults` has one line per error, with its path in the document.
 * - `conflict`: another operator has written a newer version.
 * - `unavailable`: the store can't be reached; nothing was written.
 * - `unknown`: it is unknown whether the write took effect.
 */
export type ConfigErrorKind = "invalid" | "conflict" | "unavailable" | "unknown";

/** An error of the configuration layer. */
export class ConfigError extends LayerError<ConfigErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param faults - For `invalid`: one line per error in the document.
     * @param cause - The underlying error.
     */
    constructor(kind: ConfigErrorKind, message: string, readonly faults: readonly string[] = [], cause?: unknown) {
        super("config", kind, message, cause);
    }
}
