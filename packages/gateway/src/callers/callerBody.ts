import type http from "node:http";
import type { BodyShare } from "./bodyMemory";

/** A body over the limit is read up to this size, so that the connection can be used again after the refusal. */
const MAX_DISCARDED_BYTES = 16_777_216;

/**
 * Body of a caller's request.
 *
 * - `too-large`: it was over the limit and has been read.
 * - `unread`: it was over the limit by so much that a part of it is yet to arrive.
 * - `no-room`: the bodies of other requests take the memory; it has been read and not kept.
 * - `gone`: the caller disconnected before its request was complete.
 */
export type CallerBody = Buffer | "too-large" | "unread" | "no-room" | "gone";

/**
 * Reads the body of a caller's request.
 *
 * @param request - The request.
 * @param getMaxBytes - The limit in force. The highest one since the request began holds, since callers may know of a
 * change sooner or later than this instance.
 * @param share - The memory for the body, which is used until the caller of this function gives it back.
 * @returns The body, or why there is none.
 */
export async function readCallerBody(
    request: http.IncomingMessage,
    getMaxBytes: () => number,
    share: BodyShare,
): Promise<CallerBody> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let maxBytes = getMaxBytes();
    let hasRoom = true;
    // Without its end, the connection of a caller that is cut off would keep the memory for good.
    const stallTimer = setTimeout(() => request.destroy(), share.maxStallMs);
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            stallTimer.refresh();
            sizeBytes += chunk.length;
            maxBytes = Math.max(maxBytes, getMaxBytes());
            hasRoom &&= sizeBytes > maxBytes || share.setBytes(sizeBytes);
            if (sizeBytes <= maxBytes && hasRoom) {
                chunks.push(chunk);
            }
            else if (sizeBytes > maxBytes + MAX_DISCARDED_BYTES) {
                return "unread";
            }
            else {
                chunks.length = 0;
                share.setBytes(0);
            }
        }
    }
    catch {
        return "gone";
    }
    finally {
        clearTimeout(stallTimer);
    }
    if (sizeBytes <= maxBytes && !hasRoom) {
        return "no-room";
    }
    return sizeBytes > maxBytes || isIncomplete(chunks, sizeBytes) ? "too-large" : Buffer.concat(chunks);
}

/** Whether chunks were discarded because the limit was raised only after it had been exceeded. */
function isIncomplete(chunks: readonly Buffer[], sizeBytes: number): boolean {
    return chunks.reduce((sum, chunk) => sum + chunk.length, 0) < sizeBytes;
}
