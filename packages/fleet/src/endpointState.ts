import { copyFlat } from "./copyFlat";
import { EndpointHealth } from "./endpointHealth";
import { EndpointSpeed } from "./endpointSpeeds";
import type { Place } from "./place";
import { RequestRateLimiter } from "./requestRateLimiter";
import { SendWindow } from "./sendWindow";
import type { EndpointEntry } from "./types";

/** An endpoint that has answered a request this recently isn't silent, although another request has got nothing. */
const RECENT_RESPONSE_MS = 600;

/** An endpoint and the requests that run there. */
export interface EndpointState {
    entry: EndpointEntry;
    readonly running: Map<string, Place>;
    readonly health: EndpointHealth;
    readonly speed: EndpointSpeed;
    readonly sendWindow: SendWindow;
    /** Keeps the limit that the endpoint has named; absent without one. */
    limiter: RequestRateLimiter | undefined;
    /** Number of batch items among the running requests. */
    batchCount: number;
    /** When a request last ended with a response from the endpoint. */
    lastResponseAtMs: number;
}

/**
 * @param state - An endpoint.
 * @param limitPerS - Requests per second that it may be sent; `undefined` without a limit.
 * @returns Number of requests that the limit lets be sent to the endpoint now.
 */
export function countSendable(state: EndpointState, limitPerS: number | undefined): number {
    if (limitPerS === undefined) {
        state.limiter = undefined;
        return Infinity;
    }
    return getLimiter(state).countAvailable(limitPerS);
}

/**
 * @param state - An endpoint with a limit.
 * @returns What keeps the limit.
 */
export function getLimiter(state: EndpointState): RequestRateLimiter {
    state.limiter ??= new RequestRateLimiter();
    return state.limiter;
}

/**
 * @param state - An endpoint.
 * @param place - The place of a request that has got nothing there.
 * @returns Whether the endpoint has answered others meanwhile.
 */
export function hasAnsweredOthers({ lastResponseAtMs }: EndpointState, { grantedAtMs }: Place): boolean {
    return lastResponseAtMs > Math.max(grantedAtMs, performance.now() - RECENT_RESPONSE_MS);
}

/**
 * @param entry - An endpoint.
 * @returns Its state before any request.
 */
export function newEndpointState(entry: EndpointEntry): EndpointState {
    return {
        entry,
        running: new Map(),
        health: new EndpointHealth(),
        speed: new EndpointSpeed(),
        sendWindow: new SendWindow(),
        limiter: undefined,
        batchCount: 0,
        lastResponseAtMs: -Infinity,
    };
}

/**
 * @param state - An endpoint.
 * @returns A copy, on which decisions can be tried without effect on the endpoint. Its health is only read by them.
 */
export function copyEndpointState(state: EndpointState): EndpointState {
    return {
        ...state,
        running: new Map(state.running),
        speed: state.speed.copy(),
        sendWindow: state.sendWindow.copy(),
        limiter: state.limiter === undefined ? undefined : copyFlat(state.limiter),
    };
}
