import {
    BodyMemory,
    ByteCollector,
    ClientConnections,
    type ClientLimitObserver,
    type ClientLimits,
    newId,
} from "@heatherline/common";
import { callHttp } from "@heatherline/store";
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import { PeerError } from "./errors";
import type { PeerTransport } from "./types";

/** Network address of an instance. */
export interface PeerAddress {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly peerPort: number;
}

/** Messages and bytes of RPCs to other instances since the process started. */
export interface PeerTraffic {
    messagesSent: number;
    bytesSent: number;
    bytesReceived: number;
}

const ESTIMATED_HEADER_BYTES = 160;
const MAX_SOCKETS_PER_PEER = 24;
/** One for each call that has timed out but is kept for a late reply, and one for the next. */
const MAX_HEARTBEAT_SOCKETS_PER_PEER = 8;
const MAX_BODY_BYTES = 4_000_000;
const MAX_HEADER_BYTES = 16_384;
/** Longer than an instance without processor time may take between two parts of a head. */
const HEADER_TIMEOUT_MS = 10_000;
/** How long a connection is kept for a reply that comes after the timeout of its call, in milliseconds. */
const LATE_REPLY_MS = 5_000;

/** Sends RPCs to other instances as JSON-RPC 2.0 over HTTP. */
export class RpcPeerTransport implements PeerTransport {
    readonly traffic: PeerTraffic = { messagesSent: 0, bytesSent: 0, bytesReceived: 0 };
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_PEER });
    private readonly heartbeatAgent = new http.Agent({ keepAlive: true, maxSockets: MAX_HEARTBEAT_SOCKETS_PER_PEER });

    /**
     * @param resolveAddress - Returns the address of a peer, or `undefined` when it is not known.
     * @param secret - Secret that all instances share; sent with each call.
     * @param heartbeatMethods - Methods that have connections of their own, so that calls of them wait for no others.
     */
    constructor(
        private readonly resolveAddress: (peerId: string) => PeerAddress | undefined,
        private readonly secret: string,
        private readonly heartbeatMethods: readonly string[] = [],
    ) {}

    async call<Reply>(
        peerId: string,
        method: string,
        params: object,
        timeoutMs: number,
    ): Promise<Result<Reply, PeerError>> {
        const peer = this.resolveAddress(peerId);
        if (peer === undefined) {
            return err(new PeerError("unknown-peer", `no address is known for ${peerId}`));
        }
        return this.callAddress(peer.address, peer.peerPort, method, params, timeoutMs);
    }

    /**
     * Calls an instance whose address is known but not its identity.
     *
     * @param address - IP address.
     * @param port - Port.
     * @param method - JSON-RPC method.
     * @param params - Parameters.
     * @param timeoutMs - Timeout in milliseconds.
     * @param onLateReply - Called when the reply comes after the timeout; its connection is free for another call then.
     * @returns The reply.
     */
    async callAddress<Reply>(
        address: string,
        port: number,
        method: string,
        params: object,
        timeoutMs: number,
        onLateReply?: () => void,
    ): Promise<Result<Reply, PeerError>> {
        let failure: PeerError | undefined;
        const client: JSONRPCClient = new JSONRPCClient(async payload => {
            const body = JSON.stringify(payload);
            this.traffic.messagesSent += 1;
            this.traffic.bytesSent += body.length + ESTIMATED_HEADER_BYTES;
            const host = address.includes(":") ? `[${address}]` : address;
            const reply = await callHttp({
                url: new URL(`http://${host}:${port}/rpc`),
                method: "POST",
                body,
                timeoutMs,
                // A busy peer accepts one connection per iteration of its event loop. New connections in place of those
                // that are closed at each timeout would queue there behind closed ones.
                lateResponseMs: LATE_REPLY_MS,
                onLateResponse: onLateReply,
                agent: this.heartbeatMethods.includes(method) ? this.heartbeatAgent : this.agent,
                headers: { "content-type": "application/json", "x-peer-secret": this.secret },
            });
            if (reply.isErr()) {
                const kind = reply.error.kind === "lost" ? "lost" : "unreachable";
                failure = new PeerError(kind, `${method} to ${host}:${port}: ${reply.error.message}`);
                throw failure;
            }
            this.traffic.bytesReceived += reply.value.body.length + ESTIMATED_HEADER_BYTES;
            if (reply.value.status !== 200) {
                failure = new PeerError("refused", `${method} to ${host}:${port}: status ${reply.value.status}`);
                throw failure;
            }
            client.receive(JSON.parse(reply.value.body.toString("utf8")));
        }, newId);
        try {
            return ok(await client.request(method, params) as Reply);
        }
        catch (error) {
            return err(
                failure ?? new PeerError("refused", `${method} to ${formatAddress(address, port)} failed`, error),
            );
        }
    }
}

/** Handles the requests for one path that carry no RPC. */
export type PeerRequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** What bounds the clients of an {@link RpcPeerServer}. */
export interface PeerServerLimits {
    readonly limits: ClientLimits;
    readonly observe: ClientLimitObserver;
}

/** Serves RPCs of other instances, and other requests of theirs on paths of their own. */
export class RpcPeerServer {
    private readonly rpc = new JSONRPCServer();
    private readonly routes = new Map<string, PeerRequestHandler>();
    private readonly server: http.Server;
    private readonly connections: ClientConnections | undefined;
    private readonly bodyMemory: BodyMemory | undefined;

    /**
     * @param secret - Secret that all instances share; calls without it are rejected.
     * @param bounds - What bounds the clients, if anything.
     */
    constructor(private readonly secret: string, bounds?: PeerServerLimits) {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 30_000;
        this.connections = bounds && new ClientConnections(this.server, {
            maxConnections: bounds.limits.maxPeerConnections,
            maxHeadBytes: bounds.limits.maxHeadBytes,
            getMaxHeaderBytes: () => MAX_HEADER_BYTES,
            getHeaderTimeoutMs: () => HEADER_TIMEOUT_MS,
        }, bounds.observe);
        this.bodyMemory = bounds && new BodyMemory(bounds.limits.maxPeerBodyBytes, undefined, bounds.observe);
    }

    /**
     * @param method - JSON-RPC method.
     * @param handler - Returns the reply to a call of the method.
     */
    addMethod<Params, Reply>(method: string, handler: (params: Params) => Reply | Promise<Reply>): void {
        // JSON-RPC requires a result, so a reply of undefined is sent as null.
        this.rpc.addMethod(method, async params => await handler(params as Params) ?? null);
    }

    /**
     * @param path - Path of requests that carry no RPC.
     * @param handler - Handles them.
     */
    addRoute(path: string, handler: PeerRequestHandler): void {
        this.routes.set(path, handler);
    }

    /**
     * @param address - IP address to listen on.
     * @param port - Port; 0 for any free port.
     * @returns The port that the server listens on.
     */
    listen(address: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, address, () => {
                const boundAddress = this.server.address();
                resolve(typeof boundAddress === "object" && boundAddress !== null ? boundAddress.port : port);
            });
        });
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const route = this.routes.get(request.url ?? "");
        if (route !== undefined && request.headers["x-peer-secret"] === this.secret) {
            await route(request, response).catch(() => response.destroy());
            return;
        }
        if (request.headers["x-peer-secret"] !== this.secret) {
            // Nothing is kept of the body; what is on its way isn't awaited.
            response.writeHead(403, { Connection: "close" }).end();
            return;
        }
        const body = await this.readBody(request).catch(() => undefined);
        if (body === undefined) {
            response.destroy();
            return;
        }
        if (typeof body === "number") {
            response.writeHead(body, { Connection: "close" }).end();
            return;
        }
        const reply = await this.getReplyText(body.toString("utf8"));
        if (reply === undefined) {
            response.writeHead(500).end();
            return;
        }
        response.writeHead(200, { "content-type": "application/json" }).end(reply);
    }

    /** @returns The body, or the status of the response if it is not kept. */
    private async readBody(request: http.IncomingMessage): Promise<Buffer | number> {
        const collector = new ByteCollector();
        const share = this.bodyMemory?.newShare(() => request.destroy());
        try {
            for await (const chunk of request as AsyncIterable<Buffer>) {
                collector.append(chunk);
                this.connections?.addUsefulBytes(request.socket, chunk.length);
                if (collector.sizeBytes > MAX_BODY_BYTES) {
                    return 413;
                }
                if (share?.setBytes(collector.memoryBytes) === false) {
                    return 503;
                }
            }
            return collector.take();
        }
        finally {
            share?.setBytes(0);
        }
    }

    /** @returns The reply as JSON; `undefined` if it can't be written as JSON, since it is nested too deeply. */
    private async getReplyText(text: string): Promise<string | undefined> {
        try {
            return JSON.stringify(await this.rpc.receiveJSON(text));
        }
        catch {
            return undefined;
        }
    }
}

function formatAddress(address: string, port: number): string {
    return `${address}:${port}`;
}
