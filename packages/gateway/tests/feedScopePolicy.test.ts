import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type FeedScopeInputs, FeedScopePolicy } from "../src/fleet/feedScopePolicy";

const FOLLOWER: FeedScopeInputs = {
    isCoordinator: false,
    isFollower: true,
    isDeputy: false,
    isCoordinatorStoreFailing: false,
    configAgeMs: 1_000,
};

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

describe("what an instance reads from the store itself", () => {
    it.each(
        [
            { what: "the coordinator", changes: { isCoordinator: true, isFollower: false }, scope: "everything" },
            { what: "a follower", changes: {}, scope: "nothing" },
            { what: "a follower with an old configuration", changes: { configAgeMs: 2_300 }, scope: "essentials" },
            { what: "an instance that follows nobody", changes: { isFollower: false }, scope: "essentials" },
            {
                what: "a follower whose coordinator doesn't reach the store",
                changes: { isCoordinatorStoreFailing: true },
                scope: "nothing",
            },
            {
                what: "a deputy whose coordinator doesn't reach the store",
                changes: { isDeputy: true, isCoordinatorStoreFailing: true },
                scope: "essentials",
            },
            { what: "a deputy", changes: { isDeputy: true }, scope: "nothing" },
        ] as const,
    )("$what: $scope", ({ changes, scope }) => {
        expect(new FeedScopePolicy().getScope({ ...FOLLOWER, ...changes })).toBe(scope);
    });

    it("is nothing for half a second after the coordinator is lost, in which the deputy takes over", () => {
        const policy = new FeedScopePolicy();
        policy.getScope(FOLLOWER);
        vi.advanceTimersByTime(400);
        expect(policy.getScope({ ...FOLLOWER, isFollower: false })).toBe("nothing");
        vi.advanceTimersByTime(200);
        expect(policy.getScope({ ...FOLLOWER, isFollower: false })).toBe("essentials");
    });

    it("is nothing while others are to read first, and the essentials if they sent nothing", () => {
        const policy = new FeedScopePolicy();
        policy.waitForOthers(1_500);
        const inputs = { ...FOLLOWER, isFollower: false, configAgeMs: Infinity };
        expect(policy.getScope(inputs)).toBe("nothing");
        vi.advanceTimersByTime(1_600);
        expect(policy.getScope(inputs)).toBe("essentials");
    });
});
