import type { StoredObject } from "@heatherline/store";
import { LRUCache } from "lru-cache";
import type { AdmitJobReply, AdmitJobRequest } from "./messages";
import { getUnclaimedMs } from "./syncTiming";
import type { JobProgress, JobSummary } from "./types";

/** An assignment expires if the instance doesn't report the job for this long, in milliseconds. */
const ASSIGNMENT_MS = 1_500;
/** An admitted job whose object hasn't appeared in the store after this long was not written, in milliseconds. */
const RESERVATION_MS = 5_000;

/** An instance that still reports a job is told again to stop it after this long, in milliseconds. */
const REMINDER_MS = 200;
/** Maximum number of instances and jobs for which it is kept when they were told. */
const MAX_TOLD = 5_000;

/** Maximum number of ended jobs whose last runner is kept. */
const MAX_LAST_RUNNERS = 5_000;

interface TrackedJob {
    readonly summary: JobSummary;
    finishedTokens: number;
    runner: string | undefined;
    reportedAtMs: number;
    assignedTo: string | undefined;
    assignedAtMs: number;
    /** Instances that it was assigned to since it was last reported, and that don't run it. */
    triedIds: readonly string[];
}

/** Reported jobs that the reporting instance should stop running. */
export interface JobsToStop {
    /** Jobs that are not open, as far as the coordinator knows. */
    readonly closed: readonly string[];
    /** Jobs that another instance runs. */
    readonly taken: readonly string[];
}

interface Reservation {
    readonly request: AdmitJobRequest;
    readonly atMs: number;
}

/** The coordinator's record of open batch jobs: their waiting tokens, and which instance runs each. */
export class JobTracker {
    private readonly jobs = new Map<string, TrackedJob>();
    private readonly reservations = new Map<string, Reservation>();
    private readonly lastRunners = new LRUCache<string, string>({ max: MAX_LAST_RUNNERS });
    /** When instances were told last to stop a job. */
    private readonly toldAtMs = new LRUCache<string, number>({ max: MAX_TOLD });
    private hasLoaded = false;

    /**
     * @param getInstanceCount - Returns the number of instances, on which it depends how often they report.
     */
    constructor(private readonly getInstanceCount: () => number) {}

    /** Whether the jobs have been read from the store. */
    get isLoaded(): boolean {
        return this.hasLoaded;
    }

    /**
     * @param objects - All job objects in the store.
     */
    replaceAll(objects: ReadonlyMap<string, StoredObject>): void {
        this.hasLoaded = true;
        for (const jobId of this.jobs.keys()) {
            if (!objects.has(jobId)) {
                this.jobs.delete(jobId);
            }
        }
        for (const [jobId, { value }] of objects) {
            const summary = decodeJobSummary(value);
            if (summary === undefined || summary.state !== "open") {
                this.recordEnd(jobId);
                continue;
            }
            this.reservations.delete(jobId);
            const nowMs = performance.now();
            const known = this.jobs.get(jobId);
            this.jobs.set(jobId, {
                ...known ?? {
                    finishedTokens: 0,
                    runner: undefined,
                    reportedAtMs: nowMs,
                    assignedTo: undefined,
                    assignedAtMs: 0,
                    triedIds: [],
                },
                summary,
            });
        }
    }

    /**
     * @param instanceId - The instance that reports.
     * @param reports - The jobs that it runs.
     * @returns Those that it should stop running, without those of which it has just been told: an instance that can't
     *     stop yet, because the store doesn't answer, reports again at once after each reply.
     */
    recordProgress(instanceId: string, reports: readonly JobProgress[]): JobsToStop {
        const nowMs = performance.now();
        const closed: string[] = [];
        const taken: string[] = [];
        for (const { jobId, finishedTokens, handedOverBy } of reports) {
            const entry = this.jobs.get(jobId);
            if (entry === undefined) {
                // A job that was just admitted may not have been read yet; its runner checks the store before it stops.
                if (this.hasLoaded && !this.reservations.has(jobId) && this.isDueToTell(instanceId, jobId)) {
                    closed.push(jobId);
                }
                continue;
            }
            const isRunElsewhere = entry.runner !== undefined && entry.runner !== instanceId
                && entry.runner !== handedOverBy && nowMs - entry.reportedAtMs < this.unclaimedMs;
            if (isRunElsewhere) {
                if (this.isDueToTell(instanceId, jobId)) {
                    taken.push(jobId);
                }
                continue;
            }
            entry.finishedTokens = Math.max(entry.finishedTokens, finishedTokens);
            entry.runner = instanceId;
            entry.reportedAtMs = nowMs;
            entry.assignedTo = undefined;
            entry.triedIds = [];
        }
        return { closed, taken };
    }

    /** Whether an instance was told to stop a job long enough ago to be told again; it counts as told then. */
    private isDueToTell(instanceId: string, jobId: string): boolean {
        const key = `${instanceId}/${jobId}`;
        const nowMs = performance.now();
        const isDue = nowMs - (this.toldAtMs.get(key) ?? -Infinity) >= REMINDER_MS;
        if (isDue) {
            this.toldAtMs.set(key, nowMs);
        }
        return isDue;
    }

    /**
     * Assigns jobs that no instance runs to an instance, if it is the least loaded one of those that have not been tried.
     *
     * @param instanceId - The instance.
     * @param liveInstances - All instances that can run jobs, including this one.
     * @returns Jobs that it should run.
     */
    assignUnclaimed(instanceId: string, liveInstances: readonly string[]): string[] {
        const nowMs = performance.now();
        const assigned: string[] = [];
        for (const [jobId, entry] of this.jobs) {
            const isUnclaimed = nowMs - entry.reportedAtMs > this.unclaimedMs;
            const isAssigned = entry.assignedTo !== undefined && nowMs - entry.assignedAtMs < ASSIGNMENT_MS;
            if (!isUnclaimed || (isAssigned && entry.assignedTo !== instanceId)) {
                continue;
            }
            const untriedIds = liveInstances.filter(id => !entry.triedIds.includes(id));
            const candidates = untriedIds.length > 0 ? untriedIds : liveInstances;
            if (!isAssigned && this.getLeastLoaded(candidates) !== instanceId) {
                continue;
            }
            if (!isAssigned) {
                entry.assignedTo = instanceId;
                entry.assignedAtMs = nowMs;
                entry.triedIds = untriedIds.length > 0 ? [...entry.triedIds, instanceId] : [instanceId];
            }
            assigned.push(jobId);
        }
        return assigned;
    }

    /**
     * Admits a job if it fits within its organisation's limit, and reserves its tokens until its object appears.
     *
     * @param request - The job.
     * @returns Whether it is admitted.
     */
    admit(request: AdmitJobRequest): AdmitJobReply {
        this.dropExpiredReservations();
        const reply = this.peekAdmission(request);
        if (reply.kind === "admitted") {
            this.reservations.set(request.jobId, { request, atMs: performance.now() });
        }
        return reply;
    }

    /**
     * Tells what {@link admit} would decide, without reserving tokens.
     *
     * @param request - The job.
     * @returns Whether it would be admitted.
     */
    peekAdmission(request: AdmitJobRequest): Exclude<AdmitJobReply, { kind: "not-coordinator"; }> {
        const waitingTokens = this.getWaitingTokens(request);
        return request.maxWaitingTokens > 0 && waitingTokens + request.tokens > request.maxWaitingTokens
            ? { kind: "full", waitingTokens }
            : { kind: "admitted" };
    }

    /**
     * @param jobId - A job.
     * @returns The instance that runs it, or that ran it last if it has ended.
     */
    findRunner(jobId: string): string | undefined {
        const entry = this.jobs.get(jobId);
        if (entry === undefined) {
            return this.lastRunners.get(jobId);
        }
        return performance.now() - entry.reportedAtMs < this.unclaimedMs ? entry.runner : undefined;
    }

    /** @returns Number of open jobs. */
    getOpenCount(): number {
        return this.jobs.size;
    }

    /** A job that no instance reports for this long is assigned to one, in milliseconds. */
    private get unclaimedMs(): number {
        return getUnclaimedMs(this.getInstanceCount());
    }

    /** Keeps the last runner of an ended job, which still has its results available for readers. */
    private recordEnd(jobId: string): void {
        const runner = this.jobs.get(jobId)?.runner;
        this.jobs.delete(jobId);
        if (runner !== undefined) {
            this.lastRunners.set(jobId, runner);
        }
    }

    private getWaitingTokens({ jobId, organisation, route }: AdmitJobRequest): number {
        const nowMs = performance.now();
        let tokens = 0;
        for (const [id, { summary, finishedTokens }] of this.jobs) {
            if (id !== jobId && summary.organisation === organisation && summary.route === route) {
                tokens += Math.max(0, sum(summary.itemTokens) - finishedTokens);
            }
        }
        for (const [id, { request, atMs }] of this.reservations) {
            const isCurrent = nowMs - atMs <= RESERVATION_MS;
            if (isCurrent && id !== jobId && request.organisation === organisation && request.route === route) {
                tokens += request.tokens;
            }
        }
        return tokens;
    }

    private dropExpiredReservations(): void {
        const nowMs = performance.now();
        for (const [id, { atMs }] of this.reservations) {
            if (nowMs - atMs > RESERVATION_MS) {
                this.reservations.delete(id);
            }
        }
    }

    private getLeastLoaded(instances: readonly string[]): string | undefined {
        const load = new Map(instances.map(instanceId => [instanceId, 0]));
        for (const { runner, assignedTo } of this.jobs.values()) {
            const instanceId = assignedTo ?? runner ?? "";
            if (load.has(instanceId)) {
                load.set(instanceId, (load.get(instanceId) ?? 0) + 1);
            }
        }
        return [...load].sort((left, right) => left[1] - right[1] || (left[0] < right[0] ? -1 : 1))[0]?.[0];
    }
}

/**
 * @param value - Content of a job object.
 * @returns The summary of the job, or `undefined` if the object is incomplete.
 */
export function decodeJobSummary(value: Record<string, unknown>): JobSummary | undefined {
    const { jobId, organisation, route, submittedAt, itemTokens, state } = value as Partial<JobSummary>;
    const isComplete = typeof jobId === "string" && typeof organisation === "string" && typeof route === "string"
        && isCount(submittedAt) && Array.isArray(itemTokens) && itemTokens.every(isCount)
        && (state === "open" || state === "ended");
    return isComplete ? { jobId, organisation, route, submittedAt, itemTokens, state } : undefined;
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
