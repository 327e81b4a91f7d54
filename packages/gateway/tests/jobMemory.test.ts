import { newLogger, sleep } from "@heatherline/common";
import { type Route, RouteTable, type RoutingConfig } from "@heatherline/fleet";
import { type ObjectStore, StoreError } from "@heatherline/store";
import { err, ok } from "neverthrow";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { describe, expect, it, vi } from "vitest";
import { splitBodies } from "../src/jobs/jobBodies";
import { JobBodyCache } from "../src/jobs/jobBodyCache";
import { JobReader, type JobReaderDependencies } from "../src/jobs/jobReader";
import { JobRunner, type JobRunnerDependencies } from "../src/jobs/jobRunner";
import { type JobItem, type JobManifest, JobStore } from "../src/jobs/jobStore";

const JOBS = 40;
const ITEMS = 10;
/** Of an item, in base64: 2 MB a job, 80 MB in all. */
const BODY_BYTES = 200_000;
const MAX_WAITING_HEAP_BYTES = 50_000_000;
const MAX_FINISHED_HEAP_BYTES = 10_000_000;
/** Concurrent reads of bodies. */
const MAX_READS = 4;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Heap in use, without what is no longer needed. */
async function getHeapBytes(): Promise<number> {
    await sleep(20);
    collectGarbage();
    return process.memoryUsage().heapUsed;
}

function newBody(job: number, item: number): string {
    return Buffer.alloc(BODY_BYTES * 3 / 4, `${job}/${item};`).toString("base64");
}

function newManifest(job: number, { parts, firstParts } = newStoredBodies(job)): JobManifest {
    return {
        jobId: String(job),
        organisation: "",
        route: "jobs",
        submittedAt: Date.now(),
        itemTokens: Array.from({ length: ITEMS }, () => 1),
        state: "open",
        host: "api",
        items: Array.from({ length: ITEMS }, (_, item) => ({
            itemId: `item-${item}`,
            path: "/jobs/1",
            headers: {},
            tokens: 1,
        })),
        bodyParts: parts.length,
        firstParts,
        isEndedByCaller: false,
    };
}

function newStoredBodies(job: number) {
    return splitBodies(new Map(Array.from({ length: ITEMS }, (_, item) => [`item-${item}`, newBody(job, item)])));
}

/** A store whose objects take no memory here; counts its reads. */
class FakeStore {
    reads = 0;
    concurrentReads = 0;
    mostConcurrentReads = 0;
    isDown = false;

    async readBodyPart(jobId: string, index: number) {
        this.reads += 1;
        this.concurrentReads += 1;
        this.mostConcurrentReads = Math.max(this.mostConcurrentReads, this.concurrentReads);
        await sleep(1);
        this.concurrentReads -= 1;
        return this.isDown
            ? err(new StoreError("unavailable", "down"))
            : ok(newStoredBodies(Number(jobId)).parts[index] ?? {});
    }

    async writeChunk() {
        await vi.waitUntil(() => !this.isDown, { timeout: 10_000 });
        return { kind: "written" };
    }

    async close() {
        return ok(true);
    }
}

function newRunner(store: FakeStore, requestPlace = () => new Promise(() => undefined)): JobRunner {
    const route = { name: "jobs", host: "api", pathPrefix: "/jobs/", kind: "batch", retentionMs: 60_000 };
    const targets: Route["targets"] = [{ service: "digests", weight: 1 }];
    const config = { version: 1, routes: [{ ...route, targets, maxAttempts: 3 }], services: [] };
    return new JobRunner({
        store: store as unknown as JobStore,
        logger: newLogger("test", "fatal"),
        placement: { requestPlace },
        view: { routes: new RouteTable(config as unknown as RoutingConfig), getConfigAgeMs: () => 0 },
        isJobStateFresh: () => true,
    } as unknown as JobRunnerDependencies);
}

describe("the bodies of batch jobs", () => {
    it.each([
        { what: "jobs that wait", isFinished: false, maxBytes: MAX_WAITING_HEAP_BYTES },
        { what: "jobs that have finished", isFinished: true, maxBytes: MAX_FINISHED_HEAP_BYTES },
    ])("take a limited amount of memory, however many jobs there are: $what", async ({ isFinished, maxBytes }) => {
        const runner = newRunner(new FakeStore());
        const startBytes = await getHeapBytes();
        for (let job = 0; job < JOBS; job += 1) {
            const bodies = newStoredBodies(job);
            const manifest = newManifest(job, bodies);
            const finished = manifest.items.map(({ itemId }) => ({ itemId, state: "completed" as const, output: "" }));
            runner.add(manifest, bodies.parts, {
                jobId: manifest.jobId,
                by: "",
                items: [],
                finished: isFinished ? finished : [],
            });
        }
        const isReady = () => !isFinished || runner.getActiveJobIds().length === 0;
        await vi.waitFor(() => expect(isReady()).toBe(true), { timeout: 10_000 });
        expect(await getHeapBytes() - startBytes).toBeLessThan(maxBytes);
        runner.getActiveJobIds().forEach(jobId => runner.cancel(jobId));
    });
});

describe("a body that is not in memory", () => {
    it("is read from the store, each object once, few at a time, and dropped with its job", async () => {
        const store = new FakeStore();
        const cache = new JobBodyCache(store, 4 * ITEMS * BODY_BYTES);
        const manifests = [0, 1, 2].map(job => newManifest(job));
        const reads = manifests.flatMap((manifest, job) =>
            manifest.items.map(async (item, index) => {
                const body = (await cache.getContent(manifest, item, true)).map(content => content?.bodyBase64);
                return body._unsafeUnwrap() === newBody(job, index);
            })
        );
        expect(new Set(await Promise.all(reads))).toEqual(new Set([true]));
        expect(store.reads).toBe(manifests.reduce((sum, { bodyParts }) => sum + bodyParts, 0));
        expect(store.mostConcurrentReads).toBeLessThanOrEqual(MAX_READS);
        manifests.forEach(manifest => cache.drop(manifest));
        expect(cache.sizeBytes).toBe(0);
    });

    it("is not asked for again and again while the store is down, and is there once it is up", async () => {
        const store = new FakeStore();
        const cache = new JobBodyCache(store);
        const manifest = newManifest(0);
        store.isDown = true;
        for (let attempt = 0; attempt < 20; attempt += 1) {
            expect((await cache.getContent(manifest, manifest.items[0] as JobItem, true)).isErr()).toBe(true);
        }
        expect(store.reads).toBeLessThan(5);
        store.isDown = false;
        await sleep(600);
        expect((await cache.getContent(manifest, manifest.items[0] as JobItem, true))._unsafeUnwrap()?.bodyBase64)
            .toBe(newBody(0, 0));
    });

    it.each([{ firstParts: "named" }, { firstParts: "not named, as in earlier releases" }])(
        "is found in its object: the objects are $firstParts",
        async ({ firstParts }) => {
            const manifest = newManifest(7);
            const cache = new JobBodyCache(new FakeStore(), 1_000_000);
            const read = { ...manifest, firstParts: firstParts === "named" ? manifest.firstParts : undefined };
            expect(manifest.bodyParts).toBeGreaterThan(2);
            for (let item = ITEMS - 1; item >= 0; item -= 1) {
                const content = await cache.getContent(read, read.items[item] as JobItem, false);
                expect(content._unsafeUnwrap()?.bodyBase64 === newBody(7, item)).toBe(true);
            }
            expect(cache.sizeBytes).toBe(0);
        },
    );
});

describe("the bodies of new jobs", () => {
    it("are kept up to the limit, those of the first jobs first", () => {
        const cache = new JobBodyCache(new FakeStore(), 3 * ITEMS * BODY_BYTES);
        for (let job = 0; job < 10; job += 1) {
            cache.keep(String(job), newStoredBodies(job).parts);
            expect(cache.sizeBytes).toBeLessThanOrEqual(3 * ITEMS * BODY_BYTES);
        }
        expect(cache.sizeBytes).toBeGreaterThan(2 * ITEMS * BODY_BYTES);
        cache.drop(newManifest(0));
        expect(cache.sizeBytes).toBeLessThan(2 * ITEMS * BODY_BYTES);
    });
});

// Guards against a process that runs out of memory while the store is down, since results wait without a limit.
describe("results that wait while the store is down", () => {
    it.each([
        { what: "keep further items from running while they take much memory", outputBytes: 3_000_000, requests: 0 },
        { what: "keep no items from running while they take little", outputBytes: 3_000, requests: 8 },
    ])("$what, until they are written", async ({ outputBytes, requests }) => {
        const store = new FakeStore();
        store.isDown = true;
        const requestPlace = vi.fn(() => new Promise(() => undefined));
        const runner = newRunner(store, requestPlace);
        const [waiting, next] = [0, 1].map(job => newManifest(job)) as [JobManifest, JobManifest];
        const finished = waiting.items.map(({ itemId }) => ({
            itemId,
            state: "completed" as const,
            output: `${itemId}: `.padEnd(outputBytes, "output "),
        }));
        runner.add(waiting, [], { jobId: waiting.jobId, by: "", items: [], finished });
        runner.add(next, newStoredBodies(1).parts);
        await sleep(1_000);
        expect(requestPlace).toHaveBeenCalledTimes(requests);
        store.isDown = false;
        await vi.waitFor(() => expect(requestPlace.mock.calls.length).toBe(8), { timeout: 5_000 });
        runner.getActiveJobIds().forEach(jobId => runner.cancel(jobId));
    });
});

// Guards against a process that runs out of memory since it keeps a number of jobs, however large they are.
describe("what is kept of jobs in memory", () => {
    const LARGE_JOBS = 600;
    /** Of the items of a job, besides their bodies. */
    const HEADER_BYTES = 100_000;
    const MAX_KEPT_HEAP_BYTES = 30_000_000;

    function newLargeManifest(job: number): JobManifest {
        const manifest = newManifest(job, { parts: [{}], firstParts: [] });
        const newHeader = (itemId: string) =>
            Buffer.alloc(HEADER_BYTES / ITEMS, `${job}/${itemId};`).toString("latin1");
        const items = manifest.items.map(item => ({ ...item, headers: { Model: newHeader(item.itemId) } }));
        return { ...manifest, items };
    }

    const objects = {
        put: async () => ok(1),
        get: async (path: string) => {
            const manifest = newLargeManifest(Number(path.split("/")[1]));
            return ok({ path, version: 1, value: { ...manifest } });
        },
    } as unknown as ObjectStore;

    it.each([
        {
            what: "of jobs that were created here",
            keep: async () => {
                const store = new JobStore(objects, newLogger("test", "fatal"));
                for (let job = 0; job < LARGE_JOBS; job += 1) {
                    await store.create(newLargeManifest(job), [], Infinity);
                }
                return store;
            },
        },
        {
            what: "of jobs whose results are read here",
            keep: async () => {
                const store = new JobStore(objects, newLogger("test", "fatal"));
                const runner = { getReadableRun: () => undefined };
                const reader = new JobReader({ store, runner } as unknown as JobReaderDependencies);
                for (let job = 0; job < LARGE_JOBS; job += 1) {
                    await reader.readManifest(String(job));
                }
                return reader;
            },
        },
        {
            what: "of jobs that have finished here",
            keep: async () => {
                const runner = newRunner(new FakeStore());
                for (let job = 0; job < LARGE_JOBS; job += 1) {
                    const manifest = newLargeManifest(job);
                    const finished = manifest.items.map(({ itemId }) => ({
                        itemId,
                        state: "dead" as const,
                        output: "",
                    }));
                    runner.add(manifest, [], { jobId: manifest.jobId, by: "", items: [], finished });
                }
                await vi.waitFor(() => expect(runner.getActiveJobIds()).toEqual([]), { timeout: 10_000 });
                return runner;
            },
        },
    ])("takes a limited amount, however large they are: $what", async ({ keep }) => {
        const startBytes = await getHeapBytes();
        const keeper = await keep();
        expect(await getHeapBytes() - startBytes).toBeLessThan(MAX_KEPT_HEAP_BYTES);
        expect(keeper).toBeDefined();
    });
});
