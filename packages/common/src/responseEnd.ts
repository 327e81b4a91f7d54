import type http from "node:http";
import type { Socket } from "node:net";

/** How the end of a response's body is marked: by its length, by its last chunk, or by the end of the connection. */
export type BodyFraming = "length" | "chunked" | "connection";

/** How a response ended, for the log. */
export interface ResponseEnd {
    readonly framing: BodyFraming;
    /** Whether the other side has closed its half of the connection in an orderly way; false after a reset. */
    readonly hasPeerEnded: boolean;
}

/** Observes how a response ends. To be created before its body is read, while Node.js still knows its connection. */
export class ResponseEndObserver {
    private readonly socket: Socket;
    private readonly framing: BodyFraming;

    /**
     * @param incoming - A response whose headers have arrived.
     */
    constructor(incoming: http.IncomingMessage) {
        this.socket = incoming.socket;
        this.framing = getBodyFraming(incoming);
    }

    /** How the response ended, or would if it ended now. */
    get responseEnd(): ResponseEnd {
        return { framing: this.framing, hasPeerEnded: this.socket.readableEnded };
    }
}

function getBodyFraming({ headers }: http.IncomingMessage): BodyFraming {
    if (headers["transfer-encoding"]?.trimEnd().toLowerCase().endsWith("chunked") === true) {
        return "chunked";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
}
