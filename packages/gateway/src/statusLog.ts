import type { Logger } from "@heatherline/common";
import type { FleetView } from "@heatherline/fleet";
import type { Ingress } from "./callers/ingress";
import type { EndpointAccess } from "./endpoints/endpointAccess";
import type { CoordinatorRole } from "./fleet/coordinatorRole";
import type { JobRunner } from "./jobs/jobRunner";

/** What the status of an instance is read from. */
export interface StatusSources {
    readonly view: FleetView;
    readonly role: CoordinatorRole;
    readonly ingress: Ingress;
    readonly endpoints: EndpointAccess;
    readonly runner: JobRunner;
    readonly getStoreCalls: () => Readonly<Record<string, number>>;
}

/**
 * Logs the status of an instance.
 *
 * @param sources - What it is read from.
 * @param logger - Log of the instance.
 */
export function logStatus(
    { view, role, ingress, endpoints, runner, getStoreCalls }: StatusSources,
    logger: Logger,
): void {
    logger.info({
        event: "status",
        configVersion: view.routes?.config.version,
        configAgeMs: Math.round(view.getConfigAgeMs()),
        coordinator: role.coordinatorId,
        endpoints: view.getEndpoints().length,
        members: view.members.length,
        openRequests: ingress.openRequestCount,
        openRelays: endpoints.openRelayCount,
        isStranded: endpoints.isStranded,
        jobs: runner.getStats(),
        residentBytes: process.memoryUsage.rss(),
        storeCalls: getStoreCalls(),
    });
}
