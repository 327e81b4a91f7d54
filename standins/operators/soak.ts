import { FaultLog } from "./faultLog";
import { newConfig, OperatorsFleet } from "./fleet";
import { waitReady } from "./gatewayProcess";
import { MixedBuilds } from "./mixedBuilds";
import { SoakChecks, type Violation } from "./soakChecks";
import { SoakClient } from "./soakClient";
import { FaultInjector } from "./soakFaults";
import { SoakJobs } from "./soakJobs";
import { SoakLoad } from "./soakLoad";
import { newRandom, type Random } from "./soakRandom";
import { SlowReaders } from "./soakReaders";
import { SoakRollouts } from "./soakRollouts";
import { MovingRoutes } from "./soakRoutes";
import { getLoadTraits, getTraits, type LoadTraits, type SoakTraits, type SoakVariant } from "./soakVariants";
import { SoakWatch } from "./soakWatch";

const DATA_CENTRES = ["east", "west"];
const GATEWAYS_PER_DATA_CENTRE = 2;
const JOB_INTERVAL_MS = 1_500;
const READ_INTERVAL_MS = 120;
const FAULT_INTERVAL_MS = 1_800;
const LIMIT_INTERVAL_MS = 2_300;
const SILENCE_INTERVAL_MS = 2_100;
const PARTITION_INTERVAL_MS = 2_600;
/** Longer than engines send answers once more, so that never more of them do than the operators' pages allow. */
const REPEAT_INTERVAL_MS = 5_500;
const CONFIG_INTERVAL_MS = 1_900;
const WATCH_INTERVAL_MS = 400;
const ROUTES_INTERVAL_MS = 300;
const EXTRA_CALL_INTERVAL_MS = 60;
const PART_CALL_INTERVAL_MS = 150;
/** How long one part of prompts crashes engines, and the pause until the next one does. */
const PART_LENGTH_MS = 10_000;
const PART_PAUSE_MS = 2_000;
const ROLLOUT_PAUSE_MS = 500;
const SAMPLE_INTERVAL_MS = 100;
/** Engines of the variant with slow readers: what they read of each body, and the tokens of two online requests. */
const SLOW_BYTES_PER_S = 1_200_000;
const CAPACITY_TOKENS = 330;
const SETTLE_TIMEOUT_MS = 20_000;
/** Words of the log lines that show who decided on a roll-out, and on what evidence. */
const ROLLOUT_EVENTS = ['"event":"rollout', '"event":"coordinator', '"event":"lease'];

/** Result of a soak. */
export interface SoakReport {
    readonly seed: number;
    readonly faults: readonly string[];
    readonly counts:
        & SoakLoad["counts"]
        & SoakJobs["counts"]
        & SoakChecks["counts"]
        & Partial<SlowReaders["counts"]>
        & EngineCounts;
    readonly violations: readonly Violation[];
    /** What the gateways have logged about the requests, jobs and items that the violations name. */
    readonly logLines: readonly string[];
}

/** What all engines together have seen. */
interface EngineCounts {
    readonly runs: number;
    readonly connections: number;
    /** Answers that they have sent once more. */
    readonly copies: number;
}

/** Runs one piece of load or faults again and again until the soak is over. */
interface SoakLoop {
    readonly pauseMs: number;
    readonly run: () => Promise<void>;
}

/**
 * Runs real gateway processes under load and injects faults into them, the store and the engines; faults may overlap.
 */
export class Soak {
    private readonly fleet = new OperatorsFleet();
    private readonly faults = new FaultLog();
    private readonly traits: SoakTraits;
    private readonly loadTraits: LoadTraits;
    private readonly random: Random;
    /** Random numbers for what only some variants have, which leave those of the others as they are. */
    private readonly extraRandom: Random;
    private readonly crashingParts: string[] = [];

    /**
     * @param seed - Seed of the random numbers that select faults and load.
     * @param lengthMs - Duration of load and faults, in milliseconds.
     * @param variant - What is added to the plain engines and faults.
     * @param commit - The other commit of `mixed-builds`.
     */
    constructor(
        private readonly seed: number,
        private readonly lengthMs: number,
        variant: SoakVariant = "plain",
        private readonly commit = "",
    ) {
        this.random = newRandom(seed);
        this.extraRandom = newRandom(seed + 1);
        this.traits = getTraits(variant);
        this.loadTraits = getLoadTraits(this.traits);
    }

    /** @returns The injected faults, the counts of requests and the violations. */
    async run(): Promise<SoakReport> {
        const { fleet } = this;
        const builds = this.traits.mixesBuilds === true
            ? await MixedBuilds.create(this.commit, newRandom(this.seed + 2))
            : undefined;
        fleet.program = builds?.oldProgram ?? fleet.program;
        await fleet.start();
        try {
            await this.startFleet();
            return await this.runWithFaults(builds);
        }
        finally {
            await fleet.stop();
            builds?.remove();
        }
    }

    private async startFleet(): Promise<void> {
        const { fleet, traits: { hasVersions, heapMb, memoryMb }, loadTraits: { eventGapMs, maxBodyBytes } } = this;
        const hasSlowReaders = this.traits.hasSlowReaders === true;
        const { limits, services, tenants } = newConfig() as unknown as SoakConfig;
        fleet.configChanges = {
            limits: { ...limits, maxBodyBytes },
            ...this.traits.repeatsAnswers === true ? { tenants: tenants.map(withoutRate) } : {},
            ...hasSlowReaders ? { services: services.map(withCapacity) } : {},
        };
        fleet.processLimits = { ...fleet.processLimits, ...memoryMb === undefined ? {} : { memoryMb } };
        fleet.nodeOptions = heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=4"];
        fleet.contracts = [
            ...this.traits.hasRollouts === true ? ["rollout"] : [],
            ...hasSlowReaders ? ["pressure"] : [],
        ];
        const slowOptions = hasSlowReaders
            ? { readBytesPerS: SLOW_BYTES_PER_S, capacityTokens: CAPACITY_TOKENS }
            : {};
        fleet.writeConfig();
        for (const dataCentre of DATA_CENTRES) {
            await fleet.addEngine({ service: "lm", dataCentre, eventGapMs, ...slowOptions });
            await fleet.addEngine({ service: "plain", dataCentre, eventGapMs });
        }
        for (const dataCentre of hasSlowReaders ? [...DATA_CENTRES, ...DATA_CENTRES, ...DATA_CENTRES] : []) {
            await fleet.addEngine({ service: "lm", dataCentre, eventGapMs, ...slowOptions });
        }
        for (const dataCentre of hasVersions === true ? DATA_CENTRES : []) {
            await fleet.addEngine({ service: "lm", dataCentre, version: "v2", eventGapMs });
        }
        for (let index = 0; index < DATA_CENTRES.length * GATEWAYS_PER_DATA_CENTRE; index += 1) {
            const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
            await fleet.addGateway(`${dataCentre}-${index}`, dataCentre);
        }
    }

    private async runWithFaults(builds: MixedBuilds | undefined): Promise<SoakReport> {
        const { fleet, faults, random, extraRandom, traits, loadTraits } = this;
        const checks = new SoakChecks(fleet.engines, faults);
        const client = new SoakClient(random, () => fleet.gateways);
        const takesStreamsUp = traits.takesStreamsUp === true;
        const load = new SoakLoad(random, client, checks, loadTraits, takesStreamsUp, extraRandom);
        const jobs = new SoakJobs(random, client, checks, loadTraits);
        const injector = new FaultInjector(fleet, faults, random, extraRandom);
        injector.builds = builds;
        const readers = traits.hasSlowReaders === true ? new SlowReaders(fleet, checks) : undefined;
        const endAtMs = Date.now() + this.lengthMs;
        const loops = [
            ...Array.from({ length: loadTraits.callers }, () => ({ pauseMs: 5, run: () => load.callOnce() })),
            { pauseMs: JOB_INTERVAL_MS, run: () => jobs.submitJob() },
            { pauseMs: READ_INTERVAL_MS, run: () => jobs.readJob() },
            ...this.newFaultLoops(injector, checks),
            ...this.newExtraLoops(load, jobs, checks, endAtMs),
            ...readers === undefined ? [] : [{ pauseMs: SAMPLE_INTERVAL_MS, run: () => readers.sample() }],
        ];
        await Promise.all(loops.map(loop => repeat(() => Date.now() >= endAtMs, loop)));
        await injector.waitForRecovery();
        fleet.store.clearFaults();
        await Promise.all(fleet.gateways.map(waitReady));
        await jobs.checkJobs(SETTLE_TIMEOUT_MS);
        const getGateway = (address: string) =>
            fleet.gateways.find(({ sourceAddress }) => sourceAddress === address)?.name ?? "";
        this.crashingParts.forEach(part => checks.checkCrashingPart(part, getGateway));
        await readers?.checkEnd(SETTLE_TIMEOUT_MS);
        const atEngines = this.countAtEngines();
        const counts = { ...load.counts, ...jobs.counts, ...checks.counts, ...readers?.counts, ...atEngines };
        const { violations } = checks;
        return {
            seed: this.seed,
            faults: faults.descriptions,
            counts,
            violations,
            logLines: this.getLogLines(violations),
        };
    }

    private countAtEngines(): EngineCounts {
        const { engines } = this.fleet;
        return {
            runs: sum(engines.map(({ seen }) => seen.length)),
            connections: sum(engines.map(({ connections }) => connections)),
            copies: sum(engines.map(({ repeater }) => repeater.copies)),
        };
    }

    private getLogLines(violations: readonly Violation[]): string[] {
        const ids = violations.flatMap(violation => violation.match(/\b[sm][0-9a-z]{6}\b/g) ?? []);
        const rolloutEvents = violations.some(violation => violation.startsWith("order for ")) ? ROLLOUT_EVENTS : [];
        const words = [...new Set([...ids, ...rolloutEvents])];
        return this.fleet.gateways
            .flatMap(({ name, lines }) => lines.map(line => `${name} ${line}`))
            .filter(line => words.some(word => line.includes(word)));
    }

    private newFaultLoops(injector: FaultInjector, checks: SoakChecks): SoakLoop[] {
        const { namesLimits, hasNoCommonFaults, hasSilences, hasCrashingParts, hasPartitions } = this.traits;
        const { changesConfigs, repeatsAnswers } = this.traits;
        const watch = new SoakWatch(this.fleet, this.faults, injector.faultyGateways, checks);
        const loops: SoakLoop[] = [{ pauseMs: WATCH_INTERVAL_MS, run: () => watch.checkGateways() }];
        if (hasNoCommonFaults !== true) {
            loops.push({ pauseMs: FAULT_INTERVAL_MS, run: async () => injector.injectCommonFault() });
        }
        if (namesLimits === true) {
            loops.push({ pauseMs: LIMIT_INTERVAL_MS, run: async () => injector.limitEngine() });
        }
        if (hasSilences === true) {
            loops.push({ pauseMs: SILENCE_INTERVAL_MS, run: async () => injector.silenceOrStop() });
        }
        if (repeatsAnswers === true) {
            loops.push({ pauseMs: REPEAT_INTERVAL_MS, run: async () => injector.repeatAnswers() });
        }
        if (hasPartitions === true) {
            loops.push({ pauseMs: PARTITION_INTERVAL_MS, run: async () => injector.cutOffGateway() });
        }
        if (changesConfigs === true) {
            loops.push({ pauseMs: CONFIG_INTERVAL_MS, run: async () => injector.changeConfig() });
        }
        if (hasCrashingParts === true) {
            loops.push({
                pauseMs: PART_PAUSE_MS,
                run: async () => {
                    const part = `bad${this.crashingParts.length}`;
                    this.crashingParts.push(part);
                    await injector.crashOnPart(part, PART_LENGTH_MS);
                },
            });
        }
        return loops;
    }

    private newExtraLoops(load: SoakLoad, jobs: SoakJobs, checks: SoakChecks, endAtMs: number): SoakLoop[] {
        const { fleet, faults, extraRandom, traits, loadTraits } = this;
        const loops: SoakLoop[] = [];
        if (loadTraits.burstEveryS > 0) {
            loops.push({ pauseMs: loadTraits.burstEveryS * 1_000, run: () => jobs.submitBurst() });
        }
        if (traits.movesRoutes === true) {
            const client = new SoakClient(extraRandom, () => fleet.gateways, "m");
            const routes = new MovingRoutes(fleet, client, checks, faults, extraRandom);
            loops.push({ pauseMs: ROUTES_INTERVAL_MS, run: () => routes.move() });
            loops.push({ pauseMs: EXTRA_CALL_INTERVAL_MS, run: () => routes.callOnce() });
        }
        if (traits.hasRollouts === true) {
            const rollouts = new SoakRollouts(fleet, checks, faults, extraRandom, endAtMs);
            loops.push({ pauseMs: ROLLOUT_PAUSE_MS, run: () => rollouts.runOnce() });
        }
        if (traits.hasCrashingParts === true) {
            loops.push({
                pauseMs: PART_CALL_INTERVAL_MS,
                run: () => load.callWithPart(this.crashingParts.at(-1) ?? "bad0"),
            });
        }
        return loops;
    }
}

/** The parts of the configuration that variants change. */
interface SoakConfig {
    readonly limits: Record<string, unknown>;
    readonly services: ServiceConfig[];
    readonly tenants: Record<string, unknown>[];
}

/** The engine's part of a service in the configuration. */
interface ServiceConfig {
    readonly engine?: Record<string, unknown>;
}

function withCapacity(service: ServiceConfig): ServiceConfig {
    const { engine } = service;
    return engine === undefined ? service : { ...service, engine: { ...engine, kvCapacityTokens: CAPACITY_TOKENS } };
}

function withoutRate(tenant: Record<string, unknown>): Record<string, unknown> {
    return { ...tenant, ratePerS: 0, burst: 0 };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

async function repeat(isOver: () => boolean, { pauseMs, run }: SoakLoop): Promise<void> {
    while (!isOver()) {
        await run();
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
}
