import { sleep } from "@heatherline/common";
import type { ItemResult, ResultsPage } from "../wireCodec";
import { type ChunkContent, ChunkReader, getResultBytes, takeUpToBytes } from "./resultChunks";

/** The results of a job that the store has, in the order in which they were written; those who wait for more are woken. */
export class PublishedResults implements Iterable<ItemResult> {
    private readonly results: ItemResult[] = [];
    private readonly itemIds = new Set<string>();
    private waiters: (() => void)[] = [];
    private readonly reader = new ChunkReader();
    private chunks = 0;
    private bytes = 0;

    /**
     * @param itemCount - Number of items of the job.
     */
    constructor(private readonly itemCount: number) {}

    /** Number of results. */
    get count(): number {
        return this.results.length;
    }

    /** Number of chunks that these results were written in. */
    get chunkCount(): number {
        return this.chunks;
    }

    /** Size of the results as JSON in UTF-8. */
    get sizeBytes(): number {
        return this.bytes;
    }

    /** Whether there is a result of each item. */
    get isComplete(): boolean {
        return this.results.length >= this.itemCount;
    }

    [Symbol.iterator](): Iterator<ItemResult> {
        return this.results[Symbol.iterator]();
    }

    /**
     * @param itemId - An item.
     * @returns Whether it has a result.
     */
    has(itemId: string): boolean {
        return this.itemIds.has(itemId);
    }

    /**
     * Publishes the results of the next chunk; an item that has a result keeps it.
     *
     * @param content - The chunk's content.
     */
    addChunk(content: ChunkContent): void {
        this.chunks += 1;
        for (const result of this.reader.read(content)) {
            if (!this.itemIds.has(result.itemId)) {
                this.itemIds.add(result.itemId);
                this.results.push(result);
                this.bytes += getResultBytes(result);
            }
        }
        this.wakeWaiters();
    }

    /**
     * @param after - Position to read from.
     * @param maxBytes - Limit of the page's results as JSON; the first result is included even if it is larger.
     * @returns A page of results.
     */
    read(after: number, maxBytes: number): ResultsPage {
        return newPage(this.itemCount, this.results, after, maxBytes);
    }

    /**
     * Waits until results are published or waiters are woken for another reason.
     *
     * @param waitMs - Longest wait.
     */
    async waitForMore(waitMs: number): Promise<void> {
        const waiting = new AbortController();
        const wake = () => waiting.abort();
        this.waiters.push(wake);
        await sleep(waitMs, waiting.signal);
        this.waiters = this.waiters.filter(other => other !== wake);
    }

    /** Wakes all who wait for results. */
    wakeWaiters(): void {
        for (const wake of this.waiters.splice(0)) {
            wake();
        }
    }
}

/**
 * @param itemCount - Number of items of the job.
 * @param results - All results so far.
 * @param after - Position to read from.
 * @param maxBytes - Limit of the page's results as JSON; the first result is included even if it is larger.
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
