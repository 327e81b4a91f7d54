import type { DaemonClient } from "../client";
import type { Printer } from "../output";

interface EndpointView {
    readonly endpoint: string;
    readonly credits: number;
    readonly limit: number;
    readonly online: number;
    readonly batch: number;
    readonly isWarm: boolean;
}

interface InstanceView {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly isReady: boolean;
    readonly isLeaseHolder: boolean;
    readonly epoch: number;
    readonly configDigest: string;
    readonly storeAgeMs: number;
    readonly inFlight: number;
    readonly activeJobs: number;
    readonly violations: number;
    readonly endpoints: readonly EndpointView[];
}

/** Prints the state of all instances and endpoints. */
export class StatusCommand {
    /**
     * @param client - Client of the daemon.
     * @param printer - Prints results.
     */
    constructor(private readonly client: DaemonClient, private readonly printer: Printer) {}

    /** Prints the instances, including those that can't be reached, and the endpoints. */
    async run(): Promise<void> {
        const status = await this.client.call<{ heard: InstanceView[]; silent: string[]; }>("GET", "/admin/status");
        const instanceRows = status.heard.map(instance => ({
            instance: instance.instanceId,
            "data centre": instance.dataCentre,
            ready: instance.isReady,
            lease: instance.isLeaseHolder ? `holder, epoch ${instance.epoch}` : `epoch ${instance.epoch}`,
            config: instance.configDigest.slice(0, 8),
            "store age ms": instance.storeAgeMs,
            "in flight": instance.inFlight,
            jobs: instance.activeJobs,
            violations: instance.violations,
        }));
        const unreachableRows = status.silent.map(instance => ({ instance, ready: false, lease: "silent" }));
        this.printer.print(status, [...instanceRows, ...unreachableRows]);
        if (this.printer.format === "table") {
            process.stdout.write("\n");
            this.printer.print(undefined, sumEndpoints(status.heard));
        }
    }
}

/** Combines the views that the instances have of each endpoint. */
function sumEndpoints(instances: readonly InstanceView[]) {
    const byEndpoint = new Map<string, EndpointView>();
    for (const entry of instances.flatMap(({ endpoints }) => endpoints)) {
        const total = byEndpoint.get(entry.endpoint);
        byEndpoint.set(entry.endpoint, {
            endpoint: entry.endpoint,
            credits: (total?.credits ?? 0) + entry.credits,
            limit: Math.max(total?.limit ?? 0, entry.limit),
            online: (total?.online ?? 0) + entry.online,
            batch: (total?.batch ?? 0) + entry.batch,
            isWarm: (total?.isWarm ?? false) || entry.isWarm,
        });
    }
    return [...byEndpoint.values()].map(({ endpoint, limit, credits, online, batch, isWarm }) => ({
        endpoint,
        limit,
        credits,
        online,
        batch,
        state: isWarm ? "warm" : "cold",
    }));
}
