import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { vi } from "vitest";
import { Dispatcher, type EndpointEntry, type PlaceAsk, type PlaceOutcome } from "../src";

/** A span of time with its load and its endpoints. */
export interface LoadPhase {
    readonly lengthMs: number;
    readonly onlinePerS: number;
    /** Endpoints that are there. */
    readonly endpoints: number;
}

/** A load to be replayed against dispatchers in virtual time. */
export interface LoadPattern {
    readonly name: string;
    readonly phases: readonly LoadPhase[];
    /** Batch items that are there from the start. */
    readonly batchItems: number;
}

/** How the requests of a replay fared. */
export interface ReplayReport {
    inTime: number;
    late: number;
    refused: number;
    refusedAgain: number;
    itemsDone: number;
    /** Time that places were free while an online request waited, in place milliseconds. */
    idleWhileWaitingMs: number;
    /** Longest wait of an online request that was placed. */
    longestWaitMs: number;
}

const SLOTS = 8;
const ONLINE_HOLD_MS = 700;
const BATCH_HOLD_MS = 4_800;
const TARGET_MS = 300;
const FIRST_EVENT_MS = 40;
const CALLER_PATIENCE_MS = 2_000;
const PREEMPTION_MS = 4;
const STEP_MS = 1;

/** One dispatcher with the endpoints' slots that it may use. */
export interface ReplayDesk {
    readonly dispatcher: Dispatcher;
}

/** Makes the dispatchers among which requests are divided. */
export type NewDesks = (callBack: (placeId: string) => void) => Dispatcher[];

/** Replays one load pattern. Time is vitest's fake clock. */
export class LoadReplay {
    readonly report: ReplayReport = {
        inTime: 0,
        late: 0,
        refused: 0,
        refusedAgain: 0,
        itemsDone: 0,
        idleWhileWaitingMs: 0,
        longestWaitMs: 0,
    };
    private readonly random: () => number;
    private readonly desks: Dispatcher[];
    private readonly preempt = new Map<string, () => void>();
    private waiting = 0;
    private running = 0;
    private count = 0;
    private isOver = false;

    /**
     * @param pattern - The load.
     * @param newDesks - The dispatchers to compare.
     * @param seed - Of the arrivals.
     */
    constructor(private readonly pattern: LoadPattern, newDesks: NewDesks, seed: number) {
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
        this.desks = newDesks(placeId => this.preempt.get(placeId)?.());
    }

    /** @returns How the requests fared. */
    async run(): Promise<ReplayReport> {
        this.setEndpoints(this.pattern.phases[0]?.endpoints ?? 0);
        for (let item = 0; item < this.pattern.batchItems; item += 1) {
            void this.runItem(this.desks[item % this.desks.length] as Dispatcher, BATCH_HOLD_MS);
        }
        for (const phase of this.pattern.phases) {
            this.setEndpoints(phase.endpoints);
            let nextMs = this.newGapMs(phase);
            for (let atMs = 0; atMs < phase.lengthMs; atMs += STEP_MS) {
                while (nextMs <= atMs) {
                    void this.runOnline(TARGET_MS, true);
                    nextMs += this.newGapMs(phase);
                }
                const free = phase.endpoints * SLOTS - this.running;
                this.report.idleWhileWaitingMs += this.waiting > 0 ? Math.max(0, Math.min(free, this.waiting)) : 0;
                await vi.advanceTimersByTimeAsync(STEP_MS);
            }
        }
        this.isOver = true;
        await vi.advanceTimersByTimeAsync(CALLER_PATIENCE_MS * 3);
        this.desks.forEach(desk => desk.clear("over"));
        return this.report;
    }

    private setEndpoints(count: number): void {
        const entries = Array.from({ length: count }, (_, index): EndpointEntry => ({
            endpointId: `endpoint-${index}`,
            service: "model",
            host: "127.0.0.1",
            port: 1,
            dataCentre: `dc-${index % 3}`,
            slots: SLOTS,
            state: "ready",
            coldLeftMs: 0,
        }));
        this.desks.forEach(desk => desk.setEndpoints(entries));
    }

    private newGapMs({ onlinePerS }: LoadPhase): number {
        return -Math.log(1 - this.random()) * 1_000 / onlinePerS;
    }

    private pickDesk(): Dispatcher {
        // Callers are spread unevenly over instances.
        const position = Math.floor(this.random() ** 1.5 * this.desks.length);
        return this.desks[position] as Dispatcher;
    }

    private async runOnline(
        targetMs: number,
        isFirst: boolean,
        fingerprint = `request-${this.count += 1}`,
    ): Promise<void> {
        const desk = this.pickDesk();
        const askedAtMs = performance.now();
        this.waiting += 1;
        const outcome = await desk.place(newAsk(fingerprint, "online", targetMs, CALLER_PATIENCE_MS));
        this.waiting -= 1;
        const waitedMs = performance.now() - askedAtMs;
        if (outcome.kind === "refused") {
            await this.comeBack(outcome, isFirst, fingerprint);
            return;
        }
        this.report.longestWaitMs = Math.max(this.report.longestWaitMs, waitedMs);
        this.report[waitedMs + FIRST_EVENT_MS <= targetMs ? "inTime" : "late"] += 1;
        this.running += 1;
        await sleep(ONLINE_HOLD_MS * (0.7 + 0.6 * this.random()));
        this.running -= 1;
        desk.release(outcome.placeId, "done");
    }

    private async comeBack(
        outcome: Extract<PlaceOutcome, { kind: "refused"; }>,
        isFirst: boolean,
        fingerprint: string,
    ): Promise<void> {
        this.report.refused += 1;
        if (!isFirst) {
            this.report.refusedAgain += 1;
            return;
        }
        await sleep(outcome.retryAfterMs);
        await this.runOnline(TARGET_MS, false, fingerprint);
    }

    private async runItem(desk: Dispatcher, leftMs: number): Promise<void> {
        const outcome = await desk.place(newAsk("", "batch", 60_000, 60_000));
        if (outcome.kind === "refused" || this.isOver) {
            return;
        }
        this.running += 1;
        const startedAtMs = performance.now();
        const isPreempted = await Promise.race([
            sleep(leftMs).then(() => false),
            new Promise<boolean>(resolve => this.preempt.set(outcome.placeId, () => resolve(true))),
        ]);
        await sleep(isPreempted ? PREEMPTION_MS : 0);
        this.running -= 1;
        desk.release(outcome.placeId, "done");
        if (isPreempted) {
            await this.runItem(desk, Math.max(1, leftMs - (performance.now() - startedAtMs)));
        }
        else {
            this.report.itemsDone += 1;
        }
    }
}

let askCount = 0;

function newAsk(fingerprint: string, workClass: "online" | "batch", targetMs: number, giveUpAfterMs: number): PlaceAsk {
    askCount += 1;
    return {
        askId: `ask-${askCount}`,
        instanceId: "instance",
        dataCentre: "dc-0",
        service: "model",
        workClass,
        organisation: "studio",
        priority: 0,
        usefulForMs: targetMs,
        targetLatencyMs: targetMs,
        giveUpAfterMs,
        remainingMs: workClass === "batch" ? BATCH_HOLD_MS : 0,
        dueInMs: workClass === "batch" ? 18_000 : targetMs,
        excluded: [],
        allowedRegions: [],
        fingerprint,
        rate: undefined,
    };
}

function sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
