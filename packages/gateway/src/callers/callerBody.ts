import { type BodyShare, ByteCollector } from "@heatherline/common";
import type http from "node:http";

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
 * @param onBytes - Called with the size of each part of the body that arrives.
 * @returns The body, or why there is none.
 */
export function readCallerBody(
    request: http.IncomingMessage,
    getMaxBytes: () => number,
    share: BodyShare,
    onBytes: (sizeBytes: number) => void = () => undefined,
): Promise<CallerBody> {
    const body = new LimitedBody(getMaxBytes, share);
    // Without its end, the connection of a caller that is cut off would keep the memory for good.
    const stallTimer = setTimeout(() => request.destroy(), share.maxStallMs);
    return new Promise(resolve => {
        const finish = (result: CallerBody) => {
            clearTimeout(stallTimer);
            request.removeListener("data", onData);
            resolve(result);
        };
        const onData = (chunk: Buffer) => {
            stallTimer.refresh();
            onBytes(chunk.length);
            if (!body.append(chunk)) {
                request.pause();
                finish("unread");
            }
        };
        request.on("data", onData);
        request.once("end", () => finish(body.take()));
        request.once("error", () => finish("gone"));
        request.once("close", () => finish("gone"));
    });
}

/** Keeps a body while it is within the limits. */
class LimitedBody {
    private readonly collector = new ByteCollector();
    private sizeBytes = 0;
    private maxBytes = 0;
    private hasRoom = true;

    constructor(private readonly getMaxBytes: () => number, private readonly share: BodyShare) {
        this.maxBytes = getMaxBytes();
    }

    /** @returns Whether the rest of the body is to be read. */
    append(chunk: Buffer): boolean {
        this.sizeBytes += chunk.length;
        this.maxBytes = Math.max(this.maxBytes, this.getMaxBytes());
        if (this.sizeBytes <= this.maxBytes && this.hasRoom) {
            this.collector.append(chunk);
            this.hasRoom = this.share.setBytes(this.collector.memoryBytes);
        }
        if (this.sizeBytes > this.maxBytes || !this.hasRoom) {
            this.collector.clear();
            this.share.setBytes(0);
        }
        return this.sizeBytes <= this.maxBytes + MAX_DISCARDED_BYTES;
    }

    /** @returns The whole body, or why it isn't there. */
    take(): CallerBody {
        if (this.sizeBytes <= this.maxBytes && !this.hasRoom) {
            return "no-room";
        }
        // Chunks were discarded if the limit was raised only after it had been exceeded.
        if (this.sizeBytes > this.maxBytes || this.collector.sizeBytes < this.sizeBytes) {
            return "too-large";
        }
        this.share.setComplete();
        return this.collector.take();
    }
}
