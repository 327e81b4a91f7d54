import type http from "node:http";
import type { CallerResponse } from "../callers/callerResponse";
import type { CallerRequestHead } from "../wireCodec";

/** An online request with its body read. */
export interface OnlineRequest {
    readonly caller: CallerRequestHead;
    readonly incoming: http.IncomingMessage;
    readonly path: string;
    readonly body: Buffer;
    readonly response: CallerResponse;
    readonly arrivedAtMs: number;
    /** Aborted when the caller disconnects. */
    readonly callerGone: AbortSignal;
    /** Aborted when the process is about to end. */
    readonly giveUp: AbortSignal;
}
