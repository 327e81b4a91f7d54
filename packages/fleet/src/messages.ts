import type { EndpointCrash } from "@heatherline/common";
import type { CrashRecord } from "./crashTracker";
import type { FleetUpdate, KnownRevisions } from "./fleetView";
import type {
    EndpointLimit,
    JobProgress,
    LeavingEndpoint,
    MemberEntry,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
    PlaceSummary,
    StreamOriginReport,
} from "./types";

/** JSON-RPC methods that instances call on each other. */
export const METHODS = {
    sync: "fleet.sync",
    announce: "fleet.announce",
    state: "fleet.state",
    informMembers: "fleet.informMembers",
    place: "places.ask",
    release: "places.release",
    deputySync: "deputy.sync",
    deputyPlace: "deputy.place",
    deputyRelease: "deputy.release",
    explain: "places.explain",
    deputyExplain: "deputy.explain",
    admitJob: "jobs.admit",
    findRunner: "jobs.findRunner",
    readJob: "jobs.read",
    readStored: "jobs.readStored",
    endJob: "jobs.end",
    takeOverJob: "jobs.takeOver",
    callStore: "store.call",
    checkEndpoint: "endpoints.check",
} as const;

/** Result of an instance's own reads from the store. */
export type StoreCheck = "reachable" | "failing";

/** An instance's promise to a coordinator not to take the lease over for `TAKEOVER_PROMISE_MS` after a reply. */
export interface TakeoverPromise {
    /** Epoch of the coordinator. */
    readonly epoch: number;
    /** `stamp` of the reply. */
    readonly stamp: number;
}

/** Heartbeat of an instance to the coordinator, which also asks for updates (long poll). */
export interface SyncRequest {
    readonly member: MemberEntry;
    readonly known: KnownRevisions;
    /** Full report of the places in use; absent from most messages. */
    readonly places: readonly PlaceSummary[] | undefined;
    /** With a full report of the places: the instance's recent crash reports, which a new coordinator doesn't know. */
    readonly crashes?: readonly EndpointCrash[] | undefined;
    /** With a full report of the places: limits of endpoints that the instance knows. */
    readonly limits?: readonly EndpointLimit[] | undefined;
    /**
     * With the first report to a coordinator or deputy: requests whose endpoints crashed, as far as the instance knows. The
     * reply tells it of those that are held back.
     */
    readonly crashRecords?: readonly CrashRecord[] | undefined;
    /** With the first report to a coordinator or deputy: where the instance's recent streams began. */
    readonly streams?: readonly StreamOriginReport[] | undefined;
    readonly jobs: readonly JobProgress[];
    readonly isStoreFailing: boolean;
    /** What the instance's own reads have shown of the store recently; absent if it has not read. */
    readonly storeCheck?: StoreCheck | undefined;
    /** Promise not to take the lease over; absent until a coordinator has replied. */
    readonly promise?: TakeoverPromise | undefined;
    /** How long the reply may be held back while there is no update. */
    readonly waitMs: number;
}

/**
 * How much an instance reports in a sync request: to a coordinator that knows nothing of it yet, all that it holds
 * again, in case a report was lost, or only what changes all the time.
 */
export type SyncReport = "first" | "full" | "changes";

/** Reply to a {@link SyncRequest}; `not-coordinator` from an instance that doesn't hold the lease. */
export type SyncReply =
    | { readonly kind: "not-coordinator"; }
    | {
        readonly kind: "news";
        readonly coordinator: MemberEntry;
        readonly epoch: number;
        readonly leaseVersion: number;
        /** Number of the reply; absent from instances of earlier releases. */
        readonly stamp?: number;
        /** Whether the coordinator's own calls to the store fail, so that deputies should check theirs. */
        readonly isStoreFailing?: boolean;
        readonly news: FleetUpdate;
        /** Places of batch items that are preempted. */
        readonly calledBack: readonly string[];
        /** Jobs that the instance runs and that are no longer open. */
        readonly endedJobs: readonly string[];
        /** Jobs that the instance reports as its own although another instance runs them now. */
        readonly takenJobs: readonly string[];
        /** Jobs that the instance is to run from now on. */
        readonly assignedJobs: readonly string[];
        /** Requests that are held back since endpoints crashed, or no longer are; absent if none has changed. */
        readonly crashRecords?: readonly CrashRecord[] | undefined;
        /** Decisions on queued place requests. */
        readonly decisions: readonly PlaceDecision[];
    };

/** Decision on a queued place request. */
export interface PlaceDecision {
    readonly askId: string;
    readonly outcome: PlaceOutcome;
}

/** Tells all instances which one is the coordinator from now on. */
export interface Announcement {
    readonly coordinator: MemberEntry;
    readonly epoch: number;
}

/** Asks any instance for its view of the fleet. */
export interface StateRequest {
    readonly known: KnownRevisions;
}

/** Reply to a {@link StateRequest}. */
export interface StateReply {
    readonly news: FleetUpdate;
    /** What the replying instance has; absent from instances of earlier releases. */
    readonly known?: KnownRevisions;
    /** The coordinator that the replying instance knows. */
    readonly deciding: Announcement | undefined;
}

/** Parameters of a call that requests a place. */
export interface PlaceCallParams {
    readonly ask: PlaceRequest;
}

/** Reply to a place request; a queued request is decided by a {@link PlaceDecision} in a later sync reply. */
export type PlaceReply =
    | { readonly kind: "not-coordinator"; }
    | { readonly kind: "queued"; }
    | { readonly kind: "outcome"; readonly outcome: PlaceOutcome; };

/** Releases places and withdraws place requests. */
export interface ReleaseRequest {
    readonly releases: readonly PlaceRelease[];
    readonly withdrawnAsks: readonly string[];
    /** Places whose endpoint has sent nothing for too long; their requests go on. */
    readonly silentPlaces: readonly string[];
    readonly crashes?: readonly EndpointCrash[];
    readonly leavingEndpoints?: readonly LeavingEndpoint[];
    readonly limits?: readonly EndpointLimit[];
}

/** Asks whether a job fits within its organisation's limit on waiting tokens. */
export interface AdmitJobRequest {
    readonly jobId: string;
    readonly organisation: string;
    readonly route: string;
    readonly tokens: number;
    /** 0 for no limit. */
    readonly maxWaitingTokens: number;
}

/** Reply to an {@link AdmitJobRequest}. */
export type AdmitJobReply =
    | { readonly kind: "not-coordinator"; }
    | { readonly kind: "admitted"; }
    | { readonly kind: "full"; readonly waitingTokens: number; };
