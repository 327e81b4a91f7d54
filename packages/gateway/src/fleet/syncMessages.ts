import type {
    CoordinatorLease,
    FleetView,
    MemberEntry,
    PlacementClient,
    StateFeed,
    SyncReply,
    SyncReport,
    SyncRequest,
    TakeoverPromise,
} from "@heatherline/fleet";
import type { JobRunner } from "../jobs/jobRunner";

/** A sync reply with updates. */
export type SyncNews = Extract<SyncReply, { kind: "news"; }>;

/** What {@link SyncMessages} depend on. */
export interface SyncMessagesDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly feed: StateFeed;
    readonly placement: PlacementClient;
    readonly runner: JobRunner;
    readonly lease: CoordinatorLease;
}

/** Builds the heartbeats of this instance to the coordinator and the deputy, and applies their replies. */
export class SyncMessages {
    /** Promise to the coordinator that replied last. */
    private promise: TakeoverPromise | undefined;
    private isStoreFailingThere = false;

    /**
     * @param deps - What the messages depend on.
     */
    constructor(private readonly deps: SyncMessagesDependencies) {}

    /** Whether the store calls of the coordinator that replied last fail. */
    get isCoordinatorStoreFailing(): boolean {
        return this.isStoreFailingThere;
    }

    /**
     * @param report - How much of what this instance has reported before the receiver may not know.
     * @param waitMs - How long the reply may be held back while there is no update.
     * @returns The next heartbeat.
     */
    newRequest(report: SyncReport, waitMs: number): SyncRequest {
        const { self, view, feed, placement, runner } = this.deps;
        const isFull = report !== "changes";
        return {
            member: self,
            known: view.getRevisions(),
            places: isFull ? placement.getPlaces() : undefined,
            crashes: isFull ? placement.getRecentCrashes() : undefined,
            limits: isFull ? placement.statements.getLimits() : undefined,
            streams: report === "first" ? placement.getStreams() : undefined,
            jobs: runner.getProgress(),
            isStoreFailing: feed.isStoreFailing,
            storeCheck: feed.storeCheck,
            promise: this.promise,
            waitMs,
        };
    }

    /**
     * @param reply - The coordinator's reply.
     * @param transitMs - Longest time that it may have been in transit.
     */
    applyCoordinatorReply(reply: SyncNews, transitMs: number): void {
        const { lease, runner } = this.deps;
        lease.recordHolder(reply.coordinator, reply.epoch, reply.leaseVersion);
        lease.promise();
        this.isStoreFailingThere = reply.isStoreFailing === true;
        this.promise = reply.stamp === undefined ? undefined : { epoch: reply.epoch, stamp: reply.stamp };
        this.applyDeputyReply(reply, transitMs);
        for (const jobId of reply.assignedJobs) {
            void runner.adopt(jobId);
        }
        for (const jobId of reply.takenJobs) {
            runner.stopTakenOver(jobId);
        }
        if (reply.endedJobs.length > 0) {
            void runner.stopClosedJobs(reply.endedJobs);
        }
    }

    /**
     * @param reply - The deputy's reply, which decides about places only.
     * @param transitMs - Longest time that it may have been in transit.
     */
    applyDeputyReply({ news, decisions, calledBack }: SyncNews, transitMs: number): void {
        const { view, placement } = this.deps;
        view.applyUpdate(news, transitMs);
        for (const decision of decisions) {
            placement.handleDecision(decision);
        }
        for (const placeId of calledBack) {
            placement.preempt(placeId);
        }
    }
}
