import type { Logger } from "@heatherline/common";
import {
    type FleetView,
    type JobProgress,
    type MemberEntry,
    METHODS,
    type PlacementClient,
    type RpcCaller,
    type Timestamp,
} from "@heatherline/fleet";
import { getHeapStatistics } from "node:v8";
import PQueue from "p-queue";
import type { EndpointSender } from "../endpoints/endpointClient";
import type { MemoryBudget } from "../memoryBudget";
import type { GatewayMetrics } from "../metrics";
import type { WireCodec } from "../wireCodec";
import { ItemDurationEstimator } from "./itemDurationEstimator";
import { ItemPlacementQueue } from "./itemPlacementQueue";
import type { ItemRunDependencies } from "./itemRun";
import type { BodyPart } from "./jobBodies";
import { JobBodyCache } from "./jobBodyCache";
import { findJobRoute } from "./jobRoute";
import { type JobHandover, JobRun } from "./jobRun";
import { getManifestBytes, type JobItem, type JobManifest, type JobStore } from "./jobStore";
import { ProgressMemory } from "./progressMemory";
import type { RunnerClaim } from "./runnerClaim";

/** Items of an instance and a route that run or wait for a place; a waiting one costs little memory. */
const MAX_CONCURRENT_ITEMS = 256;
/** Memory for finished jobs with their results, kept to save reads of the store. */
const MAX_CACHED_JOB_BYTES = 16_000_000;
/** No item starts while the results that wait to be written take more, as while the store is down for long. */
const MAX_UNWRITTEN_BYTES = 16_000_000;
/** Fraction of the heap that these results may take. */
const MAX_UNWRITTEN_HEAP_FRACTION = 0.1;
const HANDOVER_TIMEOUT_MS = 500;
const MAX_HANDOVER_ATTEMPTS = 4;

export type { JobHandover } from "./jobRun";

/** What a {@link JobRunner} depends on. */
export interface JobRunnerDependencies {
    readonly instanceId: string;
    readonly store: JobStore;
    readonly view: FleetView;
    readonly placement: PlacementClient;
    readonly rpc: RpcCaller;
    readonly endpoints: EndpointSender;
    readonly wire: WireCodec;
    readonly metrics: GatewayMetrics;
    /** Bounds the bodies of running items; absent where they are not counted. */
    readonly memoryBudget?: MemoryBudget | undefined;
    /** Whether this instance's knowledge of which jobs are closed is recent enough to start runs of items. */
    readonly isJobStateFresh: () => boolean;
    /** Whether it is certain that no other instance has been assigned a job of this one since the claim began. */
    readonly isSoleRunner: (claim: RunnerClaim) => boolean;
    readonly logger: Logger;
}

/** Runs this instance's batch jobs. */
export class JobRunner {
    private readonly runs = new Map<string, JobRun>();
    private readonly adoptingIds = new Set<string>();
    /** The items of each route, so that those of one that can't run don't keep others from running. */
    private readonly queuesByRoute = new Map<string, PQueue>();
    private readonly placementQueue = new ItemPlacementQueue();
    private readonly durationEstimator = new ItemDurationEstimator();
    private readonly progressMemory = new ProgressMemory();
    private readonly maxUnwrittenBytes = Math.min(
        MAX_UNWRITTEN_BYTES,
        getHeapStatistics().heap_size_limit * MAX_UNWRITTEN_HEAP_FRACTION,
    );
    private isStopping = false;
    /** Bodies of the items of this instance's jobs; those of other jobs can be read, too. */
    readonly bodies: JobBodyCache;

    /**
     * @param deps - What the runner depends on.
     */
    constructor(private readonly deps: JobRunnerDependencies) {
        this.bodies = new JobBodyCache(deps.store);
    }

    /**
     * Starts running a job, unless it is closed or already runs here.
     *
     * @param manifest - The job.
     * @param parts - Bodies of its items, if this instance created it; bodies are read from the store otherwise.
     * @param handover - Progress that another instance has made with the job.
     * @param createdAt - A moment before the job was in the store, if this instance created it.
     */
    add(
        manifest: JobManifest,
        parts: readonly BodyPart[] | undefined,
        handover?: JobHandover,
        createdAt?: Timestamp,
    ): void {
        const existing = this.runs.get(manifest.jobId);
        if (this.isStopping || manifest.state !== "open" || (existing !== undefined && !existing.isStopped)) {
            return;
        }
        const run = new JobRun(
            manifest,
            parts !== undefined,
            {
                store: this.deps.store,
                queue: this.getQueue(manifest.route),
                progressMemory: this.progressMemory,
                newItemRunDependencies: (job, item) => this.newItemRunDependencies(job, item),
                onEnded: () => {
                    this.bodies.drop(manifest);
                    this.evictOldRuns();
                },
                isSoleRunner: claim => this.deps.isSoleRunner(claim),
                logger: this.deps.logger,
            },
            handover,
            createdAt,
        );
        this.runs.set(manifest.jobId, run);
        this.bodies.keep(manifest.jobId, parts ?? []);
        void run.start();
        this.evictOldRuns();
    }

    /**
     * Reads a job that no instance runs from the store and starts running it.
     *
     * @param jobId - The job.
     * @param handover - Progress that another instance has made with the job.
     */
    async adopt(jobId: string, handover?: JobHandover): Promise<void> {
        const existing = this.runs.get(jobId);
        if (this.adoptingIds.has(jobId) || this.isStopping || (existing !== undefined && !existing.isStopped)) {
            return;
        }
        this.adoptingIds.add(jobId);
        const read = await this.deps.store.read(jobId);
        this.adoptingIds.delete(jobId);
        if (read.isOk() && read.value !== undefined) {
            this.add(read.value.manifest, undefined, handover);
        }
    }

    /** Records that other instances may have run jobs of this one while it was out of contact. */
    requireVerification(): void {
        this.getActiveRuns().forEach(run => run.requireVerification());
    }

    /**
     * Checks in the store which jobs are still open, and stops those that are not.
     *
     * @param jobIds - Jobs that may be closed: the coordinator doesn't list them as open, or none can be reached.
     */
    async stopClosedJobs(jobIds: readonly string[]): Promise<void> {
        for (const jobId of jobIds) {
            const run = this.runs.get(jobId);
            if (run === undefined || run.isStopped || run.isFinished) {
                continue;
            }
            run.requireVerification();
            const read = await this.deps.store.read(jobId);
            if (read.isOk() && read.value?.manifest.state !== "open") {
                run.stop(read.value === undefined ? "the job is not in the store" : "the job is closed");
            }
        }
    }

    /**
     * Stops a job that its caller has cancelled.
     *
     * @param jobId - The job.
     */
    cancel(jobId: string): void {
        this.runs.get(jobId)?.stop("cancelled by its caller");
    }

    /**
     * Stops a job that another instance has taken over.
     *
     * @param jobId - The job.
     */
    stopTakenOver(jobId: string): void {
        this.runs.get(jobId)?.stop("another instance runs it");
    }

    /**
     * Takes over a job from an instance that stops.
     *
     * @param handover - Progress that the instance has made with the job.
     * @returns Whether this instance runs the job now.
     */
    async takeOver(handover: JobHandover): Promise<boolean> {
        await this.adopt(handover.jobId, handover);
        return this.getActiveJobIds().includes(handover.jobId);
    }

    /**
     * Stops all jobs and hands them over with their progress.
     *
     * @param others - Instances that may continue the jobs, in order of preference.
     */
    async handOver(others: readonly MemberEntry[]): Promise<void> {
        const activeRuns = this.getActiveRuns();
        this.isStopping = true;
        await Promise.all(activeRuns.map((run, index) => {
            run.stop("this instance is stopping");
            const candidates = others.map((_, step) => others[(index + step) % others.length] as MemberEntry);
            return this.handOverJob(run, candidates.slice(0, MAX_HANDOVER_ATTEMPTS));
        }));
    }

    private async handOverJob(run: JobRun, candidates: readonly MemberEntry[]): Promise<void> {
        const handover = run.getHandover(this.deps.instanceId);
        for (const { host, rpcPort, instanceId } of candidates) {
            const reply = await this.deps.rpc.callAddress<boolean>(
                host,
                rpcPort,
                METHODS.takeOverJob,
                handover,
                HANDOVER_TIMEOUT_MS,
            );
            const isTaken = reply.unwrapOr(false);
            const { logger } = this.deps;
            logger.info({ event: "job-handed-over", job: handover.jobId, to: instanceId, isTaken });
            if (isTaken) {
                return;
            }
        }
    }

    /**
     * @param jobId - A job.
     * @returns The job's run, if its results can be read here.
     */
    getReadableRun(jobId: string): JobRun | undefined {
        const run = this.runs.get(jobId);
        return run?.isReadable === true ? run : undefined;
    }

    /** @returns The progress of the jobs that run here. */
    getProgress(): JobProgress[] {
        return this.getActiveRuns().map(run => run.getProgress());
    }

    /** @returns Ids of the jobs that run here. */
    getActiveJobIds(): string[] {
        return this.getActiveRuns().map(({ manifest }) => manifest.jobId);
    }

    /** @returns Number of jobs that run here and the age of the oldest one, for metrics and the log. */
    getStats(): { open: number; oldestAgeMs: number; } {
        const activeRuns = this.getActiveRuns();
        const oldestSubmittedAt = Math.min(Date.now(), ...activeRuns.map(({ manifest }) => manifest.submittedAt));
        return { open: activeRuns.length, oldestAgeMs: Date.now() - oldestSubmittedAt };
    }

    private getQueue(route: string): PQueue {
        const queue = this.queuesByRoute.get(route) ?? new PQueue({ concurrency: MAX_CONCURRENT_ITEMS });
        this.queuesByRoute.set(route, queue);
        return queue;
    }

    private getActiveRuns(): JobRun[] {
        return [...this.runs.values()].filter(run => !run.isStopped && !run.isFinished);
    }

    private newItemRunDependencies(
        manifest: JobManifest,
        item: JobItem,
    ): ItemRunDependencies {
        const { deps } = this;
        return {
            placement: deps.placement,
            endpoints: deps.endpoints,
            wire: deps.wire,
            durationEstimator: this.durationEstimator,
            placementQueue: this.placementQueue,
            findRoute: () => findJobRoute(deps.view, manifest, item),
            getContent: async () => (await this.bodies.getContent(manifest, item, true)).unwrapOr(undefined),
            memoryBudget: deps.memoryBudget,
            onMemoryShort: ({ itemId }, bodyBytes) => {
                const usedBytes = deps.memoryBudget?.usedBytes;
                const { jobId } = manifest;
                deps.logger.info({ event: "item-waits-for-memory", job: jobId, item: itemId, bodyBytes, usedBytes });
            },
            mayRun: () => !this.isStopping && deps.isJobStateFresh() && this.hasRoomForResults(),
            onRunEnded: ({ itemId }, end, detail) => {
                deps.metrics.recordItemRun(end);
                deps.logger.info({ event: "item-run", job: manifest.jobId, item: itemId, end, ...detail });
            },
        };
    }

    private hasRoomForResults(): boolean {
        let unwrittenBytes = 0;
        for (const { isStopped, unwrittenBytes: jobBytes } of this.runs.values()) {
            unwrittenBytes += isStopped ? 0 : jobBytes;
        }
        return unwrittenBytes <= this.maxUnwrittenBytes;
    }

    /** Drops stopped jobs and the oldest finished ones; their results are in the store, so memory only saves reads. */
    private evictOldRuns(): void {
        const endedRuns = [...this.runs.values()].filter(run => run.isStopped || run.isFinished);
        let cachedBytes = 0;
        for (const run of endedRuns.reverse()) {
            cachedBytes += run.publishedBytes + getManifestBytes(run.manifest);
            if (run.isStopped || cachedBytes > MAX_CACHED_JOB_BYTES) {
                this.runs.delete(run.manifest.jobId);
            }
        }
    }
}
