import { type Coordinator, getElapsedMs, newTimestamp, type PlacementClient, type Timestamp } from "@heatherline/fleet";
import type { JobRunner } from "./jobRunner";

/** How often each own job is read in fallback mode to learn whether it is closed. */
const CLOSED_JOBS_CHECK_MS = 1_200;

/** What an {@link OwnJobSync} depends on. */
export interface OwnJobSyncDependencies {
    readonly instanceId: string;
    readonly runner: JobRunner;
    readonly placement: PlacementClient;
    /** @returns The coordinator, while it is this instance. */
    readonly getCoordinator: () => Coordinator | undefined;
    readonly isStopping: () => boolean;
}

/**
 * Does for the jobs of the coordinator's own instance what sync replies do for those of other instances. In fallback mode
 * no coordinator tells which jobs are closed, so that is checked in the store.
 */
export class OwnJobSync {
    private closedJobsCheckedAtMs = -Infinity;
    private reportedAt: Timestamp | undefined;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: OwnJobSyncDependencies) {}

    /** Time since own jobs were last reported to this instance's coordinator, in milliseconds. */
    get reportAgeMs(): number {
        return this.reportedAt === undefined ? Infinity : getElapsedMs(this.reportedAt);
    }

    /** Reports the progress of own jobs to this instance's coordinator, or checks them in fallback mode. */
    sync(): void {
        const { instanceId, runner, placement, getCoordinator, isStopping } = this.deps;
        const coordinator = getCoordinator();
        if (coordinator !== undefined && !isStopping()) {
            const { closed, taken } = coordinator.jobs.recordProgress(instanceId, runner.getProgress());
            this.reportedAt = newTimestamp();
            void runner.stopClosedJobs(closed);
            taken.forEach(jobId => runner.stopTakenOver(jobId));
            for (const jobId of coordinator.assignJobs(instanceId)) {
                void runner.adopt(jobId);
            }
        }
        if (placement.isInFallbackMode && performance.now() - this.closedJobsCheckedAtMs > CLOSED_JOBS_CHECK_MS) {
            this.closedJobsCheckedAtMs = performance.now();
            void runner.stopClosedJobs(runner.getActiveJobIds());
        }
    }
}
