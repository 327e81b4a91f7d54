import type { BlockedPrompt, Logger } from "@heatherline/common";
import {
    Coordinator,
    type CoordinatorScope,
    type FleetView,
    type MemberEntry,
    type PlacementClient,
    type RolloutController,
    type RolloutGuard,
} from "@heatherline/fleet";
import type { StreamOriginStore } from "./streamOriginStore";

/** What this instance needs to grant places, as the coordinator or as a deputy. */
export interface GranterDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly getRegion: (dataCentre: string) => string;
    /** Whether this instance's own calls to the store fail. */
    readonly isStoreFailing: () => boolean;
    /** @returns What this instance itself holds and knows, which a new granter takes over. */
    readonly getPlacement: () => PlacementClient;
    /** Keeps in the store where streams began. */
    readonly streamOriginStore: StreamOriginStore;
    /** Stores a block of a prompt, or removes it if it has ended. */
    readonly saveBlockedPrompt: (prompt: BlockedPrompt, isEnded: boolean) => void;
    /** Which versions may be used by what is known of roll-outs; absent where they are off. */
    readonly getRolloutGuard?: (() => RolloutGuard) | undefined;
    /** Second attempts at slow requests as a fraction of all requests. */
    readonly hedgeExtraFraction?: number | undefined;
}

/**
 * Begins to grant places with all that this instance knows.
 *
 * @param deps - What this instance needs for it.
 * @param scope - What it may grant.
 * @param lease - Epoch and version of the lease; both 0 for a deputy, which has none.
 * @param logger - Log of the instance.
 * @param rollouts - Decides on roll-outs; absent at a deputy, and where they are off.
 * @returns The granter.
 */
export function startGranter(
    deps: GranterDependencies,
    scope: CoordinatorScope,
    lease: { readonly epoch: number; readonly getVersion: () => number; },
    logger: Logger,
    rollouts?: RolloutController,
): Coordinator {
    const { self, view, getRegion, isStoreFailing, saveBlockedPrompt, streamOriginStore } = deps;
    const placement = deps.getPlacement();
    const granter = new Coordinator(lease.epoch, {
        self,
        view,
        scope,
        getRegion,
        getLeaseVersion: lease.getVersion,
        isStoreFailing,
        crashTracker: placement.crashTracker,
        preemptOwnPlace: placeId => placement.preempt(placeId),
        saveBlockedPrompt,
        recordStreams: report => streamOriginStore.add(report),
        hedgeExtraFraction: deps.hedgeExtraFraction,
        logger,
        rollouts,
        getRolloutGuard: deps.getRolloutGuard,
    });
    granter.adoptOwnPlaces(placement.getPlaces());
    granter.recordCrashes(placement.getRecentCrashes());
    granter.recordLimits(placement.statements.getLimits());
    granter.adoptStreams(placement.getStreams());
    streamOriginStore.start(granter);
    return granter;
}
