import type { EndpointState } from "./endpointState";

/**
 * Why an endpoint can't be used for a request now; of several causes, the first in this order.
 *
 * - `not-ready`: it drains.
 * - `no-slot`: all slots that may be used are in use, or none may be: it leaves, or its data centre is evacuated.
 * - `paused`: it is paused after failures, or is sent one request at a time after a pause.
 * - `rate`: the rate of a cold endpoint or the limit that it has named doesn't admit a request yet.
 * - `tried-again`: it is being tried again after a pause, and an endpoint could not be reached for the request.
 * - `region`: the request must not be processed there.
 * - `version`: the stream that the request goes on with, or is to be resumable, needs another software version.
 * - `rollout`: a roll-out doesn't let the request use its software version.
 * - `excluded`: the requesting instance can't reach it or knows that it leaves, or it has failed for the request.
 * - `memory`: the tokens of the request don't fit into its memory.
 */
export type EndpointObstacle =
    | "not-ready"
    | "no-slot"
    | "paused"
    | "rate"
    | "tried-again"
    | "region"
    | "version"
    | "rollout"
    | "excluded"
    | "memory";

/** What the choice of an endpoint for a request depends on. */
export interface EndpointAssessment {
    readonly state: EndpointState;
    /** The endpoint with the lowest cost is chosen. */
    readonly cost: number;
    /** Why it can't be used now, if it can't. */
    readonly obstacle: EndpointObstacle | undefined;
    /** Concurrent requests that it may be sent. */
    readonly capacity: number;
    /** Time until the rate of a cold endpoint and its own limit admit a request, in milliseconds. */
    readonly sendWaitMs: number;
    /** Requests per second that it may be sent of the limit that it has named; `undefined` without one. */
    readonly limitPerS: number | undefined;
    /** Requests per second that it may be sent in case it is cold; 0 for no limit. */
    readonly coldRatePerS: number;
    /** Number of such requests that its memory has room for; infinite without a limit. */
    readonly memoryRoom: number;
    /** The part of the cost that a roll-out adds. */
    readonly rolloutCost: number;
}
