import type http from "node:http";
import net, { type Socket } from "node:net";
import { afterNextPoll } from "./pollPhase";

const SWEEP_INTERVAL_MS = 250;
/** While the server stops, the first request on a new connection is awaited for this long. */
const FIRST_REQUEST_WAIT_MS = 500;

/** Bytes that have arrived without a request after them are taken for the begin of one for this long. */
const STRAY_BYTES_WAIT_MS = 30_000;
/** The same while the server stops. */
const STOPPING_STRAY_BYTES_WAIT_MS = 1_500;

/** State of one open connection. */
interface OpenConnection {
    /** Requests whose responses are not finished. */
    openRequests: number;
    /** Monotonic time at which the connection was accepted or its latest response was finished. */
    idleSinceMs: number;
    /** Bytes that had been received by then. */
    bytesRead: number;
    /** Bytes that had been received when they were last looked at. */
    seenBytes: number;
    /** When more bytes were last seen. */
    bytesSeenAtMs: number;
    /** Highest limit that has been in force since it was accepted or its latest request arrived. */
    idleTimeoutMs: number;
    /** Whether there has been a request. */
    isUsed: boolean;
}

/**
 * Closes the connections of an HTTP server that have been idle for too long. The limit may change while connections are
 * open: a higher limit holds for all connections at once, a lower one only after the next request, since callers may still
 * rely on the higher one. A connection on which a part of a request has arrived isn't idle.
 */
export class IdleConnections {
    private readonly connections = new Map<Socket, OpenConnection>();
    private isClosingAll = false;

    /**
     * @param server - The server. It closes no connections because of its own timeout any more.
     * @param idleTimeoutMs - Time after which an idle connection is closed, in milliseconds.
     * @param isStopping - Whether a connection is to be closed at the end of its response, also if the response began
     * before and didn't announce that.
     */
    constructor(
        private readonly server: http.Server,
        private idleTimeoutMs: number,
        private readonly isStopping: () => boolean,
    ) {
        server.on("connection", (socket: Socket) => this.add(socket));
        server.prependListener("request", ({ socket }: http.IncomingMessage, response: http.ServerResponse) => {
            this.trackRequest(socket, response);
        });
        // With a listener, Node.js doesn't close connections itself after the idle time that it announces to callers.
        server.on("timeout", () => undefined);
        setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref();
    }

    /** Number of connections that are open, idle or not. */
    get openCount(): number {
        return this.connections.size;
    }

    /**
     * @param socket - A connection.
     * @returns Number of its requests whose responses are not finished.
     */
    countOpenRequests(socket: Socket): number {
        return this.connections.get(socket)?.openRequests ?? 0;
    }

    /**
     * Changes the limit.
     *
     * @param idleTimeoutMs - Time after which an idle connection is closed, in milliseconds.
     */
    setIdleTimeout(idleTimeoutMs: number): void {
        this.idleTimeoutMs = idleTimeoutMs;
        for (const connection of this.connections.values()) {
            connection.idleTimeoutMs = Math.max(connection.idleTimeoutMs, idleTimeoutMs);
        }
    }

    /**
     * Accepts no more connections and closes idle ones; open requests continue, and their connections are closed after
     * their responses. What has arrived before is read first.
     */
    async stopAccepting(): Promise<void> {
        await new Promise<void>(resolve => afterNextPoll(resolve));
        // The method of http.Server also closes connections whose responses callers have not read to the end.
        net.Server.prototype.close.call(this.server);
        this.isClosingAll = true;
        this.sweep();
    }

    private add(socket: Socket): void {
        this.connections.set(socket, {
            openRequests: 0,
            idleSinceMs: performance.now(),
            bytesRead: 0,
            seenBytes: 0,
            bytesSeenAtMs: performance.now(),
            idleTimeoutMs: this.idleTimeoutMs,
            isUsed: false,
        });
        socket.once("close", () => this.connections.delete(socket));
    }

    private trackRequest(socket: Socket, response: http.ServerResponse): void {
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            return;
        }
        connection.openRequests += 1;
        connection.isUsed = true;
        // The response announces this limit, or a later one, to the caller.
        connection.idleTimeoutMs = this.idleTimeoutMs;
        response.once("close", () => {
            connection.openRequests -= 1;
            connection.idleSinceMs = performance.now();
            connection.bytesRead = socket.bytesRead;
            if (this.isStopping()) {
                this.closeWhere(other => other === connection);
            }
        });
    }

    private sweep(): void {
        for (const [{ bytesRead }, connection] of this.connections) {
            if (bytesRead !== connection.seenBytes) {
                connection.seenBytes = bytesRead;
                connection.bytesSeenAtMs = performance.now();
            }
        }
        this.closeWhere(connection => isOverLimit(connection) || (this.isClosingAll && isUnneeded(connection)));
    }

    /** Bytes of which no request has come for long, such as line ends after the last one, belong to none. */
    private isIdle(socket: Socket, connection: OpenConnection): boolean {
        const { openRequests, bytesRead, seenBytes, bytesSeenAtMs } = connection;
        const patienceMs = this.isClosingAll ? STOPPING_STRAY_BYTES_WAIT_MS : STRAY_BYTES_WAIT_MS;
        const areBytesStray = socket.bytesRead === seenBytes && performance.now() - bytesSeenAtMs > patienceMs;
        return openRequests === 0 && (socket.bytesRead === bytesRead || areBytesStray);
    }

    /** Closes idle connections, but for those on which something has arrived that is yet to be read. */
    private closeWhere(mayClose: (connection: OpenConnection) => boolean): void {
        const idle = [...this.connections].filter(([socket, connection]) =>
            this.isIdle(socket, connection) && mayClose(connection)
        );
        if (idle.length === 0) {
            return;
        }
        // However late the timer fires, requests that have arrived by then are answered.
        afterNextPoll(() => {
            idle.filter(([socket, connection]) => this.isIdle(socket, connection) && mayClose(connection))
                .forEach(([socket]) => socket.destroy());
        });
    }
}

function isOverLimit({ idleSinceMs, idleTimeoutMs }: OpenConnection): boolean {
    return performance.now() - idleSinceMs > idleTimeoutMs;
}

function isUnneeded({ isUsed, idleSinceMs }: OpenConnection): boolean {
    return isUsed || performance.now() - idleSinceMs > FIRST_REQUEST_WAIT_MS;
}
