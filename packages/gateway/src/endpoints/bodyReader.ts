import type http from "node:http";
import type { EndpointResponse } from "./endpointClient";

/** Limit of non-streaming response bodies, which are buffered in memory. */
const MAX_BODY_BYTES = 8_388_608;
/** Limit of all bodies that are buffered at the same time; the read buffers that their chunks refer to may be twice that. */
const MAX_BUFFERED_BYTES = 16_777_216;
/** A body that is not needed is read up to this size, so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MS = 500;

/** Bytes that a response may take beyond its body, such as chunk sizes and trailers, and what is yet to be read. */
const MAX_FRAMING_BYTES = 1_048_576;
const FRAMING_CHECK_INTERVAL_MS = 250;

let bufferedBytes = 0;

/**
 * Reads a body chunk by chunk. Ends with an error if the endpoint sends much more than the body, such as a chunk size
 * without end, from which the HTTP parser yields nothing.
 *
 * @param incoming - The response.
 */
export async function* readChunks(incoming: http.IncomingMessage): AsyncGenerator<Buffer> {
    const { socket } = incoming;
    const startBytes = socket?.bytesRead ?? 0;
    let bodyBytes = 0;
    const timer = setInterval(() => {
        if ((socket?.bytesRead ?? 0) - startBytes - bodyBytes > MAX_FRAMING_BYTES) {
            incoming.destroy(new Error(`more than ${MAX_FRAMING_BYTES} bytes beyond the body`));
        }
    }, FRAMING_CHECK_INTERVAL_MS);
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            bodyBytes += chunk.length;
            yield chunk;
        }
    }
    finally {
        clearInterval(timer);
    }
}

/**
 * Reads the body of a non-streaming response.
 *
 * @param upstream - The endpoint's response.
 * @returns The body, or `undefined` if it is incomplete or too large.
 */
export async function readFullBody({ incoming, endObserver }: EndpointResponse): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of readChunks(incoming)) {
            chunks.push(chunk);
            sizeBytes += chunk.length;
            bufferedBytes += chunk.length;
            if (sizeBytes > MAX_BODY_BYTES || bufferedBytes > MAX_BUFFERED_BYTES) {
                return undefined;
            }
        }
    }
    catch {
        // An aborted connection is reported like a response that ended early.
        return undefined;
    }
    finally {
        bufferedBytes -= sizeBytes;
    }
    return endObserver.isComplete ? Buffer.concat(chunks) : undefined;
}

/**
 * Reads a body that is not needed to its end, so that the connection can be used again; closes the connection if the
 * body is long or slow.
 *
 * @param incoming - The response.
 */
export function discardBody(incoming: http.IncomingMessage): void {
    let sizeBytes = 0;
    const timer = setTimeout(() => incoming.destroy(), MAX_DISCARD_MS);
    incoming.on("close", () => clearTimeout(timer));
    incoming.on("data", (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_DISCARDED_BYTES) {
            incoming.destroy();
        }
    });
}
