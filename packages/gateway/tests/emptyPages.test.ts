import { newLogger } from "@heatherline/common";
import type { CoordinatorLink, MemberEntry, RpcCaller } from "@heatherline/fleet";
import { MemoryStore } from "@heatherline/store";
import type PQueue from "p-queue";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { JobReader } from "../src/jobs/jobReader";
import { JobRun } from "../src/jobs/jobRun";
import type { JobRunner } from "../src/jobs/jobRunner";
import { type JobManifest, JobStore } from "../src/jobs/jobStore";

const JOB = "job-1";
const SELF = { instanceId: "east-1", host: "127.0.0.1", rpcPort: 1 } as unknown as MemberEntry;
const ITEM_IDS = ["item-1", "item-2", "item-3"];
/** Results must be readable at all instances this long after they were read at one. */
const SETTLE_MS = 1_000;
/** Longer than a runner collects results for one write. */
const WRITE_MS = 700;
const SIGNAL = new AbortController().signal;

let storeReads: number;
/** Settles when responses to writes arrive; the writes take effect at once. */
let writeResponse: Promise<void>;
let readDurationMs: number;
let store: JobStore;
let runs: JobRun[];
/** Whether the coordinator has confirmed, since the run asked for it, that this instance is the runner. */
let isConfirmed: boolean;

class DelayingStore extends MemoryStore {
    override async get(path: string) {
        storeReads += 1;
        const outcome = await super.get(path);
        if (readDurationMs > 0) {
            await new Promise(resolve => setTimeout(resolve, readDurationMs));
        }
        return outcome;
    }

    override async put(...parameters: Parameters<MemoryStore["put"]>) {
        const outcome = await super.put(...parameters);
        await writeResponse;
        return outcome;
    }
}

function newManifest(itemIds: readonly string[]): JobManifest {
    return {
        jobId: JOB,
        organisation: "alpha",
        route: "jobs",
        submittedAt: 0,
        itemTokens: itemIds.map(() => 1),
        state: "open",
        host: "api",
        items: itemIds.map(itemId => ({
            itemId,
            path: "/jobs/1",
            headers: {},
            tokens: 1,
        })) as unknown as JobManifest["items"],
        bodyParts: 1,
        isEndedByCaller: false,
    };
}

function toResult(itemId: string) {
    return { itemId, state: "completed" as const, output: "" };
}

/** @returns A run that has finished some items, none of which is written yet. */
function newRun(isCreatedHere: boolean, finishedIds: readonly string[]): JobRun {
    const deps = {
        store,
        queue: { add: async () => undefined } as unknown as PQueue,
        newItemRunDependencies: () => {
            throw new Error("no item runs in this test");
        },
        isSoleRunner: () => isConfirmed,
        onEnded: () => undefined,
        logger: newLogger("test", "fatal"),
    };
    const handover = { jobId: JOB, by: "", items: [], finished: finishedIds.map(toResult) };
    const run = new JobRun(newManifest(ITEM_IDS), isCreatedHere, deps, handover);
    runs.push(run);
    void run.start();
    return run;
}

async function read(run: JobRun | undefined, after: number): Promise<string[] | number> {
    const reader = new JobReader({
        runner: { getReadableRun: () => run } as unknown as JobRunner,
        store,
        link: { call: async () => undefined } as unknown as CoordinatorLink,
        getCoordinator: () => undefined,
        rpc: {} as RpcCaller,
        getMembers: () => [SELF],
        self: SELF,
        isSoleRunner: () => isConfirmed,
    });
    const reading = reader.read({ jobId: JOB, after, waitMs: 0 });
    await vi.advanceTimersByTimeAsync(readDurationMs * ITEM_IDS.length);
    const outcome = await reading;
    return outcome.isOk() ? outcome.value.page.results.map(({ itemId }) => itemId) : outcome.error.status;
}

beforeEach(async () => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    storeReads = 0;
    writeResponse = Promise.resolve();
    readDurationMs = 0;
    isConfirmed = true;
    runs = [];
    store = new JobStore(new DelayingStore(), newLogger("test", "fatal"));
    await store.create(newManifest(ITEM_IDS), [{}], performance.now() + 1_000);
});

afterEach(() => {
    runs.forEach(run => run.stop("the test is over"));
    vi.useRealTimers();
});

describe("a result that was read from the store is listed by the instance that runs the job", () => {
    it("also while that instance waits for the response to the write", async () => {
        writeResponse = new Promise(() => undefined);
        const run = newRun(true, ["item-1"]);
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        expect(await read(undefined, 0)).toEqual(["item-1"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 0)).toEqual(["item-1"]);
    });

    it.each([
        { what: "before this one has written any", ownResults: [] },
        { what: "before a write of this one", ownResults: ["item-2"] },
    ])("also if the instance that ran it before wrote it late, $what", async ({ ownResults }) => {
        const run = newRun(false, ownResults);
        await vi.advanceTimersByTimeAsync(1);
        expect(await read(run, 0)).toEqual([]);
        await store.writeChunk(JOB, 0, { results: [toResult("item-1")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 0)).toContain("item-1");
    });

    it("also if another instance goes on writing after it took an index that this one had tried", async () => {
        const run = newRun(true, ["item-1"]);
        await store.writeChunk(JOB, 0, { results: [toResult("item-1")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        await store.writeChunk(JOB, 1, { results: [toResult("item-2")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 1)).toEqual(["item-2"]);
    });

    it("also if another instance goes on writing after this one has loaded a result of it", async () => {
        const run = newRun(true, []);
        await store.writeChunk(JOB, 0, { results: [toResult("item-1")] }, SIGNAL);
        run.requireVerification();
        expect(await read(run, 0)).toEqual(["item-1"]);
        await store.writeChunk(JOB, 1, { results: [toResult("item-2")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 1)).toEqual(["item-2"]);
    });

    it("also if another instance goes on after a write of this one that has no response yet", async () => {
        let respond: () => void = () => undefined;
        writeResponse = new Promise(resolve => {
            respond = resolve;
        });
        const run = newRun(true, ["item-1"]);
        await vi.advanceTimersByTimeAsync(WRITE_MS);
        const pendingWrite = store.writeChunk(JOB, 1, { results: [toResult("item-2")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(1);
        expect(await read(run, 1)).toEqual(["item-2"]);
        respond();
        await pendingWrite;
        await store.writeChunk(JOB, 2, { results: [toResult("item-3")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 2)).toEqual(["item-3"]);
    });

    it("also if another instance wrote it after this one was back in contact and had checked the store", async () => {
        const run = newRun(true, []);
        run.requireVerification();
        expect(await read(run, 0)).toEqual([]);
        await store.writeChunk(JOB, 0, { results: [toResult("item-1")] }, SIGNAL);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(await read(run, 0)).toEqual(["item-1"]);
    });
});

describe("a run that may not be the only one", () => {
    it.each([
        { what: "was adopted", isCreatedHere: false, takenIds: [] },
        { what: "found an index taken", isCreatedHere: true, takenIds: ["item-2"] },
    ])("writes nothing before the coordinator has confirmed it, if it $what", async ({ isCreatedHere, takenIds }) => {
        isConfirmed = false;
        newRun(isCreatedHere, ["item-1"]);
        if (takenIds.length > 0) {
            await store.writeChunk(JOB, 0, { results: takenIds.map(toResult) }, SIGNAL);
        }
        const index = takenIds.length;
        await vi.advanceTimersByTimeAsync(2 * WRITE_MS);
        expect((await store.readChunk(JOB, index))._unsafeUnwrap()).toBeUndefined();
        isConfirmed = true;
        await vi.advanceTimersByTimeAsync(2 * WRITE_MS);
        expect((await store.readChunk(JOB, index))._unsafeUnwrap()?.results).toEqual([toResult("item-1")]);
    });

    it("writes without a confirmation if none comes, so that jobs go on without a coordinator", async () => {
        isConfirmed = false;
        newRun(false, ["item-1"]);
        await vi.advanceTimersByTimeAsync(10_000);
        expect((await store.readChunk(JOB, 0))._unsafeUnwrap()?.results).toEqual([toResult("item-1")]);
    });
});

describe("an empty page", () => {
    it("needs no read of the store while the run is the only one", async () => {
        const run = newRun(true, []);
        storeReads = 0;
        for (let count = 0; count < 20; count += 1) {
            expect(await read(run, 0)).toEqual([]);
        }
        expect(storeReads).toBe(0);
    });

    it("needs no read of the store once an adopted run has written, as other writers notice that", async () => {
        const run = newRun(false, ["item-1"]);
        await vi.advanceTimersByTimeAsync(2 * WRITE_MS);
        expect(await read(run, 0)).toEqual(["item-1"]);
        storeReads = 0;
        expect(await read(run, 1)).toEqual([]);
        expect(storeReads).toBe(0);
    });

    it("takes one read of the store for all callers that ask within a short time", async () => {
        const run = newRun(false, []);
        await vi.advanceTimersByTimeAsync(1);
        storeReads = 0;
        await Promise.all(Array.from({ length: 20 }, () => read(run, 0)));
        expect(storeReads).toBeLessThanOrEqual(1);
    });

    // An answer that took longer than the time in which results must be readable everywhere proves nothing.
    it.each([{ readMs: 100, expected: [] }, { readMs: 950, expected: 503 }])(
        "is $expected after a read of the store that takes $readMs ms",
        async ({ readMs, expected }) => {
            readDurationMs = readMs;
            expect(await read(undefined, 0)).toEqual(expected);
        },
    );
});
