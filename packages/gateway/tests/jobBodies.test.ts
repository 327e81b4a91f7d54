import { newLogger } from "@heatherline/common";
import { JOB_KIND, type MemberEntry, type Route } from "@heatherline/fleet";
import { MemoryStore } from "@heatherline/store";
import { ok } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import type { AdmittedRequest } from "../src/callers/admission";
import type { CallerResponse } from "../src/callers/callerResponse";
import type { Refusal } from "../src/callers/refusal";
import { BatchApi, type BatchApiDependencies, type BatchApiRequest } from "../src/jobs/batchApi";
import { JobBodyCache } from "../src/jobs/jobBodyCache";
import { type JobItem, type JobManifest, JobStore } from "../src/jobs/jobStore";
import type { SubmittedItem } from "../src/wireCodec";

const JOB = "job";
const TODAYS_MEMBER = { canRunSplitItems: true };
const EARLIER_MEMBER = {};
const ADMITTED = { route: { name: "jobs" } as Route, organisation: undefined } as AdmittedRequest;

function newItems(bodies: readonly string[], headers: Record<string, string>): SubmittedItem[] {
    return bodies.map((bodyBase64, index) => ({
        itemId: `item-${index}`,
        path: "/jobs/1",
        headers,
        bodyBase64,
        tokens: 1,
    }));
}

/** Submits a job; returns the status and the job store. */
async function submit(
    items: readonly SubmittedItem[],
    objects = new MemoryStore(),
    admitted = ADMITTED,
    maxObjectBytes?: number,
    members: readonly Partial<MemberEntry>[] = [TODAYS_MEMBER],
) {
    const store = new JobStore(objects, newLogger("test", "fatal"), maxObjectBytes);
    const statuses: number[] = [];
    const response = {
        sendLocal: (status: number) => statuses.push(status),
        sendRefusal: ({ status }: Refusal) => statuses.push(status),
    } as unknown as CallerResponse;
    const addJob = vi.fn();
    const api = new BatchApi({
        store,
        reader: {
            readManifest: async (jobId: string) => (await store.read(jobId)).map(job => job?.manifest),
        },
        wire: { parseSubmission: () => ok({ items }) },
        runner: { add: addJob },
        getMembers: () => members,
        getCoordinator: () => ({ jobs: { isLoaded: true, admit: () => ({ kind: "admitted" }) } }),
        metrics: { recordRequest: () => undefined },
        logger: newLogger("test", "fatal"),
    } as unknown as BatchApiDependencies);
    const caller = { requestId: JOB, host: "api", timeLeftMs: 600 };
    const request = { caller, path: "/jobs/1", body: Buffer.alloc(0), response, arrivedAtMs: performance.now() };
    await api.submit(request as unknown as BatchApiRequest, admitted);
    return { statuses, store, addJob };
}

const toBase64 = (sizeBytes: number) => Buffer.alloc(sizeBytes, "heatherline").toString("base64");

// Guards against a job within the limit of a submission that is answered 503 for good, as a body is larger than an object.
describe("a job within the limit of a submission", () => {
    it.each([
        { what: "many small bodies", bodies: Array.from({ length: 200 }, (_, index) => toBase64(15_000 + index)) },
        { what: "no bodies", bodies: ["", "", ""] },
        { what: "a body larger than an object", bodies: [toBase64(3_000_000)] },
        { what: "a large body between small ones", bodies: [toBase64(10), toBase64(1_500_000), toBase64(20), ""] },
        {
            what: "large bodies one after the other",
            bodies: [toBase64(900_000), toBase64(1_100_000), toBase64(530_000)],
        },
        { what: "bodies that aren't base64", bodies: ["\u0001".repeat(300_000), "é".repeat(600_000)] },
    ])("is accepted and can be read back: $what", async ({ bodies }) => {
        const items = newItems(bodies, { Model: "m" });
        const { statuses, store, addJob } = await submit(items);
        expect(statuses).toEqual([202]);
        expect(addJob).toHaveBeenCalledTimes(1);
        const manifest = (await store.read(JOB))._unsafeUnwrap()?.manifest;
        expect(manifest?.items.map(({ itemId }) => itemId)).toEqual(items.map(({ itemId }) => itemId));
        const bodyCache = new JobBodyCache(store);
        for (const { itemId, bodyBase64 } of items) {
            const item = manifest?.items.find(other => other.itemId === itemId) as JobItem;
            const read = await bodyCache.getContent(manifest as NonNullable<typeof manifest>, item, true);
            expect(read._unsafeUnwrap()?.bodyBase64 === bodyBase64, itemId).toBe(true);
        }
    });
});

// Guards against jobs that a platform whose objects are smaller rejects for good, as the limit was a constant.
describe("a job at a store with a lower limit of objects", () => {
    it.each([
        { what: "usual bodies", maxObjectBytes: 262_144, count: 10, bodyBytes: 15_000, headerLength: 100 },
        { what: "large bodies", maxObjectBytes: 262_144, count: 10, bodyBytes: 250_000, headerLength: 100 },
        { what: "long headers", maxObjectBytes: 65_536, count: 200, bodyBytes: 100, headerLength: 1_000 },
    ])("is accepted, and each of its objects fits: $what", async testCase => {
        const { maxObjectBytes, count, bodyBytes, headerLength } = testCase;
        const objects = new MemoryStore();
        const bodies = Array.from({ length: count }, () => toBase64(bodyBytes));
        const items = newItems(bodies, { Model: "m".repeat(headerLength) });
        const { statuses } = await submit(items, objects, ADMITTED, maxObjectBytes);
        expect(statuses).toEqual([202]);
        const stored = (await objects.list("heatherline"))._unsafeUnwrap().objects;
        expect(Math.max(...stored.map(({ value }) => Buffer.byteLength(JSON.stringify(value))))).toBeLessThan(
            maxObjectBytes,
        );
    });
});

describe("a job with the id of an earlier one", () => {
    it.each([
        { what: "is the same job, sent again by its organisation", organisation: "alpha", status: 202 },
        { what: "is refused if the earlier one belongs to another organisation", organisation: "beta", status: 409 },
    ])("$what", async ({ organisation, status }) => {
        const objects = new MemoryStore();
        const toAdmitted = (name: string) => ({ ...ADMITTED, organisation: { name } }) as AdmittedRequest;
        const first = await submit(newItems([""], {}), objects, toAdmitted("alpha"));
        expect(first.statuses).toEqual([202]);
        const second = await submit(newItems([""], {}), objects, toAdmitted(organisation));
        expect(second.statuses).toEqual([status]);
        expect(second.addJob).not.toHaveBeenCalled();
        expect((await second.store.read(JOB))._unsafeUnwrap()?.manifest.organisation).toBe("alpha");
    });
});

// Guards against a job within the limit of a submission that is refused for good, since what its items hold besides their
// bodies doesn't fit into one object.
describe("a job whose items have long headers or paths", () => {
    it.each([
        { what: "8 KB of headers each", headerLength: 8_000, pathLength: 10, character: "m" },
        { what: "10 KB of headers each", headerLength: 10_000, pathLength: 10, character: "m" },
        { what: "headers of several bytes a character", headerLength: 3_000, pathLength: 10, character: "é" },
        { what: "headers that are escaped", headerLength: 4_000, pathLength: 10, character: '"' },
        { what: "long paths", headerLength: 0, pathLength: 7_000, character: "p" },
        { what: "headers larger than an object", headerLength: 1_500_000, pathLength: 10, character: "m", count: 2 },
    ])("is accepted, and its items can be run by any instance: $what", async testCase => {
        const { headerLength, pathLength, character, count = 200 } = testCase;
        const objects = new MemoryStore();
        const items = newItems(Array.from({ length: count }, (_, index) => toBase64(100 + index)), {
            Model: character.repeat(headerLength),
        }).map((item, index) => ({ ...item, path: `/jobs/${index}/${character.repeat(pathLength)}` }));
        const { statuses, store, addJob } = await submit(items, objects);
        expect(statuses).toEqual([202]);
        expect(addJob).toHaveBeenCalledTimes(1);
        const manifest = (await store.read(JOB))._unsafeUnwrap()?.manifest as JobManifest;
        const contents = new JobBodyCache(store);
        for (const [index, item] of items.entries()) {
            const content = (await contents.getContent(manifest, manifest.items[index] as JobItem, true))
                ._unsafeUnwrap();
            const { path, headers, bodyBase64 } = item;
            expect(JSON.stringify(content) === JSON.stringify({ path, headers, bodyBase64 }), item.itemId).toBe(true);
        }
        const sizes = (await objects.list("heatherline"))._unsafeUnwrap().objects
            .filter(({ path }) => path.startsWith(`${JOB_KIND}/`))
            .map(({ value }) => JSON.stringify(value).length);
        expect(Math.max(...sizes), "size of what all instances read of the job").toBeLessThan(100_000);
    });

    it("isn't run by an instance of an earlier release, which knows only bodies", async () => {
        const objects = new MemoryStore();
        await submit(newItems(Array.from({ length: 200 }, () => "x"), { Model: "m".repeat(8_000) }), objects);
        const parts = (await objects.list("heatherline-job-bodies"))._unsafeUnwrap().objects;
        expect(parts.length).toBeGreaterThan(0);
        expect(parts.filter(({ value }) => value.bodies !== undefined)).toEqual([]);
    });
});

// Guards against accepted items that an earlier release gives up or runs in part, as it doesn't find what they hold.
describe("a job that one object can't hold", () => {
    const longHeaders = newItems(Array.from({ length: 200 }, () => "x"), { Model: "m".repeat(8_000) });
    const headers = newItems(Array.from({ length: 40 }, () => "x"), { Model: "m".repeat(8_000) });
    const longBody = newItems([toBase64(900_000)], { Model: "m" });
    const bodies = newItems(Array.from({ length: 200 }, () => toBase64(15_000)), { Model: "m" });

    it.each([
        { what: "long headers", items: longHeaders, members: [TODAYS_MEMBER, TODAYS_MEMBER], status: 202 },
        { what: "long headers", items: longHeaders, members: [TODAYS_MEMBER, EARLIER_MEMBER], status: 503 },
        { what: "a long body", items: longBody, members: [TODAYS_MEMBER, TODAYS_MEMBER], status: 202 },
        { what: "a long body", items: longBody, members: [TODAYS_MEMBER, EARLIER_MEMBER], status: 503 },
        { what: "headers for one object", items: headers, members: [TODAYS_MEMBER, EARLIER_MEMBER], status: 202 },
        { what: "many bodies", items: bodies, members: [TODAYS_MEMBER, EARLIER_MEMBER], status: 202 },
    ])("waits until no instance of an earlier release is left: $what, $members", async ({ items, members, status }) => {
        const objects = new MemoryStore();
        const { statuses, store, addJob } = await submit(items, objects, ADMITTED, undefined, members);
        expect(statuses).toEqual([status]);
        expect(addJob).toHaveBeenCalledTimes(status === 202 ? 1 : 0);
        if (members.includes(EARLIER_MEMBER)) {
            const manifest = (await store.read(JOB))._unsafeUnwrap()?.manifest;
            expect(manifest?.items.map(({ headers }) => headers)).toEqual(
                status === 202 ? items.map(({ headers }) => headers) : undefined,
            );
        }
    });
});

describe("a job that the store can't keep, as the ids of its items are too large", () => {
    it("is refused for good, not as if it could be sent again, and nothing of it is kept", async () => {
        const objects = new MemoryStore();
        const items = newItems(Array.from({ length: 200 }, () => ""), { Model: "m" })
            .map((item, index) => ({ ...item, itemId: `${index}`.padEnd(10_000, "i") }));
        const { statuses, addJob } = await submit(items, objects);
        expect(statuses).toEqual([413]);
        expect(addJob).not.toHaveBeenCalled();
        expect((await objects.list("heatherline"))._unsafeUnwrap().objects).toEqual([]);
    });
});
