import type { EndpointResponse } from "../endpoints/endpointClient";
import { hasContent, type StreamEvent } from "./eventStreamParser";

const EVENT_STREAM_TYPE = "text/event-stream";
/** Lines of an event: a field, a comment, or a header in lower case with a number, such as a version that changes. */
const EVENT_LINE = /^(?:|:.*|(?:id|data|event|retry)(?::.*)?|[a-z][a-z0-9-]*: ?\d+)$/;

/**
 * Checks that a response goes on with a stream of which a part has been received: an error's text, another stream or a
 * later part must not be joined to it.
 */
export class StreamContinuation {
    private hasContinued = false;

    /**
     * @param lastEventId - Id of the last event that has been received; `undefined` if the stream begins.
     * @param hasBegun - Whether events have been received.
     */
    constructor(private readonly lastEventId: number | undefined, private hasBegun: boolean) {}

    /**
     * @param response - The endpoint's response.
     * @returns Why it doesn't go on with the stream; `undefined` if it may.
     */
    findHeadFault({ incoming }: EndpointResponse): string | undefined {
        const type = incoming.headers["content-type"]?.trim().toLowerCase();
        return this.lastEventId === undefined || type === undefined || type.startsWith(EVENT_STREAM_TYPE)
            ? undefined
            : "the response that was to go on with the stream is no event stream";
    }

    /**
     * @param event - The next event of the response.
     * @returns Why it is none of the stream; `undefined` if it is.
     */
    findFault(event: StreamEvent): string | undefined {
        if (this.hasBegun && !isWellFormed(event)) {
            return "the endpoint sent bytes that are no event";
        }
        if (!hasContent(event)) {
            return undefined;
        }
        if (this.lastEventId !== undefined && !this.hasContinued && event.eventId !== this.lastEventId + 1) {
            return `the stream goes on with event ${event.eventId ?? "without an id"} after event ${this.lastEventId}`;
        }
        this.hasContinued = true;
        this.hasBegun = true;
        return undefined;
    }

    /**
     * A stream may have broken off after its last event. An empty response shows that only if it is an event stream and
     * doesn't end with its connection, since it may have been cut off.
     *
     * @param response - The endpoint's response, which is complete.
     * @returns Why the stream is not complete; `undefined` if it is.
     */
    findEndFault({ incoming, endObserver }: EndpointResponse): string | undefined {
        const isEmpty = this.lastEventId !== undefined && !this.hasContinued;
        const mayBeCutOff = endObserver.responseEnd.framing === "connection";
        return isEmpty && (mayBeCutOff || incoming.headers["content-type"] === undefined)
            ? "the response that was to go on with the stream is empty"
            : undefined;
    }
}

function isWellFormed({ bytes }: StreamEvent): boolean {
    return bytes.toString("latin1").split(/\r?\n/).every(line => EVENT_LINE.test(line));
}
