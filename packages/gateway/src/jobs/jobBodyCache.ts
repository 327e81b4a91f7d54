import type { StoreError } from "@heatherline/store";
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import { getHeapStatistics } from "node:v8";
import PQueue from "p-queue";
import { type BodyPart, decodeContent, type ItemContent } from "./jobBodies";
import type { JobItem, JobManifest, JobStore } from "./jobStore";

/** Fraction of the heap that may hold bodies of waiting items; others are read back from the store. */
const MAX_HEAP_FRACTION = 0.1;
const MAX_CACHED_BYTES = 32_000_000;
/** Concurrent reads of objects of bodies, each of which takes several times its size while it is read. */
const MAX_CONCURRENT_READS = 3;
/** After a read that failed, no other one starts for this long. */
const FAILURE_PAUSE_MS = 500;
/** Memory of an entry beyond its text. */
const ENTRY_BYTES = 100;

/** Bodies of items that have not run yet: in memory up to a limit, all of them in the store. */
export class JobBodyCache {
    private readonly parts: LRUCache<string, BodyPart>;
    private readonly reads = new Map<string, Promise<Result<BodyPart, StoreError>>>();
    private readonly readQueue = new PQueue({ concurrency: MAX_CONCURRENT_READS });
    private lastFailure: { readonly error: StoreError; readonly untilMs: number; } | undefined;

    /**
     * @param store - Where all bodies are.
     * @param maxBytes - Limit of the bodies in memory, in base64.
     */
    constructor(
        private readonly store: Pick<JobStore, "readBodyPart">,
        private readonly maxBytes = Math.min(MAX_CACHED_BYTES, getHeapStatistics().heap_size_limit * MAX_HEAP_FRACTION),
    ) {
        this.parts = new LRUCache({ maxSize: Math.floor(maxBytes), sizeCalculation: getPartBytes });
    }

    /** Size of the bodies in memory. */
    get sizeBytes(): number {
        return this.parts.calculatedSize;
    }

    /**
     * Keeps the bodies of a new job as far as there is room. Earlier jobs, which run first, keep theirs.
     *
     * @param jobId - The job.
     * @param parts - Its bodies as they are in the store.
     */
    keep(jobId: string, parts: readonly BodyPart[]): void {
        for (const [index, part] of parts.entries()) {
            if (this.sizeBytes + getPartBytes(part) <= this.maxBytes) {
                this.parts.set(toKey(jobId, index), part);
            }
        }
    }

    /**
     * Drops the bodies of a job that doesn't run here any more.
     *
     * @param manifest - The job.
     */
    drop({ jobId, bodyParts }: JobManifest): void {
        for (let index = 0; index < bodyParts; index += 1) {
            this.parts.delete(toKey(jobId, index));
        }
    }

    /**
     * @param manifest - A job.
     * @param item - One of its items.
     * @param isKept - Whether what is read from the store is kept for other items.
     * @returns The item's content, `undefined` if the store has none, or why the store can't be read.
     */
    async getContent(
        manifest: JobManifest,
        item: JobItem,
        isKept: boolean,
    ): Promise<Result<ItemContent | undefined, StoreError>> {
        const read = await this.getText(manifest, item.itemId, isKept);
        return read.map(text => {
            if (text === undefined || manifest.areContentsInParts === true) {
                return text === undefined ? undefined : decodeContent(text);
            }
            return { path: item.path, headers: item.headers, bodyBase64: text };
        });
    }

    /** Reads what the objects of bodies hold of an item. */
    private async getText(
        manifest: JobManifest,
        itemId: string,
        isKept: boolean,
    ): Promise<Result<string | undefined, StoreError>> {
        const { first, last } = findParts(manifest, itemId);
        let body: string | undefined;
        for (let index = first; index <= last; index += 1) {
            const key = toKey(manifest.jobId, index);
            const cached = this.parts.get(key);
            const part = cached === undefined ? await this.read(manifest.jobId, index) : ok(cached);
            if (part.isErr()) {
                return err(part.error);
            }
            if (cached === undefined && isKept && Object.keys(part.value).length > 0) {
                this.parts.set(key, part.value);
            }
            const text = part.value[itemId];
            body = text === undefined ? body : (body ?? "") + text;
            if (body !== undefined && manifest.firstParts === undefined) {
                break;
            }
        }
        return ok(body);
    }

    /** Reads an object of bodies once for all who wait for it. */
    private read(jobId: string, index: number): Promise<Result<BodyPart, StoreError>> {
        const key = toKey(jobId, index);
        const known = this.reads.get(key);
        if (known !== undefined) {
            return known;
        }
        const reading = this.readQueue.add(() => this.readNow(jobId, index)).finally(() => this.reads.delete(key));
        this.reads.set(key, reading);
        return reading;
    }

    private async readNow(jobId: string, index: number): Promise<Result<BodyPart, StoreError>> {
        if (this.lastFailure !== undefined && performance.now() < this.lastFailure.untilMs) {
            return err(this.lastFailure.error);
        }
        const part = await this.store.readBodyPart(jobId, index);
        if (part.isErr()) {
            this.lastFailure = { error: part.error, untilMs: performance.now() + FAILURE_PAUSE_MS };
        }
        return part;
    }
}

/** The objects that may hold an item's body. */
function findParts({ items, bodyParts, firstParts }: JobManifest, itemId: string): { first: number; last: number; } {
    const position = items.findIndex(item => item.itemId === itemId);
    const first = firstParts?.[position];
    // Jobs of earlier releases don't say which object holds which body; each is in one.
    return first === undefined
        ? { first: 0, last: bodyParts - 1 }
        : { first, last: Math.min(bodyParts - 1, Math.max(first, (firstParts?.[position + 1] ?? bodyParts) - 1)) };
}

function toKey(jobId: string, index: number): string {
    return `${jobId}.${index}`;
}

function getPartBytes(part: BodyPart): number {
    return Object.values(part).reduce((sum, text) => sum + text.length + ENTRY_BYTES, ENTRY_BYTES);
}
