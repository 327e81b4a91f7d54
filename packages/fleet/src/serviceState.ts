import { ArrivalRate } from "./arrivalRate";
import { BatchStartPolicy } from "./batchStartPolicy";
import { FairShares, type ShareCounts } from "./fairQueue/fairShares";
import { WorkScale } from "./fairQueue/requestWork";
import { isResumption } from "./streamLocator";
import type { PlaceOutcome, PlaceRequest } from "./types";
import { WaitForecast } from "./waitForecast";
import { type Waiter, WaitQueue } from "./waitQueue";

/**
 * Longest wait of a request that is already late, such as a retry after its endpoint failed, or that goes on with a
 * stream, in milliseconds.
 */
export const MAX_LATE_WAIT_MS = 800;

/** Queue of one service, with its wait forecast, its arrival rate, and the shares of its callers. */
export interface ServiceState {
    readonly queue: WaitQueue;
    readonly forecast: WaitForecast;
    readonly arrivals: ArrivalRate;
    readonly shares: FairShares;
    readonly workScale: WorkScale;
    readonly starts: BatchStartPolicy;
}

/** Figures of a service's queue, for metrics. */
export interface QueueStats {
    /** Waiting online requests. */
    readonly online: number;
    /** Waiting batch items. */
    readonly batch: number;
    /** Waiting batch items that are held back until the next low phase of the online load. */
    readonly heldBatch: number;
    /** Free places. */
    readonly free: number;
    /** Online requests by whether their organisation was over its share. */
    readonly shares: ShareCounts;
    /** Factor on the service's mean time that is expected of each endpoint. */
    readonly slowness: ReadonlyMap<string, number>;
}

/** @returns The state of a service that nothing waits for. */
export function newServiceState(): ServiceState {
    const shares = new FairShares();
    return {
        queue: new WaitQueue(shares),
        forecast: new WaitForecast(),
        arrivals: new ArrivalRate(),
        shares,
        workScale: new WorkScale(),
        starts: new BatchStartPolicy(),
    };
}

/**
 * @param service - State of the request's service.
 * @param request - A request that arrives now.
 * @param rank - Its order.
 * @param resolve - Receives the decision.
 * @returns The request, to be added to the queue.
 */
export function newWaiter(
    { forecast, workScale }: ServiceState,
    request: PlaceRequest,
    rank: number,
    resolve: (outcome: PlaceOutcome) => void,
): Waiter {
    const nowMs = performance.now();
    return {
        request,
        settle: resolve,
        rank,
        work: request.workClass === "online" ? workScale.measure(request.work) : 1,
        usefulUntilMs: isResumption(request)
            ? nowMs + MAX_LATE_WAIT_MS
            : nowMs + request.usefulForMs - forecast.getFirstAnswerMs(),
        startByMs: nowMs + request.dueInMs - request.remainingMs,
        expectedWaitMs: 0,
        timers: [],
    };
}

/**
 * @param service - State of a service.
 * @param free - Number of its free places.
 * @returns Figures of its queue.
 */
export function getQueueStats({ queue, shares, starts }: ServiceState, free: number): Omit<QueueStats, "slowness"> {
    return {
        online: queue.onlineCount,
        batch: queue.batchCount,
        heldBatch: Math.min(queue.batchCount, starts.heldCount),
        free,
        shares: shares.getCounts(queue.onlineCounts),
    };
}
