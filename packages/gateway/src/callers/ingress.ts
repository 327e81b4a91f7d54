import {
    BodyMemory,
    type BodyShare,
    ClientConnections,
    type ClientLimitObserver,
    type ClientLimits,
    getClientLimits,
    IdleConnections,
    type Logger,
    sleep,
} from "@heatherline/common";
import type { FleetView } from "@heatherline/fleet";
import http from "node:http";
import type { Socket } from "node:net";
import type { BatchApi, BatchApiRequest } from "../jobs/batchApi";
import type { MemoryBudget } from "../memoryBudget";
import type { GatewayMetrics } from "../metrics";
import type { OnlineHandler } from "../online/onlineHandler";
import type { OnlineRequest } from "../online/onlineRequest";
import type { WireCodec } from "../wireCodec";
import type { Admission } from "./admission";
import { readCallerBody } from "./callerBody";
import { CallerResponse } from "./callerResponse";
import { findCutBy } from "./cutObserver";
import { newRefusal, type Refusal } from "./refusal";
import type { StartupGate } from "./startupGate";
import type { StopSchedule } from "./stopSchedule";

/** Limit of request bodies until the configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Limit of header blocks in the HTTP parser, whatever the configuration says. */
const MAX_HEADER_BYTES = 65_536;
/** Headers of one request; 16,384 bytes can't hold as many. More would take a multiple of their bytes until they are refused. */
const MAX_HEADERS = 4_096;
/** Two spaces, the protocol version and the line end. */
const REQUEST_LINE_EXTRA_BYTES = 12;
/** A name is followed by a colon and a space, a value by a line end. */
const HEADER_PART_EXTRA_BYTES = 2;
/** Added to the configured idle timeout, so that the connection isn't closed while a caller sends its next request. */
const IDLE_TIMEOUT_MARGIN_MS = 2_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Limits of heads until the configuration is known. */
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;

/** Requests of one connection that are handled at the same time; further ones wait for a response to end. */
const MAX_CONCURRENT_REQUESTS = 2;

/** Time for requests that are given up to be answered, and for the answers to be sent. */
const ANSWER_MS = 50;

/** A request whose response is not finished. */
interface OpenRequest {
    readonly response: CallerResponse;
    /** Ends the work at the request, so that it is answered. */
    readonly giveUp: AbortController;
}

/** What an {@link Ingress} depends on. */
export interface IngressDependencies {
    readonly admission: Admission;
    readonly view: FleetView;
    readonly wire: WireCodec;
    readonly online: OnlineHandler;
    readonly batch: BatchApi;
    readonly stopSchedule: StopSchedule;
    readonly startupGate: StartupGate;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Bounds the bodies in memory; derived from the limits of clients if absent. */
    readonly bodyMemory?: BodyMemory;
    /**
     * Bounds the bodies of online requests in progress; where it is absent, they count as arriving bodies until their
     * requests have ended.
     */
    readonly memoryBudget?: MemoryBudget | undefined;
    /** What callers may take of the process; derived from the heap's limit if absent. */
    readonly clientLimits?: ClientLimits;
    /** Called for each caller that is refused for lack of resources, or whose connection is closed. */
    readonly observeClientLimit?: ClientLimitObserver;
}

/** HTTP server for callers: reads requests, admits them and dispatches them to the online handler or the batch API. */
export class Ingress {
    private readonly server: http.Server;
    private readonly idleConnections: IdleConnections;
    private readonly openRequests = new Set<OpenRequest>();
    private configChangedAtMs = performance.now();
    private readonly bodyMemory: BodyMemory;
    private readonly clientLimits: ClientLimits;
    private readonly clientConnections: ClientConnections;
    /** The responses of each connection that are not finished, in the order of their requests. */
    private readonly openResponses = new WeakMap<Socket, http.ServerResponse[]>();
    /** Connections of which a response has announced that it is the last. */
    private readonly closingSockets = new WeakSet<Socket>();

    /**
     * @param deps - What the server depends on.
     */
    constructor(private readonly deps: IngressDependencies) {
        this.clientLimits = deps.clientLimits ?? getClientLimits({});
        const observe = deps.observeClientLimit ?? (() => undefined);
        this.bodyMemory = deps.bodyMemory ?? new BodyMemory(this.clientLimits.maxBodyBytes, undefined, observe);
        this.server = http.createServer(
            { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS },
            (request, response) => {
                void this.handle(request, response);
            },
        );
        // Beyond it, the parser drops headers. A request with as many is refused.
        this.server.maxHeadersCount = MAX_HEADERS;
        this.idleConnections = new IdleConnections(
            this.server,
            DEFAULT_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_MARGIN_MS,
            () => deps.stopSchedule.isStopping,
        );
        const { maxCallerConnections: maxConnections, maxHeadBytes } = this.clientLimits;
        const getLimits = () => deps.view.routes?.config.limits;
        this.clientConnections = new ClientConnections(this.server, {
            maxConnections,
            maxHeadBytes,
            getMaxHeaderBytes: () => getLimits()?.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
            getHeaderTimeoutMs: () => getLimits()?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS,
        }, observe);
        deps.view.onChange(part => {
            const limits = deps.view.routes?.config.limits;
            if (part === "config" && limits !== undefined) {
                this.configChangedAtMs = performance.now();
                // Node.js announces this time in each response.
                this.server.keepAliveTimeout = limits.idleTimeoutMs;
                this.idleConnections.setIdleTimeout(limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS);
                this.server.headersTimeout = limits.headerTimeoutMs;
            }
        });
    }

    /** Number of requests whose responses are not finished. */
    get openRequestCount(): number {
        return this.openRequests.size;
    }

    /** Number of open connections, idle or not. */
    get openConnectionCount(): number {
        return this.idleConnections.openCount;
    }

    /**
     * @param host - Address to listen on.
     * @param port - Port; 0 for any free one.
     * @returns The port that the server listens on.
     */
    listen(host: string, port: number): Promise<number> {
        return listen(this.server, host, port);
    }

    /**
     * Accepts no more connections and closes idle ones; open requests continue, and their connections are closed after
     * their responses. What has arrived before is read first.
     */
    stopAccepting(): Promise<void> {
        return this.idleConnections.stopAccepting();
    }

    /** Gives up what is still open, since the process is about to end, and answers the requests that have no response. */
    async giveUpRequests(): Promise<void> {
        this.openRequests.forEach(({ giveUp }) => giveUp.abort());
        await sleep(ANSWER_MS);
        for (const { response } of this.openRequests) {
            if (!response.hasStarted) {
                response.sendRefusal(newRefusal("outcome-unknown"));
            }
        }
        await sleep(ANSWER_MS);
    }

    /** Closes all connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: http.IncomingMessage, serverResponse: http.ServerResponse): Promise<void> {
        const arrivedAtMs = performance.now();
        const { socket } = request;
        const earlierEnds = this.waitForEarlier(socket, serverResponse);
        if (earlierEnds !== undefined) {
            await earlierEnds;
        }
        if (this.closingSockets.has(socket) || socket.destroyed) {
            // The caller knows from the response before that this request is not processed.
            request.resume();
            return;
        }
        const share = this.bodyMemory.newShare(() => socket.destroy());
        try {
            await this.handleRequest(request, serverResponse, share, arrivedAtMs);
        }
        finally {
            share.setBytes(0);
        }
    }

    /**
     * Only a few requests of a connection are handled at the same time. Otherwise a caller that reads nothing could make
     * responses pile up that can only be sent in order.
     *
     * @returns Resolves once the request may be handled; `undefined` if it may be at once.
     */
    private waitForEarlier(socket: Socket, response: http.ServerResponse): Promise<void> | undefined {
        const open = this.openResponses.get(socket) ?? [];
        open.push(response);
        this.openResponses.set(socket, open);
        response.once("close", () => open.splice(open.indexOf(response), 1));
        const earlier = open.at(-1 - MAX_CONCURRENT_REQUESTS);
        return earlier === undefined ? undefined : new Promise(resolve => earlier.once("close", () => resolve()));
    }

    private async handleRequest(
        request: http.IncomingMessage,
        serverResponse: http.ServerResponse,
        share: BodyShare,
        arrivedAtMs: number,
    ): Promise<void> {
        const { socket } = request;
        const callerGone = new AbortController();
        serverResponse.once("close", () => {
            if (!serverResponse.writableFinished) {
                callerGone.abort();
            }
        });
        serverResponse.on("error", () => callerGone.abort());
        const caller = this.deps.wire.parseRequestHead(request.headers);
        let isUnread = false;
        const response = new CallerResponse(
            serverResponse,
            this.deps.wire,
            caller.requestId,
            () => this.checkClosing(socket, isUnread),
            sizeBytes => this.hasRoomForResponse(sizeBytes),
        );
        const openRequest = { response, giveUp: new AbortController() };
        this.openRequests.add(openRequest);
        // Of pipelined requests, only the first one's response is told that the connection closes.
        const onSocketClose = () => {
            callerGone.abort();
            this.openRequests.delete(openRequest);
        };
        socket.once("close", onSocketClose);
        serverResponse.once("close", () => {
            socket.removeListener("close", onSocketClose);
            this.openRequests.delete(openRequest);
        });
        const headerBytes = countHeaderBytes(request);
        const { maxHeaderBytes = MAX_HEADER_BYTES } = this.deps.view.routes?.config.limits ?? {};
        const headerCount = request.rawHeaders.length / 2;
        if (headerBytes > maxHeaderBytes || headerCount >= MAX_HEADERS) {
            const detail = `${headerBytes} bytes in ${headerCount} headers`;
            this.refuse(caller.requestId, response, newRefusal("headers-too-large", detail));
            return;
        }
        const body = await readCallerBody(
            request,
            () => this.getMaxBodyBytes(),
            share,
            sizeBytes => this.clientConnections.addUsefulBytes(socket, sizeBytes),
        );
        if (body === "gone") {
            // No response can be sent.
            return;
        }
        if (body === "too-large" || body === "unread") {
            isUnread = body === "unread";
            const detail = `more than ${this.getMaxBodyBytes()} bytes`;
            this.refuse(caller.requestId, response, newRefusal("body-too-large", detail));
            return;
        }
        this.observeCut(serverResponse, response, caller.requestId, arrivedAtMs);
        if (body === "no-room") {
            const detail = "the bodies of other requests take the memory";
            this.refuse(caller.requestId, response, newRefusal("overloaded", detail));
            return;
        }
        const url = request.url ?? "/";
        const queryAt = url.indexOf("?");
        const path = queryAt < 0 ? url : url.slice(0, queryAt);
        const query = new URLSearchParams(queryAt < 0 ? "" : url.slice(queryAt + 1));
        const method = request.method ?? "GET";
        const callerRequest: BatchApiRequest = { caller, method, path, query, body, response, arrivedAtMs };
        try {
            const signals = { callerGone: callerGone.signal, giveUp: openRequest.giveUp.signal };
            await this.dispatch(callerRequest, request, signals, share);
        }
        catch (error) {
            this.deps.logger.error({ event: "request-crashed", requestId: caller.requestId, error: String(error) });
            response.sendRefusal(newRefusal("endpoint-failed"));
        }
    }

    private async dispatch(
        callerRequest: BatchApiRequest,
        request: http.IncomingMessage,
        signals: Pick<OnlineRequest, "callerGone" | "giveUp">,
        share: BodyShare,
    ): Promise<void> {
        const { caller, path, response } = callerRequest;
        await this.deps.startupGate.wait();
        const batchTarget = this.deps.wire.parseBatchPath(path);
        if (batchTarget !== undefined) {
            await this.deps.batch.handle(callerRequest, batchTarget);
            return;
        }
        const admitted = this.deps.admission.admit({ host: caller.host, path, apiKey: caller.apiKey });
        if (admitted.isErr()) {
            this.refuse(caller.requestId, response, admitted.error);
            return;
        }
        if (caller.requestId === undefined) {
            this.refuse(undefined, response, newRefusal("bad-request", "the request has no id"));
            return;
        }
        if (admitted.value.route.kind === "batch") {
            await this.deps.batch.submit(callerRequest, admitted.value);
            return;
        }
        const onlineRequest = { ...callerRequest, incoming: request, ...signals };
        if (this.mayOutlastProcess(onlineRequest, admitted.value.route.timeoutMs)) {
            this.refuse(caller.requestId, response, newRefusal("stopping", "it may not end in time"));
            return;
        }
        const { memoryBudget } = this.deps;
        if (memoryBudget === undefined) {
            await this.deps.online.handle(onlineRequest, admitted.value);
            return;
        }
        const heldBody = memoryBudget.bodies.holdOnline(callerRequest.body.length);
        if (heldBody === undefined) {
            const { usedBytes, maxBytes } = memoryBudget;
            const detail = `${callerRequest.body.length} bytes; ${usedBytes} of ${Math.floor(maxBytes)} are held`;
            this.refuse(caller.requestId, response, newRefusal("overloaded", detail));
            return;
        }
        // The body has arrived, and is counted once only.
        share.setBytes(0);
        try {
            await this.deps.online.handle(onlineRequest, admitted.value);
        }
        finally {
            heldBody.release();
        }
    }

    /** Records that the connection of a request that has been read closes before the response is complete. */
    private observeCut(
        serverResponse: http.ServerResponse,
        response: CallerResponse,
        requestId: string | undefined,
        arrivedAtMs: number,
    ): void {
        serverResponse.once("close", () => {
            if (serverResponse.writableFinished) {
                return;
            }
            const cutBy = findCutBy(serverResponse, response.isAborted);
            this.deps.metrics.recordCut(cutBy);
            this.deps.logger.info({
                event: "request-cut",
                requestId,
                cutBy,
                hasStarted: response.hasStarted,
                durationMs: Math.round(performance.now() - arrivedAtMs),
                sinceConfigMs: Math.round(performance.now() - this.configChangedAtMs),
                isStopping: this.deps.stopSchedule.isStopping,
            });
        });
    }

    /** @returns Whether the connection is to be closed after the response that begins now. */
    private checkClosing(socket: Socket, isUnread: boolean): boolean {
        const isLast = this.deps.stopSchedule.isStopping && this.idleConnections.countOpenRequests(socket) <= 1;
        const isClosing = isUnread || isLast;
        if (isClosing) {
            this.closingSockets.add(socket);
        }
        return isClosing;
    }

    /** @returns Whether a response may be built that its caller may be slow to read, in view of all that are not read. */
    private hasRoomForResponse(sizeBytes: number): boolean {
        let unsentBytes = sizeBytes;
        this.openRequests.forEach(({ response }) => {
            unsentBytes += response.unsentBytes;
        });
        const hasRoom = unsentBytes <= this.clientLimits.maxUnsentBytes;
        if (!hasRoom) {
            this.deps.observeClientLimit?.("unsent-memory");
        }
        return hasRoom;
    }

    private mayOutlastProcess({ caller, arrivedAtMs }: OnlineRequest, timeoutMs: number): boolean {
        const durationMs = Math.min(timeoutMs, caller.timeLeftMs ?? Infinity);
        return arrivedAtMs + durationMs - performance.now() > this.deps.stopSchedule.maxDurationMs;
    }

    private refuse(requestId: string | undefined, response: CallerResponse, refusal: Refusal): void {
        const { status, reason, detail } = refusal;
        this.deps.logger.info({ event: "request", requestId, outcome: "refused", status, reason, detail });
        response.sendRefusal(refusal);
    }

    private getMaxBodyBytes(): number {
        return this.deps.view.routes?.config.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    }
}

/**
 * @param server - The server to start.
 * @param host - Address to listen on.
 * @param port - Port; 0 for any free one.
 * @returns The port that the server listens on.
 */
export function listen(server: http.Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            const bound = server.address();
            resolve(typeof bound === "object" && bound !== null ? bound.port : port);
        });
    });
}

/** Size of the request line and the headers as they were sent, but for white space around values. */
function countHeaderBytes({ method = "", url = "", rawHeaders }: http.IncomingMessage): number {
    const lineBytes = method.length + url.length + REQUEST_LINE_EXTRA_BYTES;
    return rawHeaders.reduce((sum, part) => sum + part.length + HEADER_PART_EXTRA_BYTES, lineBytes);
}
