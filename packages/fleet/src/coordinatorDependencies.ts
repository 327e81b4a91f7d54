import type { BlockedPrompt, Logger } from "@heatherline/common";
import type { CoordinatorScope } from "./coordinatorScope";
import type { CrashTracker } from "./crashTracker";
import type { FleetView } from "./fleetView";
import type { RolloutController } from "./rollouts/rolloutController";
import type { RolloutGuard } from "./rollouts/rolloutGuard";
import type { MemberEntry, StreamOriginReport } from "./types";

/** What a coordinator needs from the rest of the instance. */
export interface CoordinatorDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly scope: CoordinatorScope;
    readonly getRegion: (dataCentre: string) => string;
    readonly getLeaseVersion: () => number;
    /** Whether this instance's own calls to the store fail. */
    readonly isStoreFailing: () => boolean;
    /** Preempts a place of this instance. */
    readonly preemptOwnPlace: (placeId: string) => void;
    /** What this instance knows of requests whose endpoints crashed. */
    readonly crashTracker: CrashTracker;
    /** Stores a block of a prompt, or removes it if it has ended. */
    readonly saveBlockedPrompt: (prompt: BlockedPrompt, isEnded: boolean) => void;
    /** Records where streams run, so that this outlasts all instances. */
    readonly recordStreams: (report: StreamOriginReport) => void;
    readonly logger: Logger;
    /** Decides on roll-outs; absent at a deputy, and where there are none. */
    readonly rollouts?: RolloutController | undefined;
    /** Which versions may be used by what is known of roll-outs; used by a deputy. */
    readonly getRolloutGuard?: (() => RolloutGuard) | undefined;
    /** Second attempts at slow requests as a fraction of all requests; none if absent. */
    readonly hedgeExtraFraction?: number | undefined;
}
