import { getHeapStatistics } from "node:v8";
import type { GatewaySettings } from "./gatewaySettings";
import { HeldBodies } from "./heldBodies";

/**
 * Fraction of the heap's limit, or of the machine's memory if that is less, for data that callers are yet to read and for
 * the bodies of what is in progress.
 */
const MAX_MEMORY_FRACTION = 0.1;
const DEFAULT_MAX_CALLER_UNREAD_MS = 30_000;
const CHECK_INTERVAL_MS = 250;
/** A caller that has read something this recently is not closed for want of memory; others wait for room meanwhile. */
const MIN_UNREAD_MS = 1_000;

/** Why a caller that reads slowly is disconnected. */
export type SlowCallerCause = "unread-too-long" | "memory-short";

/** Something that holds data for one caller. */
export interface MemoryHolder {
    /** Monotonic time at which the caller last read something, or at which data first waited for it. */
    readonly lastReadAtMs: number;
    /**
     * Disconnects the caller and gives the memory back.
     *
     * @param cause - Why.
     */
    close(cause: SlowCallerCause): void;
}

/**
 * Bounds the memory of data that callers are yet to read, and of bodies that endpoints may be slow to read. When the data for
 * callers uses it up, the caller that has read nothing for longest is disconnected; so is one that reads nothing for too
 * long although there is memory. Bodies never cause a disconnection: those that don't fit are not taken in.
 */
export class MemoryBudget {
    private readonly heldBytes = new Map<MemoryHolder, number>();
    private readonly waiting = new Set<() => void>();
    /** What whole bodies wait for. */
    private readonly wanted = new Set<{ readonly bytes: number; }>();
    private heldForCallersBytes = 0;
    private timer: NodeJS.Timeout | undefined;
    /** The bodies of requests and batch items in progress. */
    readonly bodies: HeldBodies;

    /**
     * @param maxBytes - Limit of all data together.
     * @param maxUnreadMs - How long a caller may read nothing although data is waiting.
     */
    constructor(readonly maxBytes: number, private readonly maxUnreadMs: number) {
        this.bodies = new HeldBodies({
            maxBytes,
            getUsedBytes: () => this.usedBytes,
            onGivenBack: () => this.wakeWaiting(),
        });
    }

    /** Bytes that are held now. */
    get usedBytes(): number {
        return this.heldForCallersBytes + this.bodies.totalBytes;
    }

    /** Bytes that callers are yet to read. */
    get callerBytes(): number {
        return this.heldForCallersBytes;
    }

    /**
     * @param bytes - Bytes that something is about to hold.
     * @returns Whether there is room for them.
     */
    hasRoom(bytes: number): boolean {
        return this.usedBytes === 0 || this.usedBytes + bytes <= this.maxBytes;
    }

    /**
     * Records what a holder holds; if that exceeds the budget, callers that read nothing are disconnected.
     *
     * @param holder - The holder.
     * @param bytes - What it holds now; 0 if nothing any more.
     */
    setBytes(holder: MemoryHolder, bytes: number): void {
        const heldBytes = this.heldBytes.get(holder) ?? 0;
        this.heldForCallersBytes += bytes - heldBytes;
        if (bytes > 0) {
            this.heldBytes.set(holder, bytes);
            this.timer ??= setInterval(() => this.closeSlow(), CHECK_INTERVAL_MS);
        }
        else {
            this.heldBytes.delete(holder);
        }
        if (this.heldBytes.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
        if (bytes < heldBytes) {
            this.wakeWaiting();
        }
        this.closeForRoom();
    }

    /**
     * @param wake - Called each time memory has been given back.
     */
    addWaiter(wake: () => void): void {
        this.waiting.add(wake);
    }

    /**
     * @param wake - Not called any more.
     */
    removeWaiter(wake: () => void): void {
        this.waiting.delete(wake);
    }

    /**
     * @param bytes - Bytes that something is about to hold.
     * @param maxWaitMs - Longest wait for room.
     * @returns Whether there is room for them.
     */
    async waitForRoom(bytes: number, maxWaitMs: number): Promise<boolean> {
        const untilMs = performance.now() + maxWaitMs;
        const want = { bytes };
        this.wanted.add(want);
        while (!this.hasRoom(bytes) && performance.now() < untilMs) {
            await this.waitForChange(untilMs - performance.now());
        }
        this.wanted.delete(want);
        return this.hasRoom(bytes);
    }

    private waitForChange(maxWaitMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = () => {
                clearTimeout(timer);
                this.removeWaiter(done);
                resolve();
            };
            const timer = setTimeout(done, maxWaitMs);
            this.addWaiter(done);
        });
    }

    private closeSlow(): void {
        const nowMs = performance.now();
        for (const holder of [...this.heldBytes.keys()]) {
            if (nowMs - holder.lastReadAtMs >= this.maxUnreadMs) {
                holder.close("unread-too-long");
            }
        }
        this.closeForRoom();
    }

    /** Disconnects callers that read nothing, as far as other callers need the memory. */
    private closeForRoom(): void {
        const wantedBytes = Math.max(0, ...[...this.wanted].map(({ bytes }) => bytes));
        if (this.hasRoomBesideBodies(wantedBytes)) {
            return;
        }
        const latestMs = performance.now() - MIN_UNREAD_MS;
        const idle = [...this.heldBytes.keys()]
            .filter(({ lastReadAtMs }) => lastReadAtMs <= latestMs)
            .sort((left, right) => left.lastReadAtMs - right.lastReadAtMs);
        for (const holder of idle) {
            // Closing a holder may close others in turn.
            if (this.hasRoomBesideBodies(wantedBytes)) {
                return;
            }
            holder.close("memory-short");
        }
    }

    /** Whether there would be room if no bodies were held, for which no caller is disconnected. */
    private hasRoomBesideBodies(bytes: number): boolean {
        return this.heldForCallersBytes === 0 || this.heldForCallersBytes + bytes <= this.maxBytes;
    }

    private wakeWaiting(): void {
        [...this.waiting].forEach(wake => wake());
    }
}

/**
 * @param settings - Settings of the instance.
 * @returns Memory for data that callers are yet to read, and for the bodies of what is in progress.
 */
export function newCallerBudget({ memoryBytes, maxCallerUnreadMs }: GatewaySettings): MemoryBudget {
    const sizeBytes = Math.min(getHeapStatistics().heap_size_limit, memoryBytes ?? Infinity) * MAX_MEMORY_FRACTION;
    return new MemoryBudget(sizeBytes, maxCallerUnreadMs ?? DEFAULT_MAX_CALLER_UNREAD_MS);
}
