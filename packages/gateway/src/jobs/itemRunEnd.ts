import type { RequestEnd, ResponseFigures } from "@heatherline/fleet";

const STATUS_UNPROCESSABLE = 422;
const STATUS_INTERNAL_ERROR = 500;

/**
 * How one run of an item ended.
 *
 * - `complete`: the item is finished.
 * - `failed`: the endpoint responded with status 500; counts towards the route's `maxAttempts`.
 * - `cannot-be-done`: the endpoint states that the item can't be processed.
 * - `called-back`: preempted, because the place is needed for other work.
 * - `unreachable`: no connection was established.
 * - `no-path`: this instance reaches no endpoint, and no other one relays the request, or the request can't be sent.
 * - `rejected`: the endpoint did not run the request.
 * - `broken`: the connection broke, or the response was unsigned or had another status than those above.
 * - `too-long`: the endpoint sent more than the output of any item, or went on after its deadline.
 * - `memory-short`: the outputs of all items together took too much memory, and this one held the most.
 * - `silent`: no data arrived for too long.
 * - `stopped`: no run took place, or this instance no longer runs the item.
 */
export type RunEnd =
    | "complete"
    | "failed"
    | "cannot-be-done"
    | "called-back"
    | "unreachable"
    | "no-path"
    | "rejected"
    | "broken"
    | "too-long"
    | "memory-short"
    | "silent"
    | "stopped";

/**
 * @param status - Status of a response that is not successful.
 * @param isNotExecuted - Whether the response states that the endpoint did not run the request.
 * @returns How the run ended.
 */
export function toErrorEnd(status: number, isNotExecuted: boolean): RunEnd {
    if (isNotExecuted || status === 421) {
        return "rejected";
    }
    if (status === STATUS_UNPROCESSABLE) {
        return "cannot-be-done";
    }
    return status === STATUS_INTERNAL_ERROR ? "failed" : "broken";
}

/**
 * Translates the end of a run for the release of its place. A run that received more than one event before it broke is
 * not reported as `broken`, since it is not suspected of having crashed the endpoint. One that this side ended before the
 * first event says nothing about the endpoint, which may hang.
 *
 * @param end - How the run ended.
 * @param events - Number of events that it received.
 * @returns How the request that held the place ended.
 */
export function toRequestEnd(end: RunEnd, events: number): RequestEnd {
    switch (end) {
        case "unreachable":
        case "rejected":
        case "silent":
            return end;
        case "broken":
            return events > 1 ? "lost" : "broken";
        case "failed":
        case "no-path":
        case "too-long":
            return "lost";
        case "called-back":
        case "memory-short":
        case "stopped":
            return events > 0 ? "done" : "lost";
        case "complete":
        case "cannot-be-done":
            return "done";
    }
}

/**
 * @param end - How the run ended.
 * @param resumedAfter - Number of events of earlier runs, which the run went on with.
 * @param durationMs - Duration of the run.
 * @returns What is known of the response; no duration if the run had only the rest of the item to do.
 */
export function getItemFigures(end: RunEnd, resumedAfter: number, durationMs: number): ResponseFigures {
    switch (end) {
        case "failed":
        case "broken":
        case "too-long":
            return { hasFailed: true };
        case "complete":
            return resumedAfter === 0 ? { durationMs } : {};
        default:
            return {};
    }
}
