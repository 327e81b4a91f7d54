import type { Logger } from "@heatherline/common";
import { type Coordinator, MEMBER_KIND, type MemberEntry } from "@heatherline/fleet";
import type { ObjectStore, StoredObject } from "@heatherline/store";
import { type JobStore, toManifest } from "../jobs/jobStore";

/** The registration of an instance that is silent for this long is removed; if it comes back, it registers again. */
const MEMBER_EXPIRY_MS = 15_000;
/** Jobs are kept longer than they must stay readable by this fraction of the time. */
const RETENTION_MARGIN_FRACTION = 0.25;

/** What a {@link Sweeper} depends on. */
export interface SweeperDependencies {
    readonly store: ObjectStore;
    readonly jobs: JobStore;
    readonly getMembers: () => readonly MemberEntry[];
    /** How long a job stays readable after its submission. */
    readonly getJobReadableMs: () => number;
    readonly logger: Logger;
}

/** Removes expired jobs and the registrations of dead instances from the store. Only the coordinator runs it. */
export class Sweeper {
    private isSweeping = false;
    private jobObjects: ReadonlyMap<string, StoredObject> = new Map();

    /**
     * @param deps - What the sweeper depends on.
     */
    constructor(private readonly deps: SweeperDependencies) {}

    /**
     * @param objects - All job objects in the store.
     */
    setJobs(objects: ReadonlyMap<string, StoredObject>): void {
        this.jobObjects = objects;
    }

    /**
     * Removes what has expired, unless an earlier run is still in progress.
     *
     * @param coordinator - Knows how long instances have been silent.
     */
    async sweep(coordinator: Coordinator): Promise<void> {
        if (this.isSweeping) {
            return;
        }
        this.isSweeping = true;
        try {
            await this.sweepMembers(coordinator);
            await this.sweepJobs();
        }
        finally {
            this.isSweeping = false;
        }
    }

    private async sweepMembers(coordinator: Coordinator): Promise<void> {
        for (const { instanceId, incarnation } of this.deps.getMembers()) {
            if (coordinator.heartbeats.getSilenceMs(instanceId) < MEMBER_EXPIRY_MS) {
                continue;
            }
            const path = `${MEMBER_KIND}/${instanceId}`;
            const read = await this.deps.store.get(path);
            if (read.isErr() || read.value?.value.incarnation !== incarnation) {
                continue;
            }
            const removed = await this.deps.store.delete(path, read.value.version);
            this.deps.logger.info({ event: "instance-removed", gone: instanceId, isRemoved: removed.isOk() });
        }
    }

    private async sweepJobs(): Promise<void> {
        const retentionMs = this.deps.getJobReadableMs() * (1 + RETENTION_MARGIN_FRACTION);
        for (const object of this.jobObjects.values()) {
            const manifest = toManifest(object);
            if (manifest?.state === "ended" && Date.now() - manifest.submittedAt > retentionMs) {
                await this.deps.jobs.remove(manifest);
                this.deps.logger.info({ event: "job-removed", job: manifest.jobId });
            }
        }
    }
}
