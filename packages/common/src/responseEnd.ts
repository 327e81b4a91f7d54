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
    /**
     * Whether the connection is the end of the response and the other side has closed it in an orderly way, after it was sent
     * the whole request; false after a reset.
     */
    readonly hasRemoteEnded: boolean;
}

/** Tells whether a response arrived whole. To be created as soon as its headers have arrived. */
export class ResponseEndObserver {
    private readonly framing: BodyFraming;
    private hasRemoteEnded = false;

    /**
     * @param incoming - A response whose headers have arrived.
     * @param request - The request that it responds to.
     * @param relayedFraming - How its sender marked its end, if another instance has relayed it with a framing of its own.
     */
    constructor(
        private readonly incoming: http.IncomingMessage,
        private readonly request: http.ClientRequest,
        private readonly relayedFraming?: BodyFraming,
    ) {
        this.framing = getBodyFraming(incoming, request.method);
        if (this.framing === "connection") {
            this.observeEnd(incoming.socket);
        }
    }

    /**
     * Whether the response has ended with its last byte. Node.js reports a response that ends with its connection as
     * complete also after a reset and after this side has closed the connection; only an orderly close by the other
     * side is its end. An end that comes while the request is still being written isn't, since the other side takes no more of
     * it and thus resets the connection.
     */
    get isComplete(): boolean {
        return this.incoming.complete && (this.framing !== "connection" || this.hasRemoteEnded);
    }

    /** How the response ended, or would if it ended now. */
    get responseEnd(): ResponseEnd {
        return this.relayedFraming === undefined
            ? { framing: this.framing, hasRemoteEnded: this.hasRemoteEnded }
            : { framing: this.relayedFraming, hasRemoteEnded: this.relayedFraming === "connection" && this.isComplete };
    }

    /**
     * A reset that is read together with the last bytes also looks like an orderly close, but the connection has no
     * remote address any more then. Node.js looks the address up when it is first asked for, so this is asked for here
     * only, and before the listener of the HTTP client, which destroys the socket.
     */
    private observeEnd(socket: Socket): void {
        socket.prependOnceListener("end", () => {
            this.hasRemoteEnded = socket.remoteAddress !== undefined && this.request.writableFinished;
        });
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
