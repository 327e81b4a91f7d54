import type { ResponseEndObserver } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import type http from "node:http";
import { DispatchError } from "./errors";
import type { DeliveredResponse, Exchange } from "./exchange";

/**
 * Responses up to this size, except event streams, are received completely and checked before the caller gets the first
 * byte, so that the request can still be retried if the response is incomplete.
 */
const MAX_BUFFERED_BYTES = 1_048_576;
const EVENT_STREAM = "text/event-stream";
/** The final event at the end of a stream; only blank lines and comments may follow. */
const FINAL_EVENT = /(?:^|\n)data: \[DONE\]\r?\n\r?\n(?:(?::[^\r\n]*)?\r?\n)*$/;
/** Bytes of the end of a stream that are kept to recognise its final event. */
const STREAM_TAIL_BYTES = 64;

const RELAYED_HEADERS = ["content-type", "cache-control", "etag", "last-modified", "location", "content-language"];

/** Relays one response from an endpoint to the caller, and checks that it is complete. */
export class ResponseRelay {
    private readonly isEventStream: boolean;
    private buffered: Buffer[] = [];
    private bufferedBytes = 0;
    private tail = "";

    /**
     * @param exchange - The request.
     * @param incoming - The endpoint's response.
     * @param endObserver - Tells whether it arrived whole.
     */
    constructor(
        private readonly exchange: Exchange,
        private readonly incoming: http.IncomingMessage,
        private readonly endObserver: ResponseEndObserver,
    ) {
        this.isEventStream = String(incoming.headers["content-type"] ?? "").startsWith(EVENT_STREAM);
    }

    /** @returns The delivered response, or why it is incomplete. */
    async run(): Promise<Result<DeliveredResponse, DispatchError>> {
        const { sink } = this.exchange;
        const status = this.incoming.statusCode ?? 502;
        const failure = this.isEventStream || mayBeLarge(this.incoming)
            ? await this.streamThrough(status)
            : await this.buffer();
        if (failure !== undefined || !this.endObserver.isComplete) {
            return this.fail(this.exchange.abortController.signal.aborted ? "aborted" : "truncated", failure);
        }
        if (this.isEventStream && status === 200 && !FINAL_EVENT.test(this.tail)) {
            return this.fail("truncated", undefined);
        }
        if (!sink.hasBegun) {
            this.beginResponse(status, this.bufferedBytes);
        }
        sink.end();
        return ok({ status });
    }

    /** Receives a short response completely. */
    private buffer(): Promise<unknown> {
        return new Promise(resolve => {
            this.incoming.on("data", (chunk: Buffer) => {
                this.buffered.push(chunk);
                this.bufferedBytes += chunk.length;
                this.exchange.answerBytes += chunk.length;
            });
            this.incoming.on("end", () => resolve(undefined));
            this.incoming.on("error", resolve);
            this.incoming.on(
                "close",
                () => resolve(this.endObserver.isComplete ? undefined : new Error("closed early")),
            );
        });
    }

    /** Relays a stream or a long response chunk by chunk, with backpressure from the caller. */
    private async streamThrough(status: number): Promise<unknown> {
        try {
            for await (const chunk of this.incoming as AsyncIterable<Buffer>) {
                await this.handleChunk(chunk, status);
            }
            return undefined;
        }
        catch (error) {
            return error;
        }
    }

    private async handleChunk(chunk: Buffer, status: number): Promise<void> {
        this.exchange.answerBytes += chunk.length;
        if (this.isEventStream) {
            this.tail = (this.tail + chunk.toString("latin1")).slice(-STREAM_TAIL_BYTES);
            if (!this.exchange.sink.hasBegun) {
                this.beginResponse(status);
            }
        }
        if (this.exchange.sink.hasBegun) {
            await this.exchange.sink.write(chunk);
            return;
        }
        this.buffered.push(chunk);
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
            this.beginResponse(status);
        }
    }

    private beginResponse(status: number, lengthBytes?: number): void {
        const headers: Record<string, string> = { "x-request-id": this.exchange.requestId };
        for (const name of RELAYED_HEADERS) {
            const value = this.incoming.headers[name];
            if (typeof value === "string") {
                headers[name] = value;
            }
        }
        if (lengthBytes !== undefined) {
            headers["content-length"] = String(lengthBytes);
        }
        this.exchange.sink.begin(status, headers);
        for (const chunk of this.buffered) {
            void this.exchange.sink.write(chunk);
        }
        this.buffered = [];
    }

    private fail(kind: "aborted" | "truncated", cause: unknown): Result<DeliveredResponse, DispatchError> {
        this.incoming.destroy();
        return err(new DispatchError(kind, "the response ended before it was complete", true, cause));
    }
}

/** A response of unknown length counts as large. */
function mayBeLarge(incoming: http.IncomingMessage): boolean {
    const lengthBytes = incoming.headers["content-length"];
    return lengthBytes === undefined || Number(lengthBytes) > MAX_BUFFERED_BYTES;
}
