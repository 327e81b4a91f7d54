/**
 * Base of every error value in the system. Each layer has its own subclass of kinds and turns the errors of the
 * layer below into its own before it hands them up.
 */
export class LayerError<Kind extends string> {
    /**
     * @param layer - Name of the layer that reports the error.
     * @param kind - What went wrong, as the layer names it.
     * @param message - One sentence for people.
     * @param cause - The error of the layer below, if one led to this.
     */
    constructor(
        readonly layer: string,
        readonly kind: Kind,
        readonly message: string,
        readonly cause?: unknown,
    ) {}

    /** @returns The error as one line, causes included. */
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
