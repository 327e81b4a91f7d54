import type http from "node:http";
import type { Socket } from "node:net";
import type { ClientLimitCause, ClientLimitObserver } from "./clientLimits";
import { ConnectionBudget, type ConnectionBudgetLimits } from "./connectionBudget";
import { PiecewiseParser } from "./piecewiseParser";

/** No more is read from a connection while this many of its requests have no complete response. */
const MAX_READ_AHEAD = 16;
/** Some clients send line ends after a body; they don't begin a head. */
const MAX_STRAY_BYTES = 4;
const SWEEP_INTERVAL_MS = 500;
/** Larger than the limit of heads, so that the refusal of a head that is only a little over it is an ordinary response. */
const HEAD_LIMIT_FACTOR = 2;
/** Added to the limit for the sweep, so that a head within it is never cut off. */
const HEAD_TIME_MARGIN_MS = 500;
/** Status lines of the responses to heads that are not read to their end. */
const STATUS_LINES: Partial<Record<ClientLimitCause, string>> = {
    "head-size": "HTTP/1.1 431 Request Header Fields Too Large",
    "head-time": "HTTP/1.1 408 Request Timeout",
};

/** Limits of one listener. */
export interface ClientConnectionLimits extends ConnectionBudgetLimits {
    /** @returns Largest head of a request. */
    readonly getMaxHeaderBytes: () => number;
    /** @returns Longest time from the first byte of a head to its end. */
    readonly getHeaderTimeoutMs: () => number;
}

interface Connection {
    openRequests: number;
    request: http.IncomingMessage | undefined;
    /** Whether a head has become complete with the bytes that are being parsed. */
    hasNewRequest: boolean;
    headSinceMs: number | undefined;
    isPaused: boolean;
    /** Whether a part of the latest request's body was yet to arrive when bytes were last parsed. */
    isBodyArriving: boolean;
    /** Whether it is closed after the responses to the requests that have been read, for lack of memory. */
    isLast: boolean;
}

/** Bounds the connections of an HTTP server, the heads that arrive on them and the requests that are read ahead. */
export class ClientConnections {
    private readonly budget: ConnectionBudget<Socket>;
    private readonly connections = new Map<Socket, Connection>();

    /**
     * @param server - The server.
     * @param limits - Limits of this listener.
     * @param observe - Called for each client that is refused or whose connection is closed.
     */
    constructor(
        server: http.Server,
        private readonly limits: ClientConnectionLimits,
        private readonly observe: ClientLimitObserver,
    ) {
        this.budget = new ConnectionBudget(limits, socket => this.close(socket, "least-useful"));
        server.on("connection", (socket: Socket) => this.add(socket));
        server.prependListener("request", (request: http.IncomingMessage, response: http.ServerResponse) => {
            this.trackRequest(request, response);
        });
        setInterval(() => this.closeLateHeads(), SWEEP_INTERVAL_MS).unref();
    }

    /** Number of open connections. */
    get count(): number {
        return this.budget.count;
    }

    /** Bytes of heads that are not complete, and of what waits to be parsed. */
    get headBytes(): number {
        return this.budget.headBytes;
    }

    /**
     * Records bytes of a body, without those that only frame it.
     *
     * @param socket - The connection.
     * @param sizeBytes - Number of the bytes.
     */
    addUsefulBytes(socket: Socket, sizeBytes: number): void {
        this.budget.addUsefulBytes(socket, sizeBytes);
    }

    private add(socket: Socket): void {
        if (!this.budget.add(socket)) {
            this.close(socket, "connection-limit");
            return;
        }
        const connection: Connection = {
            openRequests: 0,
            request: undefined,
            hasNewRequest: false,
            headSinceMs: undefined,
            isPaused: false,
            isBodyArriving: false,
            isLast: false,
        };
        this.connections.set(socket, connection);
        socket.once("close", () => {
            this.budget.remove(socket);
            this.connections.delete(socket);
        });
        const parser = new PiecewiseParser(socket, {
            mayParse: () => connection.openRequests < MAX_READ_AHEAD && !connection.isLast,
            onParsed: sizeBytes => this.onBytes(socket, connection, sizeBytes),
            onWaiting: memoryBytes => {
                if (!this.budget.setWaitingBytes(socket, memoryBytes)) {
                    connection.isLast = true;
                    parser.drop();
                    this.closeIfAnswered(socket, connection);
                }
            },
        });
    }

    private onBytes(socket: Socket, connection: Connection, sizeBytes: number): void {
        const { request, hasNewRequest, isBodyArriving } = connection;
        connection.hasNewRequest = false;
        connection.isBodyArriving = request?.complete === false;
        if (request?.complete === true && connection.openRequests > 0) {
            this.budget.setBusy(socket, true);
        }
        if (connection.openRequests >= MAX_READ_AHEAD) {
            // Node.js resumes a connection when it discards the rest of a request.
            socket.pause();
            connection.isPaused = true;
        }
        if (hasNewRequest || isBodyArriving || socket.destroyed) {
            return;
        }
        const hasRoom = this.budget.addHeadBytes(socket, sizeBytes);
        if (this.budget.getHeadBytes(socket) > MAX_STRAY_BYTES) {
            connection.headSinceMs ??= performance.now();
        }
        if (!hasRoom) {
            this.reject(socket, connection, "head-memory");
        }
        else if (this.budget.getHeadBytes(socket) > this.limits.getMaxHeaderBytes() * HEAD_LIMIT_FACTOR) {
            this.reject(socket, connection, "head-size");
        }
    }

    /** A connection with requests in progress is closed after their responses. */
    private reject(socket: Socket, connection: Connection, cause: ClientLimitCause): void {
        if (connection.openRequests > 0) {
            socket.pause();
            connection.isPaused = true;
            return;
        }
        const statusLine = STATUS_LINES[cause];
        if (statusLine !== undefined && socket.writable) {
            socket.write(`${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        }
        this.close(socket, cause);
    }

    private trackRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { socket } = request;
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            return;
        }
        this.budget.endHead(socket);
        connection.request = request;
        connection.hasNewRequest = true;
        connection.headSinceMs = undefined;
        connection.openRequests += 1;
        response.once("close", () => {
            connection.openRequests -= 1;
            this.budget.setBusy(socket, connection.openRequests > 0);
            if (connection.isLast) {
                this.closeIfAnswered(socket, connection);
            }
            else if (connection.isPaused && connection.openRequests < MAX_READ_AHEAD) {
                connection.isPaused = false;
                socket.resume();
            }
        });
    }

    /** Closes a connection of which something was dropped, unless a complete request has no complete response. */
    private closeIfAnswered(socket: Socket, { request, openRequests }: Connection): void {
        if (openRequests <= (request?.complete === false ? 1 : 0)) {
            this.close(socket, "head-memory");
        }
    }

    private closeLateHeads(): void {
        const beforeMs = performance.now() - this.limits.getHeaderTimeoutMs() - HEAD_TIME_MARGIN_MS;
        for (const [socket, connection] of this.connections) {
            const { headSinceMs = Infinity, openRequests } = connection;
            if (headSinceMs < beforeMs && openRequests === 0) {
                this.reject(socket, connection, "head-time");
            }
        }
    }

    private close(socket: Socket, cause: ClientLimitCause): void {
        this.budget.remove(socket);
        if (!socket.destroyed) {
            this.observe(cause);
            socket.destroy();
        }
    }
}
