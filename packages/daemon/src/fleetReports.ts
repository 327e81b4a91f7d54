import type { PeerTransport } from "@heatherline/agreement";
import type { ConfigReplica } from "@heatherline/config";
import { type BurnRow, computeBurnRates, type Objective, type SloBucket, type SloTracker } from "@heatherline/reports";
import type { InForceEntry, InstanceStatus } from "./adminApi";
import type { PeerDirectory } from "./peerDirectory";

const CALL_TIMEOUT_MS = 1_500;

/** Replies of the reachable instances, and the ids of those that didn't answer. */
interface Collected<Part> {
    readonly heard: Part[];
    readonly silent: string[];
}

/** Builds reports on the whole fleet by asking all instances for their part. */
export class FleetReports {
    /**
     * @param peerDirectory - Known instances.
     * @param transport - Calls to them.
     * @param replica - The configuration in force on this instance.
     * @param sloTracker - Service level counts of this instance.
     * @param getStatus - Returns the state of this instance.
     */
    constructor(
        private readonly peerDirectory: PeerDirectory,
        private readonly transport: PeerTransport,
        private readonly replica: ConfigReplica,
        private readonly sloTracker: SloTracker,
        private readonly getStatus: () => InstanceStatus,
    ) {}

    /** @returns The state of all reachable instances, sorted by id. */
    async collectStatus(): Promise<Collected<InstanceStatus>> {
        const { heard, silent } = await this.collect<InstanceStatus>("status.get", {});
        const all = [this.getStatus(), ...heard];
        return { heard: all.sort((left, right) => left.instanceId < right.instanceId ? -1 : 1), silent };
    }

    /** @returns Error budget burn of all service level objectives, over all reachable instances. */
    async collectBurn(): Promise<{ rows: BurnRow[]; silent: string[]; }> {
        const { heard, silent } = await this.collect<SloBucket[]>("report.slo", {});
        const objectives = new Map<string, readonly Objective[]>(
            this.replica.getServices().map(service => [service.service, service.objectives]),
        );
        return { rows: computeBurnRates([...this.sloTracker.export(), ...heard.flat()], objectives), silent };
    }

    /**
     * @param path - Path of a document.
     * @returns The version in force on each instance, without a version for instances that didn't answer.
     */
    async collectInForce(path: string): Promise<InForceEntry[]> {
        const { instanceId, dataCentre } = this.getStatus();
        const own: InForceEntry = { instanceId, dataCentre, version: this.replica.getVersion(path) };
        const others = await Promise.all(
            this.peerDirectory.getPeers().map(async (peer): Promise<InForceEntry> => {
                const reply = await this.transport.call<number>(
                    peer.instanceId,
                    "status.version",
                    { path },
                    CALL_TIMEOUT_MS,
                );
                const version = reply.isOk() ? reply.value : undefined;
                return { instanceId: peer.instanceId, dataCentre: peer.dataCentre, version };
            }),
        );
        return [own, ...others];
    }

    private async collect<Part>(method: string, params: object): Promise<Collected<Part>> {
        const heard: Part[] = [];
        const silent: string[] = [];
        await Promise.all(
            this.peerDirectory.getPeers().map(async ({ instanceId }) => {
                const reply = await this.transport.call<Part>(instanceId, method, params, CALL_TIMEOUT_MS);
                if (reply.isOk()) {
                    heard.push(reply.value);
                }
                else {
                    silent.push(instanceId);
                }
            }),
        );
        return { heard, silent: silent.sort() };
    }
}
