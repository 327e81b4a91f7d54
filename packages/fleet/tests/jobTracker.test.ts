import type { StoredObject } from "@heatherline/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { JobTracker } from "../src/jobTracker";

const INSTANCES = ["east-1", "east-2", "east-3"];
/** Longer than an assignment without a report lasts, and than a job stays with a runner that doesn't report it. */
const EXPIRY_MS = 3_000;
const SYNC_MS = 250;

function toObject(jobId: string): [string, StoredObject] {
    const value = { jobId, organisation: "alpha", route: "jobs", submittedAt: 0, itemTokens: [1], state: "open" };
    return [jobId, { path: `jobs/${jobId}`, version: 1, value }];
}

/** @returns Which instance is assigned the job first within a time in which all sync. */
function findAssignee(tracker: JobTracker, jobId: string): string | undefined {
    for (let elapsedMs = 0; elapsedMs < EXPIRY_MS; elapsedMs += SYNC_MS) {
        for (const instanceId of INSTANCES) {
            if (tracker.assignUnclaimed(instanceId, INSTANCES).includes(jobId)) {
                return instanceId;
            }
        }
        vi.advanceTimersByTime(SYNC_MS);
    }
    return undefined;
}

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["Date", "performance"] });
});

afterEach(() => {
    vi.useRealTimers();
});

describe("a job that no instance runs", () => {
    // Fails if an instance that can't adopt jobs (it stops, or can't read the store) is assigned one again and again.
    it("is assigned to each instance in turn until one reports it, however busy the others are", () => {
        const tracker = new JobTracker(() => INSTANCES.length);
        const busyJobs = ["busy-1", "busy-2", "busy-3", "busy-4"];
        tracker.replaceAll(new Map([...busyJobs, "job"].map(toObject)));
        const report = (instanceId: string, jobIds: readonly string[]) =>
            tracker.recordProgress(
                instanceId,
                jobIds.map(jobId => ({ jobId, finishedTokens: 0, handedOverBy: "" })),
            );
        const assignees = INSTANCES.map(() => {
            vi.advanceTimersByTime(EXPIRY_MS);
            report("east-2", busyJobs.slice(0, 2));
            report("east-3", busyJobs.slice(2));
            return findAssignee(tracker, "job");
        });
        expect(assignees).toHaveLength(3);
        expect(new Set(assignees)).toEqual(new Set(INSTANCES));
        vi.advanceTimersByTime(EXPIRY_MS);
        expect(findAssignee(tracker, "job")).toBeDefined();
    });
});
