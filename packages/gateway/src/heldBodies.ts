/** Online bodies up to this size may use memory that larger ones may not, so that large ones don't keep usual requests out. */
const SMALL_BODY_BYTES = 65_536;
const SMALL_BODY_RESERVE_FRACTION = 0.25;
/** Items wait for memory, whereas online requests are refused, so that these always find some without items in it. */
const MAX_ITEM_FRACTION = 0.5;
/** An item that has waited for room for this long comes before those with smaller bodies, which may always fit. */
const MAX_PASSED_MS = 1_000;
/** An item that hasn't asked for so long doesn't wait any more; one that waits asks several times a second. */
const MAX_SILENCE_MS = 5_000;

/** The memory that bodies are held in. */
export interface BodyRoom {
    /** Limit of all data together. */
    readonly maxBytes: number;
    /** @returns Bytes that are held now. */
    readonly getUsedBytes: () => number;
    /** Called when bodies have given memory back. */
    readonly onGivenBack: () => void;
}

/** A body in memory. */
export interface HeldBody {
    /** Records that the body isn't in memory any more. */
    release(): void;
}

/** Whose bodies are held. */
export type BodyKind = "online" | "item";

/** An item whose body didn't fit. */
interface WaitingItem {
    readonly owner: object;
    readonly sizeBytes: number;
    readonly sinceMs: number;
    askedAtMs: number;
}

/**
 * Counts the bodies of requests and batch items in progress, whose endpoints may read slowly. What doesn't fit doesn't start;
 * what has started is never ended for want of memory.
 */
export class HeldBodies {
    private readonly bytes: Record<BodyKind, number> = { online: 0, item: 0 };
    private readonly refusals: Record<BodyKind, number> = { online: 0, item: 0 };
    private readonly waitingItems = new Set<object>();
    /** The item that comes before the others once it has waited for long. */
    private firstWaiting: WaitingItem | undefined;

    /**
     * @param room - The memory.
     */
    constructor(private readonly room: BodyRoom) {}

    /** Bytes of all bodies. */
    get totalBytes(): number {
        return this.bytes.online + this.bytes.item;
    }

    /**
     * @param kind - Whose bodies.
     * @returns Bytes that they take now.
     */
    getBytes(kind: BodyKind): number {
        return this.bytes[kind];
    }

    /**
     * @param kind - Whose bodies.
     * @returns How often one didn't fit; an item that waits counts once for each wait.
     */
    getRefusals(kind: BodyKind): number {
        return this.refusals[kind];
    }

    /**
     * Holds the body of an online request.
     *
     * @param sizeBytes - Its size.
     * @returns The body, to be released when the request has ended; `undefined` if there is no room for it.
     */
    holdOnline(sizeBytes: number): HeldBody | undefined {
        const reserveFraction = sizeBytes <= SMALL_BODY_BYTES ? SMALL_BODY_RESERVE_FRACTION : 0;
        if (!this.hasRoom(sizeBytes, this.room.maxBytes * (1 + reserveFraction))) {
            this.refusals.online += 1;
            return undefined;
        }
        return this.hold("online", sizeBytes);
    }

    /**
     * Checks whether the body of an item may be held; the item waits for room from now on if not.
     *
     * @param owner - The item, which asks again if there is no room.
     * @param sizeBytes - Size of its body, or of a part of it if the size isn't known.
     * @returns Whether there is room for it, in view of what other items wait for.
     */
    mayHoldItem(owner: object, sizeBytes: number): boolean {
        const { maxBytes } = this.room;
        const isFitting = this.bytes.item === 0 || this.bytes.item + sizeBytes <= maxBytes * MAX_ITEM_FRACTION;
        const mayHold = isFitting && this.hasRoom(sizeBytes, maxBytes) && !this.mustLetPass(owner);
        if (!mayHold) {
            this.recordWaiting(owner, sizeBytes);
        }
        return mayHold;
    }

    /**
     * Holds the body of a batch item.
     *
     * @param owner - The item, which asks again if there is no room.
     * @param sizeBytes - Size of its body.
     * @returns The body, to be released when the run has ended; `undefined` if there is no room for it.
     */
    holdItem(owner: object, sizeBytes: number): HeldBody | undefined {
        if (!this.mayHoldItem(owner, sizeBytes)) {
            return undefined;
        }
        this.forgetItem(owner);
        return this.hold("item", sizeBytes);
    }

    /**
     * @param owner - An item that doesn't wait for room any more.
     */
    forgetItem(owner: object): void {
        this.waitingItems.delete(owner);
        if (this.firstWaiting?.owner === owner) {
            this.firstWaiting = undefined;
        }
    }

    private hasRoom(sizeBytes: number, maxBytes: number): boolean {
        const usedBytes = this.room.getUsedBytes();
        return sizeBytes === 0 || usedBytes === 0 || usedBytes + sizeBytes <= maxBytes;
    }

    /** Others let an item pass only where it waits for the memory of items; their waiting frees no other. */
    private mustLetPass(owner: object): boolean {
        const { firstWaiting, room } = this;
        const nowMs = performance.now();
        return firstWaiting !== undefined && firstWaiting.owner !== owner
            && room.getUsedBytes() - this.bytes.item + firstWaiting.sizeBytes <= room.maxBytes
            && nowMs - firstWaiting.sinceMs > MAX_PASSED_MS && nowMs - firstWaiting.askedAtMs <= MAX_SILENCE_MS;
    }

    private recordWaiting(owner: object, sizeBytes: number): void {
        this.refusals.item += this.waitingItems.has(owner) ? 0 : 1;
        this.waitingItems.add(owner);
        const nowMs = performance.now();
        const { firstWaiting } = this;
        if (firstWaiting?.owner === owner) {
            firstWaiting.askedAtMs = nowMs;
        }
        else if (firstWaiting === undefined || nowMs - firstWaiting.askedAtMs > MAX_SILENCE_MS) {
            this.firstWaiting = { owner, sizeBytes, sinceMs: nowMs, askedAtMs: nowMs };
        }
    }

    private hold(kind: BodyKind, sizeBytes: number): HeldBody {
        this.bytes[kind] += sizeBytes;
        let isHeld = true;
        return {
            release: () => {
                if (isHeld) {
                    isHeld = false;
                    this.bytes[kind] -= sizeBytes;
                    if (sizeBytes > 0) {
                        this.room.onGivenBack();
                    }
                }
            },
        };
    }
}
