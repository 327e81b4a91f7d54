/**
 * @param text - A text.
 * @returns Size of the text as JSON in UTF-8.
 */
export function getJsonBytes(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}

/**
 * @param values - Values in their order of importance, the most important first.
 * @param maxBytes - Limit of their size together, as JSON in UTF-8.
 * @returns Those that fit one after the other; a value that is too large itself is left out.
 */
export function takeFitting<Value>(values: readonly Value[], maxBytes: number): Value[] {
    let leftBytes = maxBytes;
    return values.filter(value => {
        const sizeBytes = Buffer.byteLength(JSON.stringify(value)) + 1;
        const fits = sizeBytes <= leftBytes;
        leftBytes -= fits ? sizeBytes : 0;
        return fits;
    });
}

/** Limit of the size of objects, which shrinks when the store rejects one. */
export class ObjectSizeLimit {
    /**
     * @param maxBytes - The limit at first, as JSON in UTF-8.
     * @param minBytes - The limit doesn't get smaller than this.
     */
    constructor(public maxBytes: number, private readonly minBytes: number) {}

    /** Whether objects can't become smaller. */
    get isAtMinimum(): boolean {
        return this.maxBytes <= this.minBytes;
    }

    /** Records that the store doesn't accept an object, however often it is written; the next ones are smaller. */
    recordRejected(): void {
        this.maxBytes = Math.max(this.minBytes, Math.floor(this.maxBytes / 2));
    }
}
