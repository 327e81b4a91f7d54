import type { RpcPeerTransport } from "@heatherline/agreement";
import type { Logger } from "@heatherline/common";
import type { Coordinator, CoordinatorLink, FleetView, MemberEntry, PlacementClient } from "@heatherline/fleet";
import type { ObjectStore } from "@heatherline/store";
import type { Admission } from "../callers/admission";
import type { EndpointSender } from "../endpoints/endpointClient";
import { RelayedStore } from "../fleet/relayedStore";
import type { GatewayMetrics } from "../metrics";
import type { CallerBuffers } from "../online/callerBuffer";
import type { WireCodec } from "../wireCodec";
import { BatchApi } from "./batchApi";
import { JobReader } from "./jobReader";
import { JobRunner } from "./jobRunner";
import { JobStore } from "./jobStore";
import { OwnJobSync } from "./ownJobSync";
import type { RunnerClaim } from "./runnerClaim";

/** No new runs of batch items start while the knowledge of closed jobs is older than this. */
const MAX_JOB_STATE_AGE_MS = 2_000;

/** What the work on batch jobs depends on. */
export interface JobServicesDependencies {
    readonly self: MemberEntry;
    readonly store: ObjectStore;
    readonly maxObjectBytes: number;
    readonly view: FleetView;
    readonly admission: Admission;
    readonly placement: PlacementClient;
    readonly link: CoordinatorLink;
    readonly rpc: RpcPeerTransport;
    readonly endpoints: EndpointSender;
    readonly wire: WireCodec;
    readonly metrics: GatewayMetrics;
    /** Absent where responses are not held for callers that read slowly. */
    readonly callerBuffers: CallerBuffers | undefined;
    /** @returns The coordinator if it is this instance and its lease is valid now. */
    readonly getCoordinator: () => Coordinator | undefined;
    /** @returns The instance that relays calls to the store, if there is one. */
    readonly getRelay: () => MemberEntry | undefined;
    readonly isSoleRunner: (claim: RunnerClaim) => boolean;
    readonly isStopping: () => boolean;
    readonly logger: Logger;
}

/** Stores, runs and reads batch jobs, and serves the calls about them. */
export class JobServices {
    readonly store: JobStore;
    readonly runner: JobRunner;
    readonly reader: JobReader;
    readonly batch: BatchApi;
    readonly ownJobSync: OwnJobSync;

    /**
     * @param deps - What the work depends on.
     */
    constructor(deps: JobServicesDependencies) {
        const { self, view, placement, link, rpc, getCoordinator, isSoleRunner, isStopping, logger } = deps;
        const { instanceId } = self;
        const getMembers = () => view.members;
        const { getRelay } = deps;
        this.store = new JobStore(
            new RelayedStore({ directStore: deps.store, rpc, getRelay, logger }),
            logger,
            deps.maxObjectBytes,
        );
        const { store } = this;
        this.runner = new JobRunner({
            ...deps,
            instanceId,
            store,
            memoryBudget: deps.callerBuffers?.budget,
            isJobStateFresh: () => view.getConfigAgeMs() < MAX_JOB_STATE_AGE_MS,
        });
        const { runner } = this;
        this.ownJobSync = new OwnJobSync({ instanceId, runner, placement, getCoordinator, isStopping });
        this.reader = new JobReader({ runner, store, link, getCoordinator, rpc, getMembers, self, isSoleRunner });
        this.batch = new BatchApi({ ...deps, store, runner, reader: this.reader, getMembers });
    }
}
