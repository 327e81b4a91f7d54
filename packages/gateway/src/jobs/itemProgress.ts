import type { StreamOrigin } from "@heatherline/fleet";
import { getEventData, type StreamEvent } from "../online/eventStreamParser";
import type { ProgressHolder, ProgressMemory } from "./progressMemory";

/** Limit of the events of one item in memory; a page of results, which has to hold its whole output, takes less. */
const MAX_ITEM_BYTES = 4_194_304;
/** What an event takes in memory beside its bytes. */
const EVENT_OVERHEAD_BYTES = 64;

/** Progress of an item, which another instance can continue from. */
export interface ItemState {
    readonly itemId: string;
    /** Data of the events received so far. */
    readonly data: readonly string[];
    readonly lastEventId: number | undefined;
    /** Where these events come from; absent from instances of earlier releases. */
    readonly origin?: StreamOrigin | undefined;
    /** Number of runs that ended as `failed`. */
    readonly failures: number;
}

/** What came of an event: `kept`, or why the item begins again. */
export type EventOutcome = "kept" | "too-long" | "memory-short";

/** What has been received of one item's output so far, and how often the item has failed. */
export class ItemProgress implements ProgressHolder {
    private data: string[] = [];
    private sizeBytes = 0;
    private eventId: number | undefined;
    private streamOrigin: StreamOrigin | undefined;
    /** Number of runs that ended as `failed`. */
    failures = 0;
    /** Called when the output has been given up for want of memory. */
    onDropped: (() => void) | undefined;

    /**
     * @param memory - Bounds the outputs of all items; absent where they are not counted.
     * @param state - Progress that another instance has made with the item.
     */
    constructor(private readonly memory?: ProgressMemory, state?: ItemState) {
        this.failures = state?.failures ?? 0;
        if (state?.origin !== undefined) {
            this.data = [...state.data];
            this.eventId = state.lastEventId;
            this.streamOrigin = state.origin;
            this.setBytes(state.data.reduce((sum, text) => sum + Buffer.byteLength(text) + EVENT_OVERHEAD_BYTES, 0));
        }
    }

    /** Number of events received so far. */
    get eventCount(): number {
        return this.data.length;
    }

    /** Id of the last event, if it had one. */
    get lastEventId(): number | undefined {
        return this.eventId;
    }

    /** Where the events received so far come from. */
    get origin(): StreamOrigin | undefined {
        return this.streamOrigin;
    }

    /** The output so far. */
    get output(): string {
        return this.data.join("\n");
    }

    /** Whether the item may run in view of the memory that others hold; one that has an output may always go on. */
    get mayRun(): boolean {
        return this.eventCount > 0 || this.memory?.mayBegin !== false;
    }

    /**
     * @param itemId - The item.
     * @returns Its progress, for another instance.
     */
    getState(itemId: string): ItemState {
        const { data, eventId: lastEventId, streamOrigin: origin, failures } = this;
        return { itemId, data, lastEventId, origin, failures };
    }

    /**
     * Adds an event, unless that makes the output longer than any item's. The item begins again then, since it can't be
     * told which events are none of it.
     *
     * @param event - The next event.
     * @param origin - Where it comes from.
     * @returns Whether it is kept.
     */
    add(event: StreamEvent, origin: StreamOrigin): EventOutcome {
        const sizeBytes = this.sizeBytes + event.bytes.length + EVENT_OVERHEAD_BYTES;
        if (sizeBytes > MAX_ITEM_BYTES) {
            this.startAnew();
            return "too-long";
        }
        this.streamOrigin ??= origin;
        this.eventId = event.eventId ?? this.eventId;
        this.data.push(getEventData(event));
        this.setBytes(sizeBytes);
        return this.eventCount > 0 ? "kept" : "memory-short";
    }

    /** Forgets the output. */
    startAnew(): void {
        this.data = [];
        this.eventId = undefined;
        this.streamOrigin = undefined;
        this.setBytes(0);
    }

    drop(): void {
        this.startAnew();
        this.onDropped?.();
    }

    /** Records that the output is whole or isn't needed any more; it doesn't count then and is never given up. */
    release(): void {
        this.setBytes(0);
    }

    private setBytes(sizeBytes: number): void {
        this.sizeBytes = sizeBytes;
        this.memory?.setBytes(this, sizeBytes);
    }
}
