import { newRequestId } from "@heatherline/common";
import { EndpointHealth } from "./endpointHealth";
import { WaitForecast } from "./forecast";
import { SendWindow } from "./sendWindow";
import type { EndpointEntry, PlaceAsk, PlaceEnd, PlaceOutcome, WorkClass } from "./types";

/** A lower rank of priority counts as this much later an arrival, in milliseconds. */
const PRIORITY_STEP_MS = 40;
/** A caller that returns as it was asked to counts as having arrived this much earlier, in milliseconds. */
const RETURN_CREDIT_MS = 1_000;
/** Part of the latency objective within which a refusal leaves the caller time to be served elsewhere in time. */
const EARLY_REFUSAL_PART = 0.22;
/** Items with little left go before others that are due at the same time, so that what was begun gets finished. */
const REMAINING_WEIGHT = 2;
/** Each item that an organisation has running makes its next one count as due this much later, in milliseconds. */
const FAIRNESS_STEP_MS = 300;
/** Longest pause for callers while a service has no endpoint at all, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 700;
/** Part of a cold endpoint's rate that is used, which leaves room for what is in transit. */
const COLD_RATE_PART = 0.9;
const COLD_PUMP_MS = 25;

/** A place in use. */
export interface Place {
    readonly placeId: string;
    readonly endpointId: string;
    readonly instanceId: string;
    readonly service: string;
    readonly workClass: WorkClass;
    readonly organisation: string;
    readonly sinceMs: number;
    readonly dueAtMs: number;
    /** When the item there is expected to be finished. */
    readonly finishAtMs: number;
    /** Whether the batch item there has been asked to give it up. */
    isCalledBack: boolean;
}

interface Waiter {
    readonly ask: PlaceAsk;
    readonly settle: (outcome: PlaceOutcome) => void;
    readonly arrivedAtMs: number;
    /** Order among online requests, and among batch items. */
    readonly rank: number;
    readonly usefulUntilMs: number;
    readonly giveUpAtMs: number;
    timers: NodeJS.Timeout[];
}

interface EndpointState {
    entry: EndpointEntry;
    readonly running: Map<string, Place>;
    readonly health: EndpointHealth;
    readonly sent: SendWindow;
    /** When a request there last ended with a sign of life. */
    lastSignAtMs: number;
}

/** What the dispatcher is told about its surroundings. */
export interface DispatchSurroundings {
    /**
     * @param entry - An endpoint.
     * @returns Requests that it may be given at once by this dispatcher; 0 if it must not be used.
     */
    getCapacity(entry: EndpointEntry): number;
    /**
     * @param entry - An endpoint.
     * @returns Requests a second that this dispatcher may send it should it be cold; 0 for any number.
     */
    getColdRatePerS(entry: EndpointEntry): number;
    /**
     * @param dataCentre - A data centre.
     * @returns Its region.
     */
    getRegion(dataCentre: string): string;
    /**
     * Asks the instance that runs a batch item to give its place up at once.
     *
     * @param place - The place.
     */
    callBack(place: Place): void;
}

/**
 * Gives requests their places at endpoints. Engines admit in order of arrival and know no priorities, so no more is
 * sent to an endpoint than it runs at once, and whoever waits, waits here: online in order of arrival, batch behind
 * online by due time. A request that can't be placed in time is refused on arrival, with the time at which a place
 * is expected.
 */
export class Dispatcher {
    private readonly endpoints = new Map<string, EndpointState>();
    private readonly places = new Map<string, Place>();
    private readonly waiting = new Map<string, Waiter[]>();
    private readonly forecasts = new Map<string, WaitForecast>();
    private coldTimer: NodeJS.Timeout | undefined;

    /**
     * @param surroundings - Capacities and how to reach runners.
     */
    constructor(private readonly surroundings: DispatchSurroundings) {}

    /**
     * @param entries - All endpoints there are now.
     */
    setEndpoints(entries: readonly EndpointEntry[]): void {
        const listed = new Set(entries.map(({ endpointId }) => endpointId));
        for (const entry of entries) {
            const state = this.endpoints.get(entry.endpointId);
            if (state === undefined) {
                const running = new Map<string, Place>();
                this.endpoints.set(entry.endpointId, {
                    entry,
                    running,
                    health: new EndpointHealth(),
                    sent: new SendWindow(),
                    lastSignAtMs: -Infinity,
                });
            }
            else {
                state.entry = entry;
            }
        }
        for (const [endpointId, { running }] of this.endpoints) {
            if (!listed.has(endpointId) && running.size === 0) {
                this.endpoints.delete(endpointId);
            }
            else if (!listed.has(endpointId)) {
                const state = this.endpoints.get(endpointId);
                if (state !== undefined) {
                    state.entry = { ...state.entry, state: "draining" };
                }
            }
        }
        this.pumpAll();
    }

    /**
     * Asks for a place.
     *
     * @param ask - The request.
     * @returns The place, or a refusal; it may take until the request's objective or deadline.
     */
    place(ask: PlaceAsk): Promise<PlaceOutcome> {
        return new Promise(resolve => {
            const nowMs = performance.now();
            const forecast = this.getForecast(ask.service);
            const waiter: Waiter = {
                ask,
                settle: resolve,
                arrivedAtMs: nowMs,
                rank: this.getRank(ask, nowMs),
                usefulUntilMs: nowMs + ask.usefulForMs - forecast.getFirstAnswerMs(),
                giveUpAtMs: nowMs + ask.giveUpAfterMs,
                timers: [],
            };
            if (ask.workClass === "online") {
                const line = this.getLine(ask, waiter.rank);
                const waitMs = forecast.getWaitMs(line);
                if (nowMs + waitMs > waiter.usefulUntilMs && line.free === 0) {
                    resolve(this.newRefusal(ask, waitMs));
                    return;
                }
                this.watchWaiter(waiter);
            }
            else {
                this.addTimer(waiter, ask.giveUpAfterMs, () => this.refuse(waiter, Infinity));
            }
            this.getWaiters(ask.service).push(waiter);
            this.getWaiters(ask.service).sort((left, right) => left.rank - right.rank);
            this.pump(ask.service);
        });
    }

    /**
     * Withdraws an ask whose caller has gone.
     *
     * @param askId - The ask.
     */
    withdraw(askId: string): void {
        for (const waiters of this.waiting.values()) {
            const position = waiters.findIndex(({ ask }) => ask.askId === askId);
            const waiter = waiters[position];
            if (waiter !== undefined) {
                waiters.splice(position, 1);
                this.settle(waiter, { kind: "refused", reason: "unavailable", retryAfterMs: 0, detail: "withdrawn" });
            }
        }
    }

    /**
     * Gives a place back.
     *
     * @param placeId - The place; unknown ones are ignored, since releases may come twice.
     * @param end - How the request there ended.
     * @param firstAnswerMs - Time from the place to the first sign of an answer.
     * @returns The place, and whether its endpoint is paused because of the end.
     */
    release(
        placeId: string,
        end: PlaceEnd,
        firstAnswerMs?: number,
    ): { readonly place: Place; readonly isPaused: boolean; } | undefined {
        const place = this.places.get(placeId);
        if (place === undefined) {
            return undefined;
        }
        this.places.delete(placeId);
        const state = this.endpoints.get(place.endpointId);
        state?.running.delete(placeId);
        const isPaused = state?.health.note(end) ?? false;
        const isSign = end === "done" || end === "failed" || end === "rejected";
        if (state !== undefined && isSign) {
            state.lastSignAtMs = performance.now();
        }
        if (firstAnswerMs !== undefined && place.workClass === "online") {
            this.getForecast(place.service).noteFirstAnswer(firstAnswerMs);
        }
        if (end === "done" && place.workClass === "online") {
            this.getForecast(place.service).noteHold(performance.now() - place.sinceMs);
        }
        if (isPaused && state !== undefined) {
            setTimeout(() => this.pump(place.service), state.health.getPauseLeftMs() + 1).unref();
        }
        this.pump(place.service);
        return { place, isPaused };
    }

    /**
     * Notes that an endpoint has been silent for too long about a request that goes on. It may be the request that
     * takes long, so an endpoint that has answered others since is not paused.
     *
     * @param placeId - The place of the request.
     * @returns Whether the endpoint is paused because of it.
     */
    noteSilent(placeId: string): boolean {
        const place = this.places.get(placeId);
        const state = place === undefined ? undefined : this.endpoints.get(place.endpointId);
        if (place === undefined || state === undefined || state.lastSignAtMs > place.sinceMs) {
            return false;
        }
        return state.health.note("silent");
    }

    /**
     * Takes over a place that another dispatcher gave.
     *
     * @param place - The place.
     */
    adopt(place: Place): void {
        if (!this.places.has(place.placeId)) {
            this.places.set(place.placeId, place);
            this.endpoints.get(place.endpointId)?.running.set(place.placeId, place);
        }
    }

    /** @returns All places in use. */
    getPlaces(): readonly Place[] {
        return [...this.places.values()];
    }

    /** Looks again at who can be placed, after capacities have changed. */
    pumpAll(): void {
        for (const service of this.waiting.keys()) {
            this.pump(service);
        }
    }

    /**
     * Refuses all that wait.
     *
     * @param detail - Why, for the log.
     */
    clear(detail: string): void {
        for (const waiters of this.waiting.values()) {
            for (const waiter of waiters.splice(0)) {
                this.settle(waiter, { kind: "refused", reason: "unavailable", retryAfterMs: 0, detail });
            }
        }
        clearTimeout(this.coldTimer);
    }

    /**
     * @param service - A service.
     * @returns Figures for metrics.
     */
    describe(service: string): { readonly online: number; readonly batch: number; readonly free: number; } {
        const waiters = this.getWaiters(service);
        const online = waiters.filter(({ ask }) => ask.workClass === "online").length;
        return { online, batch: waiters.length - online, free: this.countPlaces(service, undefined).free };
    }

    /** @returns Names of the services that have endpoints. */
    getServices(): string[] {
        return [...new Set([...this.endpoints.values()].map(({ entry }) => entry.service))];
    }

    private getRank(ask: PlaceAsk, nowMs: number): number {
        if (ask.workClass === "batch") {
            const running = [...this.places.values()]
                .filter(({ workClass, organisation }) => workClass === "batch" && organisation === ask.organisation);
            return nowMs + ask.dueInMs + REMAINING_WEIGHT * ask.remainingMs + running.length * FAIRNESS_STEP_MS;
        }
        const isReturning = this.getForecast(ask.service).takeReturn(ask.fingerprint);
        return nowMs + ask.priority * PRIORITY_STEP_MS - (isReturning ? RETURN_CREDIT_MS : 0);
    }

    /** Looks again while there is time to be served elsewhere, and gives up when the caller does. */
    private watchWaiter(waiter: Waiter): void {
        const { ask } = waiter;
        const early = ask.targetLatencyMs * EARLY_REFUSAL_PART;
        if (ask.usefulForMs > early) {
            this.addTimer(waiter, early, () => {
                const line = this.getLine(ask, waiter.rank);
                const waitMs = this.getForecast(ask.service).getWaitMs(line);
                if (performance.now() + waitMs > waiter.usefulUntilMs) {
                    this.refuse(waiter, waitMs);
                }
            });
        }
        this.addTimer(waiter, ask.giveUpAfterMs, () => this.refuse(waiter, Infinity));
    }

    private addTimer(waiter: Waiter, delayMs: number, run: () => void): void {
        waiter.timers.push(setTimeout(run, Math.max(0, delayMs)));
    }

    private refuse(waiter: Waiter, waitMs: number): void {
        const waiters = this.getWaiters(waiter.ask.service);
        const position = waiters.indexOf(waiter);
        if (position >= 0) {
            waiters.splice(position, 1);
            this.settle(waiter, this.newRefusal(waiter.ask, waitMs));
        }
    }

    private newRefusal(ask: PlaceAsk, waitMs: number): PlaceOutcome {
        const line = this.getLine(ask, Infinity);
        const detail = `places ${line.places}, free ${line.free}, waiting ${line.ahead}, wait ${Math.round(waitMs)} ms`;
        if (line.places === 0) {
            return { kind: "refused", reason: "no-endpoint", retryAfterMs: NO_ENDPOINT_RETRY_MS, detail };
        }
        const retryAfterMs = this.getForecast(ask.service).planReturn(line, ask.fingerprint);
        return { kind: "refused", reason: "overloaded", retryAfterMs, detail };
    }

    private settle(waiter: Waiter, outcome: PlaceOutcome): void {
        for (const timer of waiter.timers) {
            clearTimeout(timer);
        }
        waiter.settle(outcome);
    }

    private getLine(ask: PlaceAsk, rank: number) {
        const { total, free, preemptable } = this.countPlaces(ask.service, ask);
        const ahead = this.getWaiters(ask.service)
            .filter(waiter => waiter.ask.workClass === "online" && waiter.rank < rank).length;
        return { places: total, free, atOnce: free + preemptable, ahead };
    }

    private countPlaces(service: string, ask: PlaceAsk | undefined) {
        let total = 0;
        let free = 0;
        let preemptable = 0;
        for (const state of this.endpoints.values()) {
            if (state.entry.service !== service || (ask !== undefined && !this.isAllowed(state, ask))) {
                continue;
            }
            const capacity = this.getUsableCapacity(state);
            total += capacity;
            free += Math.max(0, capacity - state.running.size);
            preemptable += capacity === 0 ? 0 : countBatch(state);
        }
        return { total, free, preemptable };
    }

    /** Places the waiting requests, as far as there are places; then calls back from batch what online lacks. */
    private pump(service: string): void {
        const waiters = this.getWaiters(service);
        let mayPlaceBatch = true;
        let unplaced = 0;
        for (const waiter of [...waiters].sort(compareWaiters)) {
            if (waiter.ask.workClass === "batch" && !mayPlaceBatch) {
                break;
            }
            const state = this.pickEndpoint(waiter.ask);
            if (state !== undefined) {
                waiters.splice(waiters.indexOf(waiter), 1);
                this.give(waiter, state);
            }
            else if (waiter.ask.workClass === "online") {
                mayPlaceBatch = false;
                unplaced += 1;
            }
            else if (waiter.ask.excluded.length === 0) {
                break;
            }
        }
        if (unplaced > 0) {
            this.callBackBatch(service, unplaced);
        }
        if (waiters.length > 0) {
            this.planColdPump();
        }
    }

    private give(waiter: Waiter, state: EndpointState): void {
        const { ask } = waiter;
        const nowMs = performance.now();
        const place: Place = {
            placeId: newRequestId(),
            endpointId: state.entry.endpointId,
            instanceId: ask.instanceId,
            service: ask.service,
            workClass: ask.workClass,
            organisation: ask.organisation,
            sinceMs: nowMs,
            dueAtMs: nowMs + ask.dueInMs,
            finishAtMs: nowMs + ask.remainingMs,
            isCalledBack: false,
        };
        this.places.set(place.placeId, place);
        state.running.set(place.placeId, place);
        state.sent.note();
        this.settle(waiter, { kind: "placed", placeId: place.placeId, endpointId: place.endpointId });
    }

    private pickEndpoint(ask: PlaceAsk): EndpointState | undefined {
        let best: EndpointState | undefined;
        let bestCost = Infinity;
        for (const state of this.endpoints.values()) {
            if (state.entry.service !== ask.service || !this.isAllowed(state, ask) || !this.hasRoom(state)) {
                continue;
            }
            const isRemote = state.entry.dataCentre !== ask.dataCentre;
            const cost = state.running.size / state.entry.slots + (isRemote ? 1 : 0);
            if (cost < bestCost) {
                best = state;
                bestCost = cost;
            }
        }
        return best;
    }

    private isAllowed({ entry }: EndpointState, ask: PlaceAsk): boolean {
        const isRegionAllowed = ask.allowedRegions.length === 0
            || ask.allowedRegions.includes(this.surroundings.getRegion(entry.dataCentre));
        return isRegionAllowed && !ask.excluded.includes(entry.endpointId);
    }

    private getUsableCapacity({ entry, health }: EndpointState): number {
        if (entry.state !== "ready" || health.getPauseLeftMs() > 0 || !health.mayTake(0)) {
            return 0;
        }
        return health.mayTake(1)
            ? this.surroundings.getCapacity(entry)
            : Math.min(1, this.surroundings.getCapacity(entry));
    }

    private hasRoom(state: EndpointState): boolean {
        return state.entry.state === "ready"
            && state.running.size < this.surroundings.getCapacity(state.entry)
            && state.health.mayTake(state.running.size)
            && state.sent.getWaitMs(this.getColdRatePerS(state.entry)) === 0;
    }

    /** An endpoint may turn cold unannounced, so the rate of a cold one is kept always. */
    private getColdRatePerS(entry: EndpointEntry): number {
        return this.surroundings.getColdRatePerS(entry) * COLD_RATE_PART;
    }

    /** Calls back the batch items that are due last, as many as online requests wait. */
    private callBackBatch(service: string, wanted: number): void {
        const batch = [...this.places.values()].filter(place =>
            place.service === service && place.workClass === "batch"
        );
        const missing = wanted - batch.filter(({ isCalledBack }) => isCalledBack).length;
        const candidates = batch.filter(({ isCalledBack }) => !isCalledBack)
            .sort(compareForCallBack);
        for (const place of candidates.slice(0, Math.max(0, missing))) {
            place.isCalledBack = true;
            this.surroundings.callBack(place);
        }
    }

    /** A second's worth of requests to a cold endpoint runs out without any event that would tell. */
    private planColdPump(): void {
        const isRateBound = [...this.endpoints.values()]
            .some(({ entry, sent }) => sent.getWaitMs(this.getColdRatePerS(entry)) > 0);
        if (this.coldTimer === undefined && isRateBound) {
            this.coldTimer = setTimeout(() => {
                this.coldTimer = undefined;
                this.pumpAll();
            }, COLD_PUMP_MS);
        }
    }

    private getWaiters(service: string): Waiter[] {
        let waiters = this.waiting.get(service);
        if (waiters === undefined) {
            waiters = [];
            this.waiting.set(service, waiters);
        }
        return waiters;
    }

    private getForecast(service: string): WaitForecast {
        let forecast = this.forecasts.get(service);
        if (forecast === undefined) {
            forecast = new WaitForecast();
            this.forecasts.set(service, forecast);
        }
        return forecast;
    }
}

/** Online that is still useful first, then online that will be late, then batch, what can't be in time last. */
function compareWaiters(left: Waiter, right: Waiter): number {
    return getLevel(left) - getLevel(right) || left.rank - right.rank;
}

function getLevel({ ask, arrivedAtMs, usefulUntilMs }: Waiter): number {
    const nowMs = performance.now();
    if (ask.workClass === "batch") {
        return nowMs + ask.remainingMs <= arrivedAtMs + ask.dueInMs ? 2 : 3;
    }
    return nowMs <= usefulUntilMs ? 0 : 1;
}

/** Items that will be late anyway give their places up first, then those that have the most time. */
function compareForCallBack(left: Place, right: Place): number {
    const isLate = ({ finishAtMs, dueAtMs }: Place) => finishAtMs > dueAtMs ? 0 : 1;
    return isLate(left) - isLate(right) || (right.dueAtMs - right.finishAtMs) - (left.dueAtMs - left.finishAtMs);
}

function countBatch(state: EndpointState): number {
    let count = 0;
    for (const { workClass } of state.running.values()) {
        count += workClass === "batch" ? 1 : 0;
    }
    return count;
}
