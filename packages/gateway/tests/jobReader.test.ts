import { PeerError } from "@heatherline/agreement";
import { newLogger, rankByRendezvous } from "@heatherline/common";
import type { CoordinatorLink, MemberEntry } from "@heatherline/fleet";
import { MemoryStore, StoreError } from "@heatherline/store";
import { err, ok } from "neverthrow";
import { beforeEach, describe, expect, it, vi } from "vitest";
import { JobReader, type ReadJobRequest } from "../src/jobs/jobReader";
import { JobRun, type JobRunDependencies } from "../src/jobs/jobRun";
import { JobRunner, type JobRunnerDependencies } from "../src/jobs/jobRunner";
import { type JobManifest, JobStore } from "../src/jobs/jobStore";

const JOB = "job-1";
const READ: ReadJobRequest = { jobId: JOB, after: 0, waitMs: 0 };
const MEMBERS = ["east-1", "east-2", "west-1"].map((instanceId, index): MemberEntry => ({
    instanceId,
    incarnation: "1",
    host: "127.0.0.1",
    rpcPort: index,
    dataCentre: "east",
    processorShare: 1,
}));
const MANIFEST: JobManifest = {
    jobId: JOB,
    organisation: "alpha",
    route: "jobs",
    submittedAt: 0,
    itemTokens: [1],
    state: "open",
    host: "api",
    items: [{ itemId: "item-1", path: "/jobs/1", headers: {}, tokens: 1 }] as unknown as JobManifest["items"],
    bodyParts: 1,
    isEndedByCaller: false,
};

let storeReads = 0;
let store: JobStore;
let readers: Map<string, JobReader>;

/** Counts the reads of objects. */
class CountingStore extends MemoryStore {
    override get(path: string) {
        storeReads += 1;
        return super.get(path);
    }
}

function newReader(self: MemberEntry, run?: JobRun): JobReader {
    return new JobReader({
        runner: { getReadableRun: () => run } as unknown as JobRunner,
        store,
        link: { call: async () => undefined } as unknown as CoordinatorLink,
        getCoordinator: () => undefined,
        rpc: {
            callAddress: async (_host: string, port: number, _method: string, request: object) => {
                const reader = readers.get(MEMBERS[port]?.instanceId ?? "");
                return reader === undefined
                    ? err(new PeerError("unreachable", "no instance listens there"))
                    : ok(await reader.readStored(request as ReadJobRequest) as never);
            },
        },
        getMembers: () => MEMBERS,
        self,
        isSoleRunner: () => run !== undefined,
    });
}

async function read(instanceId: string): Promise<string[]> {
    const outcome = await (readers.get(instanceId) as JobReader).read(READ);
    return outcome._unsafeUnwrap().page.results.map(({ itemId }) => itemId);
}

beforeEach(async () => {
    store = new JobStore(new CountingStore(), newLogger("test", "fatal"));
    readers = new Map(MEMBERS.map(member => [member.instanceId, newReader(member)]));
    await store.create(MANIFEST, [{ "item-1": "" }], performance.now() + 1_000);
    storeReads = 0;
});

describe("results of a job that no instance runs", () => {
    // Fails if an instance caches that a chunk was missing.
    it("can be read at each instance as soon as they are written, even if it found none before", async () => {
        for (const { instanceId } of MEMBERS) {
            expect(await read(instanceId)).toEqual([]);
        }
        const results = [{ itemId: "item-1", state: "completed" as const, output: "" }];
        await store.writeChunk(JOB, 0, { results }, new AbortController().signal);
        for (const { instanceId } of MEMBERS) {
            expect(await read(instanceId)).toEqual(["item-1"]);
        }
    });

    it("are read from the store by one instance on behalf of all", async () => {
        const results = [{ itemId: "item-1", state: "completed" as const, output: "" }];
        await store.writeChunk(JOB, 0, { results }, new AbortController().signal);
        storeReads = 0;
        for (const { instanceId } of [...MEMBERS, ...MEMBERS]) {
            expect(await read(instanceId)).toEqual(["item-1"]);
        }
        // One read for the job and one for its only chunk.
        expect(storeReads).toBe(2);
    });

    it("are read from the store by an instance that can't reach the designated reader", async () => {
        const [designatedReaderId] = rankByRendezvous(JOB, MEMBERS.map(({ instanceId }) => instanceId));
        const other = MEMBERS.find(({ instanceId }) => instanceId !== designatedReaderId) as MemberEntry;
        readers.delete(designatedReaderId ?? "");
        const results = [{ itemId: "item-1", state: "completed" as const, output: "" }];
        await store.writeChunk(JOB, 0, { results }, new AbortController().signal);
        expect(await read(other.instanceId)).toEqual(["item-1"]);
    });
});

describe("results of a job that this instance runs, after another one has run it", () => {
    const items = ["item-1", "item-2"].map(itemId => ({ itemId, path: "/jobs/1", headers: {}, tokens: 1 }));
    const manifest = { ...MANIFEST, items, itemTokens: [1, 1] } as unknown as JobManifest;
    const toResult = (itemId: string) => ({ itemId, state: "completed" as const, output: "" });

    it.each([
        { what: "once this instance was out of contact", requiresVerification: true, expected: ["item-2"] },
        { what: "while it is certainly the only one", requiresVerification: false, expected: [] },
    ])("are read from the store $what", async ({ requiresVerification, expected }) => {
        const run = new JobRun(
            manifest,
            true,
            { store, onEnded: () => undefined } as unknown as JobRunDependencies,
            undefined,
        );
        const { signal } = new AbortController();
        await store.writeChunk(JOB, 0, { results: [toResult("item-1")] }, signal);
        await run.loadNewResults();
        await store.writeChunk(JOB, 1, { results: [toResult("item-2")] }, signal);
        if (requiresVerification) {
            run.requireVerification();
        }
        const reader = newReader(MEMBERS[0] as MemberEntry, run);
        const outcome = await reader.read({ ...READ, after: 1 });
        expect(outcome._unsafeUnwrap().page.results.map(({ itemId }) => itemId)).toEqual(expected);
        expect(run.isVerified).toBe(true);
    });

    it("are read from the store from the moment the job is reported as closed, also if that can't be checked", async () => {
        const runner = new JobRunner({
            store,
            logger: newLogger("test", "fatal"),
            placement: { requestPlace: () => new Promise(() => undefined) },
            view: { routes: undefined },
            isJobStateFresh: () => false,
        } as unknown as JobRunnerDependencies);
        runner.add(manifest, [{}]);
        const run = runner.getReadableRun(JOB) as JobRun;
        await store.writeChunk(
            JOB,
            0,
            { results: [toResult("item-1"), toResult("item-2")] },
            new AbortController().signal,
        );
        const reader = newReader(MEMBERS[0] as MemberEntry, run);
        expect((await reader.read(READ))._unsafeUnwrap().page.results).toHaveLength(0);
        vi.spyOn(store, "read").mockResolvedValue(err(new StoreError("unavailable", "down")));
        await runner.stopClosedJobs([JOB]);
        expect(run.isVerified).toBe(false);
        expect((await reader.read(READ))._unsafeUnwrap().page.results).toHaveLength(2);
        run.stop("the test is over");
    });

    it("have to be verified again if that was required while the store was read", async () => {
        const run = new JobRun(
            manifest,
            true,
            { store, onEnded: () => undefined } as unknown as JobRunDependencies,
            undefined,
        );
        const loading = run.loadNewResults();
        run.requireVerification();
        await loading;
        expect(run.isVerified).toBe(false);
    });
});
