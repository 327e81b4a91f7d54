import type { Logger } from "@heatherline/common";
import { type FleetView, type MemberEntry, METHODS, PlacementClient, type RolloutGuard } from "@heatherline/fleet";
import type { CoordinatorRole } from "./coordinatorRole";
import type { DeputyRole } from "./deputyRole";

/** What the placement client of an instance depends on. */
export interface PlacementDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly role: CoordinatorRole;
    readonly deputy: DeputyRole;
    readonly getRegion: (dataCentre: string) => string;
    readonly getRolloutGuard: (() => RolloutGuard) | undefined;
    /** Second attempts at slow requests as a fraction of all requests. */
    readonly hedgeExtraFraction: number;
}

/**
 * @param deps - What the client depends on.
 * @param logger - Log of the instance.
 * @returns A client that asks the coordinator for places at endpoints, or the deputy, here or at other instances.
 */
export function newPlacementClient(deps: PlacementDependencies, logger: Logger): PlacementClient {
    const { self, view, role, deputy, getRegion, getRolloutGuard, hedgeExtraFraction } = deps;
    return new PlacementClient(
        self,
        view,
        {
            decider: "coordinator",
            link: role.link,
            getLocal: () => role.activeCoordinator,
            placeMethod: METHODS.place,
            releaseMethod: METHODS.release,
        },
        {
            decider: "deputy",
            link: deputy.link,
            getLocal: () => deputy.localDeputy,
            placeMethod: METHODS.deputyPlace,
            releaseMethod: METHODS.deputyRelease,
        },
        getRegion,
        logger,
        getRolloutGuard,
        hedgeExtraFraction,
    );
}
