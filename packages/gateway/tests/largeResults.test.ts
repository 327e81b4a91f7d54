import { newLogger } from "@heatherline/common";
import type { CoordinatorLink, MemberEntry, RpcCaller } from "@heatherline/fleet";
import { MemoryStore, type ObjectStore, type StoredValue, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import type PQueue from "p-queue";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { JobReader } from "../src/jobs/jobReader";
import { JobRun } from "../src/jobs/jobRun";
import type { JobRunner } from "../src/jobs/jobRunner";
import { type JobManifest, JobStore } from "../src/jobs/jobStore";
import type { ItemResult } from "../src/wireCodec";

const JOB = "job";
const SELF = { instanceId: "east-1", host: "127.0.0.1", rpcPort: 1 } as unknown as MemberEntry;
const MAX_PAGE_BYTES = 1_000_000;
/** Time for many chunks. */
const WRITE_MS = 60_000;
/** 60 bytes in UTF-8. */
const JAPANESE = "録音ブースの予約を確認しました。明日十時";

beforeEach(() => void vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] }));
afterEach(() => vi.useRealTimers());

function newManifest(count: number): JobManifest {
    const items = Array.from({ length: count }, (_, index) => ({
        itemId: `item-${index}`,
        path: "/jobs/1",
        headers: {},
        tokens: 1,
    }));
    return {
        jobId: JOB,
        organisation: "alpha",
        route: "jobs",
        submittedAt: 0,
        itemTokens: items.map(() => 1),
        state: "open",
        host: "api",
        items,
        bodyParts: 1,
        isEndedByCaller: false,
    };
}

/** Starts a run that has finished all items and written none of their results. */
async function startRun(store: JobStore, manifest: JobManifest, finished: readonly ItemResult[]): Promise<JobRun> {
    const deps = {
        store,
        queue: { add: async () => undefined } as unknown as PQueue,
        newItemRunDependencies: () => {
            throw new Error("no item runs in this test");
        },
        isSoleRunner: () => true,
        onEnded: () => undefined,
        logger: newLogger("test", "fatal"),
    };
    await store.create(manifest, [{}], performance.now() + 1_000);
    const run = new JobRun(manifest, true, deps, { jobId: JOB, by: "", items: [], finished });
    void run.start();
    return run;
}

/** Reads all pages as an instance does that runs no job, and as one that runs this one. */
async function readAll(store: JobStore, run: JobRun | undefined): Promise<ItemResult[]> {
    const reader = new JobReader({
        runner: { getReadableRun: () => run } as unknown as JobRunner,
        store,
        link: { call: async () => undefined } as unknown as CoordinatorLink,
        getCoordinator: () => undefined,
        rpc: {} as RpcCaller,
        getMembers: () => [SELF],
        self: SELF,
        isSoleRunner: () => true,
    });
    const results: ItemResult[] = [];
    for (let total = 1; results.length < total;) {
        const { page } = (await reader.read({ jobId: JOB, after: results.length, waitMs: 0 }))._unsafeUnwrap();
        if (page.results.length === 0) {
            break;
        }
        if (page.results.length > 1) {
            expect(Buffer.byteLength(JSON.stringify(page))).toBeLessThanOrEqual(MAX_PAGE_BYTES);
        }
        results.push(...page.results);
        total = page.total;
    }
    return results;
}

/** A store that accepts smaller objects than usual, and deletions of any version as on the platform. */
class SmallStore extends MemoryStore {
    constructor(private readonly maxBytes: number) {
        super();
    }

    override put(path: string, value: StoredValue, expected: number): ReturnType<ObjectStore["put"]> {
        return Buffer.byteLength(JSON.stringify(value)) > this.maxBytes
            ? Promise.resolve(err(new StoreError("rejected", "too large")))
            : super.put(path, value, expected);
    }

    override async delete(path: string): ReturnType<ObjectStore["delete"]> {
        return super.delete(path, (await this.get(path))._unsafeUnwrap()?.version ?? 0);
    }
}

// Guards against results of an accepted job that are never listed, as they are written as one object that is too large.
describe("LOST, results that are never listed: results that wait through an outage of the store", () => {
    it.each([
        { what: "texts of three bytes a character", count: 200, output: JAPANESE.repeat(240), maxBytes: Infinity },
        { what: "texts whose characters are escaped", count: 100, output: '\u0001"'.repeat(2_400), maxBytes: Infinity },
        { what: "plain texts", count: 200, output: "a".repeat(14_000), maxBytes: Infinity },
        { what: "a text larger than a chunk", count: 3, output: "b".repeat(800_000), maxBytes: Infinity },
        { what: "a text larger than an object", count: 3, output: JAPANESE.repeat(40_000), maxBytes: Infinity },
        {
            what: "pairs of characters that are cut in two",
            count: 2,
            output: `a${"😀".repeat(400_000)}`,
            maxBytes: Infinity,
        },
        { what: "texts in a store with a lower limit", count: 40, output: "c".repeat(14_000), maxBytes: 100_000 },
        {
            what: "a text larger than an object in a store with a lower limit",
            count: 1,
            output: JAPANESE.repeat(9_000),
            maxBytes: 200_000,
        },
    ])("are all listed, whatever they hold: $what", async ({ count, output, maxBytes }) => {
        const objects = new SmallStore(maxBytes);
        const store = new JobStore(objects, newLogger("test", "fatal"));
        const manifest = newManifest(count);
        const expected = manifest.items.map(({ itemId }) => ({ itemId, state: "completed" as const, output }));
        const run = await startRun(store, manifest, expected);
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        expect(run.publishedCount).toBe(count);
        for (const reading of [run, undefined]) {
            const results = await readAll(store, reading);
            expect(new Map(results.map(result => [result.itemId, result]))).toEqual(
                new Map(expected.map(result => [result.itemId, result])),
            );
        }
        run.stop("the test is over");
        await store.remove(manifest);
        expect((await objects.list("heatherline"))._unsafeUnwrap().objects).toEqual([]);
    });

    it("is listed whole if another instance goes on between the pieces of a large one", async () => {
        const store = new JobStore(new MemoryStore(), newLogger("test", "fatal"));
        const manifest = newManifest(2);
        const outputs = ["x", "y"].map(text => text.repeat(2_400_000));
        const [first, second] = await Promise.all(outputs.map(output =>
            startRun(store, manifest, [
                { itemId: "item-0", state: "completed", output },
                { itemId: "item-1", state: "completed", output: "" },
            ])
        ));
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        const results = await readAll(store, undefined);
        expect(outputs).toContain(results.find(({ itemId }) => itemId === "item-0")?.output);
        expect(results).toHaveLength(2);
        expect([first, second].map(run => run?.publishedCount)).toEqual([2, 2]);
        expect(first?.read(0, Infinity).results).toEqual(second?.read(0, Infinity).results);
        first?.stop("the test is over");
        second?.stop("the test is over");
    });
});

// Guards against a chunk that is written again and again although the store has rejected it.
describe("LOST, results that are never listed: a store that rejects a chunk of results for good", () => {
    it("isn't sent the same chunk again and again", async () => {
        const store = new JobStore(new SmallStore(1_000), newLogger("test", "fatal"));
        const results: ItemResult[] = [{ itemId: "item", state: "completed", output: "a".repeat(2_000) }];
        const writing = store.writeChunk(JOB, 0, { results }, new AbortController().signal);
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        expect((await writing)?.kind).toBe("rejected");
    });
});
