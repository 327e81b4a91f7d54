import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type EndpointEntry, LeavingEndpoints } from "../src";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function newEntry(endpointId: string, startedAt: number | undefined): EndpointEntry {
    return {
        endpointId,
        service: "lm",
        host: "127.0.0.1",
        port: 1,
        dataCentre: "east",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        startedAt,
    };
}

describe("an endpoint that has said that it leaves", () => {
    it.each([
        { what: "the same process", marked: 1, listed: newEntry("a", 1), isLeaving: true },
        { what: "a later process with the same id", marked: 1, listed: newEntry("a", 2), isLeaving: false },
        {
            what: "an endpoint that doesn't say when it started",
            marked: undefined,
            listed: newEntry("a", undefined),
            isLeaving: true,
        },
        { what: "another endpoint", marked: 1, listed: newEntry("b", 1), isLeaving: false },
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
