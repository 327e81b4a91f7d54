import { type BodyMemory, ByteCollector } from "@heatherline/common";
import { Refusal } from "@heatherline/serving";
import { err, ok, type Result } from "neverthrow";
import type http from "node:http";

const MS_PER_S = 1_000;
/** Time after which a caller that was refused for lack of memory may try again. */
const RETRY_MS = 300;
/**
 * If more than this of a body is left that there is no memory for, the connection is closed after the refusal. With 60 bodies
 * of 4 MB, reading and discarding the rest took 20 MB more memory.
 */
const MAX_DISCARDED_BYTES = 262_144;

/** Error response to a caller (problem details, RFC 9457). */
export interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly code: string;
    readonly detail: string;
    /** Whether the request did not run at any endpoint; `unknown` if that can't be determined. */
    readonly notRun: boolean | "unknown";
    readonly retryAfterMs?: number;
    readonly requestId?: string;
}

/**
 * Reads the whole body of a request.
 *
 * @param request - The request.
 * @param maxBytes - Size limit of the body, in bytes.
 * @param memory - Memory for all bodies, used until the response is closed.
 * @param response - The response.
 * @returns The body, or a refusal if it is too large or the connection ended before it was complete.
 */
export function readBody(
    request: http.IncomingMessage,
    maxBytes: number,
    memory?: BodyMemory,
    response?: http.ServerResponse,
): Promise<Result<Buffer, Refusal>> {
    const { "content-length": declaredLength } = request.headers;
    const declaredBytes = Number(declaredLength ?? 0);
    const newTooLarge = () => new Refusal("body-too-large", 413, `the body is larger than ${maxBytes} bytes`, true);
    if (declaredBytes > maxBytes) {
        return Promise.resolve(err(newTooLarge()));
    }
    return new Promise(resolve => {
        const collector = new ByteCollector();
        const share = memory?.newShare(() => request.destroy());
        response?.once("close", () => share?.setBytes(0));
        const refuse = (refusal: Refusal) => {
            collector.clear();
            share?.setBytes(0);
            resolve(err(refusal));
            request.removeAllListeners("data").resume();
        };
        request.on("data", (chunk: Buffer) => {
            collector.append(chunk);
            if (collector.sizeBytes > maxBytes) {
                refuse(newTooLarge());
            }
            else if (share?.setBytes(collector.memoryBytes) === false) {
                const restBytes = declaredLength === undefined ? Infinity : declaredBytes - collector.sizeBytes;
                if (response !== undefined && restBytes > MAX_DISCARDED_BYTES) {
                    response.shouldKeepAlive = false;
                }
                refuse(new Refusal("queue-full", 503, "the bodies of other requests take the memory", true, RETRY_MS));
            }
        });
        request.on("end", () => {
            share?.setComplete();
            resolve(ok(collector.take()));
        });
        request.on("close", () => {
            if (!request.complete) {
                resolve(err(new Refusal("bad-request", 400, "the upload ended before it was complete", true)));
            }
        });
        request.on("error", () => undefined);
    });
}

/**
 * Sends a JSON response, unless a response has been started or the connection is closed.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param body - Any value that can be serialised to JSON.
 */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/**
 * Sends a refusal as problem details (RFC 9457). If a response has been started already, closes the connection instead.
 *
 * @param response - The response.
 * @param refusal - The refusal.
 * @param requestId - Id of the request.
 */
export function sendRefusal(response: http.ServerResponse, refusal: Refusal, requestId: string): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const problem: Problem = {
        type: `urn:heatherline:problem:${refusal.kind}`,
        title: refusal.kind.replaceAll("-", " "),
        status: refusal.status,
        code: refusal.kind,
        detail: refusal.message,
        notRun: refusal.notRun,
        retryAfterMs: refusal.retryAfterMs === undefined ? undefined : Math.ceil(refusal.retryAfterMs),
        requestId,
    };
    const text = JSON.stringify(problem);
    const headers: http.OutgoingHttpHeaders = {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(text),
        "x-request-id": requestId,
    };
    if (refusal.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_S)));
    }
    if (refusal.kind === "body-too-large" || refusal.kind === "shutting-down") {
        headers.connection = "close";
    }
    response.writeHead(refusal.status, headers);
    response.end(text);
}
