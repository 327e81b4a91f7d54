import { type Logger, sleep } from "@heatherline/common";
import type { JobProgress, Timestamp } from "@heatherline/fleet";
import { setMaxListeners } from "node:events";
import type PQueue from "p-queue";
import { takeFitting } from "../objectSize";
import type { ItemResult, ResultsPage } from "../wireCodec";
import { ItemProgress, type ItemState } from "./itemProgress";
import { type ItemJob, ItemRun, type ItemRunDependencies } from "./itemRun";
import type { JobItem, JobManifest, JobStore } from "./jobStore";
import type { ProgressMemory } from "./progressMemory";
import { PublishedResults } from "./publishedResults";
import { ChunkPlanner, getResultBytes } from "./resultChunks";
import type { RunnerClaim } from "./runnerClaim";
import { UnwrittenResults } from "./unwrittenResults";

/** Results that arrive within this time are written to the store in one chunk. */
const WRITE_DELAY_MS = 600;
const RETRY_DELAY_MS = 300;
/** Limit of the progress that is handed over, which keeps the message below the largest one that an instance accepts. */
const MAX_HANDOVER_BYTES = 3_000_000;
/** Delay after a chunk that the store doesn't accept although it is as small as can be. */
const REJECTED_DELAY_MS = 1_000;
/** How often a run that needs a confirmation before it writes checks whether there is one. */
const CONFIRMATION_CHECK_MS = 50;
/** Without a confirmation for this long, an adopted run writes nevertheless; one whose chunk was not the first stops. */
const CONFIRMATION_TIMEOUT_MS = 5_000;
/** An instance that is back in contact learns within this time that another one runs its job, and so does the other. */
const SETTLED_CONTACT_MS = 3_000;
/** A read of the store serves all callers for this long: less than the time in which results must be readable everywhere. */
const MAX_LOAD_AGE_MS = 400;
/** A read of the store that took longer than this does not show that there is no result now. */
const MAX_LOAD_DURATION_MS = 600;

/** What a {@link JobRun} depends on. */
export interface JobRunDependencies {
    readonly store: JobStore;
    /** Limits the concurrent items of this instance. */
    readonly queue: PQueue;
    readonly newItemRunDependencies: (
        manifest: JobManifest,
        item: JobItem,
    ) => ItemRunDependencies;
    /** Bounds the outputs of items that are not finished; absent where they are not counted. */
    readonly progressMemory?: ProgressMemory | undefined;
    /** Called when this instance has stopped running the job, or all items have results. */
    readonly onEnded: () => void;
    /** Whether it is certain that no other instance has been assigned the job since the claim began. */
    readonly isSoleRunner: (claim: RunnerClaim) => boolean;
    readonly logger: Logger;
}

/** Progress of a job, handed over by an instance that stops to the one that continues. */
export interface JobHandover {
    readonly jobId: string;
    /** Id of the instance that stops. */
    readonly by: string;
    /** Progress of started, unfinished items. */
    readonly items: readonly ItemState[];
    /** Results that are not in the store yet. */
    readonly finished: readonly ItemResult[];
}

/** Runs one job. Results are published only once the store has them, in the order in which they were written. */
export class JobRun {
    private readonly stopping = new AbortController();
    private readonly published: PublishedResults;
    private readonly tokensByItem: Map<string, number>;
    private readonly unwritten: UnwrittenResults;
    private readonly planner = new ChunkPlanner();
    private isWriting = false;
    private hasLoaded = false;
    /** Progress of the items that have begun, here or at the instance that handed the job over. */
    private readonly progressByItem: Map<string, ItemProgress>;
    /** How often another instance may have written results, and up to which of these times the store has been read. */
    private requiredVerifications = 0;
    private doneVerifications = 0;
    private isClosed = false;
    /** Since when this instance may count as the runner. */
    readonly claim: RunnerClaim;
    /** Since when a confirmation is needed before the next write; `undefined` if none is needed. */
    private unconfirmedSinceMs: number | undefined;
    /** Whether another instance has written a chunk since this one started the job. */
    private hasMetOtherWriter = false;
    private isStarted = false;
    /** Another writer that does not know of this one yet may write until then. */
    private otherWriterUntilMs = -Infinity;
    /** Index of the chunk whose write has been sent and whose outcome is not known yet. */
    private sentIndex: number | undefined;
    /** When the last read that found all results in the store began. */
    private loadedAtMs = -Infinity;
    private loading: Promise<boolean> | undefined;

    /**
     * @param manifest - The job.
     * @param isNew - Whether no other instance has run the job, so that the store has no results of it.
     * @param deps - What running the job depends on.
     * @param handover - Progress that another instance has made with the job.
     * @param createdAt - A moment before the job was in the store, if this instance created it.
     */
    constructor(
        readonly manifest: JobManifest,
        isNew: boolean,
        private readonly deps: JobRunDependencies,
        private readonly handover: JobHandover | undefined,
        createdAt?: Timestamp,
    ) {
        this.published = new PublishedResults(manifest.items.length);
        this.claim = { createdAt, reportedSinceMs: performance.now() };
        if (!isNew) {
            this.expectOtherWriter();
        }
        this.progressByItem = new Map(
            handover?.items.map(state => [state.itemId, new ItemProgress(deps.progressMemory, state)]),
        );
        this.unwritten = new UnwrittenResults(handover?.finished ?? []);
        // Every running item adds a listener, so there is no fixed limit.
        setMaxListeners(0, this.stopping.signal);
        this.hasLoaded = isNew;
        this.tokensByItem = new Map(manifest.items.map(({ itemId, tokens }) => [itemId, tokens]));
    }

    /** Whether the store has the results of all items. */
    get isFinished(): boolean {
        return this.published.isComplete;
    }

    /** Number of published results. */
    get publishedCount(): number {
        return this.published.count;
    }

    /** Size of the published results in memory. */
    get publishedBytes(): number {
        return this.published.sizeBytes;
    }

    /** Size of the results that wait to be written. */
    get unwrittenBytes(): number {
        return this.unwritten.sizeBytes;
    }

    /** Whether this instance has stopped running the job. */
    get isStopped(): boolean {
        return this.stopping.signal.aborted;
    }

    /** Whether results can be read here: earlier results have been read from the store, and the job still runs here. */
    get isReadable(): boolean {
        return this.hasLoaded && !this.isStopped;
    }

    /** Whether no other instance can have written results that are not published here. */
    get isVerified(): boolean {
        return this.doneVerifications === this.requiredVerifications;
    }

    /** Whether it takes a read of the store to know that it has no results that are not published here. */
    get mayLackResults(): boolean {
        return !this.isVerified || this.sentIndex !== undefined || performance.now() < this.otherWriterUntilMs;
    }

    /** Records that another instance may have run the job meanwhile, so that the store must be read once more. */
    requireVerification(): void {
        this.requiredVerifications += 1;
        this.otherWriterUntilMs = Math.max(this.otherWriterUntilMs, performance.now() + SETTLED_CONTACT_MS);
    }

    /** @returns The job's progress, including results that are not written yet. */
    getProgress(): JobProgress {
        let finishedTokens = 0;
        for (const { itemId } of [...this.published, ...this.unwritten]) {
            finishedTokens += this.tokensByItem.get(itemId) ?? 0;
        }
        return { jobId: this.manifest.jobId, finishedTokens, handedOverBy: this.handover?.by ?? "" };
    }

    /** Starts the job, after reading the results that an earlier runner wrote. */
    async start(): Promise<void> {
        while (!this.hasLoaded && !this.isStopped) {
            this.hasLoaded = await this.loadNewResults();
            if (!this.hasLoaded) {
                await sleep(RETRY_DELAY_MS, this.stopping.signal);
            }
        }
        this.isStarted = true;
        const { route } = this.manifest;
        this.deps.logger.info({
            event: "job-started",
            job: this.manifest.jobId,
            route,
            items: this.manifest.items.length,
            listed: this.published.count,
        });
        this.unwritten.dropWritten(itemId => this.published.has(itemId));
        const unwrittenIds = new Set(this.unwritten.all.map(({ itemId }) => itemId));
        void this.writeResults();
        for (const item of this.manifest.items) {
            if (this.published.has(item.itemId) || unwrittenIds.has(item.itemId)) {
                this.progressByItem.get(item.itemId)?.release();
                continue;
            }
            void this.deps.queue.add(() => this.runItem(item), { priority: -this.manifest.submittedAt });
        }
        await this.closeIfFinished();
    }

    /**
     * Stops running the job at this instance.
     *
     * @param reason - Why, for the log.
     */
    stop(reason: string): void {
        if (!this.isStopped) {
            const { jobId } = this.manifest;
            this.deps.logger.info({ event: "job-stopped", job: jobId, reason, listed: this.published.count });
            this.stopping.abort();
            this.published.wakeWaiters();
            this.progressByItem.forEach(progress => progress.release());
            this.deps.onEnded();
        }
    }

    /**
     * @param by - Id of this instance, which hands the job over.
     * @returns The job's progress beyond what the store has, as far as one message holds it; other items run again.
     */
    getHandover(by: string): JobHandover {
        const { jobId } = this.manifest;
        const finished = takeFitting(this.unwritten.all, MAX_HANDOVER_BYTES);
        const leftBytes = MAX_HANDOVER_BYTES - finished.reduce((sum, result) => sum + getResultBytes(result), 0);
        const states = [...this.progressByItem].map(([itemId, progress]) => progress.getState(itemId));
        const items = takeFitting(states, leftBytes);
        return { jobId, by, items, finished };
    }

    /**
     * @param after - Position to read from.
     * @param maxBytes - Limit of the page's output; the first result is included even if it is larger.
     * @returns A page of published results.
     */
    read(after: number, maxBytes: number): ResultsPage {
        return this.published.read(after, maxBytes);
    }

    /**
     * Waits until a result is published at a position, or none is to be expected any more.
     *
     * @param after - Position of the result.
     * @param waitMs - Longest wait.
     */
    async waitForResult(after: number, waitMs: number): Promise<void> {
        if (after >= this.published.count && !this.isFinished && !this.isStopped && waitMs > 0) {
            await this.published.waitForMore(waitMs);
        }
    }

    /**
     * Publishes results that another instance may have written, unless the store was read just before.
     *
     * @returns Whether all results in the store are published now; `false` if that can't be known.
     */
    async bringUpToDate(): Promise<boolean> {
        if (this.isLoadRecent(MAX_LOAD_AGE_MS)) {
            return true;
        }
        const isShared = this.loading !== undefined;
        this.loading ??= this.loadNewResults().finally(() => {
            this.loading = undefined;
        });
        const isLoaded = await this.loading && this.isLoadRecent(MAX_LOAD_DURATION_MS);
        // A read of the store that had begun before this call may have been too early.
        return isLoaded || (isShared && await this.loadNewResults() && this.isLoadRecent(MAX_LOAD_DURATION_MS));
    }

    private isLoadRecent(maxAgeMs: number): boolean {
        return this.isVerified && performance.now() - this.loadedAtMs <= maxAgeMs;
    }

    /**
     * Publishes results that another instance may have written to the store.
     *
     * @returns Whether the store has been read to the end of its results; `false` if it can't be read.
     */
    async loadNewResults(): Promise<boolean> {
        const { requiredVerifications } = this;
        for (;;) {
            const index = this.published.chunkCount;
            const startedAtMs = performance.now();
            const chunk = await this.deps.store.readChunk(this.manifest.jobId, index);
            if (chunk.isErr()) {
                return false;
            }
            if (chunk.value === undefined) {
                this.doneVerifications = requiredVerifications;
                this.loadedAtMs = Math.max(this.loadedAtMs, startedAtMs);
                return true;
            }
            if (index === this.published.chunkCount) {
                this.published.addChunk(chunk.value);
                if (this.isStarted && index !== this.sentIndex) {
                    this.hasMetOtherWriter = true;
                    this.expectOtherWriter();
                }
            }
        }
    }

    /** Another instance writes results of the job, or may still write the last ones since this one took it over. */
    private expectOtherWriter(): void {
        this.unconfirmedSinceMs = performance.now();
        this.otherWriterUntilMs = Infinity;
    }

    /**
     * Waits until the coordinator has confirmed, since another writer was last noticed, that this instance is the runner.
     * Once a confirmed runner has written a chunk, any other writer finds its index taken and needs a confirmation itself,
     * so the store has no results that the confirmed runner doesn't know.
     */
    private async waitForConfirmation(): Promise<void> {
        const startedAtMs = performance.now();
        while (this.unconfirmedSinceMs !== undefined && !this.isStopped) {
            const { unconfirmedSinceMs } = this;
            if (this.deps.isSoleRunner({ createdAt: undefined, reportedSinceMs: unconfirmedSinceMs })) {
                this.unconfirmedSinceMs = undefined;
                return;
            }
            if (performance.now() - startedAtMs > CONFIRMATION_TIMEOUT_MS) {
                if (this.hasMetOtherWriter) {
                    // The other one may be the runner that the coordinator knows; two would go on side by side.
                    this.stop("another instance writes its results");
                }
                return;
            }
            await sleep(CONFIRMATION_CHECK_MS, this.stopping.signal);
        }
    }

    private async runItem(item: JobItem): Promise<void> {
        if (this.isStopped || this.published.has(item.itemId)) {
            this.progressByItem.get(item.itemId)?.release();
            return;
        }
        const { jobId, organisation, host, submittedAt } = this.manifest;
        const job: ItemJob = { jobId, organisation, host, submittedAt };
        const itemRunDeps = this.deps.newItemRunDependencies(this.manifest, item);
        const progress = this.progressByItem.get(item.itemId) ?? new ItemProgress(this.deps.progressMemory);
        this.progressByItem.set(item.itemId, progress);
        const result = await new ItemRun(job, item, itemRunDeps, this.stopping.signal, progress).run();
        if (result !== undefined) {
            this.progressByItem.delete(item.itemId);
            this.unwritten.add(result);
            void this.writeResults();
        }
    }

    private async writeResults(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        while (this.unwritten.count > 0 && !this.isStopped) {
            const isWritable = this.hasAllResults() || this.planner.isInsideResult;
            await sleep(isWritable ? 0 : WRITE_DELAY_MS, this.stopping.signal);
            await this.waitForConfirmation();
            this.unwritten.dropWritten(itemId => this.published.has(itemId));
            if (this.unwritten.count === 0 || this.isStopped) {
                break;
            }
            const content = this.planner.getNext(this.unwritten.all);
            const { store } = this.deps;
            const { jobId } = this.manifest;
            const index = this.published.chunkCount;
            this.sentIndex = index;
            const outcome = await store.writeChunk(jobId, index, content, this.stopping.signal);
            this.sentIndex = undefined;
            if (outcome === undefined) {
                break;
            }
            if (outcome.kind === "rejected") {
                this.deps.logger.warn({ event: "results-rejected", job: jobId, chunk: index, reason: outcome.reason });
                await sleep(this.planner.isAtMinimum ? REJECTED_DELAY_MS : 0, this.stopping.signal);
                this.planner.recordRejected();
                continue;
            }
            this.recordWriter(outcome.kind === "written" && this.published.chunkCount <= index + 1);
            if (outcome.kind === "written") {
                this.planner.recordWritten(content);
            }
            const { results, piece } = outcome.kind === "written" ? content : outcome.chunk;
            this.deps.logger.info({
                event: "results-written",
                job: jobId,
                chunk: index,
                outcome: outcome.kind,
                items: results.map(({ itemId, state }) => `${itemId}:${state}`),
                piece: piece === undefined ? undefined : `${piece.itemId}:${piece.index + 1}/${piece.count}`,
            });
            if (index === this.published.chunkCount) {
                this.published.addChunk({ results, piece });
            }
            this.unwritten.dropWritten(itemId => this.published.has(itemId));
        }
        this.isWriting = false;
        await this.closeIfFinished();
    }

    private recordWriter(isLastChunkOwn: boolean): void {
        if (isLastChunkOwn) {
            this.unconfirmedSinceMs = undefined;
            // Any other writer has not seen this chunk, so its next write finds the index taken.
            this.otherWriterUntilMs = -Infinity;
            return;
        }
        this.hasMetOtherWriter = true;
        this.expectOtherWriter();
    }

    private hasAllResults(): boolean {
        return this.published.count + this.unwritten.count >= this.manifest.items.length;
    }

    private async closeIfFinished(): Promise<void> {
        while (this.isFinished && !this.isClosed && !this.isStopped) {
            const closed = await this.deps.store.close(this.manifest.jobId, false);
            this.isClosed = closed.isOk();
            if (this.isClosed) {
                const { jobId, items } = this.manifest;
                this.deps.logger.info({ event: "job-finished", job: jobId, items: items.length });
                this.deps.onEnded();
            }
            else {
                await sleep(RETRY_DELAY_MS, this.stopping.signal);
            }
        }
    }
}
