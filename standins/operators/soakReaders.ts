import { readFileSync } from "node:fs";
import type { OperatorsFleet } from "./fleet";
import type { GatewayProcess } from "./gatewayProcess";
import type { SoakChecks } from "./soakChecks";

const BYTES_PER_KB = 1_024;
const BYTES_PER_MB = 1_000_000;
const POLL_MS = 100;
/** Metrics of memory that is in use only while requests or items are in progress. */
const HELD_METRICS = ["heatherline_held_body_bytes", "heatherline_caller_buffer_bytes"];

/** Checks what slow readers among callers and engines make gateways and engines hold. */
export class SlowReaders {
    readonly counts = { peakMemoryMb: 0, peakHeldKb: 0, bodiesWithoutRoom: 0, peakEngineTokens: 0 };

    /**
     * @param fleet - The gateways and engines.
     * @param checks - Records violations.
     */
    constructor(private readonly fleet: OperatorsFleet, private readonly checks: SoakChecks) {}

    /** Samples the memory of each gateway, and what it holds for requests in progress. */
    async sample(): Promise<void> {
        const { memoryMb: limitMb } = this.fleet.processLimits;
        for (const gateway of this.fleet.gateways) {
            const memoryMb = getResidentMb(gateway);
            this.counts.peakMemoryMb = Math.max(this.counts.peakMemoryMb, memoryMb);
            if (memoryMb > limitMb) {
                this.checks.record(`${gateway.name} takes ${memoryMb} MB of memory, and its limit is ${limitMb}`);
            }
            const heldKb = Math.round(sumMetrics(await readMetrics(gateway), HELD_METRICS) / BYTES_PER_KB);
            this.counts.peakHeldKb = Math.max(this.counts.peakHeldKb, heldKb);
        }
    }

    /**
     * Checks, after the load, that no engine had to hold more than it can, and that all requests have ended at the gateways.
     *
     * @param timeoutMs - How long requests whose callers have left may still take to end.
     */
    async checkEnd(timeoutMs: number): Promise<void> {
        for (const { id, peakTokens, peakRequestIds, options: { capacityTokens = Infinity } } of this.fleet.engines) {
            this.counts.peakEngineTokens = Math.max(this.counts.peakEngineTokens, peakTokens);
            if (peakTokens > capacityTokens) {
                const requests = peakRequestIds.join();
                this.checks.record(
                    `${id} ran requests of ${peakTokens} tokens, and holds ${capacityTokens}: ${requests}`,
                );
            }
        }
        const endAtMs = Date.now() + timeoutMs;
        for (const gateway of this.fleet.gateways) {
            let text = await readMetrics(gateway);
            while (sumMetrics(text, HELD_METRICS) !== 0 && Date.now() < endAtMs) {
                await new Promise(resolve => setTimeout(resolve, POLL_MS));
                text = await readMetrics(gateway);
            }
            const heldBytes = sumMetrics(text, HELD_METRICS);
            if (heldBytes !== 0) {
                this.checks.record(`${gateway.name} still holds ${heldBytes} bytes after all requests have ended`);
            }
            this.counts.bodiesWithoutRoom += sumMetrics(text, ["heatherline_bodies_without_room"]);
        }
    }
}

/** @returns Resident memory in megabytes; 0 if the process has ended. */
function getResidentMb({ child }: GatewayProcess): number {
    try {
        const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
        const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
        return Math.round(kilobytes * BYTES_PER_KB / BYTES_PER_MB);
    }
    catch {
        return 0;
    }
}

/** @returns The metrics; none if the gateway doesn't answer. */
function readMetrics({ metricsPort }: GatewayProcess): Promise<string> {
    return fetch(`http://127.0.0.1:${metricsPort}/metrics`).then(response => response.text(), () => "");
}

function sumMetrics(text: string, names: readonly string[]): number {
    return text.split("\n")
        .filter(line => names.some(name => line.startsWith(`${name} `) || line.startsWith(`${name}{`)))
        .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" ") + 1)), 0);
}
