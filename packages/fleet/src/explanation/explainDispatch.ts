import type { EndpointAssessment } from "../endpointAssessment";
import type { EndpointPool } from "../endpointPool";
import { newPlace } from "../place";
import { PlaceDecisions } from "../placeDecisions";
import type { VersionGate } from "../rollouts/versionGate";
import { copyServiceState, newServiceState, type ServiceState } from "../serviceState";
import { getSoftwareVersion } from "../softwareVersions";
import type { PlaceRequest } from "../types";
import type { DispatchExplanation, ExplainedCandidate, ExplainedDecision, ExplainedQueue } from "./types";

/** More endpoints than these are only counted. */
const MAX_CANDIDATES = 32;

/** What a dispatcher decides by. */
export interface DispatchState {
    readonly pool: EndpointPool;
    /** State of the request's service; `undefined` if nothing has been requested of it. */
    readonly service: ServiceState | undefined;
    readonly versionGate: VersionGate | undefined;
    /** Number of running batch items of the request's organisation. */
    readonly runningItems: number;
}

/**
 * Tells what a dispatcher would decide on a request now. The decisions are those of {@link PlaceDecisions}, made on
 * copies of the service's state and of its endpoints.
 *
 * @param request - The request.
 * @param state - What the dispatcher decides by; it isn't changed.
 * @returns The decision and what it depends on.
 */
export function explainDispatch(request: PlaceRequest, state: DispatchState): DispatchExplanation {
    const versionGate = state.versionGate === undefined ? undefined : newReadOnlyGate(state.versionGate);
    const pool = state.pool.copy(request.service, versionGate);
    // The trial grants places, so that the endpoints are assessed on a copy of their own.
    const assessments = state.pool.copy(request.service, versionGate).assess(request);
    const service = state.service === undefined ? newServiceState() : copyServiceState(state.service);
    const decisions = new PlaceDecisions(pool, versionGate);
    const { onlineCount, batchCount } = service.queue;
    const { free, total } = decisions.countPlaces(service, request.service, request);
    const { decision, ahead, expectedWaitMs } = tryPlace(request, { pool, service, decisions }, state.runningItems);
    const queue: ExplainedQueue = {
        waitingOnline: onlineCount,
        waitingBatch: batchCount,
        ahead,
        free,
        capacity: total,
        expectedWaitMs,
        meanHoldMs: service.forecast.meanHoldMs,
    };
    return {
        decision,
        queue,
        candidates: assessments.sort(compareAssessments).slice(0, MAX_CANDIDATES).map(assessment =>
            toCandidate(assessment, request)
        ),
        candidateCount: assessments.length,
        allowedVersions: versionGate?.getAllowedVersions(request),
    };
}

interface Trial {
    readonly pool: EndpointPool;
    readonly service: ServiceState;
    readonly decisions: PlaceDecisions;
}

interface TrialResult {
    readonly decision: ExplainedDecision;
    readonly ahead: number;
    readonly expectedWaitMs?: number | undefined;
}

function tryPlace(request: PlaceRequest, { pool, service, decisions }: Trial, runningItems: number): TrialResult {
    const refusal = decisions.refuseAtOnce(request);
    if (refusal !== undefined) {
        return { decision: refusal, ahead: 0 };
    }
    const { waiter, lateAfterMs } = decisions.queueArrival(service, request, runningItems, () => undefined);
    const isOnline = request.workClass === "online";
    const ahead = isOnline ? service.queue.countOnlineBefore(waiter) : 0;
    const forecastMs = isOnline ? service.forecast.getWaitMs(decisions.getQueueState(service, waiter)) : Infinity;
    const expectedWaitMs = Number.isFinite(forecastMs) ? forecastMs : undefined;
    if (lateAfterMs !== undefined) {
        service.queue.remove(waiter);
        return { decision: decisions.newRefusal(service, request, lateAfterMs), ahead, expectedWaitMs };
    }
    let endpointId: string | undefined;
    decisions.grantPlaces(service, request.service, (granted, { entry, sendWindow, limiter }) => {
        pool.addPlace(newPlace(granted.request, granted.request.askId, entry.endpointId));
        sendWindow.recordSend();
        limiter?.recordSend();
        if (granted === waiter) {
            ({ endpointId } = entry);
        }
    });
    const decision: ExplainedDecision = endpointId === undefined
        ? { kind: "waits", expectedWaitMs: waiter.expectedWaitMs }
        : { kind: "granted", endpointId };
    return { decision, ahead, expectedWaitMs };
}

/** Usable endpoints in the order in which they would be chosen, then the others in the same order. */
function compareAssessments(left: EndpointAssessment, right: EndpointAssessment): number {
    return Number(left.obstacle !== undefined) - Number(right.obstacle !== undefined) || left.cost - right.cost;
}

function toCandidate(assessment: EndpointAssessment, { dataCentre }: PlaceRequest): ExplainedCandidate {
    const { state: { entry, running, health, speed }, cost, obstacle, memoryRoom, limitPerS } = assessment;
    return {
        endpointId: entry.endpointId,
        dataCentre: entry.dataCentre,
        isRemote: entry.dataCentre !== dataCentre,
        softwareVersion: getSoftwareVersion(entry),
        cost,
        obstacle,
        running: running.size,
        capacity: assessment.capacity,
        slowness: speed.slowness,
        failureRate: health.failureRate,
        pauseLeftMs: health.getPauseLeftMs(),
        isTriedAgain: health.isTriedAgain,
        coldRatePerS: assessment.coldRatePerS,
        limitPerS,
        sendWaitMs: assessment.sendWaitMs,
        memoryRoom: Number.isFinite(memoryRoom) ? memoryRoom : undefined,
        rolloutCost: assessment.rolloutCost,
    };
}

function newReadOnlyGate(gate: VersionGate): VersionGate {
    return {
        getAllowedVersions: request => gate.getAllowedVersions(request, true),
        getExtraCost: entry => gate.getExtraCost?.(entry) ?? 0,
        isClosed: (service, softwareVersion) => gate.isClosed?.(service, softwareVersion) === true,
    };
}
