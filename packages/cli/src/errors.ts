import { LayerError } from "@heatherline/common";

/**
 * - `usage`: the command line or an input file is invalid.
 * - `refused`: the daemon responded with an error, what the command names was not found, or any other failure. The
 *   request changed nothing, except that after the error codes `unknown`, `store-unavailable` and `internal` it may have.
 *   Documents that the same command applied before it stay applied.
 * - `unreachable`: the daemon can't be reached.
 * - `incomplete`: the change was accepted, but not confirmed by every instance.
 */
export type CliErrorKind = "usage" | "refused" | "unreachable" | "incomplete";

/** Exit codes of the command-line tool by kind of error. */
export const EXIT_CODES: Record<CliErrorKind, number> = { refused: 1, usage: 2, unreachable: 3, incomplete: 4 };

/** An error of the command-line tool; thrown to end a command. */
export class CliError extends Error {
    /**
     * @param kind - Kind of error; determines the exit code.
     * @param message - Message for the user.
     * @param cause - Underlying error.
     */
    constructor(readonly kind: CliErrorKind, message: string, cause?: unknown) {
        super(message, { cause });
    }

    /** @returns This error as an error value of the CLI layer. */
    toLayerError(): LayerError<CliErrorKind> {
        return new LayerError("cli", this.kind, this.message, this.cause);
    }
}
