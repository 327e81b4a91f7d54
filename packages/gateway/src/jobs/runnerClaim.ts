import { getElapsedMs, getMaxReplyAgeMs, type Timestamp } from "@heatherline/fleet";

/** On what an instance counts as the runner of a job. */
export interface RunnerClaim {
    /** A moment before the job was in the store; `undefined` if this instance did not create it. */
    readonly createdAt: Timestamp | undefined;
    /** Monotonic time since when this instance reports that it runs the job. */
    readonly reportedSinceMs: number;
}

/** What it is known from that the coordinator has not assigned an instance's jobs to others. */
export interface RunnerClaimSources {
    /** Whether this instance is the coordinator; its jobs are then reported without a sync request. */
    readonly isCoordinator: () => boolean;
    /** @returns Time since jobs were reported to the coordinator in this instance, in milliseconds. */
    readonly getOwnReportAgeMs: () => number;
    /** @returns Time since the last sync request that the coordinator replied to was sent, in milliseconds. */
    readonly getReplyAgeMs: () => number;
    readonly getInstanceCount: () => number;
}

/**
 * @param claim - On what this instance counts as the runner of a job that it runs.
 * @param sources - What is known of the coordinator.
 * @returns Whether it is certain that the job is not assigned to another instance: the coordinator assigns a job only some
 * time after it was last reported, or appeared in the store.
 */
export function isSoleRunner({ createdAt, reportedSinceMs }: RunnerClaim, sources: RunnerClaimSources): boolean {
    const maxAgeMs = getMaxReplyAgeMs(sources.getInstanceCount());
    if (createdAt !== undefined && getElapsedMs(createdAt) < maxAgeMs) {
        return true;
    }
    const reportAgeMs = sources.isCoordinator() ? sources.getOwnReportAgeMs() : sources.getReplyAgeMs();
    return reportAgeMs < maxAgeMs && reportAgeMs < performance.now() - reportedSinceMs;
}
