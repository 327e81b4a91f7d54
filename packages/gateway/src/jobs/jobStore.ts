import { type Logger, newId, sleep } from "@heatherline/common";
import { decodeJobSummary, JOB_KIND, type JobSummary } from "@heatherline/fleet";
import { MAX_VALUE_BYTES, type ObjectStore, type StoredObject, StoreError } from "@heatherline/store";
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { SubmittedItem } from "../wireCodec";
import type { BodyPart } from "./jobBodies";
import type { ChunkContent } from "./resultChunks";

const BODY_KIND = "heatherline-job-bodies";
const RESULT_KIND = "heatherline-job-results";
/** Most objects of bodies beyond one for each item, since large bodies are split. */
const MAX_EXTRA_PARTS = 1_000;
/** Left of the size of an object for what the store adds to it, and for what changes when a job is closed. */
const OBJECT_MARGIN_BYTES = 4_096;
/** A create without a response is sent a second time after this delay; it is conditional, so it takes effect once. */
const HEDGE_DELAY_MS = 350;
const RETRY_DELAY_MS = 120;
/** Each failure doubles the delay before the next try, up to this one. */
const MAX_RETRY_DELAY_MS = 1_000;
const MAX_CLOSE_ATTEMPTS = 6;
/** Memory for jobs created by this instance whose object version is remembered. */
const MAX_CREATED_JOB_BYTES = 8_000_000;

/** A batch item without its body. */
export type JobItem = Omit<SubmittedItem, "bodyBase64">;

/** A job as stored, without bodies and results. */
export interface JobManifest extends JobSummary {
    readonly host: string;
    /** Path that the job was submitted to; absent from jobs of earlier releases. */
    readonly path?: string | undefined;
    readonly items: readonly JobItem[];
    /** Number of objects that hold the bodies. */
    readonly bodyParts: number;
    /**
     * For each item, the index of the object with the beginning of its body; absent from jobs of earlier releases, which
     * have each body in one object.
     */
    readonly firstParts?: readonly number[] | undefined;
    /**
     * Whether the objects of bodies hold the paths and headers of the items, too, which are empty here then; absent where
     * they are short, and from jobs of earlier releases.
     */
    readonly areContentsInParts?: boolean | undefined;
    /** Whether the caller cancelled the job; results written before stay readable. */
    readonly isEndedByCaller: boolean;
}

/** A chunk of a job's results; never changes once written. */
export interface ResultChunk extends ChunkContent {
    /** Distinguishes this writer's chunk from another writer's after a lost response. */
    readonly writeId: string;
}

/**
 * How writing a chunk of results ended.
 *
 * - `taken`: another writer had written a chunk with this index.
 * - `rejected`: the store doesn't accept the chunk, however often it is written.
 */
export type WriteChunkOutcome =
    | { readonly kind: "written"; }
    | { readonly kind: "rejected"; readonly reason: string; }
    | { readonly kind: "taken"; readonly chunk: ResultChunk; };

/** Whether a job was created or existed already. */
export type CreateJobOutcome = "created" | "existed";

/** Keeps batch jobs in the platform's store. Bodies and results are written once and never change. */
export class JobStore {
    /** Jobs that this instance created and has not closed, with their versions, so that closing needs no read. */
    private readonly createdJobs = new LRUCache<string, { readonly manifest: JobManifest; readonly version: number; }>({
        maxSize: MAX_CREATED_JOB_BYTES,
        sizeCalculation: ({ manifest }) => getManifestBytes(manifest),
    });

    /**
     * @param store - The store.
     * @param logger - Log of the instance.
     * @param maxObjectBytes - Limit of the size of an object that the store accepts.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly logger: Logger,
        readonly maxObjectBytes = MAX_VALUE_BYTES,
    ) {}

    /**
     * Creates a job; an existing one is left unchanged.
     *
     * @param manifest - The job.
     * @param parts - Bodies of its items, as the objects hold them.
     * @param untilMs - Monotonic time after which no retry starts.
     * @returns Whether this call created the job or it existed; an `unknown` error if a write may still take effect.
     */
    async create(
        manifest: JobManifest,
        parts: readonly BodyPart[],
        untilMs: number,
    ): Promise<Result<CreateJobOutcome, StoreError>> {
        for (const [index, part] of parts.entries()) {
            const written = await this.createWithRetry(
                `${BODY_KIND}/${manifest.jobId}.${index}`,
                manifest.areContentsInParts === true ? { contents: part } : { bodies: part },
                untilMs,
            );
            if (written.isErr()) {
                // A job exists only once its manifest does, so the outcome is certain even if that of the bodies is not.
                return err(new StoreError("unavailable", written.error.message, written.error));
            }
        }
        const created = await this.createWithRetry(`${JOB_KIND}/${manifest.jobId}`, { ...manifest }, untilMs);
        return created.map(version => {
            if (version === undefined) {
                return "existed";
            }
            this.createdJobs.set(manifest.jobId, { manifest, version });
            return "created";
        });
    }

    /**
     * @param jobId - A job.
     * @returns The job with its version, or `undefined` if it doesn't exist.
     */
    async read(jobId: string): Promise<Result<{ manifest: JobManifest; version: number; } | undefined, StoreError>> {
        const read = await this.store.get(`${JOB_KIND}/${jobId}`);
        return read.map(object => {
            const manifest = object === undefined ? undefined : toManifest(object);
            return manifest === undefined ? undefined : { manifest, version: object?.version ?? 0 };
        });
    }

    /** @returns All jobs, read from the store. */
    async list(): Promise<Result<JobManifest[], StoreError>> {
        const listing = await this.store.list(JOB_KIND);
        return listing.map(({ objects }) => objects.flatMap(object => toManifest(object) ?? []));
    }

    /**
     * @param jobId - A job.
     * @param index - Index of an object of its bodies, from 0.
     * @returns The bodies or contents in it; none if there is no such object.
     */
    async readBodyPart(jobId: string, index: number): Promise<Result<BodyPart, StoreError>> {
        const read = await this.store.get(`${BODY_KIND}/${jobId}.${index}`);
        return read.map(object => (object?.value.bodies ?? object?.value.contents ?? {}) as BodyPart);
    }

    /**
     * @param jobId - A job.
     * @param index - Index of the chunk, from 0.
     * @returns The chunk, or `undefined` if it is not written yet.
     */
    async readChunk(jobId: string, index: number): Promise<Result<ResultChunk | undefined, StoreError>> {
        const read = await this.store.get(`${RESULT_KIND}/${jobId}.${index}`);
        return read.map(object => object?.value as ResultChunk | undefined);
    }

    /**
     * Writes a chunk of results; retries until it is certain which chunk the store has, or that it rejects this one.
     *
     * @param jobId - The job.
     * @param index - Index of the chunk, from 0.
     * @param content - The chunk's content.
     * @param signal - Stops the retries.
     * @returns Whether this chunk was written; `undefined` if stopped before that is known.
     */
    async writeChunk(
        jobId: string,
        index: number,
        content: ChunkContent,
        signal: AbortSignal,
    ): Promise<WriteChunkOutcome | undefined> {
        const path = `${RESULT_KIND}/${jobId}.${index}`;
        const chunk: ResultChunk = { ...content, writeId: newId() };
        for (let failures = 1; !signal.aborted; failures += 1) {
            const written = await this.createHedged(path, { ...chunk }, HEDGE_DELAY_MS);
            if (written.isOk()) {
                return { kind: "written" };
            }
            if (written.error.kind === "rejected") {
                return { kind: "rejected", reason: written.error.message };
            }
            if (written.error.kind === "conflict") {
                const existing = await this.readChunk(jobId, index);
                if (existing.isOk() && existing.value !== undefined) {
                    const isOwn = existing.value.writeId === chunk.writeId;
                    return isOwn ? { kind: "written" } : { kind: "taken", chunk: existing.value };
                }
            }
            await sleep(getRetryDelayMs(failures), signal);
        }
        return undefined;
    }

    /**
     * Closes a job.
     *
     * @param jobId - The job.
     * @param isEndedByCaller - Whether its caller cancelled it; otherwise all items are finished.
     * @returns `true` once the job is closed; `false` if it doesn't exist.
     */
    async close(jobId: string, isEndedByCaller: boolean): Promise<Result<boolean, StoreError>> {
        const created = this.createdJobs.get(jobId);
        if (created !== undefined) {
            this.createdJobs.delete(jobId);
            const closed = { ...created.manifest, state: "ended", isEndedByCaller };
            const written = await this.store.put(`${JOB_KIND}/${jobId}`, closed, created.version);
            if (written.isOk()) {
                return ok(true);
            }
        }
        let lastError = new StoreError("unknown", `${jobId}: not written`);
        for (let attempt = 0; attempt < MAX_CLOSE_ATTEMPTS; attempt += 1) {
            const read = await this.read(jobId);
            if (read.isErr()) {
                lastError = read.error;
                await sleep(RETRY_DELAY_MS);
                continue;
            }
            if (read.value === undefined) {
                return ok(false);
            }
            const { manifest, version } = read.value;
            if (manifest.isEndedByCaller || (manifest.state === "ended" && !isEndedByCaller)) {
                return ok(true);
            }
            const closed = { ...manifest, state: "ended", isEndedByCaller };
            const written = await this.store.put(`${JOB_KIND}/${jobId}`, closed, version);
            if (written.isOk()) {
                return ok(true);
            }
            lastError = written.error;
            await sleep(written.error.kind === "conflict" ? 0 : RETRY_DELAY_MS);
        }
        this.logger.warn({ event: "job-not-closed", job: jobId, isEndedByCaller, reason: lastError.toString() });
        return err(lastError);
    }

    /**
     * Removes a job with its bodies and results; the manifest is removed last, once nothing else is left.
     *
     * @param manifest - The job.
     */
    async remove(manifest: JobManifest): Promise<void> {
        for (let index = 0; index < manifest.bodyParts; index += 1) {
            await this.store.delete(`${BODY_KIND}/${manifest.jobId}.${index}`, 0);
        }
        let chunkCount = 0;
        for (;; chunkCount += 1) {
            const chunk = await this.readChunk(manifest.jobId, chunkCount);
            if (chunk.isErr()) {
                return;
            }
            if (chunk.value === undefined) {
                break;
            }
        }
        // The last chunk goes first: if this is interrupted, the next try finds those that are left.
        for (let index = chunkCount - 1; index >= 0; index -= 1) {
            const deleted = await this.store.delete(`${RESULT_KIND}/${manifest.jobId}.${index}`, 0);
            if (deleted.isErr()) {
                return;
            }
        }
        await this.store.delete(`${JOB_KIND}/${manifest.jobId}`, 0);
    }

    /**
     * Creates an object whose content is determined by its path, so that an object created earlier is as good. Retries
     * until `untilMs`.
     *
     * @returns The version that was written, or `undefined` if the object existed.
     */
    private async createWithRetry(
        path: string,
        value: Record<string, unknown>,
        untilMs: number,
    ): Promise<Result<number | undefined, StoreError>> {
        let isUnknown = false;
        for (let failures = 1;; failures += 1) {
            const retryDelayMs = getRetryDelayMs(failures);
            const written = await this.createHedged(path, value, HEDGE_DELAY_MS);
            if (written.isOk() || written.error.kind === "conflict") {
                return ok(written.isOk() ? written.value : undefined);
            }
            isUnknown ||= written.error.kind === "unknown";
            if (performance.now() + retryDelayMs >= untilMs || written.error.kind === "rejected") {
                return err(isUnknown ? new StoreError("unknown", written.error.message, written.error) : written.error);
            }
            await sleep(retryDelayMs);
        }
    }

    /** Sends a create a second time if its response is late; once one takes effect, the other one conflicts. */
    private createHedged(
        path: string,
        value: Record<string, unknown>,
        hedgeDelayMs: number,
    ): Promise<Result<number, StoreError>> {
        return new Promise(resolve => {
            let pendingWrites = 1;
            let isUnknown = false;
            const onWritten = (written: Result<number, StoreError>) => {
                pendingWrites -= 1;
                const isConclusive = written.isOk() || written.error.kind === "conflict";
                isUnknown ||= written.isErr() && written.error.kind === "unknown";
                if (isConclusive || pendingWrites === 0) {
                    clearTimeout(timer);
                    const mayTakeEffect = isUnknown && written.isErr() && !isConclusive;
                    resolve(
                        mayTakeEffect ? err(new StoreError("unknown", written.error.message, written.error)) : written,
                    );
                }
            };
            const timer = setTimeout(() => {
                pendingWrites += 1;
                void this.store.put(path, value, 0).then(onWritten);
            }, hedgeDelayMs);
            void this.store.put(path, value, 0).then(onWritten);
        });
    }
}

/**
 * @param object - A stored job object. Another writer may have written it, so it may be invalid.
 * @returns The job, or `undefined` if the object is not a valid job.
 */
export function toManifest(object: StoredObject): JobManifest | undefined {
    if (!manifests.has(object)) {
        manifests.set(object, decodeManifest(object));
    }
    return manifests.get(object);
}

const manifestSizes = new WeakMap<JobManifest, number>();

/**
 * @param manifest - A job; jobs never change.
 * @returns Its size as JSON in UTF-8.
 */
export function getManifestBytes(manifest: JobManifest): number {
    const sizeBytes = manifestSizes.get(manifest) ?? Buffer.byteLength(JSON.stringify(manifest));
    manifestSizes.set(manifest, sizeBytes);
    return sizeBytes;
}

/**
 * @param manifest - A job.
 * @param maxObjectBytes - Limit of the size of an object that the store accepts.
 * @returns Why the store can't keep the job, or `undefined` if it can.
 */
export function findSizeFault(manifest: JobManifest, maxObjectBytes: number): string | undefined {
    const sizeBytes = getManifestBytes(manifest);
    const maxBytes = maxObjectBytes - OBJECT_MARGIN_BYTES;
    return sizeBytes <= maxBytes
        ? undefined
        : `the items take ${sizeBytes} bytes without their bodies, at most ${maxBytes} can be stored`;
}

/** Objects are read again and again with the list of jobs, and never change. */
const manifests = new WeakMap<StoredObject, JobManifest | undefined>();

const manifestSchema = z.object({
    host: z.string(),
    path: z.string().optional(),
    items: z.array(z.object({
        itemId: z.string().min(1),
        path: z.string(),
        headers: z.record(z.string(), z.string()),
        tokens: z.number().nonnegative(),
    })).min(1),
    bodyParts: z.number().int().nonnegative(),
    firstParts: z.array(z.number().int().nonnegative()).optional(),
    areContentsInParts: z.boolean().optional(),
    isEndedByCaller: z.boolean(),
});

function decodeManifest({ path, value }: StoredObject): JobManifest | undefined {
    const summary = decodeJobSummary(value);
    const parsed = manifestSchema.safeParse(value);
    if (summary === undefined || !parsed.success || path !== `${JOB_KIND}/${summary.jobId}`) {
        return undefined;
    }
    const { items, bodyParts } = parsed.data;
    const isConsistent = items.length === summary.itemTokens.length && bodyParts <= items.length + MAX_EXTRA_PARTS;
    return isConsistent ? { ...summary, ...parsed.data } : undefined;
}

function getRetryDelayMs(failures: number): number {
    return Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** (failures - 1));
}
