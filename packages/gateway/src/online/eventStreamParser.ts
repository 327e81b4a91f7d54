/** One server-sent event. */
export interface StreamEvent {
    /** The event's bytes as received, including the blank line that ends it. */
    readonly bytes: Buffer;
    readonly eventId: number | undefined;
}

/** An event holds some tokens; one that is longer than this is no event. */
const MAX_EVENT_BYTES = 1_048_576;
/** Limit of the unfinished events of all streams together. */
const MAX_UNFINISHED_BYTES = 16_777_216;
/** An event up to this size doesn't fail for the size of others. */
const SMALL_EVENT_BYTES = 65_536;
/** The end of an event, a blank line, takes three bytes at most after the line feed before it. */
const MAX_END_BYTES = 3;
/** Whole lines that are blank or a comment, and thus part of no event. */
const LINES_OUTSIDE_EVENTS = /^(?:(?::[^\r\n]*)?\r?\n)*$/;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

let unfinishedBytes = 0;

/** Splits a stream of server-sent events into complete events. To be closed when no more of the stream is read. */
export class EventStreamParser {
    /** Bytes after the last complete event. */
    private chunks: Buffer[] = [];
    private sizeBytes = 0;
    /** What counts towards the limit of all streams. */
    private countedBytes = 0;

    /**
     * Adds bytes of the stream.
     *
     * @param chunk - The next bytes.
     * @returns The events that these bytes complete.
     * @throws Error if an event doesn't end within `MAX_EVENT_BYTES`, or the large ones of all streams don't fit.
     */
    parse(chunk: Buffer): StreamEvent[] {
        const mayContainEnd = this.chunks.length === 0 || findEventEnd(this.getTailWith(chunk)) >= 0;
        this.chunks.push(chunk);
        this.setSize(this.sizeBytes + chunk.length);
        const events = mayContainEnd ? this.takeEvents() : [];
        if (this.sizeBytes > MAX_EVENT_BYTES) {
            throw new Error(`an event of more than ${MAX_EVENT_BYTES} bytes`);
        }
        if (this.sizeBytes > SMALL_EVENT_BYTES && unfinishedBytes > MAX_UNFINISHED_BYTES) {
            throw new Error(`an event of ${this.sizeBytes} bytes beside large ones of other streams`);
        }
        return events;
    }

    /** Records that the bytes after the last event are not kept any more; they can still be read. */
    close(): void {
        unfinishedBytes -= this.countedBytes;
        this.countedBytes = 0;
    }

    /** Whether an event has begun that is not complete yet; a stream that ends here was broken off. */
    get isInsideEvent(): boolean {
        return !LINES_OUTSIDE_EVENTS.test(this.getRemainder().toString("latin1"));
    }

    /** @returns The bytes after the last complete event. */
    getRemainder(): Buffer {
        return Buffer.concat(this.chunks);
    }

    /** The chunk with the bytes before it that may belong to the end of an event. */
    private getTailWith(chunk: Buffer): Buffer {
        const tail: Buffer[] = [chunk];
        let missing = MAX_END_BYTES;
        for (let index = this.chunks.length - 1; index >= 0 && missing > 0; index -= 1) {
            const part = (this.chunks[index] as Buffer).subarray(-missing);
            tail.unshift(part);
            missing -= part.length;
        }
        return Buffer.concat(tail);
    }

    private takeEvents(): StreamEvent[] {
        const events: StreamEvent[] = [];
        let rest = this.getRemainder();
        for (let end = findEventEnd(rest); end >= 0; end = findEventEnd(rest)) {
            const bytes = rest.subarray(0, end);
            rest = rest.subarray(end);
            events.push({ bytes, eventId: readEventId(bytes) });
        }
        this.chunks = rest.length === 0 ? [] : [rest];
        this.setSize(rest.length);
        return events;
    }

    private setSize(sizeBytes: number): void {
        unfinishedBytes += sizeBytes - this.countedBytes;
        this.countedBytes = sizeBytes;
        this.sizeBytes = sizeBytes;
    }
}

/**
 * @param event - An event.
 * @returns Whether it carries anything; comments and blank lines don't.
 */
export function hasContent({ bytes, eventId }: StreamEvent): boolean {
    return eventId !== undefined || bytes.includes("data:");
}

/**
 * @param event - An event.
 * @returns The event's data; multiple data lines are joined by line feeds.
 */
export function getEventData({ bytes }: StreamEvent): string {
    return bytes.toString("utf8").split(/\r?\n/)
        .filter(line => line.startsWith("data:"))
        .map(line => line.slice(line.startsWith("data: ") ? "data: ".length : "data:".length))
        .join("\n");
}

/** @returns The position after the first blank line, or -1. */
function findEventEnd(bytes: Buffer): number {
    for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
        if (bytes[at + 1] === LINE_FEED) {
            return at + 2;
        }
        if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
            return at + 3;
        }
    }
    return -1;
}

function readEventId(bytes: Buffer): number | undefined {
    const match = /(?:^|\n)id: ?(\d+)/.exec(bytes.toString("latin1"));
    return match === null ? undefined : Number(match[1]);
}
