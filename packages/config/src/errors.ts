import { LayerError } from "@heatherline/common";

/**
 * - `invalid`: the document has faults; `faults` names each by its path.
 * - `conflict`: another operator wrote a newer version.
 * - `unavailable`: the store can't be reached; nothing was written.
 * - `unknown`: whether the write took effect can't be told now.
 */
export type ConfigErrorKind = "invalid" | "conflict" | "unavailable" | "unknown";

/** An error of the configuration layer. */
export class ConfigError extends LayerError<ConfigErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One sentence for people.
     * @param faults - For `invalid`: one line per fault.
     * @param cause - The error below.
     */
    constructor(kind: ConfigErrorKind, message: string, readonly faults: readonly string[] = [], cause?: unknown) {
        super("config", kind, message, cause);
    }
}
