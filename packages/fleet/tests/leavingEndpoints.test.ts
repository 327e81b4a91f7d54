import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LeavingEndpoints } from "../src";
import { newTestEndpoint } from "./testEndpoint";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("an endpoint that has said that it leaves", () => {
    it.each([
        {
            what: "the same process",
            marked: 1,
            listed: newTestEndpoint({ endpointId: "a", startedAt: 1 }),
            isLeaving: true,
        },
        {
            what: "a later process with the same id",
            marked: 1,
            listed: newTestEndpoint({ endpointId: "a", startedAt: 2 }),
            isLeaving: false,
        },
        {
            what: "an endpoint that doesn't say when it started",
            marked: undefined,
            listed: newTestEndpoint({ endpointId: "a", startedAt: undefined }),
            isLeaving: true,
        },
        {
            what: "another endpoint",
            marked: 1,
            listed: newTestEndpoint({ endpointId: "b", startedAt: 1 }),
            isLeaving: false,
        },
    ])("is $isLeaving for $what", ({ marked, listed, isLeaving }) => {
        const leaving = new LeavingEndpoints();
        expect(leaving.mark({ endpointId: "a", startedAt: marked })).toBe(true);
        expect(leaving.mark({ endpointId: "a", startedAt: marked })).toBe(false);
        expect(leaving.has(listed)).toBe(isLeaving);
        expect(leaving.getIds(endpointId => endpointId === listed.endpointId ? listed : undefined)).toEqual(
            isLeaving ? [listed.endpointId] : [],
        );
        vi.advanceTimersByTime(600_001);
        expect(leaving.has(listed)).toBe(false);
    });
});
