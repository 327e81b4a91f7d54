import { sleep } from "../../packages/common/src";
import { Dispatcher, type EndpointEntry, type PlaceRequest } from "../../packages/fleet/src";
import { newSeededRandom } from "../random";
import { SERVICE } from "./strategy";

const ORGANISATIONS = 40;
const ENDPOINTS = 13;
const SLOTS = 8;
const TARGET_LATENCY_MS = 300;
const FIRST_EVENT_DELAY_MS = 40;
const CALLER_TIMEOUT_MS = 2_000;
const LENGTH_MS = 26_400;
const DRAIN_MS = 6_000;
/** Factors on the usual load and how long each applies, in turn. */
const STEPS = [{ factor: 0.38, lengthMs: 3_800 }, { factor: 1.84, lengthMs: 2_800 }];
const HOT_FROM_MS = 2_000;
const HOT_UNTIL_MS = 24_000;
const LOST_FROM_MS = 8_000;
const LOST_FOR_MS = 12_000;
const LOST_FRACTION = 0.3;
/** Rate limit of an organisation as a multiple of its usual load. */
const RATE_HEADROOM = 4.6;
const MEAN_OUTPUT_TOKENS = 60;
const MEAN_PROMPT_TOKENS = 400;
const MS_PER_OUTPUT_TOKEN = 10;
const MS_PER_PROMPT_TOKEN = 0.25;
const LISTED_PRIORITIES = 2;
const MS_PER_S = 1_000;

/** The load of {@link FairReplay}. */
export interface FairLoad {
    /** Usual load of all organisations as a fraction of the places' capacity, averaged over the steps. */
    readonly usualLoad: number;
    /** Number of organisations that send more than usual. */
    readonly hotCount: number;
    /** Factor on the number of requests of these. */
    readonly hotFactor: number;
    /** Factor on the length of their requests. */
    readonly hotLength?: number;
    /** Whether a part of the endpoints is gone for some time. */
    readonly losesEndpoints: boolean;
    /** Whether requests state their work and the organisation's weight, which those of earlier releases don't. */
    readonly statesWork?: boolean;
    /** Whether organisations have two different priorities. */
    readonly hasPriorities?: boolean;
}

/** What became of the requests of one organisation, or of several. */
export interface FairCounts {
    inTime: number;
    /** Of these, requests that got it at the first attempt. */
    inTimeAtFirst: number;
    late: number;
    /** Requests that were refused twice. */
    refused: number;
    /** Refusals of first attempts. */
    firstRefusals: number;
}

/** Result of {@link FairReplay}. */
export interface FairReport {
    readonly quiet: FairCounts;
    readonly hot: FairCounts;
    /** By organisation; the hot ones come first. */
    readonly organisations: readonly FairCounts[];
    /** Time for which places were free while requests waited, summed over places, in milliseconds. */
    readonly idleWhileWaitingMs: number;
}

/** Replays the load of many organisations, some of them hot, against one dispatcher. Needs virtual time. */
export class FairReplay {
    private readonly counts = Array.from({ length: ORGANISATIONS }, newCounts);
    private readonly dispatcher = new Dispatcher({
        getCapacity: ({ slots }) => slots,
        getColdRatePerS: () => 0,
        getLimitPerS: () => undefined,
        getStreamDelayMs: () => 0,
        getRegion: () => "",
        preempt: () => undefined,
    });
    private readonly running = new Map<string, string>();
    private waiting = 0;
    private endpointCount = 0;
    private idCount = 0;
    private idleWhileWaitingMs = 0;

    /**
     * @param load - The load.
     * @param seed - Seed of arrivals and lengths; an organisation's are the same whatever the others send.
     * @param advance - Advances virtual time.
     */
    constructor(
        private readonly load: FairLoad,
        private readonly seed: number,
        private readonly advance: (ms: number) => Promise<void>,
    ) {}

    /** @returns The result. */
    async run(): Promise<FairReport> {
        this.setEndpoints(ENDPOINTS);
        for (let index = 0; index < ORGANISATIONS; index += 1) {
            void this.sendUsual(index);
            if (index < this.load.hotCount) {
                void this.sendMore(index);
            }
        }
        for (let atMs = 0; atMs < LENGTH_MS + DRAIN_MS; atMs += 1) {
            const isLost = this.load.losesEndpoints && atMs >= LOST_FROM_MS && atMs < LOST_FROM_MS + LOST_FOR_MS;
            this.setEndpoints(isLost ? Math.round(ENDPOINTS * (1 - LOST_FRACTION)) : ENDPOINTS);
            await this.advance(1);
            const free = Math.max(0, this.endpointCount * SLOTS - this.running.size);
            this.idleWhileWaitingMs += Math.min(free, this.waiting);
        }
        this.dispatcher.refuseAll("over");
        return {
            quiet: sum(this.counts.slice(this.load.hotCount)),
            hot: sum(this.counts.slice(0, this.load.hotCount)),
            organisations: this.counts,
            idleWhileWaitingMs: this.idleWhileWaitingMs,
        };
    }

    private async sendUsual(index: number): Promise<void> {
        const random = newSeededRandom(this.seed * 1_000 + index);
        const usualPerS = this.getUsualPerS(index);
        const maxFactor = Math.max(...STEPS.map(({ factor }) => factor));
        for (;;) {
            await sleep(-Math.log(1 - random()) * MS_PER_S / (usualPerS * maxFactor));
            const isSent = random() < getFactor(performance.now()) / maxFactor;
            const length = -Math.log(1 - random() * 0.95);
            if (performance.now() >= LENGTH_MS) {
                return;
            }
            if (isSent) {
                const isLong = index < this.load.hotCount && isHotTime(performance.now());
                void this.send(index, length * (isLong ? this.load.hotLength ?? 1 : 1), true);
            }
        }
    }

    private async sendMore(index: number): Promise<void> {
        const random = newSeededRandom(this.seed * 1_000 + ORGANISATIONS + index);
        const extraPerS = this.getUsualPerS(index) * (this.load.hotFactor - 1);
        while (extraPerS > 0 && performance.now() < HOT_UNTIL_MS) {
            await sleep(-Math.log(1 - random()) * MS_PER_S / extraPerS);
            if (isHotTime(performance.now())) {
                void this.send(index, -Math.log(1 - random() * 0.95) * (this.load.hotLength ?? 1), true);
            }
        }
    }

    private async send(index: number, length: number, isFirst: boolean, fingerprint = this.newId()): Promise<void> {
        const startMs = performance.now();
        const counts = this.counts[index] as FairCounts;
        this.waiting += 1;
        const outcome = await this.dispatcher.place(this.newRequest(index, length, fingerprint));
        this.waiting -= 1;
        if (outcome.kind === "refused") {
            counts.firstRefusals += isFirst ? 1 : 0;
            counts.refused += isFirst ? 0 : 1;
            if (isFirst) {
                await sleep(outcome.retryAfterMs);
                await this.send(index, length, false, fingerprint);
            }
            return;
        }
        const isInTime = performance.now() - startMs + FIRST_EVENT_DELAY_MS <= TARGET_LATENCY_MS;
        counts[isInTime ? "inTime" : "late"] += 1;
        counts.inTimeAtFirst += isInTime && isFirst ? 1 : 0;
        this.running.set(outcome.placeId, outcome.endpointId);
        await sleep(getHoldMs(length));
        const isKept = this.running.delete(outcome.placeId);
        this.dispatcher.release(outcome.placeId, isKept ? "done" : "lost", FIRST_EVENT_DELAY_MS);
    }

    private getUsualPerS(index: number): number {
        const size = 1 + index % 4;
        const sizes = Array.from({ length: ORGANISATIONS }, (_, other) => 1 + other % 4).reduce((a, b) => a + b, 0);
        return this.load.usualLoad * ENDPOINTS * SLOTS * MS_PER_S / getHoldMs(1) * size / sizes;
    }

    private newRequest(index: number, length: number, fingerprint: string): PlaceRequest {
        return {
            askId: this.newId(),
            instanceId: "instance",
            dataCentre: "dc-0",
            service: SERVICE,
            workClass: "online",
            organisation: `organisation-${index}`,
            priority: this.load.hasPriorities === true ? index % LISTED_PRIORITIES : 0,
            usefulForMs: TARGET_LATENCY_MS,
            targetLatencyMs: TARGET_LATENCY_MS,
            giveUpAfterMs: CALLER_TIMEOUT_MS,
            dueInMs: CALLER_TIMEOUT_MS,
            remainingMs: 0,
            excluded: [],
            allowedRegions: [],
            fingerprint,
            rate: undefined,
            ...(this.load.statesWork === false ? {} : {
                work: {
                    promptTokens: length * MEAN_PROMPT_TOKENS,
                    outputTokens: length * MEAN_OUTPUT_TOKENS,
                },
                weight: this.getUsualPerS(index) * RATE_HEADROOM,
            }),
        };
    }

    private setEndpoints(count: number): void {
        if (count === this.endpointCount) {
            return;
        }
        this.endpointCount = count;
        const entries = Array.from({ length: count }, (_, index): EndpointEntry => ({
            endpointId: `endpoint-${index}`,
            service: SERVICE,
            host: "127.0.0.1",
            port: 1,
            dataCentre: "dc-0",
            slots: SLOTS,
            state: "ready",
            coldLeftMs: 0,
        }));
        this.dispatcher.setEndpoints(entries);
        for (const [placeId, endpointId] of this.running) {
            if (!entries.some(entry => entry.endpointId === endpointId)) {
                this.running.delete(placeId);
                this.dispatcher.release(placeId, "lost");
            }
        }
    }

    private newId(): string {
        this.idCount += 1;
        return `request-${this.idCount}`;
    }
}

/**
 * @param counts - What became of some requests.
 * @returns The fraction of them that got a place in time at the first attempt, as a percentage.
 */
export function getPercentAtFirst({ inTimeAtFirst, inTime, late, refused }: FairCounts): number {
    return 100 * inTimeAtFirst / Math.max(1, inTime + late + refused);
}

/**
 * @param counts - What became of some requests.
 * @returns The fraction of them that got a place in time, at once or as asked to return, as a percentage.
 */
export function getPercentInTime({ inTime, late, refused }: FairCounts): number {
    return 100 * inTime / Math.max(1, inTime + late + refused);
}

function getHoldMs(length: number): number {
    return length * (MEAN_OUTPUT_TOKENS * MS_PER_OUTPUT_TOKEN + MEAN_PROMPT_TOKENS * MS_PER_PROMPT_TOKEN);
}

function getFactor(atMs: number): number {
    let leftMs = atMs % STEPS.reduce((total, { lengthMs }) => total + lengthMs, 0);
    for (const { factor, lengthMs } of STEPS) {
        if (leftMs < lengthMs) {
            return factor;
        }
        leftMs -= lengthMs;
    }
    return 1;
}

function isHotTime(atMs: number): boolean {
    return atMs >= HOT_FROM_MS && atMs < HOT_UNTIL_MS;
}

function newCounts(): FairCounts {
    return { inTime: 0, inTimeAtFirst: 0, late: 0, refused: 0, firstRefusals: 0 };
}

function sum(all: readonly FairCounts[]): FairCounts {
    return all.reduce((total, { inTime, inTimeAtFirst, late, refused, firstRefusals }) => ({
        inTime: total.inTime + inTime,
        inTimeAtFirst: total.inTimeAtFirst + inTimeAtFirst,
        late: total.late + late,
        refused: total.refused + refused,
        firstRefusals: total.firstRefusals + firstRefusals,
    }), newCounts());
}
