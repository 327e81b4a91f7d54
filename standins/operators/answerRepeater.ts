import type http from "node:http";
import type { Socket } from "node:net";

/** The answer to the latest request on a connection. */
interface Recording {
    /** The period in which the request came. */
    period: number;
    /** What has been written; kept only while answers are sent once more. */
    chunks: Buffer[];
    /** Whether the answer is sent once more in the place of the next one. */
    isChosen: boolean;
}

/**
 * Lets a server send some of its answers once more, late, in the place of the next answer on the same connection. The
 * copies have the bytes of the answers, whatever their statuses.
 */
export class AnswerRepeater {
    /** Copies that were sent. */
    copies = 0;
    private part = 0;
    private mayRepeat: (request: http.IncomingMessage) => boolean = () => true;
    /** Number of times that it was told to begin or to end. */
    private period = 0;
    private answers = 0;
    private chosen = 0;
    private readonly recordings = new WeakMap<Socket, Recording>();

    /**
     * @param server - The server. If its requests have a listener already, that one must not answer at once, so that copies
     *     precede answers.
     */
    constructor(server: http.Server) {
        server.on("connection", (socket: Socket) => this.record(socket));
        server.on("request", (request: http.IncomingMessage, response: http.ServerResponse) => {
            this.sendCopy(request.socket);
            response.once("finish", () => this.choose(request, response));
        });
    }

    /**
     * Begins to send answers once more. They are never more than the given part of all answers from now on.
     *
     * @param part - Part of the answers.
     * @param mayRepeat - Selects the answers that may be sent once more; any if left out.
     */
    begin(part: number, mayRepeat: (request: http.IncomingMessage) => boolean = () => true): void {
        this.period += 1;
        this.part = part;
        this.mayRepeat = mayRepeat;
        this.answers = 0;
        this.chosen = 0;
    }

    /** Ends it; copies that are due are not sent any more. */
    end(): void {
        this.period += 1;
        this.part = 0;
    }

    private record(socket: Socket): void {
        const recording: Recording = { period: this.period, chunks: [], isChosen: false };
        this.recordings.set(socket, recording);
        const write = socket.write.bind(socket) as (...parameters: unknown[]) => boolean;
        socket.write = (chunk: Uint8Array | string, ...rest: unknown[]) => {
            if (this.part > 0) {
                const encoding = typeof rest[0] === "string" ? rest[0] as BufferEncoding : "utf8";
                recording.chunks.push(typeof chunk === "string" ? Buffer.from(chunk, encoding) : Buffer.from(chunk));
            }
            return write(chunk, ...rest);
        };
    }

    private sendCopy(socket: Socket): void {
        const recording = this.recordings.get(socket);
        if (recording === undefined) {
            return;
        }
        const copy = recording.isChosen && recording.period === this.period
            ? Buffer.concat(recording.chunks)
            : undefined;
        if (copy !== undefined) {
            this.copies += 1;
            socket.write(copy);
        }
        Object.assign(recording, { period: this.period, chunks: [], isChosen: false });
    }

    private choose(request: http.IncomingMessage, response: http.ServerResponse): void {
        const recording = this.recordings.get(request.socket);
        if (recording?.period !== this.period) {
            return;
        }
        this.answers += 1;
        const isWithinPart = this.chosen + 1 <= this.part * this.answers;
        if (isWithinPart && response.shouldKeepAlive && this.mayRepeat(request)) {
            this.chosen += 1;
            recording.isChosen = true;
        }
    }
}
