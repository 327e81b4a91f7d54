import { CONTACT_MS, type FaultLog } from "./faultLog";
import type { OperatorsFleet } from "./fleet";
import type { GatewayProcess } from "./gatewayProcess";
import type { SoakChecks } from "./soakChecks";

const LAST_LINES = 3;

/** Watches whether gateways end by themselves or stop responding. */
export class SoakWatch {
    /**
     * @param fleet - The gateways.
     * @param faults - What happened.
     * @param faultyGateways - Gateways that were stopped, killed or frozen, or that start again.
     * @param checks - Records violations.
     */
    constructor(
        private readonly fleet: OperatorsFleet,
        private readonly faults: FaultLog,
        private readonly faultyGateways: Set<GatewayProcess>,
        private readonly checks: SoakChecks,
    ) {}

    /** Checks each gateway that has no fault once. */
    async checkGateways(): Promise<void> {
        await Promise.all(this.fleet.gateways.map(gateway => this.checkGateway(gateway)));
    }

    private async checkGateway(gateway: GatewayProcess): Promise<void> {
        const { name, child, lines, readyPort } = gateway;
        if (this.faultyGateways.has(gateway)) {
            return;
        }
        if (child.exitCode !== null || child.signalCode !== null) {
            const text = lines.filter(line => !line.startsWith("{")).slice(-LAST_LINES).join(" ").slice(0, 300);
            this.checks.record(`${name} ended by itself with ${child.signalCode ?? child.exitCode}: ${text}`);
            this.faultyGateways.add(gateway);
            await this.fleet.restart(gateway).catch(() => undefined);
            this.faultyGateways.delete(gateway);
            return;
        }
        const startedAtMs = Date.now();
        const isAnswered = await fetch(`http://127.0.0.1:${readyPort}/-/readyz`, {
            signal: AbortSignal.timeout(CONTACT_MS),
        })
            .then(() => true, () => false);
        const isSound = child.exitCode === null && child.signalCode === null && !this.faultyGateways.has(gateway)
            && this.faults.isInTouch(name, startedAtMs, Date.now());
        if (!isAnswered && isSound) {
            this.checks.record(`${name} didn't say within ${CONTACT_MS} ms whether it is ready`);
        }
    }
}
