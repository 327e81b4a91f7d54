import { getTokens } from "./endpointMemory";
import type { EndpointPool } from "./endpointPool";
import type { EndpointState } from "./endpointState";
import { getItemRank } from "./itemOrder";
import type { PlaceCount } from "./placeCount";
import { describeVersions, type VersionGate } from "./rollouts/versionGate";
import { MAX_LATE_WAIT_MS, newWaiter, type ServiceState } from "./serviceState";
import { isResumption, newVersionGoneRefusal } from "./streamLocator";
import type { PlaceOutcome, PlaceRequest } from "./types";
import type { QueueState } from "./waitForecast";
import type { Waiter } from "./waitQueue";

/** Each step of lower priority counts as an arrival this much later, in milliseconds. */
const PRIORITY_STEP_MS = 40;
/**
 * A refused caller that retries as it was asked to, and a request that goes on with a stream, count as having arrived
 * this much earlier, in milliseconds.
 */
const RETRY_CREDIT_MS = 1_000;
/** Each running item of an organisation makes its next item count as due this much later, in milliseconds. */
const FAIRNESS_STEP_MS = 300;
/** Retry delay for callers while a service has no usable endpoint, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 700;
/** Places that online requests are expected to need within this time are not granted to batch, in milliseconds. */
const BATCH_RESERVE_MS = 30;

/** The refusal of a request for a place. */
export type PlaceRefusal = Extract<PlaceOutcome, { kind: "refused"; }>;

/** Grants a place to a request that has just been taken from the queue. */
export type Grant = (waiter: Waiter, state: EndpointState) => void;

/** A request that has been added to the queue. */
export interface QueuedArrival {
    readonly waiter: Waiter;
    /** The wait for which it is to be refused, in milliseconds; `undefined` if it may wait. */
    readonly lateAfterMs: number | undefined;
}

/**
 * The decisions on place requests. They change the state of the service that they are given and of the pool, but set no
 * timers and inform no one, so that they can also be tried on copies.
 */
export class PlaceDecisions {
    /**
     * @param pool - The endpoints.
     * @param versionGate - Restricts requests to some software versions; absent where there are no roll-outs.
     */
    constructor(private readonly pool: EndpointPool, private readonly versionGate: VersionGate | undefined) {}

    /**
     * @param request - A request.
     * @returns The refusal of a request that no endpoint can ever be used for.
     */
    refuseAtOnce(request: PlaceRequest): PlaceRefusal | undefined {
        const { service, softwareVersion = "" } = request;
        if (this.isVersionGone(request)) {
            return newVersionGoneRefusal({ service, softwareVersion });
        }
        if (this.pool.isTooLarge(request)) {
            const detail = `${getTokens(request)} tokens are more than an endpoint of ${service} holds`;
            return { kind: "refused", reason: "too-many-tokens", retryAfterMs: 0, detail };
        }
        return undefined;
    }

    /**
     * Adds a request that arrives now to the queue, and decides whether it may wait there.
     *
     * @param service - State of the request's service.
     * @param request - The request.
     * @param runningItems - Number of running batch items of its organisation.
     * @param resolve - Receives the decision on the request.
     * @returns The request in the queue.
     */
    queueArrival(
        service: ServiceState,
        request: PlaceRequest,
        runningItems: number,
        resolve: (outcome: PlaceOutcome) => void,
    ): QueuedArrival {
        const { arrivals, forecast, queue, shares } = service;
        const nowMs = performance.now();
        const waiter = newWaiter(service, request, getRank(service, request, runningItems), resolve);
        queue.add(waiter);
        if (request.workClass === "batch") {
            return { waiter, lateAfterMs: undefined };
        }
        arrivals.recordArrival();
        shares.recordRequest(request);
        const queueState = this.getQueueState(service, waiter);
        const waitMs = forecast.getWaitMs(queueState);
        waiter.expectedWaitMs = Math.min(waitMs, request.giveUpAfterMs);
        const isAlreadyLate = nowMs > waiter.usefulUntilMs;
        const latestMs = isAlreadyLate ? nowMs + MAX_LATE_WAIT_MS : waiter.usefulUntilMs;
        const isTooLate = queueState.free === 0 && nowMs + waitMs > latestMs;
        return { waiter, lateAfterMs: isTooLate ? waitMs : undefined };
    }

    /**
     * Grants free places to waiting requests: to online requests first, and to batch items if all of these have places.
     *
     * @param service - State of a service.
     * @param name - Its name.
     * @param grant - Grants each place.
     * @returns The online requests that still wait.
     */
    grantPlaces(service: ServiceState, name: string, grant: Grant): PlaceRequest[] {
        const { queue } = service;
        const unplaced: PlaceRequest[] = [];
        const withRoom = this.pool.getWithRoom(name);
        for (const waiter of queue.getOnline()) {
            const state = this.pool.pickEndpoint(waiter.request, withRoom);
            if (state !== undefined) {
                queue.remove(waiter, true);
                grant(waiter, state);
            }
            else {
                unplaced.push(waiter.request);
            }
        }
        if (unplaced.length === 0) {
            this.grantBatch(service, name, grant);
        }
        return unplaced;
    }

    /**
     * @param service - State of the request's service.
     * @param request - A request for which there is no place in time.
     * @param waitMs - The wait that was forecast, in milliseconds.
     * @returns Its refusal, with the time at which a place is expected.
     */
    newRefusal(service: ServiceState, request: PlaceRequest, waitMs: number): PlaceRefusal {
        const { service: name, softwareVersion = "" } = request;
        if (this.isVersionGone(request)) {
            return newVersionGoneRefusal({ service: name, softwareVersion });
        }
        const { forecast, queue: { onlineCount, onlineCounts }, shares } = service;
        const queueState = this.newQueueState(service, request, onlineCount);
        const { capacity, free } = queueState;
        const shareDetail = shares.recordRefusal(request.organisation, onlineCounts);
        const detail = `places ${Math.round(capacity)}, free ${free}, waiting ${onlineCount}, wait ${
            Math.round(waitMs)
        } ms, ${shareDetail}${describeVersions(this.versionGate?.getAllowedVersions(request))}`;
        if (capacity === 0) {
            return { kind: "refused", reason: "no-endpoint", retryAfterMs: NO_ENDPOINT_RETRY_MS, detail };
        }
        const retryAfterMs = forecast.scheduleRetry(queueState, request.fingerprint);
        return { kind: "refused", reason: "overloaded", retryAfterMs, detail };
    }

    /**
     * @param request - A request.
     * @returns Whether it goes on with a stream of a version that has no endpoint or is no longer used.
     */
    isVersionGone({ service, softwareVersion }: PlaceRequest): boolean {
        return softwareVersion !== undefined && (!this.pool.hasVersion(service, softwareVersion)
            || this.versionGate?.isClosed?.(service, softwareVersion) === true);
    }

    /**
     * @param service - State of a service.
     * @param name - Its name.
     * @param request - A request whose constraints exclude endpoints; `undefined` to count all endpoints.
     * @returns The number of its places.
     */
    countPlaces({ forecast }: ServiceState, name: string, request: PlaceRequest | undefined): PlaceCount {
        return this.pool.countPlaces(name, request, forecast.meanHoldMs);
    }

    /**
     * @param service - State of a service.
     * @param waiter - A waiting online request.
     * @returns What the forecast of its wait is based on.
     */
    getQueueState(service: ServiceState, waiter: Waiter): QueueState {
        return this.newQueueState(service, waiter.request, service.queue.countOnlineBefore(waiter));
    }

    private newQueueState(service: ServiceState, request: PlaceRequest, ahead: number): QueueState {
        const { total, sound, weighted, free, preemptable } = this.countPlaces(service, request.service, request);
        const pauseLeftMs = total === 0 ? this.pool.getShortestPauseMs(request) : 0;
        return {
            capacity: weighted,
            free,
            available: free + preemptable,
            isOnlyTriedAgain: sound === 0,
            pauseLeftMs,
            ahead,
        };
    }

    private grantBatch(service: ServiceState, name: string, grant: Grant): void {
        const { queue, arrivals } = service;
        if (queue.batchCount === 0) {
            return;
        }
        // During a roll-out, items may not use all endpoints.
        const first = this.versionGate === undefined ? undefined : queue.getBatch()[0]?.request;
        let freePlaces = this.countPlaces(service, name, first).free - arrivals.getExpectedCount(BATCH_RESERVE_MS);
        if (freePlaces < 1) {
            return;
        }
        for (const waiter of queue.getBatch()) {
            if (freePlaces < 1) {
                return;
            }
            const state = this.pool.pickEndpoint(waiter.request);
            if (state !== undefined) {
                queue.remove(waiter);
                grant(waiter, state);
                freePlaces -= 1;
            }
            else if (
                waiter.request.excluded.length === 0 && waiter.request.softwareVersion === undefined
                && !this.pool.hasMemoryLimit(name)
            ) {
                return;
            }
        }
    }
}

function getRank({ forecast }: ServiceState, request: PlaceRequest, runningItems: number): number {
    const nowMs = performance.now();
    if (request.workClass === "batch") {
        return getItemRank(nowMs + request.dueInMs, request.remainingMs) + runningItems * FAIRNESS_STEP_MS;
    }
    const isRetry = forecast.takeScheduledRetry(request.fingerprint);
    const hasCredit = isRetry || isResumption(request);
    return nowMs + request.priority * PRIORITY_STEP_MS - (hasCredit ? RETRY_CREDIT_MS : 0);
}
