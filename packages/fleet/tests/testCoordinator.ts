import type { Logger } from "@heatherline/common";
import {
    Coordinator,
    type CoordinatorDependencies,
    CrashTracker,
    type EndpointEntry,
    FleetScope,
    FleetView,
    type MemberEntry,
} from "../src";

const RENEWAL_MS = 1_200;
const TOLERANCE = { windowMs: 5_000, overPart: 0.1, extraRequests: 20 };

/** The instance that is the coordinator. */
export const TEST_MEMBER: MemberEntry = {
    instanceId: "a",
    incarnation: "1",
    host: "h",
    rpcPort: 1,
    dataCentre: "east",
    processorShare: 1,
};

/** What a test sets of a coordinator. */
export interface TestCoordinatorOptions extends Partial<CoordinatorDependencies> {
    /** 0 for a deputy. */
    readonly epoch?: number;
    readonly members?: readonly MemberEntry[];
    readonly endpoints: readonly EndpointEntry[];
}

/**
 * Starts a coordinator that others have preceded.
 *
 * @param options - What differs from a fleet of one instance.
 * @returns The coordinator; to be stopped.
 */
export function startTestCoordinator(
    { epoch = 2, members = [TEST_MEMBER], endpoints, ...changes }: TestCoordinatorOptions,
): Coordinator {
    const view = changes.view ?? new FleetView(RENEWAL_MS);
    view.applyMembers({ revision: 1, value: members });
    view.applyEndpoints({ revision: 1, value: endpoints });
    return new Coordinator(epoch, {
        self: TEST_MEMBER,
        view,
        scope: new FleetScope(view, 2, () => TOLERANCE),
        getRegion: () => "",
        getLeaseVersion: () => 1,
        isStoreFailing: () => false,
        crashTracker: new CrashTracker(),
        preemptOwnPlace: () => undefined,
        saveBlockedPrompt: () => undefined,
        recordStreams: () => undefined,
        logger: { info: () => undefined } as unknown as Logger,
        ...changes,
    });
}
