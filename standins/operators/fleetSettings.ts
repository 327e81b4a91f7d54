import type { GatewayPorts } from "./gatewayProcess";

/** Limits of a gateway process as its settings name them. */
export interface ProcessLimits {
    readonly memoryMb: number;
    readonly maxFds: number;
}

/** Limits of gateways whose test asks for no others. */
export const DEFAULT_PROCESS_LIMITS: ProcessLimits = { memoryMb: 350, maxFds: 4_100 };

/** What the settings of a gateway differ in. */
export interface FleetSettings {
    readonly name: string;
    readonly dataCentre: string;
    readonly storePort: number;
    /** Whether this is the first start of the whole system (setting `bootstrap`). */
    readonly isFirstStart: boolean;
    readonly jobReadableS: number;
    /** Control ports of the instances that the gateway contacts first. */
    readonly seeds: readonly number[];
    readonly ports: GatewayPorts;
    readonly processLimits?: ProcessLimits;
    /** Optional features that are enabled. */
    readonly contracts?: readonly string[];
}

/**
 * @param settings - What the gateway's settings differ in.
 * @returns Text of a settings file (TOML) as the operators' platform provides it.
 */
export function newSettings({
    name,
    dataCentre,
    storePort,
    isFirstStart,
    jobReadableS,
    seeds,
    ports,
    processLimits = DEFAULT_PROCESS_LIMITS,
    contracts = [],
}: FleetSettings): string {
    return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${dataCentre}"
region = "middle"
portRange = [${ports.metricsPort},${ports.metricsPort}]
seeds = [${seeds.map(port => `"127.0.0.1:${port}"`).join(",")}]
bootstrap = ${isFirstStart}
heartbeatMs = 1200${contracts.length === 0 ? "" : `\ncontracts = ${JSON.stringify(contracts)}`}
[zones]
east = "middle"
west = "middle"
[listen]
front = "127.0.0.1:${ports.port}"
ready = "127.0.0.1:${ports.readyPort}"
control = "127.0.0.1:${ports.controlPort}"
[limits]
memoryMb = ${processLimits.memoryMb}
maxFds = ${processLimits.maxFds}
[bounds]
contactMs = 3000
configApplyMs = 2000
revokeMs = 5000
graceS = 8
drainMs = 2000
statusS = ${jobReadableS}
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
exposeShare = 0.1
exposeSlack = 50
rollbackMs = 5000
[platform]
address = "127.0.0.1:${storePort}"
`;
}
