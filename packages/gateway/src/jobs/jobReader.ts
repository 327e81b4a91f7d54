import { rankByRendezvous } from "@heatherline/common";
import { type Coordinator, type CoordinatorLink, type MemberEntry, METHODS, type RpcCaller } from "@heatherline/fleet";
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import { newRefusal, type Refusal } from "../callers/refusal";
import { getJsonBytes } from "../objectSize";
import type { ItemResult, ResultsPage } from "../wireCodec";
import type { JobRun } from "./jobRun";
import type { JobRunner } from "./jobRunner";
import { getManifestBytes, type JobManifest, type JobStore, type ResultChunk } from "./jobStore";
import { newPage } from "./publishedResults";
import { ChunkReader, getResultBytes } from "./resultChunks";
import type { RunnerClaim } from "./runnerClaim";

/** Limit of the results in one page as JSON in UTF-8; the rest of what a page may take is left for its framing. */
const MAX_PAGE_BYTES = 900_000;
const FIND_RUNNER_TIMEOUT_MS = 300;
/** Added to the requested wait when another instance is asked for results. */
const REPLY_MARGIN_MS = 400;
/** Timeout of reads through the designated reader, which takes several calls to the store. */
const DESIGNATED_READER_TIMEOUT_MS = 600;
/** A designated reader that did not reply is not asked again for this long. */
const UNRESPONSIVE_READER_MS = 3_000;
/** How long the instance that runs a job is remembered before the coordinator is asked again. */
const RUNNER_CACHE_TTL_MS = 4_000;
/**
 * A read of the store that took longer does not show that there is no result now: results must be readable at all instances
 * soon after they were read at one.
 */
const MAX_EMPTY_READ_MS = 800;
/** Jobs whose runner is remembered. */
const MAX_KNOWN_RUNNERS = 500;
const MAX_CACHED_JOB_BYTES = 8_000_000;
const MAX_CACHED_CHUNK_BYTES = 8_000_000;

/** Asks another instance for results of a job. */
export interface ReadJobRequest {
    readonly jobId: string;
    /** Position to read from. */
    readonly after: number;
    /** Longest wait for a result at that position. */
    readonly waitMs: number;
}

/** The reply to a {@link ReadJobRequest}. */
export type ReadJobReply =
    | { readonly kind: "not-here"; }
    | { readonly kind: "page"; readonly organisation: string; readonly page: ResultsPage; };

/** What a {@link JobReader} depends on. */
export interface JobReaderDependencies {
    readonly runner: JobRunner;
    readonly store: JobStore;
    readonly link: CoordinatorLink;
    /** @returns The coordinator, while it is this instance. */
    readonly getCoordinator: () => Coordinator | undefined;
    readonly rpc: RpcCaller;
    readonly getMembers: () => readonly MemberEntry[];
    readonly self: MemberEntry;
    /** Whether it is certain that no other instance has been assigned a job of this one since the claim began. */
    readonly isSoleRunner: (claim: RunnerClaim) => boolean;
}

/** Reads results of jobs: from the instance that runs the job if there is one, otherwise from the store. */
export class JobReader {
    private readonly runners = new LRUCache<string, { readonly member: MemberEntry; readonly foundAtMs: number; }>({
        max: MAX_KNOWN_RUNNERS,
    });
    private readonly manifests = new LRUCache<string, JobManifest>({
        maxSize: MAX_CACHED_JOB_BYTES,
        sizeCalculation: manifest => getManifestBytes(manifest),
    });
    private readonly chunks = new LRUCache<string, ResultChunk>({
        maxSize: MAX_CACHED_CHUNK_BYTES,
        sizeCalculation: getSizeBytes,
    });
    private readonly unresponsiveUntilMs = new Map<string, number>();

    /**
     * @param deps - What the reader depends on.
     */
    constructor(private readonly deps: JobReaderDependencies) {}

    /**
     * Reads results, wherever they are.
     *
     * @param request - What to read.
     * @returns The results, with the job's organisation.
     */
    async read(request: ReadJobRequest): Promise<Result<Extract<ReadJobReply, { kind: "page"; }>, Refusal>> {
        const local = await this.readLocal(request);
        if (local.kind === "page") {
            return ok(local);
        }
        const remote = await this.readFromRunner(request) ?? await this.readFromDesignatedReader(request);
        return remote === undefined ? this.readFromStore(request) : ok(remote);
    }

    /**
     * Reads results from the store, as the designated reader of a job that no instance runs.
     *
     * @param request - What to read.
     * @returns The results as the store has them.
     */
    async readStored(request: ReadJobRequest): Promise<ReadJobReply> {
        const read = await this.readFromStore(request);
        return read.isOk() ? read.value : { kind: "not-here" };
    }

    /**
     * Reads results of a job that runs at this instance.
     *
     * @param request - What to read.
     * @returns The results, if the job runs here.
     */
    async readLocal({ jobId, after, waitMs }: ReadJobRequest): Promise<ReadJobReply> {
        const run = this.deps.runner.getReadableRun(jobId);
        if (run === undefined) {
            return { kind: "not-here" };
        }
        await run.waitForResult(after, waitMs);
        const isUpToDate = this.hasNewestResults(run, after) || await run.bringUpToDate();
        if (!run.isReadable || !isUpToDate) {
            return { kind: "not-here" };
        }
        return { kind: "page", organisation: run.manifest.organisation, page: run.read(after, MAX_PAGE_BYTES) };
    }

    /**
     * @param jobId - A job.
     * @returns The job, possibly from memory; what may change later is only its state and whether the caller cancelled it.
     */
    async readManifest(jobId: string): Promise<Result<JobManifest, Refusal>> {
        const known = this.deps.runner.getReadableRun(jobId)?.manifest ?? this.manifests.get(jobId);
        if (known !== undefined) {
            return ok(known);
        }
        const read = await this.deps.store.read(jobId);
        if (read.isErr()) {
            return err(newRefusal("store-unavailable", read.error.toString()));
        }
        if (read.value === undefined) {
            return err(newRefusal("not-found", "the job is not in the store"));
        }
        this.manifests.set(jobId, read.value.manifest);
        return ok(read.value.manifest);
    }

    /** Whether there is a published result at the position, or certainly none in the store either. */
    private hasNewestResults(run: JobRun, after: number): boolean {
        return run.isFinished || run.publishedCount > after
            || (run.publishedCount === after && !run.mayLackResults && this.deps.isSoleRunner(run.claim));
    }

    /**
     * Reads through the job's designated reader: one instance, chosen by rendezvous hashing, reads the job from the store
     * and caches its chunks, so that not every instance reads them.
     */
    private async readFromDesignatedReader(
        request: ReadJobRequest,
    ): Promise<Extract<ReadJobReply, { kind: "page"; }> | undefined> {
        const { self, getMembers, rpc } = this.deps;
        const members = getMembers();
        const [readerId] = rankByRendezvous(request.jobId, members.map(({ instanceId }) => instanceId));
        const reader = members.find(({ instanceId }) => instanceId === readerId);
        const isUnresponsive = performance.now() < (this.unresponsiveUntilMs.get(readerId ?? "") ?? 0);
        if (reader === undefined || reader.instanceId === self.instanceId || isUnresponsive) {
            return undefined;
        }
        const { host, rpcPort } = reader;
        const reply = await rpc.callAddress<ReadJobReply>(
            host,
            rpcPort,
            METHODS.readStored,
            request,
            DESIGNATED_READER_TIMEOUT_MS,
        );
        if (reply.isErr()) {
            this.unresponsiveUntilMs.set(reader.instanceId, performance.now() + UNRESPONSIVE_READER_MS);
            return undefined;
        }
        return reply.value.kind === "page" ? reply.value : undefined;
    }

    private async readFromRunner(
        request: ReadJobRequest,
    ): Promise<Extract<ReadJobReply, { kind: "page"; }> | undefined> {
        const member = await this.findRunner(request.jobId);
        if (member === undefined || member.instanceId === this.deps.self.instanceId) {
            return undefined;
        }
        const timeoutMs = request.waitMs + REPLY_MARGIN_MS;
        const reply = await this.deps.rpc.callAddress<ReadJobReply>(
            member.host,
            member.rpcPort,
            METHODS.readJob,
            request,
            timeoutMs,
        );
        if (reply.isOk() && reply.value.kind === "page") {
            return reply.value;
        }
        this.runners.delete(request.jobId);
        return undefined;
    }

    private async findRunner(jobId: string): Promise<MemberEntry | undefined> {
        const cached = this.runners.get(jobId);
        if (cached !== undefined && performance.now() - cached.foundAtMs < RUNNER_CACHE_TTL_MS) {
            return cached.member;
        }
        const localCoordinator = this.deps.getCoordinator();
        const instanceId = localCoordinator === undefined
            ? await this.deps.link.call<string | undefined>(METHODS.findRunner, { jobId }, FIND_RUNNER_TIMEOUT_MS)
            : localCoordinator.jobs.findRunner(jobId);
        const member = this.deps.getMembers().find(other => other.instanceId === instanceId);
        if (member !== undefined) {
            this.runners.set(jobId, { member, foundAtMs: performance.now() });
        }
        return member;
    }

    private async readFromStore(
        { jobId, after }: ReadJobRequest,
    ): Promise<Result<Extract<ReadJobReply, { kind: "page"; }>, Refusal>> {
        const manifest = await this.readManifest(jobId);
        if (manifest.isErr()) {
            return err(manifest.error);
        }
        const results: ItemResult[] = [];
        const chunks = new ChunkReader();
        let startedAtMs = performance.now();
        for (let index = 0; results.length < manifest.value.items.length; index += 1) {
            startedAtMs = performance.now();
            const chunk = await this.readChunk(jobId, index);
            if (chunk.isErr()) {
                return err(chunk.error);
            }
            if (chunk.value === undefined) {
                break;
            }
            const seenIds = new Set(results.map(({ itemId }) => itemId));
            results.push(...chunks.read(chunk.value).filter(({ itemId }) => !seenIds.has(itemId)));
        }
        const page = newPage(manifest.value.items.length, results, after, MAX_PAGE_BYTES);
        if (page.results.length === 0 && performance.now() - startedAtMs > MAX_EMPTY_READ_MS) {
            return err(newRefusal("store-unavailable", "the store took too long to show that there is no result"));
        }
        return ok({ kind: "page", organisation: manifest.value.organisation, page });
    }

    /** Caches chunks, which never change once written; a missing chunk is not cached, since it may be written any time. */
    private async readChunk(jobId: string, index: number): Promise<Result<ResultChunk | undefined, Refusal>> {
        const key = `${jobId}.${index}`;
        const cached = this.chunks.get(key);
        if (cached !== undefined) {
            return ok(cached);
        }
        const read = await this.deps.store.readChunk(jobId, index);
        if (read.isErr()) {
            return err(newRefusal("store-unavailable", read.error.toString()));
        }
        if (read.value !== undefined) {
            this.chunks.set(key, read.value);
        }
        return ok(read.value);
    }
}

/** Size of a chunk's results; at least 1, as the cache requires positive sizes. */
function getSizeBytes({ results, piece }: ResultChunk): number {
    const pieceBytes = piece === undefined ? 1 : getJsonBytes(piece.text);
    return results.reduce((sum, result) => sum + getResultBytes(result), pieceBytes);
}
