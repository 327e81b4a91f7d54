import type { Engine } from "./engine";
import { type GatewayProcess, OperatorsFleet } from "./fleet";
import { MixedBuilds } from "./mixedBuilds";
import { SoakLoad, type Violation } from "./soakLoad";

const DATA_CENTRES = ["east", "west"];
const GATEWAYS_PER_DATA_CENTRE = 2;
const CONCURRENT_CALLERS = 6;
const JOB_INTERVAL_MS = 1_500;
const READ_INTERVAL_MS = 120;
const FAULT_INTERVAL_MS = 1_800;
const LIMIT_INTERVAL_MS = 2_300;
/** Requests per second that engines name as their limits. */
const LIMITS_PER_S = ["0", "0.5", "3", "much"];
const MAX_FAULT_MS = 3_000;
const SETTLE_TIMEOUT_MS = 20_000;

export const SOAK_VARIANTS = ["plain", "versions-and-limits", "mixed-builds"] as const;

/**
 * - `plain`: engines of one software version.
 * - `versions-and-limits`: engines of two versions side by side, which name limits now and then, and callers that take up
 *   streams that broke off.
 * - `mixed-builds`: the same, and each gateway starts with the build of another commit; after it has ended, it starts with
 *   that one or today's.
 */
export type SoakVariant = typeof SOAK_VARIANTS[number];

/** @returns Whether a text names a variant. */
export function isSoakVariant(text: string): text is SoakVariant {
    return SOAK_VARIANTS.some(variant => variant === text);
}

/** Result of a soak. */
export interface SoakReport {
    readonly seed: number;
    readonly faults: readonly string[];
    readonly counts: SoakLoad["counts"];
    readonly violations: readonly Violation[];
}

/**
 * Runs real gateway processes under load and injects faults into them, the store and the engines; faults may overlap.
 */
export class Soak {
    private readonly fleet = new OperatorsFleet();
    private readonly faults: string[] = [];
    private readonly recoveries: Promise<void>[] = [];
    private readonly faultyGateways = new Set<GatewayProcess>();
    private readonly random: () => number;
    private readonly limitRandom: () => number;
    private builds: MixedBuilds | undefined;

    /**
     * @param seed - Seed of the random numbers that select faults and load.
     * @param lengthMs - Duration of load and faults, in milliseconds.
     * @param variant - What is added to the plain engines and faults.
     * @param commit - The other commit of `mixed-builds`.
     */
    constructor(
        private readonly seed: number,
        private readonly lengthMs: number,
        private readonly variant: SoakVariant = "plain",
        private readonly commit = "",
    ) {
        this.random = newRandom(seed);
        this.limitRandom = newRandom(seed + 1);
    }

    private get hasVersionsAndLimits(): boolean {
        return this.variant !== "plain";
    }

    /** @returns The injected faults, the counts of requests and the violations. */
    async run(): Promise<SoakReport> {
        const { fleet } = this;
        if (this.variant === "mixed-builds") {
            this.builds = await MixedBuilds.create(this.commit, newRandom(this.seed + 2));
            fleet.program = this.builds.oldProgram;
        }
        await fleet.start();
        try {
            fleet.writeConfig();
            for (const dataCentre of DATA_CENTRES) {
                await fleet.addEngine({ service: "lm", dataCentre });
                await fleet.addEngine({ service: "plain", dataCentre });
            }
            for (const dataCentre of this.hasVersionsAndLimits ? DATA_CENTRES : []) {
                await fleet.addEngine({ service: "lm", dataCentre, version: "v2" });
            }
            for (let index = 0; index < DATA_CENTRES.length * GATEWAYS_PER_DATA_CENTRE; index += 1) {
                const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
                await fleet.addGateway(`${dataCentre}-${index}`, dataCentre);
            }
            return await this.runWithFaults();
        }
        finally {
            await fleet.stop();
            this.builds?.remove();
        }
    }

    private async runWithFaults(): Promise<SoakReport> {
        const { fleet } = this;
        const getPorts = () => fleet.gateways.map(({ port }) => port);
        const load = new SoakLoad(this.random, getPorts, fleet.engines, this.hasVersionsAndLimits);
        const endAtMs = Date.now() + this.lengthMs;
        const isOver = () => Date.now() >= endAtMs;
        const loops = [
            ...Array.from({ length: CONCURRENT_CALLERS }, () => repeat(isOver, 5, () => load.callOnce())),
            repeat(isOver, JOB_INTERVAL_MS, () => load.submitJob()),
            repeat(isOver, READ_INTERVAL_MS, () => load.readJob()),
            repeat(isOver, FAULT_INTERVAL_MS, async () => this.injectFault()),
        ];
        if (this.hasVersionsAndLimits) {
            loops.push(repeat(isOver, LIMIT_INTERVAL_MS, async () => this.limitEngine()));
        }
        await Promise.all(loops);
        await Promise.all(this.recoveries);
        fleet.store.clearFaults();
        await Promise.all(fleet.gateways.map(gateway => fleet.waitReady(gateway)));
        await load.checkJobs(SETTLE_TIMEOUT_MS);
        return { seed: this.seed, faults: this.faults, counts: load.counts, violations: load.violations };
    }

    private injectFault(): void {
        const lengthMs = this.random() * MAX_FAULT_MS;
        const injectors = [
            () => this.signalGateway("SIGKILL", lengthMs),
            () => this.signalGateway("SIGTERM", lengthMs),
            () => this.signalGateway("SIGSTOP", lengthMs),
            () => this.injectStoreFaults({ isDown: true }, lengthMs),
            () => this.injectStoreFaults({ delayMs: 250 }, lengthMs),
            () => this.injectStoreFaults({ lostPart: 0.4 }, lengthMs),
            () => this.injectStoreFaults({ refusedKinds: ["heatherline-job"] }, lengthMs),
            () => this.injectStoreFaults({ forgottenKinds: ["servers", "config"] }, lengthMs),
            () => this.fleet.store.compact(),
            () => this.makeEngineUnresponsive(lengthMs),
            () => this.fleet.writeConfig(),
        ];
        const index = Math.floor(this.random() * injectors.length);
        injectors[index]?.();
    }

    private signalGateway(signal: "SIGKILL" | "SIGTERM" | "SIGSTOP", lengthMs: number): void {
        const candidates = this.fleet.gateways.filter(gateway => !this.faultyGateways.has(gateway));
        const gateway = candidates[Math.floor(this.random() * candidates.length)];
        if (gateway === undefined) {
            return;
        }
        this.recordFault(`${signal} ${gateway.name}`, lengthMs);
        this.faultyGateways.add(gateway);
        gateway.child.kill(signal);
        this.scheduleRecovery(lengthMs, async () => {
            if (signal === "SIGSTOP") {
                gateway.child.kill("SIGCONT");
            }
            else {
                await new Promise<void>(resolve => {
                    if (gateway.child.exitCode !== null || gateway.child.signalCode !== null) {
                        resolve();
                    }
                    gateway.child.once("exit", () => resolve());
                });
                const build = this.builds?.select(gateway);
                if (build !== undefined) {
                    this.faults.push(`${gateway.name} starts with the ${build} build`);
                }
                await this.fleet.restart(gateway).catch(() => undefined);
            }
            this.faultyGateways.delete(gateway);
        });
    }

    private injectStoreFaults(faults: Partial<OperatorsFleet["store"]["faults"]>, lengthMs: number): void {
        this.recordFault(`store ${JSON.stringify(faults)}`, lengthMs);
        Object.assign(this.fleet.store.faults, faults);
        this.scheduleRecovery(lengthMs, async () => {
            Object.assign(this.fleet.store.faults, {
                isDown: false,
                delayMs: 0,
                lostPart: 0,
                refusedKinds: [],
                forgottenKinds: [],
            });
        });
    }

    private makeEngineUnresponsive(lengthMs: number): void {
        const engine = this.fleet.engines[Math.floor(this.random() * this.fleet.engines.length)] as Engine;
        this.recordFault(`unresponsive ${engine.id}`, lengthMs);
        engine.isUnresponsive = true;
        this.scheduleRecovery(lengthMs, async () => {
            engine.isUnresponsive = false;
        });
    }

    /** Draws from random numbers of its own, which leaves those of the other faults as they are. */
    private limitEngine(): void {
        const engine = this.fleet.engines[Math.floor(this.limitRandom() * this.fleet.engines.length)] as Engine;
        const limit = LIMITS_PER_S[Math.floor(this.limitRandom() * LIMITS_PER_S.length)] ?? "0";
        const lengthMs = this.limitRandom() * MAX_FAULT_MS;
        this.recordFault(`limit ${limit} of ${engine.id}`, lengthMs);
        engine.namedLimit = limit;
        this.scheduleRecovery(lengthMs, async () => {
            engine.namedLimit = undefined;
        });
    }

    private recordFault(description: string, lengthMs: number): void {
        this.faults.push(`${description} for ${Math.round(lengthMs)} ms`);
    }

    private scheduleRecovery(delayMs: number, recover: () => Promise<void>): void {
        this.recoveries.push(new Promise<void>(resolve => setTimeout(resolve, delayMs)).then(recover));
    }
}

async function repeat(isOver: () => boolean, pauseMs: number, run: () => Promise<void>): Promise<void> {
    while (!isOver()) {
        await run();
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
}

/** A linear congruential generator; its quality doesn't matter as long as a seed repeats the same sequence. */
function newRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
