import http from "node:http";
import type { Socket } from "node:net";

/** Idle connections are closed after this time, because endpoints may drop theirs without notice. */
const IDLE_MS = 2_000;
const KEEP_ALIVE_PROBE_MS = 1_000;

/**
 * Keeps connections to endpoints alive between requests. An idle connection that receives data is closed, because the
 * data belongs to no request and would otherwise be taken for the response to the next one.
 */
export class EndpointAgent extends http.Agent {
    private readonly idleDataListeners = new WeakMap<Socket, () => void>();

    constructor() {
        super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, timeout: IDLE_MS, scheduling: "fifo" });
    }

    override keepSocketAlive(socket: Socket): boolean {
        const isKept = (http.Agent.prototype as unknown as AgentHooks).keepSocketAlive.call(this, socket) !== false;
        if (isKept) {
            const close = () => socket.destroy();
            this.idleDataListeners.set(socket, close);
            socket.once("data", close);
            socket.resume();
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        const close = this.idleDataListeners.get(socket);
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
