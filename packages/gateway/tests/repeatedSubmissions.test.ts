import { newLogger } from "@heatherline/common";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { AdmittedRequest } from "../src/callers/admission";
import { newRefusal, type Refusal } from "../src/callers/refusal";
import { BatchApi, type BatchApiDependencies, type BatchApiRequest } from "../src/jobs/batchApi";

const TIMEOUT_MS = 2_000;
const UNREADABLE = err(newRefusal("store-unavailable", "429"));

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** Submits a job that the store has already, and returns the status of the response. */
async function submit(reads: (number: number) => unknown): Promise<{ status: number; durationMs: number; }> {
    let readCount = 0;
    let status = 0;
    const deps = {
        wire: { parseSubmission: () => ok({ items: [] }) },
        store: { maxObjectBytes: 100_000, create: async () => ok("existed") },
        reader: { readManifest: async () => reads(readCount += 1) },
        getCoordinator: () => ({ jobs: { isLoaded: true, admit: () => ({ kind: "admitted" }) } }),
        getMembers: () => [],
        metrics: { recordRequest: () => undefined },
        logger: newLogger("test", "fatal"),
    } as unknown as BatchApiDependencies;
    const startedAtMs = performance.now();
    const request = {
        caller: { requestId: "job", timeLeftMs: TIMEOUT_MS, host: "h" },
        path: "/jobs/x",
        body: Buffer.alloc(0),
        arrivedAtMs: startedAtMs,
        response: {
            sendLocal: (sent: number) => {
                status = sent;
            },
            sendRefusal: (refusal: Refusal) => {
                ({ status } = refusal);
            },
        },
    } as unknown as BatchApiRequest;
    const admitted = { route: { name: "jobs" }, organisation: { name: "alpha" } } as AdmittedRequest;
    const submitted = new BatchApi(deps).submit(request, admitted);
    await vi.runAllTimersAsync();
    await submitted;
    return { status, durationMs: performance.now() - startedAtMs };
}

describe("a submission of a job that the store has already", () => {
    // Guards against a 503, which promises that nothing of the job runs, for one whose creation wasn't answered.
    it.each([
        { what: "is readable at once", reads: () => ok({ organisation: "alpha" }), status: 202, maxMs: 0 },
        {
            what: "is readable a little later",
            reads: (number: number) => number < 4 ? UNREADABLE : ok({ organisation: "alpha" }),
            status: 202,
            maxMs: 700,
        },
        { what: "can't be read in time", reads: () => UNREADABLE, status: 504, maxMs: TIMEOUT_MS },
        { what: "is gone by then", reads: () => err(newRefusal("not-found")), status: 504, maxMs: 0 },
        { what: "is another organisation's", reads: () => ok({ organisation: "beta" }), status: 409, maxMs: 0 },
    ])("and that $what is answered $status", async ({ reads, status, maxMs }) => {
        const submitted = await submit(reads);
        expect(submitted.status).toBe(status);
        expect(submitted.durationMs).toBeLessThanOrEqual(maxMs);
    });
});
