import { sleep } from "../../packages/common/src";
import type { EndpointEntry, MemberEntry, PlaceOutcome, PlaceRequest } from "../../packages/fleet/src";
import { newSeededRandom } from "../random";
import {
    BATCH_DUE_AT_MS,
    BATCH_HOLD_MS,
    type FleetSize,
    type LoadEvent,
    type LoadPattern,
    type LoadPhase,
    ONLINE_HOLD_MS,
    RATE_LIMIT,
    SLOTS_PER_ENDPOINT,
    SMALL_FLEET,
    TARGET_LATENCY_MS,
} from "./pattern";
import { type Conditions, type NewPlacementStrategy, type PlacementStrategy, SERVICE } from "./strategy";

/** Result of a replay. Requests of the rate-limited organisation are counted in the `limited` fields only. */
export interface ReplayReport {
    /** Online requests whose first event met the latency objective. */
    inTime: number;
    /** Online requests that were placed too late for the objective. */
    late: number;
    /** Online requests refused for lack of a place, first attempts and retries; a refused caller retries once. */
    refused: number;
    /** Retries that were refused. */
    refusedRetries: number;
    /** Requests of the rate-limited organisation that got a place. */
    limitedAdmitted: number;
    /** Requests refused because they exceeded the organisation's rate limit. */
    limitedRefused: number;
    /** Other requests refused for the rate limit of their organisation. */
    rateRefused: number;
    /** Batch items that ran to their end. */
    itemsDone: number;
    /** Batch items that ended by the time they were due. */
    itemsInTime: number;
    /** Time for which slots were free while online requests waited, summed over these slots, in milliseconds. */
    idleWhileWaitingMs: number;
    /** Highest number of requests that an endpoint ran beyond its slots. */
    maxRequestsOverSlots: number;
    /** Longest wait of an online request that was placed, in milliseconds. */
    longestWaitMs: number;
    /** Number of messages between instances. */
    messages: number;
}

/** State of a replay at a point in time. */
export interface ReplaySample {
    readonly atMs: number;
    /** Online requests that wait for a place. */
    readonly waiting: number;
    /** Online requests that hold a place. */
    readonly online: number;
    /** Batch items that hold a place. */
    readonly batch: number;
    /** Slots of all endpoints. */
    readonly places: number;
    /** Refusals since the previous sample. */
    readonly refusals: number;
}

/** Advances virtual time by the given number of milliseconds. */
export type Advance = (ms: number) => Promise<void>;

/** The data centre that is cut off; not that of the first instance, in which the single queue is kept. */
const CUT_DATA_CENTRE = "dc-2";
const FIRST_EVENT_DELAY_MS = 40;
const CALLER_TIMEOUT_MS = 2_000;
const PREEMPTION_DELAY_MS = 4;
const RESTART_DELAY_MS = 1_000;
const STEP_MS = 1;
const SAMPLE_INTERVAL_MS = 100;
/** Skew of the callers towards the first instances: 1 is uniform; the higher, the more skewed. */
const INSTANCE_SKEW_EXPONENT = 1.5;

interface RunningRequest {
    readonly endpointId: string;
    readonly instanceId: string;
    readonly isOnline: boolean;
    /** Ends the run: preempted, or lost because its endpoint or its instance is gone. */
    readonly end: (cause: "preempted" | "lost") => void;
}

/**
 * Replays one load pattern against one placement strategy. Timers and clocks of the process must be virtual (see
 * {@link VirtualTime}).
 */
export class LoadReplay {
    readonly report: ReplayReport = {
        inTime: 0,
        late: 0,
        refused: 0,
        refusedRetries: 0,
        limitedAdmitted: 0,
        limitedRefused: 0,
        rateRefused: 0,
        itemsDone: 0,
        itemsInTime: 0,
        idleWhileWaitingMs: 0,
        maxRequestsOverSlots: 0,
        longestWaitMs: 0,
        messages: 0,
    };
    readonly samples: ReplaySample[] = [];
    private readonly random: () => number;
    private readonly strategy: PlacementStrategy;
    private readonly conditions: Conditions = { coldRatePerS: 0, cutDataCentre: undefined, deadInstances: new Set() };
    private readonly fleet: FleetSize;
    private readonly members: readonly MemberEntry[];
    private readonly running = new Map<string, RunningRequest>();
    private endpointCount = 0;
    private waiting = 0;
    private refusalsInSample = 0;
    private idCount = 0;
    private isFinished = false;

    /**
     * @param pattern - The load.
     * @param newStrategy - Creates the placement strategy.
     * @param seed - Seed of the random numbers for arrivals, instances and durations.
     * @param advance - Advances virtual time.
     */
    constructor(
        private readonly pattern: LoadPattern,
        newStrategy: NewPlacementStrategy,
        seed: number,
        private readonly advance: Advance,
    ) {
        this.random = newSeededRandom(seed);
        this.fleet = pattern.fleet ?? SMALL_FLEET;
        const { instances, dataCentres } = this.fleet;
        this.members = Array.from({ length: instances }, (_, index) => ({
            instanceId: `instance-${index}`,
            incarnation: "1",
            host: "127.0.0.1",
            rpcPort: 1,
            dataCentre: `dc-${index % dataCentres}`,
            processorShare: 1,
        }));
        this.strategy = newStrategy({
            members: this.members,
            conditions: this.conditions,
            preempt: placeId => this.running.get(placeId)?.end("preempted"),
        });
    }

    /** Name of the placement strategy. */
    get strategyName(): string {
        return this.strategy.name;
    }

    /** @returns The report. */
    async run(): Promise<ReplayReport> {
        this.setEndpoints(this.pattern.phases[0]?.endpoints ?? 0);
        for (let item = 0; item < this.pattern.batchItems; item += 1) {
            void this.runItem(BATCH_HOLD_MS);
        }
        const events = [...this.pattern.events ?? []];
        for (const phase of this.pattern.phases) {
            this.setEndpoints(phase.endpoints);
            await this.runPhase(phase, events);
        }
        this.isFinished = true;
        await this.advance(CALLER_TIMEOUT_MS * 3);
        this.strategy.refuseWaiting();
        this.report.messages = this.strategy.messageCount;
        return this.report;
    }

    private async runPhase(phase: LoadPhase, events: LoadEvent[]): Promise<void> {
        const { limitedPerS = 0 } = phase;
        let nextMs = this.newGapMs(phase.onlinePerS);
        let nextLimitedMs = this.newGapMs(limitedPerS);
        for (let atMs = 0; atMs < phase.lengthMs; atMs += STEP_MS) {
            for (; nextMs <= atMs; nextMs += this.newGapMs(phase.onlinePerS)) {
                void this.runOnline({ isLimited: false, isFirst: true, fingerprint: this.newFingerprint() });
            }
            for (; nextLimitedMs <= atMs; nextLimitedMs += this.newGapMs(limitedPerS)) {
                void this.runOnline({ isLimited: true, isFirst: true, fingerprint: this.newFingerprint() });
            }
            while ((events[0]?.atMs ?? Infinity) <= performance.now()) {
                this.applyEvent(events.shift() as LoadEvent);
            }
            this.measure();
            await this.advance(STEP_MS);
        }
    }

    private measure(): void {
        const places = this.endpointCount * SLOTS_PER_ENDPOINT;
        const freeSlots = places - this.running.size;
        this.report.idleWhileWaitingMs += Math.max(0, Math.min(freeSlots, this.waiting)) * STEP_MS;
        if (Math.round(performance.now()) % SAMPLE_INTERVAL_MS !== 0) {
            return;
        }
        const online = [...this.running.values()].filter(({ isOnline }) => isOnline).length;
        this.samples.push({
            atMs: Math.round(performance.now()),
            waiting: this.waiting,
            online,
            batch: this.running.size - online,
            places,
            refusals: this.refusalsInSample,
        });
        this.refusalsInSample = 0;
    }

    private applyEvent(event: LoadEvent): void {
        switch (event.kind) {
            case "coordinator-killed":
                this.strategy.killCoordinator();
                break;
            case "instances-killed":
                this.killInstances(Math.round(this.members.length * event.fraction));
                break;
            case "data-centre-cut":
                this.conditions.cutDataCentre = CUT_DATA_CENTRE;
                setTimeout(() => {
                    this.conditions.cutDataCentre = undefined;
                    this.strategy.onConditionsChanged();
                }, event.forMs);
                break;
            case "endpoints-cold":
                this.conditions.coldRatePerS = event.ratePerS;
                setTimeout(() => {
                    this.conditions.coldRatePerS = 0;
                    this.strategy.onConditionsChanged();
                }, event.forMs);
                break;
        }
        this.strategy.onConditionsChanged();
    }

    private killInstances(count: number): void {
        const victims = this.members.slice(0, count).map(({ instanceId }) => instanceId);
        victims.forEach(instanceId => this.conditions.deadInstances.add(instanceId));
        this.strategy.killCoordinator();
        for (const { instanceId, end } of this.running.values()) {
            if (this.conditions.deadInstances.has(instanceId)) {
                end("lost");
            }
        }
        setTimeout(() => {
            victims.forEach(instanceId => this.conditions.deadInstances.delete(instanceId));
            this.strategy.onConditionsChanged();
        }, RESTART_DELAY_MS);
    }

    private setEndpoints(count: number): void {
        this.endpointCount = count;
        const entries = Array.from({ length: count }, (_, index): EndpointEntry => ({
            endpointId: `endpoint-${index}`,
            service: SERVICE,
            host: "127.0.0.1",
            port: 1,
            dataCentre: `dc-${index % this.fleet.dataCentres}`,
            slots: SLOTS_PER_ENDPOINT,
            state: "ready",
            coldLeftMs: 0,
        }));
        this.strategy.setEndpoints(entries);
        for (const { endpointId, end } of this.running.values()) {
            if (!entries.some(entry => entry.endpointId === endpointId)) {
                end("lost");
            }
        }
    }

    private newGapMs(perS: number): number {
        return perS === 0 ? Infinity : -Math.log(1 - this.random()) * 1_000 / perS;
    }

    private newFingerprint(): string {
        this.idCount += 1;
        return `request-${this.idCount}`;
    }

    /** Picks a live instance; callers are distributed unevenly. */
    private pickInstance(): MemberEntry {
        const live = this.members.filter(({ instanceId }) => !this.conditions.deadInstances.has(instanceId));
        return live[Math.floor(this.random() ** INSTANCE_SKEW_EXPONENT * live.length)] as MemberEntry;
    }

    private async runOnline(
        request: { readonly isLimited: boolean; readonly isFirst: boolean; readonly fingerprint: string; },
    ): Promise<void> {
        const placeRequest = this.newPlaceRequest(request.fingerprint, this.pickInstance(), request.isLimited);
        const startMs = performance.now();
        this.waiting += 1;
        const outcome = await this.strategy.place(placeRequest);
        this.waiting -= 1;
        if (outcome.kind === "refused") {
            await this.handleRefusal(outcome, request);
            return;
        }
        const waitedMs = performance.now() - startMs;
        this.report.longestWaitMs = Math.max(this.report.longestWaitMs, waitedMs);
        this.report.limitedAdmitted += request.isLimited ? 1 : 0;
        if (!request.isLimited) {
            this.report[waitedMs + FIRST_EVENT_DELAY_MS <= TARGET_LATENCY_MS ? "inTime" : "late"] += 1;
        }
        await this.holdPlace(outcome, placeRequest, ONLINE_HOLD_MS * (0.7 + 0.6 * this.random()));
    }

    private async handleRefusal(
        outcome: Extract<PlaceOutcome, { kind: "refused"; }>,
        request: { readonly isLimited: boolean; readonly isFirst: boolean; readonly fingerprint: string; },
    ): Promise<void> {
        this.refusalsInSample += 1;
        if (outcome.reason === "rate-limited") {
            this.report[request.isLimited ? "limitedRefused" : "rateRefused"] += 1;
            return;
        }
        this.report.refused += request.isLimited ? 0 : 1;
        if (!request.isFirst) {
            this.report.refusedRetries += request.isLimited ? 0 : 1;
            return;
        }
        await sleep(outcome.retryAfterMs);
        await this.runOnline({ ...request, isFirst: false });
    }

    /** Runs a batch item; after it has lost its place, for whatever cause, it resumes with the remaining time. */
    private async runItem(leftMs: number): Promise<void> {
        const placeRequest: PlaceRequest = {
            ...this.newPlaceRequest("", this.pickInstance(), false),
            workClass: "batch",
            usefulForMs: Infinity,
            giveUpAfterMs: CALLER_TIMEOUT_MS * 30,
            remainingMs: leftMs,
            dueInMs: BATCH_DUE_AT_MS - performance.now(),
        };
        const outcome = await this.strategy.place(placeRequest);
        if (outcome.kind === "refused" || this.isFinished) {
            return;
        }
        const startedAtMs = performance.now();
        if (await this.holdPlace(outcome, placeRequest, leftMs) !== "done") {
            await this.runItem(Math.max(1, leftMs - (performance.now() - startedAtMs)));
            return;
        }
        this.report.itemsDone += 1;
        this.report.itemsInTime += performance.now() <= BATCH_DUE_AT_MS ? 1 : 0;
    }

    private async holdPlace(
        { placeId, endpointId }: Extract<PlaceOutcome, { kind: "placed"; }>,
        { instanceId, workClass }: PlaceRequest,
        holdMs: number,
    ): Promise<"done" | "preempted" | "lost"> {
        let end: (cause: "done" | "preempted" | "lost") => void = () => undefined;
        const ended = new Promise<"done" | "preempted" | "lost">(resolve => {
            end = resolve;
        });
        this.running.set(placeId, { endpointId, instanceId, isOnline: workClass === "online", end });
        const endpointLoad = [...this.running.values()].filter(other => other.endpointId === endpointId).length;
        this.report.maxRequestsOverSlots = Math.max(
            this.report.maxRequestsOverSlots,
            endpointLoad - SLOTS_PER_ENDPOINT,
        );
        const timer = setTimeout(() => end("done"), holdMs);
        const cause = await ended;
        clearTimeout(timer);
        await sleep(cause === "preempted" ? PREEMPTION_DELAY_MS : 0);
        this.running.delete(placeId);
        this.strategy.release(placeId, cause === "lost" ? "lost" : "done");
        return cause;
    }

    private newPlaceRequest(
        fingerprint: string,
        { instanceId, dataCentre }: MemberEntry,
        isLimited: boolean,
    ): PlaceRequest {
        this.idCount += 1;
        return {
            askId: `ask-${this.idCount}`,
            instanceId,
            dataCentre,
            service: SERVICE,
            workClass: "online",
            organisation: isLimited ? "limited" : this.pickOrganisation(),
            priority: 0,
            usefulForMs: TARGET_LATENCY_MS,
            targetLatencyMs: TARGET_LATENCY_MS,
            giveUpAfterMs: CALLER_TIMEOUT_MS,
            remainingMs: 0,
            dueInMs: TARGET_LATENCY_MS,
            excluded: [],
            allowedRegions: [],
            fingerprint,
            rate: isLimited ? RATE_LIMIT : this.fleet.rate,
        };
    }

    private pickOrganisation(): string {
        const { organisations } = this.fleet;
        return organisations === undefined ? "studio" : `studio-${Math.floor(this.random() * organisations)}`;
    }
}
