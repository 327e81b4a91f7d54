import type { Socket } from "node:net";

/** Smallest piece but for the last one of a read, so that a body of empty lines doesn't take a call for each of them. */
const MIN_PIECE_BYTES = 512;
/** The parser takes both for the end of a head. */
const EMPTY_LINES = ["\n\r\n", "\n\n"].map(line => Buffer.from(line, "latin1"));

/** Properties of a connection that Node.js sets, but doesn't declare. */
interface HttpSocket extends Socket {
    /** Whether the parser is paused because too many bytes of responses are not sent. */
    readonly _paused?: boolean;
    /** `null` once the connection is no longer one of the HTTP server, as after an upgrade. */
    readonly parser?: object | null;
}

/** What a {@link PiecewiseParser} depends on. */
export interface PiecewiseParserOptions {
    /** @returns Whether the next piece may be parsed. If not, reading must be resumed once it may. */
    readonly mayParse: () => boolean;
    /** Called after each piece with its size. */
    readonly onParsed: (sizeBytes: number) => void;
    /** Called with the memory of the bytes that wait, when it has changed. */
    readonly onWaiting: (memoryBytes: number) => void;
}

/**
 * Passes the bytes of an HTTP server's connection to its parser in pieces. Node.js passes a whole read, and each of the
 * hundreds of requests in it becomes an object before the connection can be paused.
 *
 * A piece ends after an empty line, since a request can't be complete without one. Bodies are therefore passed as they are
 * read. The rest of a read waits while the connection is paused, and is passed when reading is resumed.
 */
export class PiecewiseParser {
    private readonly socket: HttpSocket;
    private waiting: Pieces | undefined;
    private isParsing = false;
    /** Memory of what waits, as it was last announced. */
    private memoryBytes = 0;
    private readonly parse: (bytes: Buffer) => void;

    /**
     * @param socket - The connection, after the HTTP server has added its listeners.
     * @param options - When to parse, and what to call.
     */
    constructor(socket: Socket, private readonly options: PiecewiseParserOptions) {
        this.socket = socket;
        this.parse = replaceDataListener(socket, bytes => this.onData(bytes));
        socket.on("resume", () => this.parseWaiting());
        // Node.js sends no more responses then.
        socket.once("end", () => this.drop());
        socket.once("close", () => this.drop());
    }

    /** Drops the bytes that wait. */
    drop(): void {
        this.setWaiting(undefined);
    }

    private onData(bytes: Buffer): void {
        // Bytes that had been read when the connection was paused can arrive while others wait.
        this.waiting = new Pieces(this.waiting === undefined ? bytes : Buffer.concat([this.waiting.rest, bytes]));
        this.parseWaiting();
    }

    private parseWaiting(): void {
        if (this.isParsing || this.waiting === undefined) {
            return;
        }
        this.isParsing = true;
        try {
            this.parsePieces(this.waiting);
        }
        finally {
            this.isParsing = false;
        }
        if (this.waiting !== undefined) {
            this.socket.pause();
        }
    }

    private parsePieces(pieces: Pieces): void {
        while (!pieces.isEmpty && this.mayParse()) {
            const piece = pieces.take();
            this.parse(piece);
            this.options.onParsed(piece.length);
            if (this.socket.parser === null && !pieces.isEmpty) {
                // What follows a request to upgrade is for the next reader of the connection.
                this.socket.unshift(pieces.rest);
                this.drop();
                return;
            }
        }
        this.setWaiting(pieces.isEmpty || this.socket.destroyed ? undefined : pieces);
    }

    private mayParse(): boolean {
        const { socket } = this;
        return !socket.destroyed && socket._paused !== true && !socket.isPaused() && this.options.mayParse();
    }

    private setWaiting(waiting: Pieces | undefined): void {
        this.waiting = waiting;
        const memoryBytes = waiting?.memoryBytes ?? 0;
        if (memoryBytes !== this.memoryBytes) {
            this.memoryBytes = memoryBytes;
            this.options.onWaiting(memoryBytes);
        }
    }
}

/** Divides the bytes of a read. */
class Pieces {
    private offset = 0;
    /** End of the next empty line of each kind from the smallest piece on, which is searched for once. */
    private readonly lineEnds = EMPTY_LINES.map(() => 0);

    constructor(private readonly bytes: Buffer) {}

    get isEmpty(): boolean {
        return this.offset >= this.bytes.length;
    }

    /** Memory that is in use until all pieces have been taken. */
    get memoryBytes(): number {
        return this.bytes.buffer.byteLength;
    }

    /** Bytes that have not been taken. */
    get rest(): Buffer {
        return this.bytes.subarray(this.offset);
    }

    take(): Buffer {
        const begin = this.offset;
        this.offset = this.findEnd(begin + MIN_PIECE_BYTES);
        return begin === 0 && this.isEmpty ? this.bytes : this.bytes.subarray(begin, this.offset);
    }

    private findEnd(minEnd: number): number {
        let end = this.bytes.length;
        if (minEnd >= end) {
            return end;
        }
        for (let kind = 0; kind < EMPTY_LINES.length; kind += 1) {
            end = Math.min(end, this.findLineEnd(kind, minEnd));
        }
        return end;
    }

    private findLineEnd(kind: number, minEnd: number): number {
        const line = EMPTY_LINES[kind] ?? "";
        if ((this.lineEnds[kind] ?? 0) < minEnd) {
            const at = this.bytes.indexOf(line, minEnd - line.length);
            this.lineEnds[kind] = at < 0 ? Infinity : at + line.length;
        }
        return this.lineEnds[kind] ?? Infinity;
    }
}

/** @returns The listener that was replaced: the HTTP server's, which is the only one. */
function replaceDataListener(socket: Socket, listener: (bytes: Buffer) => void): (bytes: Buffer) => void {
    const replaced = socket.listeners("data")[0] as (bytes: Buffer) => void;
    socket.removeListener("data", replaced);
    // Like a listener of `once`, it is removed when Node.js removes the original one.
    socket.on("data", Object.assign(listener, { listener: replaced }));
    return replaced;
}
