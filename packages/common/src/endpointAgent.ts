import http from "node:http";
import type { Socket } from "node:net";
import { RequestIdHistory, toRequestIdDigest } from "./requestIdHistory";

const KEEP_ALIVE_PROBE_MS = 1_000;

/** Options of an {@link EndpointAgent}. */
export interface EndpointAgentOptions {
    /** Idle connections are closed after this time, because endpoints may drop theirs without notice. */
    readonly idleMs: number;
    /** Which of several idle connections is used next: the one that has been idle for longest, or for the shortest time. */
    readonly firstReused: "longest-idle" | "shortest-idle";
    /** Called with what happens to connections. */
    readonly onEvent?: ((event: ConnectionEvent) => void) | undefined;
}

/** Options of a request to an endpoint. */
export interface EndpointRequestOptions extends http.RequestOptions {
    /** Id that the endpoint repeats in its response. */
    readonly requestId: string;
}

/**
 * What happens to connections to endpoints.
 *
 * - `reused`: an idle connection carries a request.
 * - `opened`: no connection was idle.
 * - `opened-for-id`: connections were idle, and each had carried a request with the same id.
 * - `used-up`: a connection is closed since it has carried as many requests as its history holds.
 */
export type ConnectionEvent = "reused" | "opened" | "opened-for-id" | "used-up";

/**
 * Keeps connections to endpoints alive between requests. An idle connection that receives data is closed, because the
 * data belongs to no request and would otherwise be taken for the response to the next one. Where such data arrives only
 * with the next request, the id in it tells it from the response. So no connection carries two requests with the same id,
 * whichever caller, job or other instance they come from.
 */
export class EndpointAgent extends http.Agent {
    private readonly idleDataListeners = new WeakMap<Socket, () => void>();
    private readonly histories = new WeakMap<Socket, RequestIdHistory>();

    /**
     * @param agentOptions - Its options.
     */
    constructor(private readonly agentOptions: EndpointAgentOptions) {
        const { idleMs } = agentOptions;
        super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, timeout: idleMs, scheduling: "fifo" });
    }

    /**
     * Gives a request an idle connection that hasn't carried its id, or else a new one.
     *
     * @param request - The request.
     * @param options - Its options.
     */
    addRequest(request: http.ClientRequest, options: EndpointRequestOptions): void {
        const digest = toRequestIdDigest(options.requestId);
        request.once("socket", socket => this.getHistory(socket).add(digest));
        const idleSockets = this.freeSockets[this.getName(options)] ?? [];
        const isFit = (socket: Socket) => !socket.destroyed && !this.getHistory(socket).has(digest);
        const index = this.agentOptions.firstReused === "longest-idle"
            ? idleSockets.findIndex(isFit)
            : idleSockets.findLastIndex(isFit);
        if (index >= 0) {
            this.report("reused");
            idleSockets.unshift(...idleSockets.splice(index, 1));
            prototype.addRequest.call(this, request, options);
            return;
        }
        this.report(idleSockets.some(socket => !socket.destroyed) ? "opened-for-id" : "opened");
        const unfitSockets = idleSockets.splice(0);
        prototype.addRequest.call(this, request, options);
        this.restoreIdle(options, unfitSockets);
    }

    override keepSocketAlive(socket: Socket): boolean {
        if (this.getHistory(socket).isFull) {
            this.report("used-up");
            return false;
        }
        const isKept = prototype.keepSocketAlive.call(this, socket) !== false;
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
        prototype.reuseSocket.call(this, socket, request);
    }

    private report(event: ConnectionEvent): void {
        this.agentOptions.onEvent?.(event);
    }

    private getHistory(socket: Socket): RequestIdHistory {
        let history = this.histories.get(socket);
        if (history === undefined) {
            history = new RequestIdHistory();
            this.histories.set(socket, history);
        }
        return history;
    }

    /** Node.js has removed the list, which was empty meanwhile. */
    private restoreIdle(options: EndpointRequestOptions, sockets: Socket[]): void {
        if (sockets.length > 0) {
            (this.freeSockets as NodeJS.Dict<Socket[]>)[this.getName(options)] = sockets;
        }
    }
}

/** Methods of Node.js's agent that its types leave out. */
interface AgentMethods {
    addRequest(this: http.Agent, request: http.ClientRequest, options: http.RequestOptions): void;
    keepSocketAlive(this: http.Agent, socket: Socket): boolean | undefined;
    reuseSocket(this: http.Agent, socket: Socket, request: http.ClientRequest): void;
}

const prototype = http.Agent.prototype as unknown as AgentMethods;
