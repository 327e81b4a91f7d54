import { sleep } from "../../packages/common/src";
import { Dispatcher, type EndpointEntry, type PlaceRequest, type WorkClass } from "../../packages/fleet/src";
import { newSeededRandom } from "../random";
import { SERVICE } from "./strategy";

const ENDPOINTS = 39;
const SLOTS = 8;
const LENGTH_MS = 20_000;
/** Figures are of requests that arrive after this time, in milliseconds. */
const WARM_UP_MS = 2_000;
const DRAIN_MS = 5_000;
const TICK_MS = 2;
const MS_PER_S = 1_000;
/** Additional time of a message to an endpoint in another data centre and back, in milliseconds. */
const REMOTE_MS = 12;
const PROMPT_TOKENS = 400;
const MS_PER_PROMPT_TOKEN = 0.2;
const OUTPUT_TOKENS = 50;
const MS_PER_OUTPUT_TOKEN = 10;
/** How much slower a full endpoint is than an idle one. */
const FULL_SLOWDOWN = 0.3;
const SLOWED_FACTOR = 2.5;
const SLOWED_FRACTION = 0.15;
const SLOWED_MS = 600;
const DATA_CENTRES = ["dc-0", "dc-1", "dc-2"] as const;
const TIGHT_TARGET_MS = 200;
const LOOSE_TARGET_MS = 800;
const ITEM_TOKENS = 400;
/** Responses of slow endpoints take a second. */
const LEARNED_AT_MS = 2_000;

/** The load of {@link SpeedReplay}. */
export interface SpeedLoad {
    /** Load as a fraction of the places' capacity at the mean speed. */
    readonly load: number;
    /** Factors on the time of endpoints, in turn. */
    readonly slowness: readonly number[];
    /** Whether endpoints are slower from time to time. */
    readonly varies: boolean;
    /** Parts of the load that arrive in the three data centres. */
    readonly demand: readonly [number, number, number];
    readonly batchItems: number;
    /** Whether releases tell how long responses took, which instances of earlier releases tell in part. */
    readonly hasFigures?: boolean;
}

/** Result of {@link SpeedReplay}. */
export interface SpeedReport {
    /** Percentage of requests with a tight objective whose first event came in time. */
    readonly tightInTime: number;
    /** The same of requests with a loose objective. */
    readonly looseInTime: number;
    readonly refused: number;
    /** Mean time to the first event, in milliseconds. */
    readonly firstMs: number;
    /** Mean time to the end, in milliseconds. */
    readonly endMs: number;
    readonly endP95Ms: number;
    /** Percentage of requests that ran in another data centre. */
    readonly remote: number;
    /** Percentage of requests that ran at one of the slow endpoints. */
    readonly atSlow: number;
    readonly itemsDone: number;
    readonly maxRunning: number;
    readonly idleWhileWaitingMs: number;
    /** Percentage of endpoints that are known 2 s after the start to be slow, or not to be. */
    readonly recognised: number;
    /** Endpoints of requests in the order of their grants, to compare choices. */
    readonly choices: readonly string[];
}

interface Run {
    readonly end: () => void;
    leftMs: number;
    firstLeftMs: number;
    firstAtMs: number | undefined;
}

/** Replays load on endpoints of different and varying speed against one dispatcher. Needs virtual time. */
export class SpeedReplay {
    private readonly dispatcher = new Dispatcher({
        getCapacity: ({ slots }) => slots,
        getColdRatePerS: () => 0,
        getLimitPerS: () => undefined,
        getStreamDelayMs: () => 0,
        getRegion: () => "",
        preempt: ({ placeId }) => this.preempted.get(placeId)?.(),
    });
    private readonly preempted = new Map<string, () => void>();
    private readonly runs = Array.from({ length: ENDPOINTS }, () => new Set<Run>());
    private readonly slowedUntilMs = Array.from({ length: ENDPOINTS }, () => -1);
    private readonly random: () => number;
    private readonly speedRandom: () => number;
    private readonly firstsMs: number[] = [];
    private readonly endsMs: number[] = [];
    private readonly choices: string[] = [];
    private readonly inTime = { tight: 0, loose: 0 };
    private readonly sent = { tight: 0, loose: 0 };
    private refused = 0;
    private remote = 0;
    private atSlow = 0;
    private itemsDone = 0;
    private waiting = 0;
    private maxRunning = 0;
    private idleWhileWaitingMs = 0;
    private idCount = 0;
    private recognised = 0;

    /**
     * @param load - The load.
     * @param seed - Seed of arrivals, lengths and slow times.
     * @param advance - Advances virtual time.
     */
    constructor(
        private readonly load: SpeedLoad,
        seed: number,
        private readonly advance: (ms: number) => Promise<void>,
    ) {
        this.random = newSeededRandom(seed);
        this.speedRandom = newSeededRandom(seed + 1);
    }

    /** @returns The result. */
    async run(): Promise<SpeedReport> {
        this.dispatcher.setEndpoints(Array.from({ length: ENDPOINTS }, (_, index) => this.newEntry(index)));
        for (let item = 0; item < this.load.batchItems; item += 1) {
            void this.runItem(ITEM_TOKENS * MS_PER_OUTPUT_TOKEN);
        }
        let nextMs = this.newGapMs();
        for (let atMs = 0; atMs < LENGTH_MS + DRAIN_MS; atMs += TICK_MS) {
            for (; nextMs <= atMs && atMs < LENGTH_MS; nextMs += this.newGapMs()) {
                void this.send();
            }
            this.progress();
            await this.advance(TICK_MS);
            if (atMs === LEARNED_AT_MS) {
                this.dispatcher.getQueueStats(SERVICE).slowness.forEach((slowness, endpointId) => {
                    const isSlow = this.getSlowness(Number(endpointId.split("-")[1])) > 1;
                    this.recognised += isSlow ? Number(slowness > 1) : Number(slowness <= 1);
                });
            }
            const running = this.runs.reduce((sum, { size }) => sum + size, 0);
            this.idleWhileWaitingMs += TICK_MS * Math.min(this.waiting, ENDPOINTS * SLOTS - running);
        }
        this.dispatcher.refuseAll("over");
        const count = Math.max(1, this.endsMs.length);
        const sorted = [...this.endsMs].sort((left, right) => left - right);
        return {
            tightInTime: 100 * this.inTime.tight / this.sent.tight,
            looseInTime: 100 * this.inTime.loose / this.sent.loose,
            refused: this.refused,
            firstMs: mean(this.firstsMs),
            endMs: mean(this.endsMs),
            endP95Ms: sorted[Math.floor(0.95 * sorted.length)] ?? 0,
            remote: 100 * this.remote / count,
            atSlow: 100 * this.atSlow / count,
            itemsDone: this.itemsDone,
            maxRunning: this.maxRunning,
            idleWhileWaitingMs: this.idleWhileWaitingMs,
            recognised: 100 * this.recognised / ENDPOINTS,
            choices: this.choices,
        };
    }

    private progress(): void {
        const nowMs = performance.now();
        for (const [index, runs] of this.runs.entries()) {
            if (this.load.varies && (this.slowedUntilMs[index] as number) < nowMs) {
                const startPerTick = SLOWED_FRACTION / (1 - SLOWED_FRACTION) * TICK_MS / SLOWED_MS;
                this.slowedUntilMs[index] = this.speedRandom() < startPerTick ? nowMs + SLOWED_MS : -1;
            }
            const isSlowed = (this.slowedUntilMs[index] as number) >= nowMs;
            const slowness = this.getSlowness(index) * (isSlowed ? SLOWED_FACTOR : 1)
                * (1 + FULL_SLOWDOWN * runs.size / SLOTS);
            for (const run of runs) {
                run.leftMs -= TICK_MS / slowness;
                run.firstLeftMs -= TICK_MS / slowness;
                run.firstAtMs ??= run.firstLeftMs <= 0 ? nowMs : undefined;
                if (run.leftMs <= 0) {
                    run.end();
                }
            }
            this.maxRunning = Math.max(this.maxRunning, runs.size);
        }
    }

    private async send(): Promise<void> {
        const startMs = performance.now();
        const kind = this.random() < 0.5 ? "tight" : "loose";
        const dataCentre = this.pickDataCentre();
        const promptTokens = PROMPT_TOKENS * (0.3 + 1.4 * this.random());
        const outputTokens = Math.ceil(-Math.log(1 - this.random() * 0.97) * OUTPUT_TOKENS);
        const isCounted = startMs >= WARM_UP_MS;
        this.sent[kind] += isCounted ? 1 : 0;
        this.waiting += 1;
        const targetLatencyMs = kind === "tight" ? TIGHT_TARGET_MS : LOOSE_TARGET_MS;
        const outcome = await this.dispatcher.place(
            this.newRequest("online", dataCentre, { targetLatencyMs, promptTokens, outputTokens }),
        );
        this.waiting -= 1;
        if (outcome.kind === "refused") {
            this.refused += isCounted ? 1 : 0;
            return;
        }
        const index = Number(outcome.endpointId.split("-")[1]);
        const remoteMs = this.newEntry(index).dataCentre === dataCentre ? 0 : REMOTE_MS;
        const grantedAtMs = performance.now();
        const firstWorkMs = promptTokens * MS_PER_PROMPT_TOKEN;
        await sleep(remoteMs / 2);
        const firstAtMs = await this.execute(index, firstWorkMs, firstWorkMs + outputTokens * MS_PER_OUTPUT_TOKEN);
        await sleep(remoteMs / 2);
        const endAtMs = performance.now();
        const firstMs = (firstAtMs ?? endAtMs) + remoteMs / 2 - startMs;
        if (this.load.hasFigures === false) {
            this.dispatcher.release(outcome.placeId, "done");
        }
        else {
            this.dispatcher.release(outcome.placeId, "done", firstMs - (grantedAtMs - startMs), {
                events: outputTokens,
                durationMs: endAtMs - grantedAtMs,
            });
        }
        if (isCounted) {
            this.choices.push(outcome.endpointId);
            this.inTime[kind] += firstMs <= targetLatencyMs ? 1 : 0;
            this.firstsMs.push(firstMs);
            this.endsMs.push(endAtMs - startMs);
            this.remote += remoteMs > 0 ? 1 : 0;
            this.atSlow += this.getSlowness(index) > 1 ? 1 : 0;
        }
    }

    private async runItem(leftMs: number): Promise<void> {
        const request = this.newRequest("batch", this.pickDataCentre(), {
            targetLatencyMs: LENGTH_MS,
            promptTokens: PROMPT_TOKENS,
            outputTokens: ITEM_TOKENS,
        });
        const outcome = await this.dispatcher.place(request);
        if (outcome.kind === "refused") {
            return;
        }
        const startMs = performance.now();
        const { placeId, endpointId } = outcome;
        const run: Run = { leftMs, firstLeftMs: 0, firstAtMs: undefined, end: () => undefined };
        await this.executeRun(Number(endpointId.split("-")[1]), run, stop => this.preempted.set(placeId, stop));
        this.preempted.delete(placeId);
        this.dispatcher.release(placeId, "done", undefined, {
            events: Math.floor((leftMs - Math.max(0, run.leftMs)) / MS_PER_OUTPUT_TOKEN),
            durationMs: performance.now() - startMs,
        });
        if (run.leftMs > 0) {
            await this.runItem(run.leftMs);
            return;
        }
        this.itemsDone += performance.now() < LENGTH_MS ? 1 : 0;
    }

    private async execute(index: number, firstLeftMs: number, leftMs: number): Promise<number | undefined> {
        const run: Run = { leftMs, firstLeftMs, firstAtMs: undefined, end: () => undefined };
        await this.executeRun(index, run);
        return run.firstAtMs;
    }

    private async executeRun(index: number, run: Run, setStop?: (stop: () => void) => void): Promise<void> {
        const runs = this.runs[index] as Set<Run>;
        await new Promise<void>(resolve => {
            const entry = Object.assign(run, { end: resolve });
            setStop?.(resolve);
            runs.add(entry);
        });
        runs.delete(run);
    }

    private getSlowness(index: number): number {
        return this.load.slowness[index % this.load.slowness.length] as number;
    }

    private newGapMs(): number {
        const speed = mean(this.load.slowness.map(slowness => 1 / slowness));
        const workMs = PROMPT_TOKENS * MS_PER_PROMPT_TOKEN + 0.9 * OUTPUT_TOKENS * MS_PER_OUTPUT_TOKEN;
        const capacityPerS = ENDPOINTS * SLOTS * speed * MS_PER_S / (workMs * (1 + FULL_SLOWDOWN));
        return -Math.log(1 - this.random()) * MS_PER_S / (capacityPerS * this.load.load);
    }

    private pickDataCentre(): string {
        const [first, second] = this.load.demand;
        const at = this.random();
        return at < first ? DATA_CENTRES[0] : at < first + second ? DATA_CENTRES[1] : DATA_CENTRES[2];
    }

    private newEntry(index: number): EndpointEntry {
        return {
            endpointId: `endpoint-${index}`,
            service: SERVICE,
            host: "127.0.0.1",
            port: 1,
            dataCentre: DATA_CENTRES[Math.floor(index / 3) % DATA_CENTRES.length] as string,
            slots: SLOTS,
            state: "ready",
            coldLeftMs: 0,
        };
    }

    private newRequest(
        workClass: WorkClass,
        dataCentre: string,
        { targetLatencyMs, promptTokens, outputTokens }: {
            readonly targetLatencyMs: number;
            readonly promptTokens: number;
            readonly outputTokens: number;
        },
    ): PlaceRequest {
        this.idCount += 1;
        return {
            askId: `request-${this.idCount}`,
            instanceId: "instance",
            dataCentre,
            service: SERVICE,
            workClass,
            organisation: "studio",
            priority: 0,
            usefulForMs: targetLatencyMs,
            targetLatencyMs,
            giveUpAfterMs: workClass === "batch" ? LENGTH_MS * 2 : LOOSE_TARGET_MS * 2,
            dueInMs: LENGTH_MS,
            remainingMs: 0,
            excluded: [],
            allowedRegions: [],
            fingerprint: "",
            rate: undefined,
            work: { promptTokens, outputTokens },
        };
    }
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
