import type { FleetView, MemberEntry, PlacementClient, StateFeed } from "@heatherline/fleet";
import type { JobRunner } from "../jobs/jobRunner";
import type { CoordinatorRole } from "./coordinatorRole";
import type { DeputyRole } from "./deputyRole";
import { FeedScopePolicy } from "./feedScopePolicy";
import type { SyncMessages } from "./syncMessages";

/** What a {@link RoleUpkeep} depends on. */
export interface RoleUpkeepDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly feed: StateFeed;
    readonly role: CoordinatorRole;
    readonly deputy: DeputyRole;
    readonly placement: PlacementClient;
    readonly runner: JobRunner;
    readonly syncMessages: SyncMessages;
    readonly isStopping: () => boolean;
}

/** Keeps what this instance does for the fleet, and what it reads from the store, up to date until it stops. */
export class RoleUpkeep {
    private readonly feedScopePolicy = new FeedScopePolicy();
    private wasCoordinatorKnown = false;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: RoleUpkeepDependencies) {}

    /** Whether the coordinator or a deputy sends this instance the state. */
    get isFollower(): boolean {
        const { role, deputy } = this.deps;
        return (role.link.coordinator ?? deputy.link.coordinator) !== undefined;
    }

    /**
     * Leaves reading the state to others at first.
     *
     * @param durationMs - How long.
     */
    waitForOthers(durationMs: number): void {
        this.feedScopePolicy.waitForOthers(durationMs);
    }

    /** Brings all up to date; called periodically, and when the coordinator or the deputy has changed. */
    check(): void {
        const { self, view, feed, role, syncMessages, isStopping } = this.deps;
        if (isStopping()) {
            return;
        }
        this.updateDeputy();
        const deputy = view.fallbackShares.getDeputy(self.dataCentre);
        feed.setScope(this.feedScopePolicy.getScope({
            isCoordinator: role.localCoordinator !== undefined,
            isFollower: this.isFollower,
            isDeputy: deputy?.instanceId === self.instanceId,
            isCoordinatorStoreFailing: syncMessages.isCoordinatorStoreFailing,
            configAgeMs: view.getConfigAgeMs(),
        }));
        view.dropLapsedEndpoints();
        role.releaseLeaseIfUnfit();
    }

    /** In fallback mode this instance is the deputy of its data centre or follows it. */
    updateDeputy(): void {
        const { role, deputy, placement, runner, isStopping } = this.deps;
        if (isStopping()) {
            return;
        }
        const { isCoordinatorKnown } = role;
        if (!isCoordinatorKnown && this.wasCoordinatorKnown) {
            placement.enterFallbackMode();
        }
        if (isCoordinatorKnown && !this.wasCoordinatorKnown) {
            runner.requireVerification();
        }
        this.wasCoordinatorKnown = isCoordinatorKnown;
        deputy.update(isCoordinatorKnown);
    }
}
