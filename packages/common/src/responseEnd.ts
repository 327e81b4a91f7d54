import type http from "node:http";
import type { Socket } from "node:net";

/**
 * How the end of a response's body is marked: by its length, by its last chunk, or by the end of the connection; `none`
 * if the response has no body.
 */
export type BodyFraming = "none" | "length" | "chunked" | "connection";

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** How a response ended, for the log. */
export interface ResponseEnd {
    readonly framing: BodyFraming;
    /** Whether the other side has closed its half of the connection in an orderly way; false after a reset. */
    readonly hasPeerEnded: boolean;
}

/**
 * Tells whether a response arrived whole. To be created before its body is read, while Node.js still knows its
 * connection.
 */
export class ResponseEndObserver {
    private readonly socket: Socket;
    private readonly framing: BodyFraming;

    /**
     * @param incoming - A response whose headers have arrived.
     * @param method - Method of the request.
     */
    constructor(private readonly incoming: http.IncomingMessage, method: string) {
        this.socket = incoming.socket;
        this.framing = getBodyFraming(incoming, method);
    }

    /**
     * Whether the response has ended with its last byte. Node.js reports a response that ends with its connection as
     * complete also after a reset and after this side has closed the connection; only an orderly close by the other
     * side is its end.
     */
    get isComplete(): boolean {
        return this.incoming.complete && (this.framing !== "connection" || this.socket.readableEnded);
    }

    /** How the response ended, or would if it ended now. */
    get responseEnd(): ResponseEnd {
        return { framing: this.framing, hasPeerEnded: this.socket.readableEnded };
    }
}

function getBodyFraming({ headers, statusCode = 0 }: http.IncomingMessage, method: string): BodyFraming {
    if (method === "HEAD" || STATUSES_WITHOUT_BODY.has(statusCode)) {
        return "none";
    }
    if (headers["transfer-encoding"]?.trimEnd().toLowerCase().endsWith("chunked") === true) {
        return "chunked";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
}
