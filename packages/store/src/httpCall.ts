import { ResponseEndObserver } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";

/** Limit of a response; the platform's store and other instances send a few megabytes at most. */
const MAX_REPLY_BYTES = 16_777_216;

/** An HTTP request whose body is in memory. */
export interface HttpCall {
    readonly url: URL;
    readonly method: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    readonly timeoutMs: number;
    /**
     * How long the connection is kept for a late response after the timeout, which is dropped, so that later calls can use
     * the connection; by default it is closed at once.
     */
    readonly lateResponseMs?: number;
    /** Called when a response comes late, so that its connection is free again. */
    readonly onLateResponse?: (() => void) | undefined;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
}

/** A complete HTTP response. */
export interface HttpReply {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

/**
 * Why there was no complete response.
 *
 * - `refused`: the server refused the connection; it did not process the request.
 * - `unsent`: there was no connection; the server did not process the request.
 * - `lost`: the request was sent and may have been processed.
 */
export interface HttpFailure {
    readonly kind: "refused" | "unsent" | "lost";
    readonly message: string;
}

/**
 * Sends a request and reads the whole response.
 *
 * @param call - The request; `timeoutMs` covers the time from connecting to the last byte of the response.
 * @returns The response, or why there is none.
 */
export function callHttp(call: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise(resolve => {
        let connected = false;
        let lateTimer: NodeJS.Timeout | undefined;
        const resolveFailed = (error: NodeJS.ErrnoException) => {
            const kind = error.code === "ECONNREFUSED" ? "refused" : connected ? "lost" : "unsent";
            resolve(err({ kind, message: error.code ?? error.message }));
        };
        const clearTimers = () => {
            clearTimeout(timer);
            clearTimeout(lateTimer);
        };
        const fail = (error: NodeJS.ErrnoException) => {
            clearTimers();
            request.destroy();
            resolveFailed(error);
        };
        const onTimeout = () => {
            const connection = connected && !request.reusedSocket ? " over a new connection" : "";
            const error = new Error(`no response within ${call.timeoutMs} ms${connection}`);
            // A request without a connection must not be sent later, as the caller is told that it was not.
            if (!connected || call.lateResponseMs === undefined) {
                fail(error);
                return;
            }
            resolveFailed(error);
            lateTimer = setTimeout(() => request.destroy(), call.lateResponseMs);
        };
        const request = http.request(call.url, {
            method: call.method,
            agent: call.agent,
            signal: call.signal,
            headers: call.headers,
        });
        const timer = setTimeout(onTimeout, call.timeoutMs);
        request.on("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => {
                    connected = true;
                });
            }
            else {
                connected = true;
            }
        });
        request.on("error", fail);
        request.on("response", response => {
            const endObserver = new ResponseEndObserver(response, request);
            const chunks: Buffer[] = [];
            let sizeBytes = 0;
            response.on("data", (chunk: Buffer) => {
                sizeBytes += chunk.length;
                if (sizeBytes > MAX_REPLY_BYTES) {
                    fail(new Error(`a response of more than ${MAX_REPLY_BYTES} bytes`));
                    return;
                }
                chunks.push(chunk);
            });
            response.on("error", fail);
            response.on("end", () => {
                clearTimers();
                if (lateTimer !== undefined) {
                    call.onLateResponse?.();
                    return;
                }
                if (!endObserver.isComplete) {
                    fail(new Error("the response ended early"));
                    return;
                }
                resolve(ok({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks),
                }));
            });
        });
        request.end(call.body);
    });
}
