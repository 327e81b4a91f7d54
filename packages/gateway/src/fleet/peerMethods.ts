import type { RpcPeerServer } from "@heatherline/agreement";
import {
    type AdmitJobReply,
    type AdmitJobRequest,
    type Announcement,
    type Coordinator,
    type ExplainReply,
    type ExplainRequest,
    type FleetView,
    type MemberEntry,
    METHODS,
    type PlaceCallParams,
    type PlaceReply,
    type ReleaseRequest,
    type StateReply,
    type StateRequest,
    type SyncReply,
    type SyncRequest,
    type Versioned,
} from "@heatherline/fleet";
import type { ObjectStore } from "@heatherline/store";
import type { JobReader, ReadJobRequest } from "../jobs/jobReader";
import type { JobHandover, JobRunner } from "../jobs/jobRunner";
import { handleStoreCall, type StoreCall, type StoreCallReply } from "./relayedStore";

/** What the methods that other instances call depend on. */
export interface PeerMethodDependencies {
    /** @returns The coordinator, while it is this instance. */
    readonly getCoordinator: () => Coordinator | undefined;
    /** @returns The deputy of the data centre, while it is this instance. */
    readonly getDeputy: () => Coordinator | undefined;
    /** @returns The coordinator and its epoch, as far as this instance knows. */
    readonly getAnnouncement: () => Announcement | undefined;
    readonly view: FleetView;
    readonly runner: JobRunner;
    readonly reader: JobReader;
    /** The store, reached directly. */
    readonly store: ObjectStore;
    readonly onAnnouncement: (announcement: Announcement) => void;
}

/**
 * Registers the RPC methods that other instances call.
 *
 * @param server - The server to register with.
 * @param deps - What the methods depend on.
 */
export function addPeerMethods(server: RpcPeerServer, deps: PeerMethodDependencies): void {
    const { getCoordinator, getDeputy, getAnnouncement, view, runner, reader, store, onAnnouncement } = deps;
    server.addMethod(METHODS.announce, onAnnouncement);
    server.addMethod(METHODS.takeOverJob, (handover: JobHandover) => runner.takeOver(handover));
    addPlacementMethods(server, METHODS.sync, METHODS.place, METHODS.release, getCoordinator);
    addPlacementMethods(server, METHODS.deputySync, METHODS.deputyPlace, METHODS.deputyRelease, getDeputy);
    addExplainMethod(server, METHODS.explain, getCoordinator);
    addExplainMethod(server, METHODS.deputyExplain, getDeputy);
    server.addMethod<StateRequest, StateReply>(
        METHODS.state,
        ({ known }) => ({
            news: view.newUpdateFor(known),
            known: view.getRevisions(),
            deciding: getAnnouncement(),
        }),
    );
    server.addMethod(
        METHODS.informMembers,
        (members: Versioned<readonly MemberEntry[]>) => view.applyMembers(members),
    );
    server.addMethod<AdmitJobRequest, AdmitJobReply>(METHODS.admitJob, request => {
        const jobs = getCoordinator()?.jobs;
        return jobs?.isLoaded === true ? jobs.admit(request) : { kind: "not-coordinator" };
    });
    server.addMethod(METHODS.findRunner, ({ jobId }: { jobId: string; }) => getCoordinator()?.jobs.findRunner(jobId));
    server.addMethod(METHODS.readJob, (request: ReadJobRequest) => reader.readLocal(request));
    server.addMethod(METHODS.readStored, (request: ReadJobRequest) => reader.readStored(request));
    server.addMethod<StoreCall, StoreCallReply>(METHODS.callStore, call => handleStoreCall(store, call));
    server.addMethod(METHODS.endJob, ({ jobId }: { jobId: string; }) => runner.cancel(jobId));
}

/** Registers the methods that the coordinator and deputies have in common. */
function addPlacementMethods(
    server: RpcPeerServer,
    syncMethod: string,
    placeMethod: string,
    releaseMethod: string,
    getGranter: () => Coordinator | undefined,
): void {
    server.addMethod<SyncRequest, SyncReply>(
        syncMethod,
        request => getGranter()?.handleSync(request) ?? { kind: "not-coordinator" },
    );
    server.addMethod<PlaceCallParams, PlaceReply>(
        placeMethod,
        ({ ask }) => getGranter()?.handlePlace(ask) ?? { kind: "not-coordinator" },
    );
    server.addMethod(releaseMethod, (request: ReleaseRequest) => getGranter()?.handleRelease(request));
}

/** Registers the method that tells what the coordinator or a deputy would decide. */
function addExplainMethod(server: RpcPeerServer, method: string, getGranter: () => Coordinator | undefined): void {
    server.addMethod<ExplainRequest, ExplainReply>(method, request => {
        const granter = getGranter();
        return granter === undefined
            ? { kind: "not-coordinator" }
            : { kind: "explained", explanation: granter.explain(request) };
    });
}
