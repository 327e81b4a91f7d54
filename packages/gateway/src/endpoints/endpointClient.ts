import {
    type ConnectionEvent,
    EndpointAgent,
    type EndpointRequestOptions,
    ResponseEndObserver,
} from "@heatherline/common";
import type { EndpointEntry } from "@heatherline/fleet";
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import net from "node:net";
import type { EndpointResponseHead, WireCodec } from "../wireCodec";
import type { Fault } from "./endpointLinks";

/** Endpoints in the same region accept a connection within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** After this time it is likely that no connection will be established. */
const SLOW_CONNECT_MS = 100;
const IDLE_CONNECTION_MS = 2_000;
/** Informational heads (1xx) before a response; endpoints send one at most. */
const MAX_INFORMATIONAL_HEADS = 8;
/** Statuses outside these don't end a request, or are none. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
const STATUS_MISDIRECTED = 421;
const MIN_ERROR_STATUS = 400;
/** Endpoints whose latest response is remembered. */
const MAX_REMEMBERED_ENDPOINTS = 4_096;

/** One request to one endpoint. */
export interface EndpointRequest {
    readonly requestId: string;
    readonly endpoint: EndpointEntry;
    readonly method: string;
    readonly path: string;
    /** Names and values alternating. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /**
     * Whether an idle connection may be reused. The endpoint may be closing it at the same time, so that it stays
     * unknown whether the request ran.
     */
    readonly mayReuseConnection: boolean;
    readonly signal: AbortSignal;
    /**
     * Asked before the request is sent another way, after time has passed: its headers by then, or `undefined` if it may
     * no longer be sent. Without it the headers stay the same.
     */
    readonly renewHeaders?: () => readonly string[] | undefined;
    /** Called if the connection is not established soon, long before the attempt is given up. */
    readonly onSlowConnect?: () => void;
}

/** Status and headers of an endpoint's response; the body is yet to be read from `incoming`. */
export interface EndpointResponse {
    readonly status: number;
    readonly head: EndpointResponseHead;
    /** Headers as the endpoint sent them, names and values alternating. */
    readonly rawHeaders: readonly string[];
    readonly incoming: http.IncomingMessage;
    readonly endObserver: ResponseEndObserver;
}

/**
 * Why there is no response.
 *
 * - `unreachable`: no connection was established; the request was not sent.
 * - `unsendable`: the request can't be written as HTTP, to any endpoint; it was not sent.
 * - `broken`: the connection broke after part of the request may have been sent.
 * - `invalid-response`: the endpoint sent the response to another request, or data that is not HTTP.
 * - `aborted`: the gateway aborted the request.
 * - `no-path`: this instance doesn't reach the endpoint, and no other one relays the request; it was not sent. Says nothing
 *   about the endpoint.
 */
export interface SendFailure {
    readonly kind: "unreachable" | "unsendable" | "broken" | "invalid-response" | "aborted" | "no-path";
    readonly reason: string;
}

/** How a request was sent. */
interface Sending {
    /** Monotonic time at which it was sent. */
    readonly sentAtMs: number;
    /** Whether an earlier request was sent over the same connection to the endpoint. */
    readonly isConnectionReused: boolean;
}

/** Sends requests to endpoints. */
export interface EndpointSender {
    /**
     * Sends a request to an endpoint.
     *
     * @param request - The request.
     * @returns Status and headers of the response, or why there is none.
     */
    send(request: EndpointRequest): Promise<Result<EndpointResponse, SendFailure>>;
    /**
     * Finds out why an endpoint has not answered as expected.
     *
     * @param endpoint - The endpoint.
     * @returns Where the fault is.
     */
    findFault(endpoint: EndpointEntry): Promise<Fault>;
    /**
     * @param endpointId - An endpoint.
     * @returns Monotonic time at which the endpoint last sent something, in response to any request; -Infinity if never.
     */
    getLastDataAtMs(endpointId: string): number;
}

/** Receives what endpoints say of themselves in their responses. */
export interface EndpointStatementListener {
    /**
     * @param endpoint - An endpoint that says that it leaves.
     */
    markLeaving(endpoint: EndpointEntry): void;
    /**
     * @param endpoint - An endpoint that names a limit, or a response of which names none.
     * @param ratePerS - The requests per second that it takes from all instances together; `undefined` for no limit.
     * @param ageMs - Age of the statement: 0 for a limit; without one, the time since the request was sent, before
     * which the endpoint may have named a limit that still holds.
     */
    recordLimit(endpoint: EndpointEntry, ratePerS: number | undefined, ageMs: number): void;
}

/** Sends requests to endpoints over connections of this instance. */
export class EndpointClient implements EndpointSender {
    private readonly agent: EndpointAgent;
    /** Kept of endpoints that are no longer registered, too, since they go on with their requests. */
    private readonly lastDataAtMs = new LRUCache<string, number>({ max: MAX_REMEMBERED_ENDPOINTS });

    /**
     * @param wire - Parses the headers of responses.
     * @param listener - Told what endpoints say of themselves.
     * @param onConnectionEvent - Called with what happens to the connections that are kept.
     */
    constructor(
        private readonly wire: WireCodec,
        private readonly listener?: EndpointStatementListener,
        onConnectionEvent?: (event: ConnectionEvent) => void,
    ) {
        this.agent = new EndpointAgent({
            idleMs: IDLE_CONNECTION_MS,
            firstReused: "longest-idle",
            onEvent: onConnectionEvent,
        });
    }

    getLastDataAtMs(endpointId: string): number {
        return this.lastDataAtMs.get(endpointId) ?? -Infinity;
    }

    send(endpointRequest: EndpointRequest): Promise<Result<EndpointResponse, SendFailure>> {
        const { signal } = endpointRequest;
        if (signal.aborted) {
            return Promise.resolve(err({ kind: "aborted", reason: "aborted before sending" }));
        }
        return new Promise(resolve => {
            let isConnected = false;
            const sentAtMs = performance.now();
            const opened = this.openRequest(endpointRequest);
            if (opened.isErr()) {
                resolve(err(opened.error));
                return;
            }
            const request = opened.value;
            const connectTimer = setTimeout(
                // A connection that was established while the process was busy is seen first.
                () => setImmediate(() => isConnected || request.destroy(new Error("connect timeout"))),
                CONNECT_TIMEOUT_MS,
            );
            const slowConnectTimer = setTimeout(
                () => setImmediate(() => isConnected || endpointRequest.onSlowConnect?.()),
                SLOW_CONNECT_MS,
            );
            const onAbort = () => request.destroy(new Error("aborted"));
            signal.addEventListener("abort", onAbort, { once: true });
            const onConnected = () => {
                isConnected = true;
                clearTimeout(connectTimer);
                clearTimeout(slowConnectTimer);
            };
            const onData = () => this.lastDataAtMs.set(endpointRequest.endpoint.endpointId, performance.now());
            request.on("socket", socket => {
                socket.on("data", onData);
                request.once("close", () => socket.removeListener("data", onData));
                if (socket.connecting) {
                    socket.once("connect", onConnected);
                }
                else {
                    onConnected();
                }
            });
            request.on("close", () => {
                clearTimeout(connectTimer);
                clearTimeout(slowConnectTimer);
                signal.removeEventListener("abort", onAbort);
                // After a response that switches protocols, the connection closes without any other event.
                resolve(err({ kind: "invalid-response", reason: "closed without a response" }));
            });
            request.on("error", (error: NodeJS.ErrnoException) => {
                resolve(err(toFailure(error, isConnected, signal.aborted)));
            });
            let informationalHeads = 0;
            const onInformational = () => {
                informationalHeads += 1;
                if (informationalHeads === MAX_INFORMATIONAL_HEADS) {
                    request.destroy(
                        Object.assign(new Error("too many informational heads"), { code: "HPE_INFORMATION" }),
                    );
                }
            };
            request.on("information", onInformational);
            request.on("response", incoming => {
                // Without a listener, an error while the body arrives would end the process. Whoever reads the body
                // sees the error there.
                incoming.on("error", () => undefined);
                const endObserver = new ResponseEndObserver(incoming, request);
                const { statusCode = 0, rawHeaders } = incoming;
                const response = { status: statusCode, rawHeaders, incoming, endObserver };
                const { reusedSocket } = request;
                resolve(this.checkResponse(endpointRequest, response, { sentAtMs, isConnectionReused: reusedSocket }));
            });
            request.end(endpointRequest.body);
        });
    }

    /**
     * Checks whether an endpoint accepts connections of this instance.
     *
     * @param endpoint - The endpoint.
     * @returns Whether it has accepted one within the connect timeout.
     */
    canConnect({ host, port }: EndpointEntry): Promise<boolean> {
        return new Promise(resolve => {
            const socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
            const finish = (isListening: boolean) => {
                socket.destroy();
                resolve(isListening);
            };
            socket.once("connect", () => finish(true));
            socket.once("timeout", () => setImmediate(() => finish(false)));
            socket.once("error", () => finish(false));
        });
    }

    async findFault(endpoint: EndpointEntry): Promise<Fault> {
        return await this.canConnect(endpoint) ? "none" : "endpoint";
    }

    /**
     * Checks the head of a response, and records what the endpoint says of itself in it.
     *
     * @param request - The request that it responds to.
     * @param response - The response, of which the head has arrived.
     * @param sending - How the request was sent.
     * @returns The response, or why it is none to this request.
     */
    checkResponse(
        { requestId, endpoint }: EndpointRequest,
        response: Omit<EndpointResponse, "head">,
        { sentAtMs, isConnectionReused }: Sending,
    ): Result<EndpointResponse, SendFailure> {
        const { status, incoming } = response;
        this.lastDataAtMs.set(endpoint.endpointId, performance.now());
        const head = this.wire.parseResponseHead(incoming.headers);
        if (head.requestId !== undefined && head.requestId !== requestId) {
            incoming.destroy();
            return err({ kind: "invalid-response", reason: `response to request ${head.requestId}` });
        }
        if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) {
            incoming.destroy();
            return err({ kind: "invalid-response", reason: `status ${status}` });
        }
        // A faulty endpoint may send an earlier refusal once more; this request may be running meanwhile.
        if (head.requestId === undefined && isConnectionReused && status >= MIN_ERROR_STATUS) {
            incoming.destroy();
            return err({ kind: "invalid-response", reason: `status ${status} without a request id` });
        }
        // A response that the request reached another endpoint says nothing about the one that it was sent to.
        if (status !== STATUS_MISDIRECTED) {
            this.reportStatements(endpoint, head, sentAtMs);
        }
        return ok({ ...response, head });
    }

    /** Node.js throws at once for what can't be sent: a port out of range, or a character that no header may have. */
    private openRequest(endpointRequest: EndpointRequest): Result<http.ClientRequest, SendFailure> {
        const { requestId, endpoint, method, path, headers, mayReuseConnection } = endpointRequest;
        const options: EndpointRequestOptions = {
            requestId,
            host: endpoint.host,
            port: endpoint.port,
            method,
            path,
            headers: headers as unknown as http.OutgoingHttpHeaders,
            agent: mayReuseConnection ? this.agent : false,
        };
        try {
            return ok(http.request(options));
        }
        catch (error) {
            const { code = String(error) } = error as NodeJS.ErrnoException;
            return err({ kind: code === "ERR_SOCKET_BAD_PORT" ? "unreachable" : "unsendable", reason: code });
        }
    }

    private reportStatements(endpoint: EndpointEntry, head: EndpointResponseHead, sentAtMs: number): void {
        if (head.isLeaving) {
            this.listener?.markLeaving(endpoint);
        }
        if (head.requestLimit.kind === "named") {
            this.listener?.recordLimit(endpoint, head.requestLimit.ratePerS, 0);
        }
        // Bytes of a faulty endpoint are no statement that its limit has ended.
        else if (head.requestLimit.kind === "none" && head.isSigned) {
            this.listener?.recordLimit(endpoint, undefined, performance.now() - sentAtMs);
        }
    }
}

/**
 * @param kind - Why there is no response.
 * @returns Whether the request was certainly not sent.
 */
export function isNotSent(kind: SendFailure["kind"]): kind is "unreachable" | "unsendable" | "no-path" {
    return kind === "unreachable" || kind === "unsendable" || kind === "no-path";
}

function toFailure(error: NodeJS.ErrnoException, isConnected: boolean, wasAborted: boolean): SendFailure {
    const reason = error.code ?? error.message;
    if (wasAborted) {
        return { kind: "aborted", reason };
    }
    if (!isConnected) {
        return { kind: "unreachable", reason };
    }
    return { kind: error.code?.startsWith("HPE_") === true ? "invalid-response" : "broken", reason };
}
