import { newId } from "@heatherline/common";
import { type ObjectStore, putWithReadBack, type StoreError } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import PQueue from "p-queue";
import { z } from "zod";
import { BatchError } from "./errors";
import { getChunkPath, getJobId, getManifestPath, getOpenMarkerPath } from "./paths";
import type { BatchItem, JobManifest } from "./types";

/** Maximum number of items in a job. */
export const MAX_JOB_ITEMS = 200_000;
const MAX_CHUNK_ITEMS = 500;
const MAX_CHUNK_BYTES = 400_000;
const MAX_LINE_BYTES = 300_000;
const MAX_CONCURRENT_WRITES = 4;
const MAX_CUSTOM_ID_CHARACTERS = 128;

/** Characters that can be sent in a request; an item with others could never run. */
const PATH_PATTERN = /^\/[\x21-\xff]*$/;

const lineSchema = z.strictObject({
    custom_id: z.string().min(1).max(MAX_CUSTOM_ID_CHARACTERS),
    method: z.literal("POST").default("POST"),
    url: z.string().regex(PATH_PATTERN, "must be a path without spaces and control characters"),
    body: z.unknown().refine(canBeWritten, "is nested too deeply"),
});

/** A job that a caller submits. */
export interface JobSubmission {
    readonly organisation: string;
    readonly idempotencyKey: string;
    readonly dueAt: Date;
    /** Lines of JSON, one per item. */
    readonly lines: Readable;
    /**
     * @param item - An item of the job.
     * @returns The service that it is for and whether it is idempotent, or why it can't be accepted.
     */
    readonly resolve: (item: BatchItem) => Result<{ service: string; isIdempotent: boolean; }, string>;
}

/** A job that was accepted. */
export interface AcceptedJob {
    readonly manifest: JobManifest;
    /** Whether an earlier submission of the job had been accepted already. */
    readonly isRepeated: boolean;
}

/** Stores submitted jobs, chunk by chunk while they are uploaded. A job exists once its manifest is stored. */
export class JobSubmitter {
    /**
     * @param store - The platform's store.
     */
    constructor(private readonly store: ObjectStore) {}

    /**
     * @param submission - The job. Its lines are read once, in bounded memory.
     * @returns The accepted job; on an error nothing is known to be accepted.
     */
    async submit(submission: JobSubmission): Promise<Result<AcceptedJob, BatchError>> {
        const jobId = getJobId(submission.organisation, submission.idempotencyKey);
        const upload = new Upload(this.store, jobId, submission);
        const uploaded = await upload.run();
        if (uploaded.isErr()) {
            await upload.discard();
            return err(uploaded.error);
        }
        const accepted = await this.createManifest(uploaded.value);
        if (accepted.isErr() || accepted.value.isRepeated) {
            await upload.discard();
        }
        return accepted;
    }

    private async createManifest(manifest: JobManifest): Promise<Result<AcceptedJob, BatchError>> {
        // The marker is written first: a marker without a manifest is harmless, but a manifest without a marker would
        // never be run.
        const markerWritten = await this.store.put(getOpenMarkerPath(manifest.jobId), { jobId: manifest.jobId }, 0);
        if (markerWritten.isErr() && markerWritten.error.kind !== "conflict") {
            return err(newUnavailableError(markerWritten.error));
        }
        const path = getManifestPath(manifest.jobId);
        const written = await putWithReadBack(this.store, path, { ...manifest }, undefined);
        if (written.isOk()) {
            return ok({ manifest, isRepeated: false });
        }
        if (written.error.kind !== "conflict") {
            return err(newUnavailableError(written.error));
        }
        const existing = await this.store.get(path);
        if (existing.isErr() || existing.value === undefined) {
            return err(newUnavailableError(existing.isErr() ? existing.error : undefined));
        }
        const known = existing.value.value as unknown as JobManifest;
        if (known.contentSha256 !== manifest.contentSha256) {
            return err(new BatchError("conflict", "the Idempotency-Key belongs to a job with different content"));
        }
        return ok({ manifest: known, isRepeated: true });
    }
}

/** One upload of a job: reads and validates lines, and writes full chunks while further lines arrive. */
class Upload {
    private readonly uploadId = newId();
    private readonly hash = createHash("sha256");
    private readonly customIds = new Set<string>();
    private readonly writes = new PQueue({ concurrency: MAX_CONCURRENT_WRITES });
    private items: BatchItem[] = [];
    private chunkBytes = 0;
    private chunkCount = 0;
    private itemCount = 0;
    private service: string | undefined;
    private isIdempotent = true;
    private storeError: StoreError | undefined;

    constructor(
        private readonly store: ObjectStore,
        private readonly jobId: string,
        private readonly submission: JobSubmission,
    ) {}

    async run(): Promise<Result<JobManifest, BatchError>> {
        const lines = createInterface({ input: this.submission.lines, crlfDelay: Infinity });
        try {
            for await (const line of lines) {
                const lineError = line.trim() === "" ? undefined : await this.addLine(line);
                if (lineError !== undefined) {
                    return err(lineError);
                }
            }
        }
        catch (error) {
            return err(
                new BatchError("invalid", "the upload ended before it was complete; nothing was accepted", error),
            );
        }
        finally {
            lines.close();
        }
        this.writeChunk();
        await this.writes.onIdle();
        if (this.storeError !== undefined) {
            return err(newUnavailableError(this.storeError));
        }
        return this.itemCount === 0 ? err(new BatchError("invalid", "the job has no items")) : ok(this.buildManifest());
    }

    async discard(): Promise<void> {
        await this.writes.onIdle();
        for (let index = 0; index < this.chunkCount; index += 1) {
            await this.store.delete(getChunkPath(this.jobId, this.uploadId, index), 1);
        }
    }

    private async addLine(line: string): Promise<BatchError | undefined> {
        const sizeBytes = Buffer.byteLength(line);
        const position = `line ${this.itemCount + 1}`;
        if (sizeBytes > MAX_LINE_BYTES) {
            return new BatchError("invalid", `${position} is longer than ${MAX_LINE_BYTES} bytes`);
        }
        if (this.itemCount >= MAX_JOB_ITEMS) {
            return new BatchError("invalid", `a job has at most ${MAX_JOB_ITEMS} items`);
        }
        const item = parseItem(line);
        if (item.isErr()) {
            return new BatchError("invalid", `${position}: ${item.error}`);
        }
        const itemError = this.checkItem(item.value);
        if (itemError !== undefined) {
            return new BatchError("invalid", `${position}: ${itemError}`);
        }
        this.hash.update(line).update("\n");
        this.itemCount += 1;
        if (this.items.length >= MAX_CHUNK_ITEMS || this.chunkBytes + sizeBytes > MAX_CHUNK_BYTES) {
            this.writeChunk();
            await this.writes.onSizeLessThan(1);
        }
        this.items.push(item.value);
        this.chunkBytes += sizeBytes;
        return this.storeError === undefined ? undefined : newUnavailableError(this.storeError);
    }

    private checkItem(item: BatchItem): string | undefined {
        if (this.customIds.has(item.customId)) {
            return `custom_id ${JSON.stringify(item.customId)} is used twice`;
        }
        this.customIds.add(item.customId);
        const resolved = this.submission.resolve(item);
        if (resolved.isErr()) {
            return resolved.error;
        }
        this.service ??= resolved.value.service;
        this.isIdempotent &&= resolved.value.isIdempotent;
        return this.service === resolved.value.service ? undefined : "all items of a job must be for the same service";
    }

    private writeChunk(): void {
        if (this.items.length === 0) {
            return;
        }
        const index = this.chunkCount;
        const chunk = { items: this.items };
        this.items = [];
        this.chunkBytes = 0;
        this.chunkCount += 1;
        void this.writes.add(async () => {
            const path = getChunkPath(this.jobId, this.uploadId, index);
            const written = await putWithReadBack(this.store, path, chunk, undefined);
            if (written.isErr()) {
                this.storeError ??= written.error;
            }
        });
    }

    private buildManifest(): JobManifest {
        return {
            jobId: this.jobId,
            organisation: this.submission.organisation,
            service: this.service ?? "",
            uploadId: this.uploadId,
            contentSha256: this.hash.digest("hex"),
            itemCount: this.itemCount,
            chunkCount: this.chunkCount,
            createdAt: new Date().toISOString(),
            dueAt: this.submission.dueAt.toISOString(),
            state: "open",
            isIdempotent: this.isIdempotent,
        };
    }
}

function parseItem(line: string): Result<BatchItem, string> {
    let value: unknown;
    try {
        value = JSON.parse(line);
    }
    catch (error) {
        return err(`not valid JSON: ${error instanceof Error ? error.message : ""}`);
    }
    const parsed = lineSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return err(`${issue?.path.join(".") || "line"}: ${issue?.message ?? "not valid"}`);
    }
    const { custom_id: customId, method, url: path, body } = parsed.data;
    return ok({ customId, method, path, body });
}

/** JSON of any depth can be read, but not written. */
function canBeWritten(value: unknown): boolean {
    try {
        JSON.stringify(value);
        return true;
    }
    catch {
        return false;
    }
}

function newUnavailableError(cause: StoreError | undefined): BatchError {
    return new BatchError(
        "unavailable",
        "the store is unavailable; submit the job again with the same Idempotency-Key",
        cause,
    );
}
