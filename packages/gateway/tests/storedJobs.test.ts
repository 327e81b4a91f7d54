import { newLogger } from "@heatherline/common";
import { StoreError } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import { describe, expect, it } from "vitest";
import type { AdmittedRequest } from "../src/callers/admission";
import { newRefusal, type Refusal } from "../src/callers/refusal";
import { BatchApi, type BatchApiDependencies, type BatchApiRequest } from "../src/jobs/batchApi";
import type { JobManifest } from "../src/jobs/jobStore";
import { StoredJobsReader } from "../src/jobs/storedJobs";

const LIMIT_TOKENS = 1_000;
const LIST_MS = 5;

function newManifest(jobId: string, changes: Partial<JobManifest> = {}): JobManifest {
    const manifest = { jobId, organisation: "alpha", route: "jobs", state: "open", itemTokens: [300, 200], ...changes };
    return manifest as JobManifest;
}

/** Counts its lists, and how many there were at a time. */
class CountingStore {
    manifests: readonly JobManifest[] = [];
    error: StoreError | undefined;
    lists = 0;
    openLists = 0;
    maxOpenLists = 0;

    async list(): Promise<Result<JobManifest[], StoreError>> {
        this.lists += 1;
        this.openLists += 1;
        this.maxOpenLists = Math.max(this.maxOpenLists, this.openLists);
        const listed = [...this.manifests];
        await new Promise(resolve => setTimeout(resolve, LIST_MS));
        this.openLists -= 1;
        return this.error === undefined ? ok(listed) : err(this.error);
    }
}

describe("the jobs in the store", () => {
    // Guards against a heap that is filled by one list of all jobs for each submission.
    it("are listed once at a time, and twice for all who ask at once", async () => {
        const store = new CountingStore();
        const reader = new StoredJobsReader(store);
        await Promise.all(Array.from({ length: 50 }, () => reader.read()));
        expect(store).toMatchObject({ lists: 2, maxOpenLists: 1 });
        await reader.read();
        expect(store.lists).toBe(3);
    });

    it("contain each that was created before somebody asked", async () => {
        const store = new CountingStore();
        const reader = new StoredJobsReader(store);
        const before = reader.read();
        store.manifests = [newManifest("late")];
        const after = reader.read();
        expect((await before)._unsafeUnwrap().has("late")).toBe(false);
        expect((await after)._unsafeUnwrap().has("late")).toBe(true);
    });

    it("are listed anew after a failure", async () => {
        const store = new CountingStore();
        const reader = new StoredJobsReader(store);
        store.error = new StoreError("unavailable", "503");
        expect((await Promise.all([reader.read(), reader.read()])).map(read => read.isErr())).toEqual([true, true]);
        store.error = undefined;
        expect((await reader.read()).isOk()).toBe(true);
    });

    it.each([
        { what: "an open job", changes: {}, tokens: 500 },
        { what: "a closed job", changes: { state: "done" } as unknown as Partial<JobManifest>, tokens: 0 },
        { what: "a job of another organisation", changes: { organisation: "beta" }, tokens: 0 },
        { what: "a job of another route", changes: { route: "others" }, tokens: 0 },
    ])("count $tokens tokens for $what", async ({ changes, tokens }) => {
        const store = new CountingStore();
        store.manifests = [newManifest("j", changes)];
        const read = await new StoredJobsReader(store).read();
        expect(read._unsafeUnwrap().sumOpenTokens("alpha", "jobs")).toBe(tokens);
    });
});

describe("a submission that may not fit", () => {
    it.each([
        { what: "is refused by the coordinator", reply: "full", isStored: false, status: 429, lists: 0 },
        { what: "is refused by the coordinator, and exists", reply: "full", isStored: true, status: 202, lists: 0 },
        { what: "doesn't fit, without a coordinator", reply: undefined, isStored: false, status: 429, lists: 1 },
        { what: "exists, without a coordinator", reply: undefined, isStored: true, status: 202, lists: 1 },
    ])("and $what is answered $status after $lists lists", async ({ reply, isStored, status, lists }) => {
        const store = new CountingStore();
        const own = newManifest("own");
        store.manifests = [newManifest("a"), newManifest("b"), ...isStored ? [own] : []];
        let sentStatus = 0;
        const deps = {
            wire: { parseSubmission: () => ok({ items: [] }) },
            store: {
                maxObjectBytes: 100_000,
                list: () => store.list(),
                create: async () => ok(isStored ? "existed" : "created"),
            },
            reader: { readManifest: async () => isStored ? ok(own) : err(newRefusal("not-found")) },
            getCoordinator: () => undefined,
            link: { call: async () => reply === undefined ? undefined : { kind: reply, waitingTokens: LIMIT_TOKENS } },
            getMembers: () => [],
            metrics: { recordRequest: () => undefined },
            logger: newLogger("test", "fatal"),
        } as unknown as BatchApiDependencies;
        const request = {
            caller: { requestId: "own", host: "h" },
            path: "/jobs/x",
            body: Buffer.alloc(0),
            arrivedAtMs: performance.now(),
            response: {
                sendLocal: (sent: number) => {
                    sentStatus = sent;
                },
                sendRefusal: (refusal: Refusal) => {
                    sentStatus = refusal.status;
                },
            },
        } as unknown as BatchApiRequest;
        const route = { name: "jobs", maxWaitingTokens: LIMIT_TOKENS - 1 };
        await new BatchApi(deps).submit(request, { route, organisation: { name: "alpha" } } as AdmittedRequest);
        expect({ status: sentStatus, lists: store.lists }).toEqual({ status, lists });
    });
});
