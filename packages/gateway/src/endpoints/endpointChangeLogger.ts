import type { Logger } from "@heatherline/common";
import type { EndpointEntry, FleetView } from "@heatherline/fleet";

/** Limit of endpoint ids listed in one log field; the rest is given as a count. */
const MAX_LOGGED_IDS = 20;

/** Logs changes of the endpoints that this instance knows: added, removed and draining ones. */
export class EndpointChangeLogger {
    private previous = new Map<string, EndpointEntry>();

    /**
     * @param logger - Log of the instance.
     */
    constructor(private readonly logger: Logger) {}

    /**
     * Logs what has changed since the last call.
     *
     * @param view - This instance's view of the fleet.
     */
    logChanges(view: FleetView): void {
        const now = new Map(view.getEndpoints().map(entry => [entry.endpointId, entry]));
        const added = [...now.keys()].filter(id => !this.previous.has(id));
        const removed = [...this.previous.keys()].filter(id => !now.has(id));
        const draining = [...now.values()]
            .filter(({ endpointId, state }) =>
                state === "draining" && this.previous.get(endpointId)?.state !== "draining"
            )
            .map(({ endpointId }) => endpointId);
        this.previous = now;
        if (added.length + removed.length + draining.length === 0) {
            return;
        }
        this.logger.info({
            event: "endpoints-changed",
            revision: view.getRevisions().endpoints,
            count: now.size,
            added: formatIds(added),
            gone: formatIds(removed),
            draining: formatIds(draining),
            lapsed: formatIds(view.getLapsedIds()),
        });
    }
}

function formatIds(ids: readonly string[]): string {
    const omittedCount = ids.length - MAX_LOGGED_IDS;
    return omittedCount > 0 ? `${ids.slice(0, MAX_LOGGED_IDS).join()} and ${omittedCount} more` : ids.join();
}
