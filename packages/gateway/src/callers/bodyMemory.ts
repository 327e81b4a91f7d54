import { getHeapStatistics } from "node:v8";

/** Fraction of the heap's limit that callers' bodies may take together, each for as long as its request is handled. */
const MAX_HEAP_FRACTION = 0.15;
const MAX_TOTAL_BYTES = 128_000_000;
/** The first bytes of a body are not counted, so that large bodies don't keep usual requests out. */
const UNCOUNTED_BYTES = 65_536;

/** A caller that has sent nothing for this long, amid a body, is not waited for. */
const MAX_STALL_MS = 15_000;

/** Bounds the memory that the bodies of callers' requests take at the same time. */
export class BodyMemory {
    private usedBytes = 0;

    /**
     * @param maxBytes - Limit of all bodies together, but for the first bytes of each.
     * @param maxStallMs - How long a body may wait for its next bytes.
     */
    constructor(
        private readonly maxBytes = Math.min(MAX_TOTAL_BYTES, getHeapStatistics().heap_size_limit * MAX_HEAP_FRACTION),
        private readonly maxStallMs = MAX_STALL_MS,
    ) {}

    /** @returns The memory of one request; nothing is used yet. */
    newShare(): BodyShare {
        let ownBytes = 0;
        return {
            maxStallMs: this.maxStallMs,
            setBytes: bodyBytes => {
                const bytes = Math.max(0, bodyBytes - UNCOUNTED_BYTES);
                const isFree = bytes <= ownBytes || this.usedBytes - ownBytes + bytes <= this.maxBytes;
                if (isFree) {
                    this.usedBytes += bytes - ownBytes;
                    ownBytes = bytes;
                }
                return isFree;
            },
        };
    }
}

/** What one request's body takes of the memory. */
export interface BodyShare {
    /** How long a body may wait for its next bytes. */
    readonly maxStallMs: number;
    /**
     * @param bodyBytes - Size of the body as far as it is kept; 0 once it isn't needed any more.
     * @returns Whether there is room for it; the share is unchanged otherwise.
     */
    setBytes(bodyBytes: number): boolean;
}
