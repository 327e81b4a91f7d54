import { getMaxReplyAgeMs, newTimestamp } from "@heatherline/fleet";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { isSoleRunner } from "../src/jobs/runnerClaim";

const MAX_AGE_MS = getMaxReplyAgeMs(1);
const START_MS = 10_000;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["Date", "performance"] });
    vi.advanceTimersByTime(START_MS);
});

afterEach(() => {
    vi.useRealTimers();
});

// Each report that the coordinator has answered holds its jobs for this instance for a while, but only those that it named.
describe("an instance is certainly the only one that was assigned a job", () => {
    it.each([
        { what: "that it reported just now", runningMs: 5_000, replyAgeMs: 100, expected: true },
        { what: "not if its last report is too old", runningMs: 5_000, replyAgeMs: MAX_AGE_MS + 1, expected: false },
        { what: "not if it adopted the job after its last report", runningMs: 50, replyAgeMs: 100, expected: false },
        {
            what: "that it created after its last report",
            runningMs: 50,
            replyAgeMs: 100,
            createdMs: 60,
            expected: true,
        },
        {
            what: "not if it created the job long before its creation was confirmed",
            runningMs: 50,
            replyAgeMs: 100,
            createdMs: MAX_AGE_MS + 1,
            expected: false,
        },
        {
            what: "that it reported to the coordinator in the same process",
            runningMs: 5_000,
            ownReportAgeMs: 100,
            isCoordinator: true,
            expected: true,
        },
        {
            what: "not if it is the coordinator but was blocked and has not reported the job to itself",
            runningMs: 5_000,
            ownReportAgeMs: MAX_AGE_MS + 1,
            isCoordinator: true,
            expected: false,
        },
    ])("$what", ({ runningMs, createdMs, replyAgeMs, ownReportAgeMs, isCoordinator, expected }) => {
        let createdAt;
        if (createdMs !== undefined) {
            createdAt = newTimestamp();
            vi.advanceTimersByTime(createdMs);
        }
        const claim = { createdAt, reportedSinceMs: performance.now() - runningMs };
        const sources = {
            isCoordinator: () => isCoordinator === true,
            getOwnReportAgeMs: () => ownReportAgeMs ?? Infinity,
            getReplyAgeMs: () => replyAgeMs ?? Infinity,
            getInstanceCount: () => 1,
        };
        expect(isSoleRunner(claim, sources)).toBe(expected);
    });
});
