import { LayerError } from "@heatherline/common";

/**
 * - `usage`: the command line is not valid.
 * - `refused`: the daemon refused; nothing was changed.
 * - `unreachable`: the daemon can't be reached.
 * - `incomplete`: the change is accepted, but not confirmed everywhere.
 */
export type CliErrorKind = "usage" | "refused" | "unreachable" | "incomplete";

/** Exit codes of the tool by kind of error. */
export const EXIT_CODES: Record<CliErrorKind, number> = { refused: 1, usage: 2, unreachable: 3, incomplete: 4 };

/** An error of the command-line tool; thrown to end a command. */
export class CliError extends Error {
    /**
     * @param kind - What went wrong.
     * @param message - For the person at the terminal.
     * @param cause - The error below.
     */
    constructor(readonly kind: CliErrorKind, message: string, cause?: unknown) {
        super(message, { cause });
    }

    /** @returns The error as a value of its layer. */
    toLayerError(): LayerError<CliErrorKind> {
        return new LayerError("cli", this.kind, this.message, this.cause);
    }
}
