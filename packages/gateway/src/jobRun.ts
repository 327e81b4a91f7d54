import { type Logger, sleep } from "@heatherline/common";
import type { JobProgress } from "@heatherline/fleet";
import { setMaxListeners } from "node:events";
import type PQueue from "p-queue";
import { type ItemJob, ItemRun, type ItemRunDependencies, type ItemState } from "./itemRun";
import type { JobItem, JobManifest, JobStore } from "./jobStore";
import type { ItemResult, ResultsPage } from "./wireCodec";

/** Results that arrive within this time are written to the store in one chunk. */
const WRITE_DELAY_MS = 600;
/** Limit of the output in one chunk of results; a single larger result still makes a chunk. */
const MAX_CHUNK_BYTES = 500_000;
const RETRY_DELAY_MS = 300;

/** What a {@link JobRun} depends on. */
export interface JobRunDependencies {
    readonly store: JobStore;
    /** Limits the concurrent items of this instance. */
    readonly queue: PQueue;
    readonly newItemRunDependencies: (
        manifest: JobManifest,
        item: JobItem,
        getBody: () => Promise<Buffer | undefined>,
    ) => ItemRunDependencies;
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
    private readonly publishedResults: ItemResult[] = [];
    private readonly publishedIds = new Set<string>();
    private readonly tokensByItem: Map<string, number>;
    private unwrittenResults: ItemResult[] = [];
    private chunkCount = 0;
    private isWriting = false;
    private hasLoaded = false;
    private bodies: Map<string, string> | undefined;
    private readonly itemRuns = new Map<string, ItemRun>();
    private readonly handedOverStates: ReadonlyMap<string, ItemState>;
    private waiters: (() => void)[] = [];
    /** How often another instance may have written results, and up to which of these times the store has been read. */
    private requiredVerifications = 0;
    private doneVerifications = 0;
    private isClosed = false;

    /**
     * @param manifest - The job.
     * @param bodies - Bodies of its items in base64; read from the store if absent.
     * @param deps - What running the job depends on.
     * @param handover - Progress that another instance has made with the job.
     */
    constructor(
        readonly manifest: JobManifest,
        bodies: Map<string, string> | undefined,
        private readonly deps: JobRunDependencies,
        private readonly handover: JobHandover | undefined,
    ) {
        this.handedOverStates = new Map(handover?.items.map(state => [state.itemId, state]));
        this.unwrittenResults = [...handover?.finished ?? []];
        // Every running item adds a listener, so there is no fixed limit.
        setMaxListeners(0, this.stopping.signal);
        this.bodies = bodies;
        this.hasLoaded = bodies !== undefined;
        this.tokensByItem = new Map(manifest.items.map(({ itemId, tokens }) => [itemId, tokens]));
    }

    /** Whether the store has the results of all items. */
    get isFinished(): boolean {
        return this.publishedResults.length >= this.manifest.items.length;
    }

    /** Number of published results. */
    get publishedCount(): number {
        return this.publishedResults.length;
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

    /** Records that another instance may have run the job meanwhile, so that the store must be read once more. */
    requireVerification(): void {
        this.requiredVerifications += 1;
    }

    /** @returns The job's progress, including results that are not written yet. */
    getProgress(): JobProgress {
        let finishedTokens = 0;
        for (const { itemId } of [...this.publishedResults, ...this.unwrittenResults]) {
            finishedTokens += this.tokensByItem.get(itemId) ?? 0;
        }
        return { jobId: this.manifest.jobId, finishedTokens, handedOverBy: this.handover?.by ?? "" };
    }

    /** Starts the job, after reading the results that an earlier runner wrote. */
    async start(): Promise<void> {
        while (!this.hasLoaded && !this.isStopped) {
            this.hasLoaded = await this.load();
            if (!this.hasLoaded) {
                await sleep(RETRY_DELAY_MS, this.stopping.signal);
            }
        }
        const { route } = this.manifest;
        this.deps.logger.info({
            event: "job-started",
            job: this.manifest.jobId,
            route,
            items: this.manifest.items.length,
            listed: this.publishedIds.size,
        });
        this.unwrittenResults = this.unwrittenResults.filter(({ itemId }) => !this.publishedIds.has(itemId));
        const unwrittenIds = new Set(this.unwrittenResults.map(({ itemId }) => itemId));
        void this.writeResults();
        for (const item of this.manifest.items) {
            if (!this.publishedIds.has(item.itemId) && !unwrittenIds.has(item.itemId)) {
                void this.deps.queue.add(() => this.runItem(item), { priority: -this.manifest.submittedAt });
            }
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
            this.deps.logger.info({ event: "job-stopped", job: jobId, reason, listed: this.publishedResults.length });
            this.stopping.abort();
            this.wakeWaiters();
        }
    }

    /**
     * @param by - Id of this instance, which hands the job over.
     * @returns The job's progress beyond what the store has.
     */
    getHandover(by: string): JobHandover {
        const { jobId } = this.manifest;
        return {
            jobId,
            by,
            items: [...this.itemRuns.values()].map(run => run.getState()),
            finished: this.unwrittenResults,
        };
    }

    /**
     * @param after - Position to read from.
     * @param maxBytes - Limit of the page's output; the first result is included even if it is larger.
     * @returns A page of published results.
     */
    read(after: number, maxBytes: number): ResultsPage {
        return newPage(this.manifest.items.length, this.publishedResults, after, maxBytes);
    }

    /**
     * Waits until a result is published at a position, or none is to be expected any more.
     *
     * @param after - Position of the result.
     * @param waitMs - Longest wait.
     */
    async waitForResult(after: number, waitMs: number): Promise<void> {
        if (after < this.publishedResults.length || this.isFinished || this.isStopped || waitMs <= 0) {
            return;
        }
        const waiting = new AbortController();
        const wake = () => waiting.abort();
        this.waiters.push(wake);
        await sleep(waitMs, waiting.signal);
        this.waiters = this.waiters.filter(other => other !== wake);
    }

    /**
     * @param itemId - An item.
     * @returns Its body in base64, if it is in memory.
     */
    getBody(itemId: string): string | undefined {
        return this.bodies?.get(itemId);
    }

    private async load(): Promise<boolean> {
        const bodies = await this.deps.store.readBodies(this.manifest);
        if (bodies.isErr()) {
            return false;
        }
        this.bodies = bodies.value;
        return this.loadNewResults();
    }

    /**
     * Publishes results that another instance may have written to the store.
     *
     * @returns Whether all results in the store are published now; `false` if the store can't be read.
     */
    async loadNewResults(): Promise<boolean> {
        const { requiredVerifications } = this;
        for (;;) {
            const index = this.chunkCount;
            const chunk = await this.deps.store.readChunk(this.manifest.jobId, index);
            if (chunk.isErr()) {
                return false;
            }
            if (chunk.value === undefined) {
                this.doneVerifications = requiredVerifications;
                return true;
            }
            if (index === this.chunkCount) {
                this.publish(chunk.value.results);
            }
        }
    }

    private publish(results: readonly ItemResult[]): void {
        this.chunkCount += 1;
        for (const result of results) {
            if (!this.publishedIds.has(result.itemId)) {
                this.publishedIds.add(result.itemId);
                this.publishedResults.push(result);
            }
        }
        this.wakeWaiters();
    }

    private wakeWaiters(): void {
        for (const wake of this.waiters.splice(0)) {
            wake();
        }
    }

    private async runItem(item: JobItem): Promise<void> {
        if (this.isStopped || this.publishedIds.has(item.itemId)) {
            return;
        }
        const { jobId, organisation, host, submittedAt } = this.manifest;
        const job: ItemJob = { jobId, organisation, host, submittedAt };
        const getBody = async () => Buffer.from(this.bodies?.get(item.itemId) ?? "", "base64");
        const itemRunDeps = this.deps.newItemRunDependencies(this.manifest, item, getBody);
        const state = this.handedOverStates.get(item.itemId);
        const run = new ItemRun(job, item, itemRunDeps, this.stopping.signal, state);
        this.itemRuns.set(item.itemId, run);
        const result = await run.run();
        if (result !== undefined) {
            this.itemRuns.delete(item.itemId);
            this.unwrittenResults.push(result);
            void this.writeResults();
        }
    }

    private async writeResults(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        while (this.unwrittenResults.length > 0 && !this.isStopped) {
            await sleep(this.hasAllResults() ? 0 : WRITE_DELAY_MS, this.stopping.signal);
            const ownResults = takeUpToBytes(this.unwrittenResults, MAX_CHUNK_BYTES);
            const { store } = this.deps;
            const { jobId } = this.manifest;
            const index = this.chunkCount;
            const outcome = await store.writeChunk(jobId, index, ownResults, this.stopping.signal);
            if (outcome === undefined) {
                break;
            }
            const results = outcome.kind === "written" ? ownResults : outcome.chunk.results;
            this.deps.logger.info({
                event: "results-written",
                job: jobId,
                chunk: index,
                outcome: outcome.kind,
                items: results.map(({ itemId, state }) => `${itemId}:${state}`),
            });
            if (index === this.chunkCount) {
                this.publish(results);
            }
            this.unwrittenResults = this.unwrittenResults.filter(({ itemId }) => !this.publishedIds.has(itemId));
        }
        this.isWriting = false;
        await this.closeIfFinished();
    }

    private hasAllResults(): boolean {
        return this.publishedResults.length + this.unwrittenResults.length >= this.manifest.items.length;
    }

    private async closeIfFinished(): Promise<void> {
        while (this.isFinished && !this.isClosed && !this.isStopped) {
            const closed = await this.deps.store.close(this.manifest.jobId, false);
            this.isClosed = closed.isOk();
            if (this.isClosed) {
                const { jobId, items } = this.manifest;
                this.deps.logger.info({ event: "job-finished", job: jobId, items: items.length });
            }
            else {
                await sleep(RETRY_DELAY_MS, this.stopping.signal);
            }
        }
    }
}

/**
 * @param itemCount - Number of items of the job.
 * @param results - All results so far.
 * @param after - Position to read from.
 * @param maxBytes - Limit of the page's output; the first result is included even if it is larger.
 * @returns A page of results.
 */
export function newPage(
    itemCount: number,
    results: readonly ItemResult[],
    after: number,
    maxBytes: number,
): ResultsPage {
    const page = takeUpToBytes(results.slice(after), maxBytes);
    return { total: itemCount, next: after + page.length, results: page };
}

function takeUpToBytes(results: readonly ItemResult[], maxBytes: number): ItemResult[] {
    const taken: ItemResult[] = [];
    let sizeBytes = 0;
    for (const result of results) {
        sizeBytes += result.output.length;
        if (taken.length > 0 && sizeBytes > maxBytes) {
            break;
        }
        taken.push(result);
    }
    return taken;
}
