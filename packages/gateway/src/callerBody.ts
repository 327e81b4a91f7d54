import type http from "node:http";

/** A body over the limit is read up to this size, so that the connection can be used again after the refusal. */
const MAX_DISCARDED_BYTES = 16_777_216;

/**
 * Body of a caller's request.
 *
 * - `too-large`: it was over the limit and has been read.
 * - `unread`: it was over the limit by so much that a part of it is yet to arrive.
 * - `gone`: the caller disconnected before its request was complete.
 */
export type CallerBody = Buffer | "too-large" | "unread" | "gone";

/**
 * Reads the body of a caller's request.
 *
 * @param request - The request.
 * @param getMaxBytes - The limit in force. The highest one since the request began holds, since callers may know of a
 * change sooner or later than this instance.
 * @returns The body, or why there is none.
 */
export async function readCallerBody(request: http.IncomingMessage, getMaxBytes: () => number): Promise<CallerBody> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let maxBytes = getMaxBytes();
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            maxBytes = Math.max(maxBytes, getMaxBytes());
            if (sizeBytes <= maxBytes) {
                chunks.push(chunk);
            }
            else if (sizeBytes > maxBytes + MAX_DISCARDED_BYTES) {
                return "unread";
            }
            else {
                chunks.length = 0;
            }
        }
    }
    catch {
        return "gone";
    }
    return sizeBytes > maxBytes || isIncomplete(chunks, sizeBytes) ? "too-large" : Buffer.concat(chunks);
}

/** Whether chunks were discarded because the limit was raised only after it had been exceeded. */
function isIncomplete(chunks: readonly Buffer[], sizeBytes: number): boolean {
    return chunks.reduce((sum, chunk) => sum + chunk.length, 0) < sizeBytes;
}
