import { newRequestId } from "@heatherline/common";
import { BatchPlaces } from "./batchPlaces";
import { EarliestTimer } from "./earliestTimer";
import { EndpointPool } from "./endpointPool";
import type { EndpointPoolDependencies } from "./endpointPoolDependencies";
import type { EndpointState } from "./endpointState";
import { explainDispatch } from "./explanation/explainDispatch";
import type { DispatchExplanation } from "./explanation/types";
import { newPlace, type Place } from "./place";
import { PlaceDecisions } from "./placeDecisions";
import type { RolloutController } from "./rollouts/rolloutController";
import { getQueueStats, newServiceState, type QueueStats, type ServiceState } from "./serviceState";
import { isResumption } from "./streamLocator";
import type { EndpointEntry, PlaceOutcome, PlaceRequest, RequestEnd, ResponseFigures } from "./types";
import { settle, type Waiter } from "./waitQueue";

/** Fraction of the latency objective within which a refused caller can still be served in time elsewhere. */
const EARLY_REFUSAL_FRACTION = 0.22;
/** Requests that only time keeps from being sent are dispatched again no sooner than this, in milliseconds. */
const MIN_SEND_DISPATCH_MS = 25;

/** What the dispatcher needs from the rest of the instance. */
export interface DispatcherDependencies extends EndpointPoolDependencies {
    /**
     * Asks the instance that runs a batch item to release its place at once.
     *
     * @param place - The place.
     */
    preempt(place: Place): void;
    /** Observes places; absent where there are no roll-outs. */
    readonly rollouts?: Pick<RolloutController, "recordArrival" | "recordEnd" | "recordGrant"> | undefined;
}

/** A released place. */
export interface ReleasedPlace {
    readonly place: Place;
    /** Whether its endpoint is paused because of how the request ended. */
    readonly isPaused: boolean;
}

/**
 * Grants requests their places at endpoints. Inference engines admit requests in order of arrival and know no
 * priorities, so an endpoint is sent no more requests than it runs at once, and the others are queued here: online
 * requests in an order that is fair among organisations, batch items behind them by due time. A request that can't get a place in time is refused on
 * arrival, with the time at which a place is expected.
 */
export class Dispatcher {
    private readonly pool: EndpointPool;
    private readonly decisions: PlaceDecisions;
    private readonly places = new Map<string, Place>();
    private readonly services = new Map<string, ServiceState>();
    private readonly batchPlaces = new BatchPlaces();
    /** No event tells when an endpoint's rate, or the age of its version, admits the next request. */
    private readonly sendTimer = new EarliestTimer(() => this.dispatchAll());

    /**
     * @param deps - What the dispatcher needs from the rest of the instance.
     */
    constructor(private readonly deps: DispatcherDependencies) {
        this.pool = new EndpointPool(deps);
        this.decisions = new PlaceDecisions(this.pool, deps.versionGate);
    }

    /**
     * Replaces the set of endpoints.
     *
     * @param entries - All endpoints.
     */
    setEndpoints(entries: readonly EndpointEntry[]): void {
        this.pool.setEntries(entries);
        this.refuseVersionsGone();
        this.dispatchAll();
    }

    /**
     * Requests a place.
     *
     * @param request - The request.
     * @returns The place, or a refusal; it may take until the request's latency objective or deadline.
     */
    place(request: PlaceRequest): Promise<PlaceOutcome> {
        return new Promise(resolve => {
            const refusal = this.decisions.refuseAtOnce(request);
            if (refusal !== undefined) {
                resolve(refusal);
                return;
            }
            this.deps.rollouts?.recordArrival(request);
            const runningItems = this.batchPlaces.getRunningCount(request.organisation);
            const service = this.getService(request.service);
            const { waiter, lateAfterMs } = this.decisions.queueArrival(service, request, runningItems, resolve);
            if (lateAfterMs !== undefined) {
                this.refuse(waiter, lateAfterMs);
                return;
            }
            if (request.workClass === "online") {
                this.scheduleEarlyRefusal(waiter);
            }
            this.addTimer(waiter, request.giveUpAfterMs, () => this.refuse(waiter, Infinity));
            this.dispatchService(request.service);
        });
    }

    /**
     * Grants a place at once or not at all.
     *
     * @param request - A request.
     * @returns The place; `undefined` if there is none now.
     */
    placeAtOnce(request: PlaceRequest): PlaceOutcome | undefined {
        const state = this.pool.pickEndpoint(request);
        let outcome: PlaceOutcome | undefined;
        if (state !== undefined) {
            const onDecision = (decision: PlaceOutcome) => {
                outcome = decision;
            };
            const unqueued = { rank: 0, work: 1, usefulUntilMs: 0, startByMs: 0, expectedWaitMs: 0, timers: [] };
            this.grant({ request, settle: onDecision, ...unqueued }, state);
        }
        return outcome;
    }

    /**
     * Tells what {@link place} would decide on a request now, without effect on anything.
     *
     * @param request - The request.
     * @returns The decision and what it depends on.
     */
    explain(request: PlaceRequest): DispatchExplanation {
        return explainDispatch(request, {
            pool: this.pool,
            service: this.services.get(request.service),
            versionGate: this.deps.versionGate,
            runningItems: this.batchPlaces.getRunningCount(request.organisation),
        });
    }

    /**
     * @param service - A service.
     * @returns Online requests that wait for its places, and these.
     */
    getLoad(service: string): { readonly waiting: number; readonly free: number; readonly total: number; } {
        const { free, total } = this.decisions.countPlaces(this.getService(service), service, undefined);
        return { waiting: this.getService(service).queue.onlineCount, free, total };
    }

    /**
     * @param placeId - A place.
     * @returns Whether it is in use.
     */
    hasPlace(placeId: string): boolean {
        return this.places.has(placeId);
    }

    /**
     * Withdraws a place request whose caller has disconnected.
     *
     * @param askId - Id of the place request.
     */
    withdraw(askId: string): void {
        for (const { queue } of this.services.values()) {
            const waiter = queue.find(askId);
            if (waiter !== undefined) {
                queue.remove(waiter);
                settle(waiter, { kind: "refused", reason: "unavailable", retryAfterMs: 0, detail: "withdrawn" });
            }
        }
    }

    /**
     * Releases a place.
     *
     * @param placeId - The place; unknown ones are ignored, since releases may be repeated.
     * @param end - How the request there ended.
     * @param firstAnswerMs - Time from the grant of the place to the first part of the response.
     * @param figures - Further figures of the response.
     * @returns The released place, or `undefined` if it is unknown.
     */
    release(
        placeId: string,
        end: RequestEnd,
        firstAnswerMs?: number,
        figures: ResponseFigures = {},
    ): ReleasedPlace | undefined {
        const place = this.places.get(placeId);
        if (place === undefined) {
            return undefined;
        }
        this.places.delete(placeId);
        const slowness = end === "done" ? this.pool.recordResponse(place, { ...figures, firstAnswerMs }) : 1;
        this.deps.rollouts?.recordEnd(place, end, figures);
        if (place.workClass === "batch") {
            this.batchPlaces.remove(place);
        }
        else {
            this.updateForecast(place, end, firstAnswerMs, slowness);
        }
        const pauseMs = this.pool.removePlace(place, end);
        this.handlePause(place.service, pauseMs);
        this.dispatchService(place.service);
        return { place, isPaused: pauseMs !== undefined };
    }

    /**
     * Records that an endpoint has sent nothing for too long for a request that goes on.
     *
     * @param placeId - The place of the request.
     * @returns Whether the endpoint is paused because of it.
     */
    recordSilence(placeId: string): boolean {
        const place = this.places.get(placeId);
        const pauseMs = place === undefined ? undefined : this.pool.recordSilence(place);
        this.handlePause(place?.service ?? "", pauseMs);
        return pauseMs !== undefined;
    }

    /**
     * Adopts a place that another dispatcher granted.
     *
     * @param place - The place.
     */
    adopt(place: Place): void {
        if (!this.places.has(place.placeId)) {
            this.addPlace(place);
            this.deps.rollouts?.recordGrant(place, undefined);
        }
    }

    /** @returns All places in use. */
    getPlaces(): readonly Place[] {
        return [...this.places.values()];
    }

    /** Begins to send requests to endpoints with limits after a time in which others did. */
    restartLimits(): void {
        this.pool.restartLimits();
    }

    /** Dispatches the waiting requests of all services, after capacities have changed. */
    dispatchAll(): void {
        for (const service of this.services.keys()) {
            this.dispatchService(service);
        }
    }

    /**
     * Refuses all waiting requests.
     *
     * @param detail - Why, for the log.
     */
    refuseAll(detail: string): void {
        for (const { queue } of this.services.values()) {
            for (const waiter of queue.clear()) {
                settle(waiter, { kind: "refused", reason: "unavailable", retryAfterMs: 0, detail });
            }
        }
        this.sendTimer.cancel();
    }

    /**
     * @param service - A service.
     * @returns Its queue and its free places, for metrics.
     */
    getQueueStats(service: string): QueueStats {
        const { free } = this.decisions.countPlaces(this.getService(service), service, undefined);
        return { ...getQueueStats(this.getService(service), free), slowness: this.pool.getSlowness(service) };
    }

    /** @returns Names of the services that have endpoints. */
    getServices(): string[] {
        return this.pool.getServices();
    }

    /** Checks the forecast again, and refuses a late request, while there is still time to be served elsewhere. */
    private scheduleEarlyRefusal(waiter: Waiter): void {
        const { request } = waiter;
        const earlyMs = request.targetLatencyMs * EARLY_REFUSAL_FRACTION;
        if (isResumption(request) || request.usefulForMs <= earlyMs) {
            return;
        }
        this.addTimer(waiter, earlyMs, () => {
            const service = this.getService(request.service);
            const waitMs = service.forecast.getWaitMs(this.decisions.getQueueState(service, waiter));
            if (performance.now() + waitMs > waiter.usefulUntilMs) {
                this.refuse(waiter, waitMs);
            }
        });
    }

    /** Requests that wait for a version whose last endpoint has left need not wait any longer. */
    private refuseVersionsGone(): void {
        for (const { queue } of this.services.values()) {
            const waiters = [...queue.getOnline(), ...queue.getBatch()];
            waiters.filter(({ request }) => this.decisions.isVersionGone(request)).forEach(waiter =>
                this.refuse(waiter, Infinity)
            );
        }
    }

    private addTimer(waiter: Waiter, delayMs: number, run: () => void): void {
        waiter.timers.push(setTimeout(run, Math.max(0, delayMs)));
    }

    private refuse(waiter: Waiter, waitMs: number): void {
        if (this.getService(waiter.request.service).queue.remove(waiter)) {
            settle(waiter, this.decisions.newRefusal(this.getService(waiter.request.service), waiter.request, waitMs));
        }
    }

    /** Grants free places to waiting requests; if online requests still wait, preempts batch items for them. */
    private dispatchService(service: string): void {
        const { queue } = this.getService(service);
        if (queue.onlineCount + queue.batchCount === 0) {
            return;
        }
        const unplaced = this.decisions.grantPlaces(
            this.getService(service),
            service,
            (waiter, state) => this.grant(waiter, state),
        );
        if (unplaced.length > 0) {
            this.preemptBatch(service, unplaced);
        }
        const sendWaitMs = queue.onlineCount + queue.batchCount > 0 ? this.pool.getSendWaitOfFirstMs(service) : 0;
        if (sendWaitMs > 0) {
            this.sendTimer.schedule(Math.max(MIN_SEND_DISPATCH_MS, sendWaitMs));
        }
    }

    /**
     * Dispatches waiting requests when the pause of an endpoint ends; refuses those for which that is too late, and those that
     * have waited for endpoints that are tried again, in vain, until it was too late.
     */
    private handlePause(service: string, pauseMs: number | undefined): void {
        if (pauseMs === undefined) {
            return;
        }
        setTimeout(() => this.dispatchService(service), pauseMs + 1).unref();
        const state = this.getService(service);
        for (const waiter of state.queue.getOnline()) {
            const { isOnlyTriedAgain, pauseLeftMs } = this.decisions.getQueueState(state, waiter);
            if (isOnlyTriedAgain && performance.now() + pauseLeftMs > waiter.usefulUntilMs) {
                this.refuse(waiter, pauseLeftMs);
            }
        }
    }

    private grant(waiter: Waiter, state: EndpointState): void {
        const { request } = waiter;
        const place = newPlace(request, newRequestId(), state.entry.endpointId);
        this.addPlace(place);
        this.deps.rollouts?.recordGrant(place, request);
        state.sendWindow.recordSend();
        state.limiter?.recordSend();
        const { placeId, endpointId } = place;
        settle(waiter, { kind: "placed", placeId, endpointId, expectedWaitMs: waiter.expectedWaitMs });
    }

    private addPlace(place: Place): void {
        this.places.set(place.placeId, place);
        this.pool.addPlace(place);
        if (place.workClass === "batch") {
            this.batchPlaces.add(place);
        }
        else {
            this.getService(place.service).shares.changeRunning(place.organisation, 1);
        }
    }

    private updateForecast(place: Place, end: RequestEnd, firstAnswerMs: number | undefined, slowness: number): void {
        const { forecast, queue, shares } = this.getService(place.service);
        shares.changeRunning(place.organisation, -1);
        queue.invalidateOrder();
        if (end === "done") {
            forecast.recordHoldTime((performance.now() - place.grantedAtMs) / slowness);
        }
        if (firstAnswerMs !== undefined) {
            forecast.recordFirstAnswer(firstAnswerMs);
        }
    }

    /** Preempts as many batch items as online requests wait. */
    private preemptBatch(service: string, requests: readonly PlaceRequest[]): void {
        const countSendable = (endpointId: string) =>
            this.pool.isAllowedForAny(endpointId, requests) ? this.pool.countSendable(endpointId) : 0;
        for (const place of this.batchPlaces.pickForPreemption(service, requests.length, countSendable)) {
            place.isPreempted = true;
            this.deps.preempt(place);
        }
    }

    private getService(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            state = newServiceState();
            this.services.set(service, state);
        }
        return state;
    }
}
