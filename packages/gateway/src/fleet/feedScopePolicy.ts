import type { FeedScope } from "@heatherline/fleet";

/** Highest age of the configuration at which an instance relies on the updates of others alone. */
const MAX_CONFIG_AGE_MS = 2_200;
/** After the contact to the coordinator is lost, the deputy takes over the updates within this time. */
const UPDATE_HANDOVER_MS = 500;

/** What an instance knows when it decides how much to read from the store. */
export interface FeedScopeInputs {
    readonly isCoordinator: boolean;
    /** Whether the coordinator or a deputy sends this instance the state. */
    readonly isFollower: boolean;
    /** Whether this instance is the deputy of its data centre, also while a coordinator is known. */
    readonly isDeputy: boolean;
    /** Whether the coordinator has said that its own calls to the store fail. */
    readonly isCoordinatorStoreFailing: boolean;
    readonly configAgeMs: number;
}

/**
 * Decides how much an instance reads from the store itself. One that gets updates from the coordinator or a deputy reads
 * nothing, one without them the essentials, the coordinator everything. While the coordinator doesn't reach the store,
 * deputies check whether they do.
 */
export class FeedScopePolicy {
    private lastUpdatedAtMs = -Infinity;
    private readAfterMs = -Infinity;

    /**
     * Lets others read first, after the first start of the fleet.
     *
     * @param waitMs - Time after which this instance reads if others have sent it nothing.
     */
    waitForOthers(waitMs: number): void {
        this.readAfterMs = performance.now() + waitMs;
    }

    /**
     * @param inputs - What the instance knows now.
     * @returns What it should read from now on.
     */
    getScope(inputs: FeedScopeInputs): FeedScope {
        const nowMs = performance.now();
        if (inputs.isFollower) {
            this.lastUpdatedAtMs = nowMs;
        }
        if (inputs.isCoordinator) {
            return "everything";
        }
        const isUpdated = nowMs - this.lastUpdatedAtMs < UPDATE_HANDOVER_MS && inputs.configAgeMs < MAX_CONFIG_AGE_MS;
        const mustCheckStore = inputs.isDeputy && inputs.isCoordinatorStoreFailing;
        return (isUpdated && !mustCheckStore) || nowMs < this.readAfterMs ? "nothing" : "essentials";
    }
}
