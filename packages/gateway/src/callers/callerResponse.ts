import type http from "node:http";
import type { WireCodec } from "../wireCodec";
import { newRefusal, type Refusal } from "./refusal";
import { waitForTurn } from "./responseTurn";

/** Smaller responses that the gateway generates itself are always sent. */
const MIN_LARGE_BYTES = 65_536;

/** The HTTP response to one caller; at most one response is written, and what comes after its end is ignored. */
export class CallerResponse {
    private wasStarted = false;
    private wasEnded = false;
    private wasAborted = false;

    /**
     * @param response - The response to write to.
     * @param wire - Formats headers.
     * @param requestId - Id of the request, if it has one.
     * @param isConnectionClosing - Whether the connection is to be closed after this response.
     * @param hasRoom - Whether a large response may be buffered until its caller has read it.
     */
    constructor(
        private readonly response: http.ServerResponse,
        private readonly wire: WireCodec,
        private readonly requestId: string | undefined,
        private readonly isConnectionClosing: () => boolean,
        private readonly hasRoom: (sizeBytes: number) => boolean = () => true,
    ) {}

    /** Bytes that have been written and not been sent. */
    get unsentBytes(): number {
        return this.response.writableLength;
    }

    /** Whether any part of a response has been written. */
    get hasStarted(): boolean {
        return this.wasStarted;
    }

    /** Whether the response was given up before it was complete. */
    get isAborted(): boolean {
        return this.wasAborted;
    }

    /** Whether the response is complete or aborted, or its connection has closed before it got its turn there. */
    get hasEnded(): boolean {
        return this.wasEnded || this.response.destroyed || isDisconnected(this.response);
    }

    /**
     * Starts a streaming response.
     *
     * @param status - HTTP status.
     * @param rawHeaders - Headers of the endpoint's response.
     */
    startStream(status: number, rawHeaders: readonly string[]): void {
        if (this.hasEnded) {
            return;
        }
        const headers = this.wire.toCallerHeaders(rawHeaders);
        const withoutLength = withoutHeader(headers, "content-length");
        // Throws if the head is invalid; another response can be sent then.
        this.response.writeHead(status, this.withConnectionClose(withoutLength));
        this.wasStarted = true;
    }

    /**
     * Writes a part of a streaming response.
     *
     * @param bytes - The next bytes.
     * @returns `undefined` if more can be written at once; otherwise a promise that resolves when the write buffer has
     * drained or the connection has closed.
     */
    write(bytes: Buffer): Promise<void> | undefined {
        if (this.hasEnded || this.response.write(bytes)) {
            return undefined;
        }
        return waitUntilDrained(this.response);
    }

    /**
     * Writes a part of a response that has started and not ended.
     *
     * @param bytes - The next bytes.
     * @param onWritten - Called when the connection has taken them; it may not be if the connection closes before.
     */
    writeThen(bytes: Buffer, onWritten: () => void): void {
        this.response.write(bytes, () => onWritten());
    }

    /**
     * @param listener - Called when the response is complete or its connection has closed.
     */
    onClose(listener: () => void): void {
        this.response.once("close", listener);
    }

    /** @returns Resolves when earlier responses on the connection have been sent, or it has closed. */
    waitForTurn(): Promise<void> {
        return waitForTurn(this.response);
    }

    /** Ends a streaming response that is complete. */
    endStream(): void {
        if (this.hasEnded) {
            return;
        }
        this.wasEnded = true;
        this.response.end();
    }

    /** Closes the connection, so that the caller can tell that the response is incomplete. */
    abort(): void {
        this.wasEnded = true;
        this.wasAborted = true;
        this.response.destroy();
    }

    /**
     * Starts a response whose length is known.
     *
     * @param status - HTTP status.
     * @param rawHeaders - Headers of the endpoint's response.
     * @param bodyBytes - Length of the body, which is yet to be written.
     */
    startFull(status: number, rawHeaders: readonly string[], bodyBytes: number): void {
        if (this.hasEnded) {
            return;
        }
        const headers = withoutHeader(this.wire.toCallerHeaders(rawHeaders), "content-length");
        headers.push("Content-Length", String(bodyBytes));
        this.response.writeHead(status, this.withConnectionClose(headers));
        this.wasStarted = true;
    }

    /**
     * Starts a response that the gateway generates itself.
     *
     * @param status - HTTP status.
     * @param contentType - Media type of the body.
     * @param bodyBytes - Length of the body, which is yet to be written.
     */
    startLocal(status: number, contentType: string, bodyBytes: number): void {
        if (this.hasEnded) {
            return;
        }
        this.wasStarted = true;
        this.response.writeHead(status, {
            ...this.wire.toLocalResponseHeaders(this.requestId, undefined),
            "Content-Type": contentType,
            "Content-Length": bodyBytes,
            ...this.isConnectionClosing() ? { Connection: "close" } : {},
        });
    }

    /**
     * Sends an endpoint's response in one piece.
     *
     * @param status - HTTP status.
     * @param rawHeaders - Headers of the endpoint's response.
     * @param body - The complete body.
     */
    sendFull(status: number, rawHeaders: readonly string[], body: Buffer): void {
        if (this.hasEnded) {
            return;
        }
        const headers = withoutHeader(this.wire.toCallerHeaders(rawHeaders), "content-length");
        headers.push("Content-Length", String(body.length));
        this.response.writeHead(status, this.withConnectionClose(headers));
        this.wasStarted = true;
        this.wasEnded = true;
        this.response.end(body);
    }

    /**
     * Sends a refusal, with its reason as JSON.
     *
     * @param refusal - The refusal.
     */
    sendRefusal({ status, reason, retryAfterMs }: Refusal): void {
        this.sendLocal(status, JSON.stringify({ error: reason }), "application/json", retryAfterMs);
    }

    /**
     * Sends a response that the gateway generates itself. A response that has started but not ended is aborted instead.
     *
     * @param status - HTTP status.
     * @param body - The body.
     * @param contentType - Media type of the body.
     * @param retryAfterMs - Time after which the caller may retry.
     */
    sendLocal(status: number, body: string | Buffer, contentType: string, retryAfterMs?: number): void {
        if (this.hasEnded) {
            return;
        }
        if (this.wasStarted) {
            this.abort();
            return;
        }
        const sizeBytes = Buffer.byteLength(body);
        if (sizeBytes >= MIN_LARGE_BYTES && !this.hasRoom(sizeBytes)) {
            this.sendRefusal(newRefusal("overloaded", "responses that callers don't read take the memory"));
            return;
        }
        this.wasStarted = true;
        this.wasEnded = true;
        const headers = {
            ...this.wire.toLocalResponseHeaders(this.requestId, retryAfterMs),
            "Content-Type": contentType,
            "Content-Length": sizeBytes,
            ...this.isConnectionClosing() ? { Connection: "close" } : {},
        };
        this.response.writeHead(status, headers);
        this.response.end(body);
    }

    private withConnectionClose(headers: string[]): string[] {
        return this.isConnectionClosing() ? [...headers, "Connection", "close"] : headers;
    }
}

/**
 * @param response - A response whose write buffer is full.
 * @returns Resolves when the buffer has drained or the connection has closed.
 */
export function waitUntilDrained(response: http.ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const done = () => {
            response.removeListener("drain", done);
            response.removeListener("close", done);
            resolve();
        };
        response.once("drain", done);
        response.once("close", done);
    });
}

function withoutHeader(headers: readonly string[], name: string): string[] {
    return headers.filter((_, index) => headers[index - index % 2]?.toLowerCase() !== name);
}

/** Node.js destroys only the response that has the connection, not those of pipelined requests behind it. */
function isDisconnected({ req }: Partial<http.ServerResponse>): boolean {
    return req?.socket.destroyed === true;
}
