import { getHeapStatistics } from "node:v8";

/** Fraction of the heap that the unfinished outputs of an instance's items may take. */
const MAX_HEAP_FRACTION = 0.1;
/** Above this fraction of the limit no further item begins, so that those which have begun can be finished. */
const START_FRACTION = 0.5;

/** Something that holds memory for one item and can give it back. */
export interface ProgressHolder {
    /** Gives the memory back; what it held is received again. */
    drop(): void;
}

/**
 * Bounds the memory of the outputs that the items of an instance have received so far. Endpoints may send events without
 * end, so that the item that holds the most gives its output up when they don't fit, and begins again later.
 */
export class ProgressMemory {
    private readonly bytesByHolder = new Map<ProgressHolder, number>();
    private totalBytes = 0;

    /**
     * @param maxBytes - Limit of all outputs together.
     */
    constructor(readonly maxBytes = getHeapStatistics().heap_size_limit * MAX_HEAP_FRACTION) {}

    /** Bytes that are held now. */
    get usedBytes(): number {
        return this.totalBytes;
    }

    /** Whether an item without any output may begin. */
    get mayBegin(): boolean {
        return this.totalBytes <= this.maxBytes * START_FRACTION;
    }

    /**
     * Records what a holder holds; if that exceeds the limit, the largest holders give up what they hold.
     *
     * @param holder - The holder.
     * @param bytes - What it holds now; 0 if nothing any more.
     */
    setBytes(holder: ProgressHolder, bytes: number): void {
        this.totalBytes += bytes - (this.bytesByHolder.get(holder) ?? 0);
        if (bytes > 0) {
            this.bytesByHolder.set(holder, bytes);
        }
        else {
            this.bytesByHolder.delete(holder);
        }
        while (this.totalBytes > this.maxBytes) {
            this.dropLargest();
        }
    }

    private dropLargest(): void {
        const [[largest]] = [...this.bytesByHolder].toSorted(([, left], [, right]) => right - left) as [
            [ProgressHolder, number],
        ];
        this.setBytes(largest, 0);
        largest.drop();
    }
}
