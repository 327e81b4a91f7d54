import { err, ok, type Result } from "neverthrow";
import http from "node:http";

/** A request with a body in memory. */
export interface HttpCall {
    readonly url: URL;
    readonly method: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    readonly timeoutMs: number;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
}

/** A complete answer. */
export interface HttpReply {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Why no complete answer came. `refused` and `unsent` are certain not to have reached the server's program. */
export interface HttpFailure {
    readonly kind: "refused" | "unsent" | "lost";
    readonly message: string;
}

/**
 * Makes one call and reads the whole answer.
 *
 * @param call - The request; `timeoutMs` bounds it from connect to last byte.
 * @returns The answer, or why there is none.
 */
export function callHttp(call: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise(resolve => {
        let connected = false;
        const fail = (error: NodeJS.ErrnoException) => {
            clearTimeout(timer);
            request.destroy();
            const kind = error.code === "ECONNREFUSED" ? "refused" : connected ? "lost" : "unsent";
            resolve(err({ kind, message: error.code ?? error.message }));
        };
        const request = http.request(call.url, {
            method: call.method,
            agent: call.agent,
            signal: call.signal,
            headers: call.headers,
        });
        const timer = setTimeout(() => fail(new Error(`no answer within ${call.timeoutMs} ms`)), call.timeoutMs);
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
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", fail);
            response.on("end", () => {
                clearTimeout(timer);
                if (!response.complete) {
                    fail(new Error("answer was cut short"));
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
