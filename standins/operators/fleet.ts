import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { reserveFreePorts } from "../freePorts";
import { Engine, type EngineOptions } from "./engine";
import { DEFAULT_PROCESS_LIMITS, newSettings, type ProcessLimits } from "./fleetSettings";
import { GATEWAY_PROGRAM, type GatewayProcess, startGatewayProcess, waitForExit, waitReady } from "./gatewayProcess";
import { ObjectApi } from "./objectApi";

/** API keys of the two organisations in {@link newConfig}. */
export const KEYS = { alpha: "alpha-key", beta: "beta-key" } as const;

/** Host name of all routes in {@link newConfig}. */
export const HOST = "api.example";

/**
 * What happens to a gateway's connections to engines while it is stranded.
 *
 * - `hang`: nothing passes on existing connections, and new ones are not established.
 * - `reset`: existing connections are reset, and new ones are not established.
 * - `refuse`: existing connections live on, and new ones are refused at once.
 */
export type StrandMode = "hang" | "reset" | "refuse";

/** All ways in which a gateway may be stranded. */
export const STRAND_MODES: readonly StrandMode[] = ["hang", "reset", "refuse"];

interface Cut {
    readonly mode: StrandMode | "none";
    /** Ports that can't be reached. */
    readonly ports: readonly number[];
}

/**
 * The operators' platform on the loopback interface: stand-ins for the object store and the engines in this process,
 * and gateways as separate processes.
 */
export class OperatorsFleet {
    readonly store = new ObjectApi();
    readonly engines: Engine[] = [];
    readonly gateways: GatewayProcess[] = [];
    /** Path of the bundle that gateways run which are added from now on. */
    program = GATEWAY_PROGRAM;
    /** Top-level fields that replace those of {@link newConfig} in each configuration that is written. */
    configChanges: Record<string, unknown> = {};
    /** Options of Node.js for gateways that start from now on. */
    nodeOptions: readonly string[] = [];
    /** Limits in the settings of gateways that are added from now on. */
    processLimits: ProcessLimits = DEFAULT_PROCESS_LIMITS;
    /** Optional features that are enabled at gateways that are added from now on. */
    contracts: readonly string[] = [];
    /** Arguments of the program for gateways that start from now on. */
    programArguments: readonly string[] = [];
    private storePort = 0;
    private configVersion = 0;
    private cutCount = 0;
    private readonly cuts = new Map<GatewayProcess, Cut>();
    private readonly folder = mkdtempSync(join(tmpdir(), "heatherline-"));

    /** Starts the object store. */
    async start(): Promise<void> {
        this.storePort = await this.store.listen();
    }

    /**
     * Starts the store and, in each of two data centres, an engine of a model service, an engine of a plain service
     * and a gateway.
     *
     * @returns The gateways.
     */
    async startPair(): Promise<{ readonly east: GatewayProcess; readonly west: GatewayProcess; }> {
        await this.start();
        this.writeConfig();
        for (const dataCentre of ["east", "west"]) {
            await this.addEngine({ service: "lm", dataCentre });
            await this.addEngine({ service: "plain", dataCentre });
        }
        const east = await this.addGateway("east-1", "east");
        return { east, west: await this.addGateway("west-1", "west") };
    }

    /** Kills the gateways, stops the engines and the store, and removes the settings files. */
    async stop(): Promise<void> {
        for (const { child } of this.gateways) {
            child.kill("SIGKILL");
        }
        await Promise.all(this.engines.map(engine => engine.stop()));
        await this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /**
     * Starts an engine and registers it in the store.
     *
     * @param options - Configuration of the engine.
     * @returns The engine.
     */
    async addEngine(options: EngineOptions): Promise<Engine> {
        const engine = new Engine(`i-${this.engines.length + 1}`, options);
        await engine.start();
        this.engines.push(engine);
        this.store.write("servers", engine.id, engine.getRegistration());
        return engine;
    }

    /**
     * Writes the configuration of {@link newConfig} to the store, with a higher version each time.
     *
     * @param changes - Top-level fields that replace those of the configuration.
     */
    writeConfig(changes: Record<string, unknown> = {}): void {
        this.configVersion += 3;
        const config = { ...newConfig(), version: this.configVersion, ...this.configChanges, ...changes };
        this.store.write("config", "main", config);
    }

    /**
     * Starts a gateway and waits until it is ready.
     *
     * @param name - Name of the instance.
     * @param dataCentre - Its data centre.
     * @param isFirstStart - Whether this is the first start of the whole system (setting `bootstrap`).
     * @param jobReadableS - How long jobs stay readable, in seconds.
     * @param storePort - Port on which the gateway reaches the store.
     * @returns The gateway.
     * @throws Error if it isn't ready in time.
     */
    async addGateway(
        name: string,
        dataCentre: string,
        isFirstStart = true,
        jobReadableS = 120,
        storePort = this.storePort,
    ): Promise<GatewayProcess> {
        const [port = 0, readyPort = 0, controlPort = 0, metricsPort = 0] = await reserveFreePorts(4);
        const settingsPath = join(this.folder, `${name}.toml`);
        const seeds = [...this.gateways.map(other => other.controlPort), controlPort].slice(0, 3);
        const ports = { port, readyPort, controlPort, metricsPort };
        const { processLimits, contracts, program, nodeOptions, programArguments } = this;
        writeFileSync(
            settingsPath,
            newSettings({
                name,
                dataCentre,
                storePort,
                isFirstStart,
                jobReadableS,
                seeds,
                ports,
                processLimits,
                contracts,
            }),
        );
        const lines: string[] = [];
        const sourceAddress = `127.0.1.${this.gateways.length + 1}`;
        const child = startGatewayProcess({
            program,
            settingsPath,
            sourceAddress,
            lines,
            nodeOptions,
            programArguments,
        });
        const gateway = { name, ...ports, child, lines, settingsPath, sourceAddress, program };
        this.gateways.push(gateway);
        await waitReady(gateway);
        return gateway;
    }

    /**
     * Restarts a gateway whose process has exited, with the same settings, and waits until it is ready.
     *
     * @param gateway - The gateway.
     * @throws Error if it isn't ready in time.
     */
    async restart(gateway: GatewayProcess): Promise<void> {
        const { nodeOptions, programArguments } = this;
        gateway.child = startGatewayProcess({ ...gateway, nodeOptions, programArguments });
        const cut = this.cuts.get(gateway);
        if (cut !== undefined) {
            await this.applyCut(gateway, cut);
        }
        await waitReady(gateway);
    }

    /**
     * Stops a gateway as planned (SIGTERM), starts it with another build once it has exited, and waits until it is ready.
     *
     * @param gateway - The gateway.
     * @param program - Path of the other build's bundle.
     * @throws Error if it isn't ready in time.
     */
    async replace(gateway: GatewayProcess, program: string): Promise<void> {
        gateway.child.kill("SIGTERM");
        await waitForExit(gateway);
        gateway.program = program;
        await this.restart(gateway);
    }

    /**
     * Cuts a gateway's connections to engines; those to the store, to other gateways and to callers work. The cut is
     * in force when the promise resolves, and stays through a restart.
     *
     * @param gateway - The gateway.
     * @param mode - What happens to the connections.
     * @param engines - The engines that it can't reach; all that exist if left out.
     */
    async strand(gateway: GatewayProcess, mode: StrandMode, engines: readonly Engine[] = this.engines): Promise<void> {
        const cut = { mode, ports: engines.map(({ port }) => port) };
        this.cuts.set(gateway, cut);
        await this.applyCut(gateway, cut);
    }

    /**
     * Cuts the connections between a gateway and others, in both directions. Takes the place of other cuts, and ends
     * with {@link rejoin}.
     *
     * @param gateway - The gateway.
     * @param isStoreCut - Whether the gateway doesn't reach the store either.
     * @param from - The gateways that it is cut off from; all others if left out.
     */
    async isolate(gateway: GatewayProcess, isStoreCut: boolean, from = this.gateways): Promise<void> {
        const others = from.filter(other => other !== gateway);
        const ports = [...others.map(({ controlPort }) => controlPort), ...isStoreCut ? [this.storePort] : []];
        const setCut = (cutOff: GatewayProcess, cut: Cut) => {
            this.cuts.set(cutOff, cut);
            return this.applyCut(cutOff, cut);
        };
        await Promise.all([
            setCut(gateway, { mode: "hang", ports }),
            ...others.map(other => setCut(other, { mode: "hang", ports: [gateway.controlPort] })),
        ]);
    }

    /** Ends the cuts of all gateways. */
    async rejoin(): Promise<void> {
        await Promise.all(this.gateways.map(gateway => this.heal(gateway)));
    }

    /**
     * Ends a gateway's cut: what it held goes on.
     *
     * @param gateway - The gateway.
     */
    async heal(gateway: GatewayProcess): Promise<void> {
        this.cuts.delete(gateway);
        await this.applyCut(gateway, { mode: "none", ports: [] });
    }

    /** Resolves when the process has applied the cut, or has exited. */
    private applyCut({ child }: GatewayProcess, cut: Cut): Promise<void> {
        this.cutCount += 1;
        const number = this.cutCount;
        return new Promise(resolve => {
            const finish = () => {
                child.off("message", onMessage);
                child.off("exit", finish);
                resolve();
            };
            const onMessage = (message: unknown) => {
                if ((message as { appliedNumber?: number; }).appliedNumber === number) {
                    finish();
                }
            };
            child.on("message", onMessage);
            child.on("exit", finish);
            if (!child.connected) {
                finish();
                return;
            }
            child.send({ ...cut, number }, error => error === null ? undefined : finish());
        });
    }

    /** @returns The gateway that holds the coordinator lease in the store. */
    getCoordinator(): GatewayProcess | undefined {
        const lease = this.store.read("heatherline-leases", "coordinator")?.spec as
            | { holder: { instanceId: string; }; }
            | undefined;
        return this.gateways.find(({ name }) => name === lease?.holder.instanceId);
    }
}

/**
 * @returns A configuration without its version: a resumable and a non-resumable streaming route, idempotent and
 * non-idempotent plain routes, a public route, and a route for batch jobs.
 */
export function newConfig(): Record<string, unknown> {
    const common = { host: HOST, priority: 0, maxAttempts: 2, public: false, timeoutMs: 5_000, targetLatencyMs: 300 };
    const stream = { ...common, kind: "streaming", service: "lm", sessionAffinity: true, gapAimMs: 300 };
    return {
        routes: [
            { ...stream, name: "once", pathPrefix: "/once/", resumable: false, maxAttempts: 1 },
            { ...stream, name: "again", pathPrefix: "/again/", resumable: true },
            { ...common, name: "lookup", pathPrefix: "/lookup/", kind: "idempotent", service: "plain" },
            { ...common, name: "write", pathPrefix: "/write/", kind: "non_idempotent", service: "plain" },
            { ...common, name: "open", pathPrefix: "/open/", kind: "idempotent", service: "plain", public: true },
            {
                ...common,
                name: "jobs",
                pathPrefix: "/jobs/",
                kind: "batch",
                service: "lm",
                completionTargetMs: 10_000,
                retentionS: 60,
                maxCount: 2_000,
                maxAttempts: 3,
            },
        ],
        services: [
            { name: "lm", healthPath: "/healthz", maxConns: 100, warmupS: 3, warmupPerS: 20, engine: { slots: 8 } },
            { name: "plain", healthPath: "/healthz", maxConns: 100, warmupS: 0, warmupPerS: 0 },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [
            { name: "alpha", apiKeys: [KEYS.alpha], priority: 0, ratePerS: 100, burst: 100 },
            { name: "beta", apiKeys: [KEYS.beta], priority: 0, ratePerS: 5, burst: 5 },
        ],
    };
}
