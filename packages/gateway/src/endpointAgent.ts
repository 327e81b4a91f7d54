import http from "node:http";
import type { Socket } from "node:net";

/** An idle connection is closed after this long: endpoints may drop theirs without notice. */
const IDLE_MS = 2_000;
const KEEP_ALIVE_PROBE_MS = 1_000;

/**
 * Keeps connections to endpoints open between requests. Bytes that arrive on an idle connection belong to no request,
 * so such a connection is closed.
 */
export class EndpointAgent extends http.Agent {
    private readonly watchers = new WeakMap<Socket, () => void>();

    constructor() {
        super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, timeout: IDLE_MS, scheduling: "fifo" });
    }

    override keepSocketAlive(socket: Socket): boolean {
        const isKept = (http.Agent.prototype as unknown as AgentHooks).keepSocketAlive.call(this, socket) !== false;
        if (isKept) {
            const close = () => socket.destroy();
            this.watchers.set(socket, close);
            socket.once("data", close);
            socket.resume();
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        const close = this.watchers.get(socket);
        if (close !== undefined) {
            socket.removeListener("data", close);
        }
        (http.Agent.prototype as unknown as AgentHooks).reuseSocket.call(this, socket, request);
    }
}

interface AgentHooks {
    keepSocketAlive(this: http.Agent, socket: Socket): boolean | undefined;
    reuseSocket(this: http.Agent, socket: Socket, request: http.ClientRequest): void;
}
