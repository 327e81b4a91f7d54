import net from "node:net";
import { HOST, KEYS } from "./fleet";

/** What one connection of a {@link Crowd} sends. */
export interface CrowdShape {
    readonly connections: number;
    /** Parts that are written one after the other, each when the one before has left this process. */
    readonly parts: (index: number) => Iterable<string | Buffer>;
    /** Time between two parts, in milliseconds; 0 writes them as fast as they are read. */
    readonly partGapMs?: number;
    /** Whether nothing that arrives is read. */
    readonly isUnread?: boolean;
    /** Part of the connections that close while the others stay open: 3 for a third. */
    readonly leavesEvery?: number;
}

/** Head of a request with a chunked body, without the empty line. */
export const CHUNKED_HEAD = newHead("POST", "/lookup/a") + "Transfer-Encoding: chunked\r\n";

/**
 * @param method - Method of the request.
 * @param path - Its path.
 * @returns Begin of the head of a request that would be served, without the empty line.
 */
export function newHead(method: string, path: string): string {
    return `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: Token ${KEYS.alpha}\r\nDeadline: 5000\r\n`;
}

/** Many connections at once to one port, each of which sends the same and stays open. */
export class Crowd {
    private readonly sockets: net.Socket[] = [];

    /**
     * @param port - Where to.
     * @param shape - What the connections send.
     */
    constructor(private readonly port: number, private readonly shape: CrowdShape) {}

    /** Opens the connections and starts to send. */
    start(): void {
        for (let index = 0; index < this.shape.connections; index += 1) {
            const socket = net.connect(this.port, "127.0.0.1");
            this.sockets.push(socket);
            socket.on("error", () => undefined);
            if (this.shape.isUnread === true) {
                socket.pause();
            }
            else {
                socket.resume();
            }
            socket.once("connect", () => void this.send(socket, index));
        }
    }

    /** Closes all connections. */
    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
    }

    private async send(socket: net.Socket, index: number): Promise<void> {
        const { parts, partGapMs = 0, leavesEvery } = this.shape;
        for (const part of parts(index)) {
            if (socket.destroyed) {
                return;
            }
            if (!socket.write(part)) {
                await new Promise<void>(resolve => {
                    socket.once("drain", resolve);
                    socket.once("close", resolve);
                });
            }
            if (partGapMs > 0) {
                await new Promise(resolve => setTimeout(resolve, partGapMs));
            }
        }
        if (leavesEvery !== undefined && index % leavesEvery === 0) {
            socket.destroy();
        }
    }
}
