import type { ObjectStore } from "@heatherline/store";
import { putWithReadBack } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import { BatchError } from "./errors";
import { getManifestPath, getResultPath } from "./paths";
import type { ChunkResult, ItemResult, JobManifest, JobStatus, ResultPart } from "./types";

/** A page of results. */
export interface ResultPage {
    readonly results: readonly ItemResult[];
    /** Chunk at which the next page starts; absent if the page has the last chunk, or no results at all yet. */
    readonly nextChunk?: number;
}

type ChunkCounts = Pick<ChunkResult, "completed" | "failed">;

const MAX_CACHED_COUNTS = 50_000;

/** Reads jobs and their results from the store, on any instance, while the jobs run and afterwards. */
export class JobReader {
    private readonly cachedCounts = new Map<string, ChunkCounts>();

    /**
     * @param store - The platform's store.
     */
    constructor(private readonly store: ObjectStore) {}

    /**
     * @param organisation - Organisation that the job must belong to.
     * @param jobId - ID of the job.
     * @returns The job's manifest with its version in the store.
     */
    async getManifest(
        organisation: string,
        jobId: string,
    ): Promise<Result<{ manifest: JobManifest; version: number; }, BatchError>> {
        const read = await this.store.get(getManifestPath(jobId));
        if (read.isErr()) {
            return err(new BatchError("unavailable", "the store is unavailable", read.error));
        }
        const manifest = read.value?.value as unknown as JobManifest | undefined;
        if (read.value === undefined || manifest?.organisation !== organisation) {
            return err(new BatchError("not-found", `there is no job ${jobId}`));
        }
        return ok({ manifest, version: read.value.version });
    }

    /**
     * @param organisation - Organisation that the job must belong to.
     * @param jobId - ID of the job.
     * @returns The progress of the job.
     */
    async getStatus(organisation: string, jobId: string): Promise<Result<JobStatus, BatchError>> {
        const found = await this.getManifest(organisation, jobId);
        if (found.isErr()) {
            return err(found.error);
        }
        const { manifest } = found.value;
        let completed = 0;
        let failed = 0;
        for (let index = 0; index < manifest.chunkCount; index += 1) {
            const counts = await this.readCounts(jobId, index);
            if (counts.isErr()) {
                return err(counts.error);
            }
            completed += counts.value?.completed ?? 0;
            failed += counts.value?.failed ?? 0;
        }
        const { state, createdAt, dueAt, itemCount, service } = manifest;
        const pending = itemCount - completed - failed;
        return ok({ jobId, organisation, service, state, createdAt, dueAt, itemCount, completed, failed, pending });
    }

    /**
     * @param organisation - Organisation that the job must belong to.
     * @param jobId - ID of the job.
     * @param fromChunk - Index of the chunk to start at.
     * @returns The results of the first chunk from there on that has results.
     */
    async getResults(organisation: string, jobId: string, fromChunk: number): Promise<Result<ResultPage, BatchError>> {
        const found = await this.getManifest(organisation, jobId);
        if (found.isErr()) {
            return err(found.error);
        }
        const { chunkCount } = found.value.manifest;
        for (let index = fromChunk; index < chunkCount; index += 1) {
            const chunk = await this.readChunk(jobId, index);
            if (chunk.isErr()) {
                return err(chunk.error);
            }
            if (chunk.value !== undefined) {
                return ok({ results: chunk.value.results, nextChunk: index + 1 < chunkCount ? index + 1 : undefined });
            }
        }
        return ok({ results: [] });
    }

    /**
     * Cancels a job. Results that are stored already stay readable.
     *
     * @param organisation - Organisation that the job must belong to.
     * @param jobId - ID of the job.
     * @returns The manifest afterwards; a job that is done stays done.
     */
    async cancel(organisation: string, jobId: string): Promise<Result<JobManifest, BatchError>> {
        for (;;) {
            const found = await this.getManifest(organisation, jobId);
            if (found.isErr()) {
                return err(found.error);
            }
            const { manifest, version } = found.value;
            if (manifest.state !== "open") {
                return ok(manifest);
            }
            const cancelled: JobManifest = { ...manifest, state: "cancelled" };
            const path = getManifestPath(jobId);
            const current = { path, version, value: { ...manifest } };
            const written = await putWithReadBack(this.store, path, { ...cancelled }, current);
            if (written.isOk()) {
                return ok(cancelled);
            }
            if (written.error.kind !== "conflict") {
                return err(
                    new BatchError(
                        "unavailable",
                        "it is unknown whether the job was cancelled",
                        written.error,
                    ),
                );
            }
        }
    }

    /** Reads the counts of a chunk's results. Results are written once, so their counts can be cached. */
    private async readCounts(jobId: string, index: number): Promise<Result<ChunkCounts | undefined, BatchError>> {
        const path = getResultPath(jobId, index);
        const known = this.cachedCounts.get(path);
        if (known !== undefined) {
            return ok(known);
        }
        const chunk = await this.readChunk(jobId, index);
        return chunk.map(found => {
            if (found === undefined) {
                return undefined;
            }
            if (this.cachedCounts.size >= MAX_CACHED_COUNTS) {
                this.cachedCounts.clear();
            }
            const counts = { completed: found.completed, failed: found.failed };
            this.cachedCounts.set(path, counts);
            return counts;
        });
    }

    private async readChunk(jobId: string, index: number): Promise<Result<ChunkResult | undefined, BatchError>> {
        const read = await this.store.get(getResultPath(jobId, index));
        if (read.isErr()) {
            return err(new BatchError("unavailable", "the store is unavailable", read.error));
        }
        const chunk = read.value?.value as unknown as ChunkResult | undefined;
        const results: ItemResult[] = [...chunk?.results ?? []];
        for (const path of chunk?.partPaths ?? []) {
            const part = await this.store.get(path);
            if (part.isErr() || part.value === undefined) {
                return err(new BatchError("unavailable", "the store is unavailable", part.isErr() ? part.error : path));
            }
            results.push(...(part.value.value as unknown as ResultPart).results);
        }
        return ok(chunk === undefined ? undefined : { ...chunk, results });
    }
}
