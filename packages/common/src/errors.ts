/**
 * Base of all error values. Each layer has a subclass with its own kinds, and converts errors of the layer below before
 * it returns them.
 */
export class LayerError<Kind extends string> {
    /**
     * @param layer - Name of the layer that reports the error.
     * @param kind - What went wrong, as one of the layer's kinds.
     * @param message - One human-readable sentence.
     * @param cause - The underlying error, if any.
     */
    constructor(
        readonly layer: string,
        readonly kind: Kind,
        readonly message: string,
        readonly cause?: unknown,
    ) {}

    /** @returns The error and its causes as one line. */
    toString(): string {
        const cause = this.cause === undefined ? "" : ` (${describeError(this.cause)})`;
        return `${this.layer}/${this.kind}: ${this.message}${cause}`;
    }
}

/**
 * @param error - Anything thrown or returned as an error.
 * @returns A one-line description.
 */
export function describeError(error: unknown): string {
    if (error instanceof LayerError) {
        return error.toString();
    }
    if (error instanceof Error) {
        const code = (error as NodeJS.ErrnoException).code;
        return code === undefined ? error.message : `${code}: ${error.message}`;
    }
    return String(error);
}
