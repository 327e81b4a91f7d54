import { describeError, invariant, type Logger, monotonicMs, newId, sleep, startLoop } from "@heatherline/common";
import { type ObjectStore, putWithReadBack } from "@heatherline/store";
import { setMaxListeners } from "node:events";
import PQueue from "p-queue";
import { type ItemExecutor, runItem } from "./itemRunner";
import {
    getChunkPath,
    getIntentPath,
    getManifestPath,
    getOpenMarkerPath,
    getResultPartPath,
    getResultPath,
    OPEN_JOBS_PREFIX,
} from "./paths";
import type { BatchItem, Chunk, ChunkResult, ItemResult, JobManifest, ResultPart } from "./types";

/** Tells which instance runs a job. */
export interface JobPlacement {
    /**
     * @param jobId - ID of a job.
     * @returns Whether this instance has to run it now.
     */
    isRunner(jobId: string): boolean;
}

const SCAN_INTERVAL_MS = 1_500;
const MANIFEST_CHECK_INTERVAL_MS = 1_000;
/** No item is started while the manifest was last read longer ago than this: the job may have been cancelled. */
const MAX_MANIFEST_AGE_MS = 10_000;
const STORE_RETRY_MS = 500;
const MAX_CONCURRENT_ITEMS = 64;
/** Maximum number of jobs of one organisation that this instance runs at the same time. */
const MAX_JOBS_PER_ORGANISATION = 2;
/**
 * Time after which a runner starts no further items of a chunk of a non-idempotent job, in milliseconds. Another runner
 * waits twice as long before it fails the chunk's items.
 */
const INTENT_TTL_MS = 120_000;
/** Limit of the results in one object, where those of a chunk don't fit into one, as JSON in UTF-8. */
const MAX_PART_BYTES = 500_000;

/**
 * How creating an object ended.
 *
 * - `superseded`: another writer had created it.
 * - `rejected`: the store doesn't accept the object, however often it is written.
 * - `stopped`: this instance stops, and it is not known whether the object was created.
 */
type CreateOutcome = "written" | "superseded" | "rejected" | "stopped";

interface ActiveJob {
    /** Aborted when this instance must no longer run the job. */
    readonly stopController: AbortController;
    /** Aborted when the job is cancelled. */
    readonly cancelController: AbortController;
    manifest: JobManifest;
    /** Version of the manifest in the store. */
    version: number;
    manifestReadAtMs: number;
}

/** Counters of a job runner since the process started. */
export interface RunnerCounts {
    itemsFinished: number;
    chunksWritten: number;
    /** Chunks whose results another runner had written first. */
    chunksSuperseded: number;
}

/**
 * Runs the jobs that are placed on this instance, chunk by chunk. The results of a chunk are written only if there are
 * none yet, so that an item has one result even if a failure makes it run twice. Before it runs items of a
 * non-idempotent job, a runner writes an intent record, so that no other runner runs them again.
 */
export class JobRunner {
    readonly counts: RunnerCounts = { itemsFinished: 0, chunksWritten: 0, chunksSuperseded: 0 };
    private readonly active = new Map<string, ActiveJob>();
    private readonly runnerId = newId();
    private stopScan: (() => Promise<void>) | undefined;
    private isStopping = false;

    /**
     * @param store - The platform's store.
     * @param executor - Makes single attempts to run items.
     * @param placement - Tells which instance runs a job.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly executor: ItemExecutor,
        private readonly placement: JobPlacement,
        private readonly logger: Logger,
    ) {}

    /** Starts scanning for open jobs. */
    start(): void {
        this.stopScan = startLoop(() => SCAN_INTERVAL_MS, () => this.scan());
    }

    /** Stops all jobs; another instance continues them. */
    stop(): void {
        this.isStopping = true;
        void this.stopScan?.();
        for (const job of this.active.values()) {
            job.stopController.abort();
        }
    }

    /** Scans for open jobs at once. Called when a job has been submitted. */
    wake(): void {
        void this.scan();
    }

    /** @returns Number of jobs that this instance runs. */
    countActive(): number {
        return this.active.size;
    }

    private async scan(): Promise<void> {
        const listing = await this.store.list(OPEN_JOBS_PREFIX);
        if (listing.isErr() || this.isStopping) {
            return;
        }
        const placed = listing.value.objects
            .map(({ path }) => path.slice(OPEN_JOBS_PREFIX.length))
            .filter(jobId => !this.active.has(jobId) && this.placement.isRunner(jobId));
        const found: { manifest: JobManifest; version: number; }[] = [];
        for (const jobId of placed) {
            const read = await this.store.get(getManifestPath(jobId));
            if (read.isOk() && read.value !== undefined) {
                found.push({ manifest: read.value.value as unknown as JobManifest, version: read.value.version });
            }
        }
        found.sort((left, right) => left.manifest.dueAt < right.manifest.dueAt ? -1 : 1);
        for (const { manifest, version } of found) {
            this.startJob(manifest, version);
        }
    }

    private startJob(manifest: JobManifest, version: number): void {
        const { jobId, organisation } = manifest;
        const others = [...this.active.values()].filter(job => job.manifest.organisation === organisation);
        if (this.active.has(jobId) || this.isStopping || others.length >= MAX_JOBS_PER_ORGANISATION) {
            return;
        }
        const job: ActiveJob = {
            stopController: new AbortController(),
            cancelController: new AbortController(),
            manifest,
            version,
            manifestReadAtMs: monotonicMs(),
        };
        // Each running item adds a listener to these signals.
        setMaxListeners(0, job.stopController.signal, job.cancelController.signal);
        this.active.set(jobId, job);
        this.logger.info({ jobId, organisation, itemCount: manifest.itemCount }, "job started");
        const stopRefresh = startLoop(() => MANIFEST_CHECK_INTERVAL_MS, () => this.refreshManifest(job));
        void this.run(job)
            .catch((error: unknown) => this.logger.error({ jobId, error: describeError(error) }, "job run failed"))
            .finally(() => {
                void stopRefresh();
                this.active.delete(jobId);
            });
    }

    /** Reads the manifest again, and stops the job if it is cancelled, deleted or placed on another instance. */
    private async refreshManifest(job: ActiveJob): Promise<void> {
        if (!this.placement.isRunner(job.manifest.jobId)) {
            job.stopController.abort();
            return;
        }
        const read = await this.store.get(getManifestPath(job.manifest.jobId));
        if (read.isErr()) {
            return;
        }
        if (read.value === undefined) {
            job.stopController.abort();
            return;
        }
        job.manifest = read.value.value as unknown as JobManifest;
        job.version = read.value.version;
        job.manifestReadAtMs = monotonicMs();
        if (job.manifest.state === "cancelled") {
            job.cancelController.abort();
            job.stopController.abort();
        }
    }

    private async run(job: ActiveJob): Promise<void> {
        for (let index = 0; index < job.manifest.chunkCount; index += 1) {
            const hasResults = job.manifest.state === "open" ? await this.runChunk(job, index) : false;
            if (!hasResults) {
                break;
            }
        }
        if (job.manifest.state !== "open") {
            await this.deleteOpenMarker(job.manifest.jobId);
            return;
        }
        if (!job.stopController.signal.aborted) {
            await this.finish(job);
        }
    }

    /** @returns Whether the chunk has results in the store afterwards. */
    private async runChunk(job: ActiveJob, index: number): Promise<boolean> {
        const { jobId, uploadId } = job.manifest;
        const result = await this.readWithRetry(getResultPath(jobId, index), job.stopController.signal);
        if (result.isAborted || result.value !== undefined) {
            return result.value !== undefined;
        }
        const chunk = await this.readWithRetry(getChunkPath(jobId, uploadId, index), job.stopController.signal);
        if (chunk.value === undefined) {
            return false;
        }
        const { items } = chunk.value as unknown as Chunk;
        if (!job.manifest.isIdempotent) {
            const intent = await this.declareIntent(job, index);
            if (intent !== "declared") {
                return intent === "foreign" && await this.failForeignChunk(job, index, items);
            }
        }
        const results = await this.runItems(job, items);
        if (job.stopController.signal.aborted && job.manifest.state !== "cancelled" && job.manifest.isIdempotent) {
            return false;
        }
        return this.writeResults(job, index, results);
    }

    private async runItems(job: ActiveJob, items: readonly BatchItem[]): Promise<ItemResult[]> {
        const queue = new PQueue({ concurrency: MAX_CONCURRENT_ITEMS });
        // Items of a non-idempotent job continue here even if the job moves: no other instance may run them.
        const { signal } = job.manifest.isIdempotent ? job.stopController : job.cancelController;
        const giveUpAtMs = job.manifest.isIdempotent ? Infinity : monotonicMs() + INTENT_TTL_MS;
        return Promise.all(items.map(item =>
            queue.add(async () => {
                await this.waitForFreshManifest(job);
                if (monotonicMs() > giveUpAtMs) {
                    return newTimedOutResult(item);
                }
                const result = await runItem(this.executor, item, job.manifest, signal);
                this.counts.itemsFinished += 1;
                return result;
            })
        ));
    }

    private async waitForFreshManifest(job: ActiveJob): Promise<void> {
        while (monotonicMs() - job.manifestReadAtMs > MAX_MANIFEST_AGE_MS && !job.stopController.signal.aborted) {
            await sleep(MANIFEST_CHECK_INTERVAL_MS, job.stopController.signal);
        }
    }

    private async writeResults(job: ActiveJob, index: number, results: readonly ItemResult[]): Promise<boolean> {
        const { jobId } = job.manifest;
        const ids = new Set(results.map(({ customId }) => customId));
        invariant("one-result-per-item", ids.size === results.length, () => `${jobId} chunk ${index}`);
        const path = getResultPath(jobId, index);
        const outcome = await this.create(path, this.newChunkResult(results));
        if (outcome === "rejected") {
            this.logger.warn({ path }, "store rejected chunk results; writing them in parts");
            return this.writeResultsInParts(job, index, results);
        }
        return this.recordChunk(outcome);
    }

    /** The object of the chunk is written last and names the parts, so that readers find all of them or none. */
    private async writeResultsInParts(job: ActiveJob, index: number, results: readonly ItemResult[]): Promise<boolean> {
        const { jobId } = job.manifest;
        const storable = results.map(result => isStorable(result) ? result : toFailedResultWithoutBody(result));
        const writeId = newId();
        const partPaths: string[] = [];
        for (const part of splitResults(storable)) {
            const path = getResultPartPath(jobId, index, writeId, partPaths.length);
            const outcome = await this.create(path, { results: part });
            if (outcome === "rejected" || outcome === "stopped") {
                this.logger.error({ path, outcome }, "part of chunk results not written");
                return false;
            }
            partPaths.push(path);
        }
        const chunk = { ...this.newChunkResult(storable), results: [], partPaths };
        return this.recordChunk(await this.create(getResultPath(jobId, index), chunk));
    }

    private newChunkResult(results: readonly ItemResult[]): ChunkResult {
        const completed = results.filter(({ outcome }) => outcome === "completed").length;
        return { results, completed, failed: results.length - completed, runner: this.runnerId };
    }

    /** Creates an object; retries until the store has it, rejects it for good, or this instance stops. */
    private async create(path: string, value: ChunkResult | ResultPart): Promise<CreateOutcome> {
        while (!this.isStopping) {
            const written = await putWithReadBack(this.store, path, { ...value }, undefined);
            if (written.isOk()) {
                return "written";
            }
            if (written.error.kind === "conflict") {
                return "superseded";
            }
            if (written.error.kind === "rejected") {
                return "rejected";
            }
            await sleep(STORE_RETRY_MS);
        }
        return "stopped";
    }

    private recordChunk(outcome: CreateOutcome): boolean {
        this.counts.chunksWritten += outcome === "written" ? 1 : 0;
        this.counts.chunksSuperseded += outcome === "superseded" ? 1 : 0;
        return outcome === "written" || outcome === "superseded";
    }

    /**
     * Writes the intent record of a chunk, before items that must not run twice are run.
     *
     * @returns `declared`: the items may be run. `foreign`: another run has declared its intent already. `unknown`: the
     * outcome of the write is unknown, or the store is unavailable.
     */
    private async declareIntent(job: ActiveJob, index: number): Promise<"declared" | "foreign" | "unknown"> {
        const path = getIntentPath(job.manifest.jobId, index);
        const written = await putWithReadBack(this.store, path, { runner: this.runnerId }, undefined);
        if (written.isOk()) {
            return "declared";
        }
        return written.error.kind === "conflict" ? "foreign" : "unknown";
    }

    /**
     * Waits for the results of the runner that declared the intent. When it must have given up, writes failed results
     * for all items of the chunk.
     */
    private async failForeignChunk(job: ActiveJob, index: number, items: readonly BatchItem[]): Promise<boolean> {
        const untilMs = monotonicMs() + INTENT_TTL_MS * 2;
        while (monotonicMs() < untilMs) {
            const result = await this.readWithRetry(
                getResultPath(job.manifest.jobId, index),
                job.stopController.signal,
            );
            if (result.value !== undefined || result.isAborted) {
                return result.value !== undefined;
            }
            await sleep(MANIFEST_CHECK_INTERVAL_MS, job.stopController.signal);
        }
        const reason = "the instance that ran the item was lost; the item may have run and is not retried";
        const results = items.map(({ customId }): ItemResult => ({ customId, outcome: "failed", reason, attempts: 1 }));
        return this.writeResults(job, index, results);
    }

    private async finish(job: ActiveJob): Promise<void> {
        const path = getManifestPath(job.manifest.jobId);
        const current = { path, version: job.version, value: { ...job.manifest } };
        const written = await putWithReadBack(this.store, path, { ...job.manifest, state: "done" }, current);
        if (written.isOk()) {
            await this.deleteOpenMarker(job.manifest.jobId);
            this.logger.info({ jobId: job.manifest.jobId }, "job done");
        }
        // After a conflict or while the store is unavailable, the next scan finds the job again and finishes it.
    }

    private async deleteOpenMarker(jobId: string): Promise<void> {
        const marker = await this.store.get(getOpenMarkerPath(jobId));
        if (marker.isOk() && marker.value !== undefined) {
            await this.store.delete(marker.value.path, marker.value.version);
        }
    }

    private async readWithRetry(
        path: string,
        signal: AbortSignal,
    ): Promise<{ value: Record<string, unknown> | undefined; isAborted: boolean; }> {
        while (!signal.aborted) {
            const read = await this.store.get(path);
            if (read.isOk()) {
                return { value: read.value?.value, isAborted: false };
            }
            await sleep(STORE_RETRY_MS, signal);
        }
        return { value: undefined, isAborted: true };
    }
}

function newTimedOutResult({ customId }: BatchItem): ItemResult {
    return { customId, outcome: "failed", reason: "the item was not started in time", attempts: 0 };
}

function isStorable(result: ItemResult): boolean {
    return getJsonBytes(result) <= MAX_PART_BYTES;
}

/** Results of which none is larger than a part, in parts. */
function splitResults(results: readonly ItemResult[]): ItemResult[][] {
    const parts: ItemResult[][] = [];
    let leftBytes = 0;
    for (const result of results) {
        leftBytes -= getJsonBytes(result);
        if (leftBytes < 0) {
            parts.push([]);
            leftBytes = MAX_PART_BYTES - getJsonBytes(result);
        }
        parts.at(-1)?.push(result);
    }
    return parts;
}

function getJsonBytes(result: ItemResult): number {
    return Buffer.byteLength(JSON.stringify(result)) + 1;
}

function toFailedResultWithoutBody(result: ItemResult): ItemResult {
    const { body: unusedBody, ...rest } = result;
    return { ...rest, outcome: "failed", reason: "the response is too large to store" };
}
