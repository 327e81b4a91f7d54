import { type ClientLimitObserver, getClientLimits } from "./clientLimits";

/** A caller that has sent nothing for this long, amid a body, is not waited for. */
const MAX_STALL_MS = 15_000;
/** A body that has not grown by {@link PROGRESS_BYTES} for this long is dropped if others need its memory. */
const MIN_DROP_MS = 1_000;
const PROGRESS_BYTES = 1_024;
/** Bodies up to this size may use memory that larger ones may not, so that large ones don't keep usual requests out. */
const SMALL_BODY_BYTES = 65_536;
const SMALL_BODY_RESERVE_FRACTION = 0.25;

/** Bounds the memory that the bodies of requests take at the same time. */
export class BodyMemory {
    private usedBytes = 0;
    /** Bodies that are arriving, in the order of their latest progress. */
    private readonly arriving = new Set<Share>();

    /**
     * @param maxBytes - Limit of all bodies together; small ones may use a quarter more.
     * @param maxStallMs - How long a body may wait for its next bytes.
     * @param observe - Called for each body that is refused or dropped.
     */
    constructor(
        private readonly maxBytes = getClientLimits({}).maxBodyBytes,
        private readonly maxStallMs = MAX_STALL_MS,
        private readonly observe: ClientLimitObserver = () => undefined,
    ) {}

    /** Memory that bodies take now. */
    get bytes(): number {
        return this.usedBytes;
    }

    /**
     * @param drop - Closes the connection of a body that has stopped arriving.
     * @returns The memory of one request; nothing is used yet.
     */
    newShare(drop: () => void = () => undefined): BodyShare {
        const share: Share = { bytes: 0, progressBytes: 0, progressAtMs: performance.now(), isDropped: false, drop };
        return {
            maxStallMs: this.maxStallMs,
            setBytes: bytes => this.setBytes(share, bytes),
            setComplete: () => this.arriving.delete(share),
        };
    }

    private setBytes(share: Share, bytes: number): boolean {
        if (share.isDropped) {
            return bytes === 0;
        }
        const maxBytes = this.maxBytes * (bytes <= SMALL_BODY_BYTES ? 1 + SMALL_BODY_RESERVE_FRACTION : 1);
        while (bytes > share.bytes && this.usedBytes - share.bytes + bytes > maxBytes) {
            if (!this.dropStalled(share)) {
                this.observe("body-memory");
                return false;
            }
        }
        this.usedBytes += bytes - share.bytes;
        share.bytes = bytes;
        if (bytes === 0) {
            this.arriving.delete(share);
        }
        else if (bytes >= share.progressBytes + PROGRESS_BYTES || share.progressBytes === 0) {
            share.progressBytes = bytes;
            share.progressAtMs = performance.now();
            this.arriving.delete(share);
            this.arriving.add(share);
        }
        return true;
    }

    /** @returns Whether there was a body that has stopped arriving. */
    private dropStalled(except: Share): boolean {
        for (const share of this.arriving) {
            if (performance.now() - share.progressAtMs < MIN_DROP_MS) {
                return false;
            }
            if (share !== except) {
                this.usedBytes -= share.bytes;
                share.bytes = 0;
                share.isDropped = true;
                this.arriving.delete(share);
                this.observe("body-stalled");
                share.drop();
                return true;
            }
        }
        return false;
    }
}

interface Share {
    bytes: number;
    /** Memory that it took at its latest progress. */
    progressBytes: number;
    progressAtMs: number;
    isDropped: boolean;
    readonly drop: () => void;
}

/** What one request's body takes of the memory. */
export interface BodyShare {
    /** How long a body may wait for its next bytes. */
    readonly maxStallMs: number;
    /**
     * @param memoryBytes - Memory that the body takes as far as it is kept; 0 once it isn't needed any more.
     * @returns Whether there is room for it; the share is unchanged otherwise.
     */
    setBytes(memoryBytes: number): boolean;
    /** Records that the whole body has arrived; it is not dropped any more. */
    setComplete(): void;
}
