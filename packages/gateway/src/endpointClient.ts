import { ResponseEndObserver } from "@heatherline/common";
import type { EndpointEntry } from "@heatherline/fleet";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import net from "node:net";
import { EndpointAgent } from "./endpointAgent";
import type { EndpointResponseHead, WireCodec } from "./wireCodec";

/** Endpoints in the same region accept a connection within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** Informational heads (1xx) before a response; endpoints send one at most. */
const MAX_INFORMATIONAL_HEADS = 8;
const STATUS_MISDIRECTED = 421;
const MIN_ERROR_STATUS = 400;

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
}

/** Status and headers of an endpoint's response; the body is yet to be read from `incoming`. */
export interface EndpointResponse {
    readonly status: number;
    readonly head: EndpointResponseHead;
    readonly incoming: http.IncomingMessage;
    readonly endObserver: ResponseEndObserver;
}

/**
 * Why there is no response.
 *
 * - `unreachable`: no connection was established, or the request can't be sent; it was not sent.
 * - `broken`: the connection broke after part of the request may have been sent.
 * - `invalid-response`: the endpoint sent the response to another request, or data that is not HTTP.
 * - `aborted`: the gateway aborted the request.
 */
export interface SendFailure {
    readonly kind: "unreachable" | "broken" | "invalid-response" | "aborted";
    readonly reason: string;
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

/** Sends requests to endpoints over HTTP. */
export class EndpointClient {
    private readonly agent = new EndpointAgent();
    private readonly lastResponseAtMs = new Map<string, number>();

    /**
     * @param wire - Parses the headers of responses.
     * @param listener - Told what endpoints say of themselves.
     */
    constructor(private readonly wire: WireCodec, private readonly listener?: EndpointStatementListener) {}

    /**
     * @param endpointId - An endpoint.
     * @returns Monotonic time at which the endpoint's latest response began to arrive; -Infinity if there was none.
     */
    getLastResponseAtMs(endpointId: string): number {
        return this.lastResponseAtMs.get(endpointId) ?? -Infinity;
    }

    /**
     * Drops the state of endpoints that no longer exist.
     *
     * @param listedIds - Ids of the endpoints that exist.
     */
    retainOnly(listedIds: ReadonlySet<string>): void {
        for (const endpointId of this.lastResponseAtMs.keys()) {
            if (!listedIds.has(endpointId)) {
                this.lastResponseAtMs.delete(endpointId);
            }
        }
    }

    /**
     * Sends a request to an endpoint.
     *
     * @param endpointRequest - The request.
     * @returns Status and headers of the response, or why there is none.
     */
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
            const connectTimer = setTimeout(() => {
                request.destroy(new Error("connect timeout"));
            }, CONNECT_TIMEOUT_MS);
            const onAbort = () => request.destroy(new Error("aborted"));
            signal.addEventListener("abort", onAbort, { once: true });
            const onConnected = () => {
                isConnected = true;
                clearTimeout(connectTimer);
            };
            request.on("socket", socket => {
                if (socket.connecting) {
                    socket.once("connect", onConnected);
                }
                else {
                    onConnected();
                }
            });
            request.on("close", () => {
                clearTimeout(connectTimer);
                signal.removeEventListener("abort", onAbort);
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
                resolve(this.toResponse(endpointRequest, incoming, sentAtMs, request.reusedSocket));
            });
            request.end(endpointRequest.body);
        });
    }

    /**
     * Checks whether an endpoint accepts connections.
     *
     * @param endpoint - The endpoint.
     * @returns Whether it has accepted one within the connect timeout.
     */
    isListening({ host, port }: EndpointEntry): Promise<boolean> {
        return new Promise(resolve => {
            const socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
            const finish = (isListening: boolean) => {
                socket.destroy();
                resolve(isListening);
            };
            socket.once("connect", () => finish(true));
            socket.once("timeout", () => finish(false));
            socket.once("error", () => finish(false));
        });
    }

    /** Node.js throws at once for what can't be sent: a port out of range, or a character that no header may have. */
    private openRequest(endpointRequest: EndpointRequest): Result<http.ClientRequest, SendFailure> {
        const { endpoint, method, path, headers, mayReuseConnection } = endpointRequest;
        try {
            return ok(http.request({
                host: endpoint.host,
                port: endpoint.port,
                method,
                path,
                headers: headers as unknown as http.OutgoingHttpHeaders,
                agent: mayReuseConnection ? this.agent : false,
            }));
        }
        catch (error) {
            return err({ kind: "unreachable", reason: (error as NodeJS.ErrnoException).code ?? String(error) });
        }
    }

    private toResponse(
        endpointRequest: EndpointRequest,
        incoming: http.IncomingMessage,
        sentAtMs: number,
        isConnectionReused: boolean,
    ): Result<EndpointResponse, SendFailure> {
        // Without a listener, an error while the body arrives would end the process. Whoever reads the body sees the
        // error there.
        incoming.on("error", () => undefined);
        this.lastResponseAtMs.set(endpointRequest.endpoint.endpointId, performance.now());
        const head = this.wire.parseResponseHead(incoming.headers);
        if (head.requestId !== undefined && head.requestId !== endpointRequest.requestId) {
            incoming.destroy();
            return err({ kind: "invalid-response", reason: `response to request ${head.requestId}` });
        }
        // A faulty endpoint may send an earlier refusal once more; this request may be running meanwhile.
        if (head.requestId === undefined && isConnectionReused && (incoming.statusCode ?? 0) >= MIN_ERROR_STATUS) {
            incoming.destroy();
            return err({ kind: "invalid-response", reason: `status ${incoming.statusCode} without a request id` });
        }
        // A response that the request reached another endpoint says nothing about the one that it was sent to.
        if (incoming.statusCode !== STATUS_MISDIRECTED) {
            this.reportStatements(endpointRequest.endpoint, head, sentAtMs);
        }
        return ok({
            status: incoming.statusCode ?? 0,
            head,
            incoming,
            endObserver: new ResponseEndObserver(incoming, endpointRequest.method),
        });
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
