import type { FaultKind, FaultLog, FaultTarget } from "./faultLog";
import { newConfig, type OperatorsFleet } from "./fleet";
import type { GatewayProcess } from "./gatewayProcess";
import type { MixedBuilds } from "./mixedBuilds";
import { pick, type Random } from "./soakRandom";

const MAX_FAULT_MS = 3_000;
/** Requests per second that engines name as their limits. */
const LIMITS_PER_S = ["0", "0.5", "3", "much"];
/** Shortest and longest silence of an engine that the platform doesn't count as a fault, in milliseconds. */
const MIN_SILENCE_MS = 700;
const MAX_SILENCE_MS = 1_300;
/** Longest partition, in milliseconds; long enough that another gateway becomes the coordinator. */
const MAX_PARTITION_MS = 5_000;
/** What a gateway can be cut off from. */
const PARTITIONS = ["store", "coordinator", "gateways", "store and gateways"] as const;
/** Timeouts of the routes of the model service that configurations alternate between, in milliseconds. */
const ROUTE_TIMEOUTS_MS = [5_000, 6_500, 8_000];
/** Part of the engines that send answers once more, part of their answers, and how long, in milliseconds. */
const REPEATING_ENGINES_PART = 0.6;
const REPEATED_ANSWERS_PART = 0.03;
const REPEATING_MS = 5_000;
/** How long an engine that has crashed is away, and a little more, in milliseconds. */
const CRASH_MS = 700;

/** Injects faults into gateways, the store and engines; faults may overlap. */
export class FaultInjector {
    /** Gateways that are stopped, killed or frozen, or that start again. */
    readonly faultyGateways = new Set<GatewayProcess>();
    /** Selects the build with which a gateway starts again; today's if absent. */
    builds: MixedBuilds | undefined;
    private readonly recoveries: Promise<void>[] = [];
    private isPartitioned = false;

    /**
     * @param fleet - Where the faults are injected.
     * @param log - Records the faults.
     * @param random - Random numbers of the common faults.
     * @param extraRandom - Random numbers of the faults that only some variants have, which leave those of the others
     *     as they are.
     */
    constructor(
        private readonly fleet: OperatorsFleet,
        private readonly log: FaultLog,
        private readonly random: Random,
        private readonly extraRandom: Random,
    ) {}

    /** Resolves when all faults have ended that do so by themselves. */
    async waitForRecovery(): Promise<void> {
        await Promise.all(this.recoveries);
    }

    /** Injects one of the faults that most variants have. */
    injectCommonFault(): void {
        const lengthMs = this.random() * MAX_FAULT_MS;
        const injectors = [
            () => this.signalAnyGateway("SIGKILL", lengthMs),
            () => this.signalAnyGateway("SIGTERM", lengthMs),
            () => this.signalAnyGateway("SIGSTOP", lengthMs),
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

    /** Lets one engine name a limit. */
    limitEngine(): void {
        const engine = pick(this.extraRandom, this.fleet.engines);
        const limit = pick(this.extraRandom, LIMITS_PER_S);
        const lengthMs = this.extraRandom() * MAX_FAULT_MS;
        engine.namedLimit = limit;
        this.begin("sound", `engine ${engine.id}`, `limit ${limit} of ${engine.id}`, lengthMs, async () => {
            engine.namedLimit = undefined;
        });
    }

    /** Lets some engines send answers once more, of items or of any requests: those of one service, or any. */
    repeatAnswers(): void {
        const { extraRandom, fleet } = this;
        const [service, ofItems] = pick(extraRandom, [["lm", true], ["lm", false], [undefined, false]] as const);
        const engines = fleet.engines.filter(({ options }) => service === undefined || options.service === service);
        const count = Math.floor(fleet.engines.length * REPEATING_ENGINES_PART);
        while (engines.length > count) {
            engines.splice(Math.floor(extraRandom() * engines.length), 1);
        }
        for (const { id, repeater } of engines) {
            repeater.begin(REPEATED_ANSWERS_PART, ({ url }) => !ofItems || url?.startsWith("/jobs/") === true);
            const description = `${id} sends answers${ofItems ? " to items" : ""} once more`;
            this.begin("unplanned", `engine ${id}`, description, REPEATING_MS, async () => repeater.end());
        }
    }

    /** Silences one engine, all of a service or all, and stops a gateway as planned, either or both. */
    silenceOrStop(): void {
        const { engines } = this.fleet;
        const lengthMs = MIN_SILENCE_MS + this.extraRandom() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
        const one = pick(this.extraRandom, engines);
        const [silent, stops] = pick(
            this.extraRandom,
            [
                [[one], false],
                [[one], true],
                [engines.filter(({ options }) => options.service === "lm"), true],
                [engines, true],
            ] as const,
        );
        if (stops && this.faultyGateways.size === 0) {
            this.signal(pick(this.extraRandom, this.fleet.gateways), "SIGTERM", lengthMs);
        }
        for (const engine of silent) {
            engine.silence(lengthMs);
            this.begin("sound", `engine ${engine.id}`, `silence of ${engine.id}`, lengthMs, async () => undefined);
        }
    }

    /**
     * Lets a part of prompts crash all engines of the model service for some time.
     *
     * @param part - The part.
     * @param lengthMs - How long, in milliseconds.
     */
    async crashOnPart(part: string, lengthMs: number): Promise<void> {
        this.log.descriptions.push(`part ${part} crashes engines for ${lengthMs} ms`);
        for (const engine of this.fleet.engines.filter(({ options }) => options.service === "lm")) {
            engine.crashingPromptPart = part;
            engine.onPartCrash = () => {
                this.begin(
                    "unplanned",
                    `engine ${engine.id}`,
                    `crash of ${engine.id}`,
                    CRASH_MS,
                    async () => undefined,
                );
            };
        }
        await new Promise(resolve => setTimeout(resolve, lengthMs));
        for (const engine of this.fleet.engines) {
            engine.crashingPromptPart = undefined;
        }
    }

    /** Cuts one gateway off from the store, the coordinator, all gateways, or the store and all gateways. */
    cutOffGateway(): void {
        const { fleet, extraRandom } = this;
        const lengthMs = extraRandom() * MAX_PARTITION_MS;
        const partition = pick(extraRandom, PARTITIONS);
        const any = pick(extraRandom, fleet.gateways);
        const coordinator = fleet.getCoordinator();
        // A cut takes the place of other cuts, so that there is one at a time.
        if (this.isPartitioned || (partition === "coordinator" && coordinator === undefined)) {
            return;
        }
        // Half of the cuts concern the coordinator, unless it is what another gateway is cut off from.
        const isOfCoordinator = extraRandom() < 0.5 && partition !== "coordinator";
        const gateway = (isOfCoordinator ? coordinator : undefined) ?? any;
        const others = {
            store: [],
            coordinator: coordinator === undefined ? [] : [coordinator],
            gateways: fleet.gateways,
            "store and gateways": fleet.gateways,
        }[partition];
        const description = `${gateway.name}${
            gateway === coordinator ? " (coordinator)" : ""
        } cut off from ${partition}`;
        this.isPartitioned = true;
        this.begin("unplanned", `gateway ${gateway.name}`, description, lengthMs, async () => {
            await fleet.rejoin();
            this.isPartitioned = false;
        });
        void fleet.isolate(gateway, partition.startsWith("store"), others);
    }

    /** Writes a configuration with other timeouts of the model service's routes, with or without one more route of it. */
    changeConfig(): void {
        const { fleet, extraRandom, log } = this;
        const timeoutMs = pick(extraRandom, ROUTE_TIMEOUTS_MS);
        const hasExtraRoute = extraRandom() < 0.5;
        const { routes } = newConfig() as { routes: { name: string; service: string; }[]; };
        const changed = routes.map(route => route.service === "lm" ? { ...route, timeoutMs } : route);
        const again = changed.find(({ name }) => name === "again");
        const extra = hasExtraRoute ? [{ ...again, name: "extra", pathPrefix: "/extra/" }] : [];
        fleet.configChanges = { ...fleet.configChanges, routes: [...changed, ...extra] };
        fleet.writeConfig();
        log.descriptions.push(`configuration: timeout ${timeoutMs} ms${hasExtraRoute ? ", one more route" : ""}`);
    }

    private signalAnyGateway(signal: "SIGKILL" | "SIGTERM" | "SIGSTOP", lengthMs: number): void {
        const candidates = this.fleet.gateways.filter(gateway => !this.faultyGateways.has(gateway));
        const gateway = candidates[Math.floor(this.random() * candidates.length)];
        if (gateway !== undefined) {
            this.signal(gateway, signal, lengthMs);
        }
    }

    private signal(gateway: GatewayProcess, signal: "SIGKILL" | "SIGTERM" | "SIGSTOP", lengthMs: number): void {
        const kind = signal === "SIGTERM" ? "planned" : "unplanned";
        this.faultyGateways.add(gateway);
        gateway.child.kill(signal);
        this.begin(kind, `gateway ${gateway.name}`, `${signal} ${gateway.name}`, lengthMs, async () => {
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
                    this.log.descriptions.push(`${gateway.name} starts with the ${build} build`);
                }
                await this.fleet.restart(gateway).catch(() => undefined);
            }
            this.faultyGateways.delete(gateway);
        });
    }

    private injectStoreFaults(faults: Partial<OperatorsFleet["store"]["faults"]>, lengthMs: number): void {
        Object.assign(this.fleet.store.faults, faults);
        this.begin("unplanned", "store", `store ${JSON.stringify(faults)}`, lengthMs, async () => {
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
        const engine = pick(this.random, this.fleet.engines);
        engine.isUnresponsive = true;
        this.begin("unplanned", `engine ${engine.id}`, `unresponsive ${engine.id}`, lengthMs, async () => {
            engine.isUnresponsive = false;
        });
    }

    /** Records a fault that has begun, and ends it after some time. */
    private begin(
        kind: FaultKind,
        target: FaultTarget,
        description: string,
        lengthMs: number,
        recover: () => Promise<void>,
    ): void {
        const fault = this.log.begin(kind, target, description, lengthMs);
        this.recoveries.push(
            new Promise<void>(resolve => setTimeout(resolve, lengthMs)).then(recover).then(() => {
                fault.endedAtMs = Date.now();
            }),
        );
    }
}
