import type { EndpointCrash } from "@heatherline/common";
import type {
    CoordinatorLease,
    CrashRecord,
    FleetView,
    MemberEntry,
    PlacementClient,
    StateFeed,
    StreamOriginReport,
    SyncReply,
    SyncReport,
    SyncRequest,
    TakeoverPromise,
} from "@heatherline/fleet";
import type { JobRunner } from "../jobs/jobRunner";
import { takeFitting } from "../objectSize";
import { PendingStreams } from "./pendingStreams";

/**
 * Limit of the crash reports, and of the streams, in one message, which keep it far below the largest one that an instance
 * accepts: an instance whose first report is refused would never be in contact.
 */
const MAX_REPORT_BYTES = 1_000_000;

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
            crashes: isFull ? this.getCrashes() : undefined,
            crashRecords: report === "first" ? this.getCrashRecords() : undefined,
            limits: isFull ? placement.statements.getLimits() : undefined,
            streams: report === "first" ? this.getStreams() : undefined,
            jobs: runner.getProgress(),
            isStoreFailing: feed.isStoreFailing,
            storeCheck: feed.storeCheck,
            promise: this.promise,
            waitMs,
        };
    }

    /** The newest crashes are the most important ones. */
    private getCrashes(): EndpointCrash[] {
        const newestFirst = this.deps.placement.getRecentCrashes().reverse();
        return takeFitting(newestFirst, MAX_REPORT_BYTES).reverse();
    }

    private getCrashRecords(): CrashRecord[] {
        return takeFitting(this.deps.placement.crashTracker.getRecords("all"), MAX_REPORT_BYTES);
    }

    private getStreams(): StreamOriginReport[] {
        const streams = new PendingStreams();
        this.deps.placement.getStreams().forEach(report => streams.add(report));
        return streams.take(MAX_REPORT_BYTES);
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
    applyDeputyReply({ news, decisions, calledBack, crashRecords = [] }: SyncNews, transitMs: number): void {
        const { view, placement } = this.deps;
        view.applyUpdate(news, transitMs);
        crashRecords.forEach(record => placement.crashTracker.adopt(record));
        for (const decision of decisions) {
            placement.handleDecision(decision);
        }
        for (const placeId of calledBack) {
            placement.preempt(placeId);
        }
    }
}
