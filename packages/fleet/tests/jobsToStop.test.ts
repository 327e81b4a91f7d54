import type { StoredObject } from "@heatherline/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { JobProgress, SyncRequest } from "../src";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";

/** How long the coordinator may hold a reply back that has no update, in milliseconds. */
const LONG_POLL_MS = 250;
const OBSERVED_MS = 2_000;
/** Time that a sync and its reply take, in milliseconds. */
const ROUND_TRIP_MS = 1;
/** An instance that can't stop a job is told again with about every second reply that is held back. */
const MAX_SYNCS = 4 * OBSERVED_MS / LONG_POLL_MS;

function newSync(instanceId: string, jobs: readonly JobProgress[]): SyncRequest {
    return {
        member: { ...TEST_MEMBER, instanceId },
        known: { config: 0, endpoints: 1, evacuated: 0, members: 1, blockedPrompts: 0 },
        places: [],
        crashes: [],
        jobs,
        isStoreFailing: false,
        waitMs: LONG_POLL_MS,
    };
}

function toObject(jobId: string): [string, StoredObject] {
    const value = { jobId, organisation: "alpha", route: "jobs", submittedAt: 0, itemTokens: [1], state: "open" };
    return [jobId, { path: `jobs/${jobId}`, version: 1, value }];
}

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("an instance that can't stop a job yet", () => {
    const progress: JobProgress = { jobId: "job", finishedTokens: 0, handedOverBy: "" };

    // Each reply told it again and was sent at once, so that it reported, and read the store, without a pause.
    it.each([
        { what: "that is closed", open: [] },
        { what: "that another instance runs", open: ["job"] },
    ])("is told at once and then again with pauses: a job $what", async ({ open }) => {
        const coordinator = startTestCoordinator({ endpoints: [newTestEndpoint()] });
        coordinator.updateJobs(new Map(open.map(toObject)));
        coordinator.jobs.recordProgress("c", open.length > 0 ? [progress] : []);
        const startedAtMs = performance.now();
        const toldAtMs: number[] = [];
        let syncs = 0;
        while (performance.now() - startedAtMs < OBSERVED_MS && syncs <= MAX_SYNCS) {
            syncs += 1;
            let isAnswered = false;
            const reply = coordinator.handleSync(newSync("b", [progress])).then(answer => {
                isAnswered = true;
                return answer;
            });
            coordinator.jobs.recordProgress("c", open.length > 0 ? [progress] : []);
            do {
                await vi.advanceTimersByTimeAsync(ROUND_TRIP_MS);
            }
            while (!isAnswered);
            const answer = await reply;
            if (answer.kind === "news" && answer.endedJobs.length + answer.takenJobs.length > 0) {
                toldAtMs.push(performance.now() - startedAtMs);
            }
        }
        coordinator.stop();
        expect(syncs).toBeLessThanOrEqual(MAX_SYNCS);
        expect(toldAtMs[0]).toBe(ROUND_TRIP_MS);
        expect(toldAtMs.length).toBeGreaterThanOrEqual(3);
    });
});
