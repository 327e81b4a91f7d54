import type { ResponseEnd } from "@heatherline/common";
import type { CallerResponse } from "../callers/callerResponse";
import { readChunks } from "../endpoints/bodyReader";
import type { EndpointResponse } from "../endpoints/endpointClient";
import { EventStreamParser, hasContent } from "./eventStreamParser";
import { StreamContinuation } from "./streamContinuation";

/** How relaying one endpoint's response ended. */
export type RelayOutcome =
    | { readonly kind: "complete"; }
    | { readonly kind: "broken"; readonly reason: string; };

/** How an endpoint's stream ended, for the log. */
export interface StreamEnd extends ResponseEnd {
    /** Bytes after the last complete event. */
    readonly unfinishedBytes: number;
}

/** Where a relay writes events to: the response itself, or a buffer in front of it. */
export interface StreamOutput {
    /** Whether the output itself holds what a slow caller is yet to read. */
    readonly isBuffering?: boolean;
    /**
     * @param bytes - The next bytes.
     * @returns `undefined` if more can be written at once; otherwise resolves when there is room.
     */
    write(bytes: Buffer): Promise<void> | undefined;
    /** Ends the response. */
    endStream(): void;
}

/** Relays a stream to the caller event by event; after a failure it can be resumed from another endpoint. */
export class StreamRelay {
    private lastEventId: number | undefined;
    private relayedEvents = 0;
    private lastEventAtMs = performance.now();
    private hasEventsWithoutId = false;
    private isWaitingForCaller = false;
    private lastResponseEnd: StreamEnd | undefined;

    /**
     * @param response - The response to the caller.
     * @param lastReceivedEventId - Id of the last event that the caller has already received, if it resumes a stream.
     * @param onEvent - Called for each event that is relayed.
     * @param output - Where the events are written to.
     */
    constructor(
        private readonly response: CallerResponse,
        lastReceivedEventId: number | undefined,
        private readonly onEvent: () => void,
        private readonly output: StreamOutput = response,
    ) {
        this.lastEventId = lastReceivedEventId;
    }

    /** Id of the event after which the stream is to be resumed. */
    get resumeAfterEventId(): number | undefined {
        return this.lastEventId;
    }

    /** Whether it is known which events the caller has received, so that the stream can be resumed after them. */
    get isResumable(): boolean {
        return !this.hasEventsWithoutId;
    }

    /** Time since the last event or since the relay was created, in milliseconds; 0 while the caller reads too slowly. */
    get quietMs(): number {
        return this.isWaitingForCaller ? 0 : performance.now() - this.lastEventAtMs;
    }

    /** Number of events relayed so far. */
    get eventCount(): number {
        return this.relayedEvents;
    }

    /** How the latest response ended; `undefined` before the first one has. */
    get responseEnd(): StreamEnd | undefined {
        return this.lastResponseEnd;
    }

    /**
     * Relays one endpoint's response; events that the caller has already received are skipped.
     *
     * @param upstream - The endpoint's response.
     * @returns Whether the stream is complete.
     */
    async relay(upstream: EndpointResponse): Promise<RelayOutcome> {
        const { status, rawHeaders, incoming, endObserver } = upstream;
        const parser = new EventStreamParser();
        const continuation = new StreamContinuation(this.lastEventId, this.relayedEvents > 0);
        const headFault = continuation.findHeadFault(upstream);
        if (headFault !== undefined) {
            incoming.destroy();
            return { kind: "broken", reason: headFault };
        }
        const closed = new Promise<void>(resolve => incoming.once("close", resolve));
        try {
            for await (const chunk of readChunks(incoming)) {
                for (const event of parser.parse(chunk)) {
                    const { bytes, eventId } = event;
                    const fault = continuation.findFault(event);
                    if (fault !== undefined) {
                        return { kind: "broken", reason: fault };
                    }
                    if (eventId !== undefined && eventId <= (this.lastEventId ?? -1)) {
                        continue;
                    }
                    this.startIfNeeded(status, rawHeaders);
                    if (hasContent(event)) {
                        this.hasEventsWithoutId ||= eventId === undefined;
                        this.relayedEvents += 1;
                        this.lastEventAtMs = performance.now();
                        this.onEvent();
                    }
                    this.lastEventId = eventId ?? this.lastEventId;
                    const drained = this.output.write(bytes);
                    if (drained !== undefined) {
                        this.isWaitingForCaller = true;
                        // What the endpoint has sent is held beyond the limit if it has ended the response meanwhile.
                        await (this.output.isBuffering === true ? Promise.race([drained, closed]) : drained);
                        this.isWaitingForCaller = false;
                        this.lastEventAtMs = performance.now();
                    }
                }
            }
        }
        catch (error) {
            return { kind: "broken", reason: error instanceof Error ? error.message : String(error) };
        }
        finally {
            parser.close();
            this.lastResponseEnd = { ...endObserver.responseEnd, unfinishedBytes: parser.getRemainder().length };
        }
        if (!endObserver.isComplete) {
            return { kind: "broken", reason: "the endpoint's response ended early" };
        }
        if (parser.isInsideEvent) {
            return { kind: "broken", reason: "the endpoint's response ended inside an event" };
        }
        const endFault = continuation.findEndFault(upstream);
        if (endFault !== undefined) {
            return { kind: "broken", reason: endFault };
        }
        this.startIfNeeded(status, rawHeaders);
        if (parser.getRemainder().length > 0) {
            void this.output.write(parser.getRemainder());
        }
        this.output.endStream();
        return { kind: "complete" };
    }

    private startIfNeeded(status: number, rawHeaders: readonly string[]): void {
        if (!this.response.hasStarted) {
            this.response.startStream(status, rawHeaders);
        }
    }
}
