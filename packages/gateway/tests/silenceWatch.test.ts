import type { HeldPlace } from "@heatherline/fleet";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Fault } from "../src/endpoints/endpointLinks";
import { SilenceWatch } from "../src/online/silenceWatch";

/** Callers leave a stream after this time without an event. */
const CALLER_PATIENCE_MS = 2_000;
/** A request may run at two endpoints for this long at most, by the platform's rules. */
const MAX_OVERLAP_MS = 400;
/** "A second or so". */
const SOUND_SILENCE_MS = 1_500;

interface WatchCase {
    readonly what: string;
    readonly isExclusive: boolean;
    readonly fault: Fault;
    /** When the last event arrived before the silence; `undefined` if nothing has arrived. */
    readonly lastEventAtMs: number | undefined;
    /** When the endpoint goes on; `undefined` if never. */
    readonly resumedAtMs: number | undefined;
    /** From when there is a place elsewhere. */
    readonly placeFromMs: number;
    /** When the request moves, at the earliest and at the latest; `undefined` if it doesn't. */
    readonly movedWithinMs: readonly [number, number] | undefined;
}

const cases: WatchCase[] = [
    {
        what: "a stream that goes on after a second stays",
        isExclusive: true,
        fault: "none",
        lastEventAtMs: 500,
        resumedAtMs: 1_500,
        placeFromMs: 0,
        movedWithinMs: undefined,
    },
    {
        what: "a stream without a place elsewhere stays, however long",
        isExclusive: true,
        fault: "none",
        lastEventAtMs: 500,
        resumedAtMs: undefined,
        placeFromMs: Infinity,
        movedWithinMs: undefined,
    },
    {
        what: "a stream leaves an endpoint that hangs for good before its caller leaves",
        isExclusive: true,
        fault: "none",
        lastEventAtMs: 500,
        resumedAtMs: undefined,
        placeFromMs: 0,
        movedWithinMs: [500 + SOUND_SILENCE_MS - MAX_OVERLAP_MS, 500 + CALLER_PATIENCE_MS - 500],
    },
    {
        what: "a stream moves when a place elsewhere becomes free",
        isExclusive: true,
        fault: "none",
        lastEventAtMs: 0,
        resumedAtMs: undefined,
        placeFromMs: 2_500,
        movedWithinMs: [2_500, 2_800],
    },
    {
        what: "a stream leaves an endpoint that can't be reached without waiting",
        isExclusive: true,
        fault: "endpoint",
        lastEventAtMs: 100,
        resumedAtMs: undefined,
        placeFromMs: 0,
        movedWithinMs: [900, 1_150],
    },
    {
        what: "a stream that hasn't begun waits as long",
        isExclusive: true,
        fault: "none",
        lastEventAtMs: undefined,
        resumedAtMs: undefined,
        placeFromMs: 0,
        movedWithinMs: [SOUND_SILENCE_MS - MAX_OVERLAP_MS, CALLER_PATIENCE_MS - 500],
    },
    {
        what: "a request that may run twice moves at once",
        isExclusive: false,
        fault: "none",
        lastEventAtMs: undefined,
        resumedAtMs: undefined,
        placeFromMs: 0,
        movedWithinMs: [600, 750],
    },
    {
        what: "a request that may run twice and has no place elsewhere is answered by the endpoint that goes on",
        isExclusive: false,
        fault: "none",
        lastEventAtMs: undefined,
        resumedAtMs: 1_000,
        placeFromMs: 1_100,
        movedWithinMs: undefined,
    },
];

let released = 0;

function newPlace(): HeldPlace {
    return { release: () => (released += 1) } as unknown as HeldPlace;
}

function watch(
    { isExclusive, fault, lastEventAtMs, resumedAtMs, placeFromMs }: WatchCase,
    isRepeatable = true,
): { readonly movedAtMs: () => number | undefined; readonly stop: () => void; } {
    const startedAtMs = performance.now();
    const now = () => performance.now() - startedAtMs;
    let movedAtMs: number | undefined;
    const silenceWatch = new SilenceWatch({
        hasResponded: () => lastEventAtMs !== undefined && now() >= lastEventAtMs,
        getQuietMs: () => now() - (now() >= (resumedAtMs ?? Infinity) ? now() : lastEventAtMs ?? 0),
        isEndpointSilent: () => now() < (resumedAtMs ?? Infinity),
        isRepeatable,
        isExclusive,
        mayMove: () => true,
        checkEndpoint: () => Promise.resolve(fault),
        requestPlace: async () => now() >= placeFromMs ? newPlace() : undefined,
        move: () => {
            movedAtMs = now();
            silenceWatch.stop();
        },
    });
    if (resumedAtMs !== undefined) {
        setTimeout(() => silenceWatch.recordResponse(), resumedAtMs);
    }
    return { movedAtMs: () => movedAtMs, stop: () => silenceWatch.stop() };
}

beforeEach(() => {
    vi.useFakeTimers();
    released = 0;
});
afterEach(() => {
    vi.useRealTimers();
});

// Guards against an attempt at a silent endpoint that is given up before a place elsewhere is held.
describe("LOST, streams cut: an attempt whose endpoint falls silent", () => {
    it.each(cases)("$what", async testCase => {
        const { movedAtMs, stop } = watch(testCase);
        await vi.advanceTimersByTimeAsync(5_000);
        stop();
        if (testCase.movedWithinMs === undefined) {
            expect(movedAtMs()).toBeUndefined();
            return;
        }
        const [earliestMs, latestMs] = testCase.movedWithinMs;
        expect(movedAtMs()).toBeGreaterThanOrEqual(earliestMs);
        expect(movedAtMs()).toBeLessThanOrEqual(latestMs);
    });

    it("never moves if it must not run more than once", async () => {
        const { movedAtMs, stop } = watch({ ...(cases[2] as WatchCase) }, false);
        await vi.advanceTimersByTimeAsync(5_000);
        stop();
        expect(movedAtMs()).toBeUndefined();
    });

    it("gives a place back that is granted after the endpoint has gone on", async () => {
        let hasMoved = false;
        const silenceWatch = new SilenceWatch({
            hasResponded: () => false,
            getQuietMs: () => 0,
            isEndpointSilent: () => true,
            isRepeatable: true,
            isExclusive: false,
            mayMove: () => true,
            checkEndpoint: () => Promise.resolve("none"),
            requestPlace: () => new Promise(resolve => setTimeout(() => resolve(newPlace()), 500)),
            move: () => {
                hasMoved = true;
            },
        });
        await vi.advanceTimersByTimeAsync(800);
        silenceWatch.recordResponse();
        silenceWatch.stop();
        await vi.advanceTimersByTimeAsync(1_000);
        expect({ hasMoved, released }).toEqual({ hasMoved: false, released: 1 });
    });

    // The request went to an endpoint to which the configuration no longer let it go, or stayed at one that hung.
    it.each([
        { what: "no longer lets it go on elsewhere", allowedMs: [0, 800], movedWithinMs: undefined, releases: 1 },
        { what: "lets it go on elsewhere again", allowedMs: [1_500, Infinity], movedWithinMs: [1_500, 2_300] },
    ])("moves only while the configuration allows it: $what", async ({ allowedMs, movedWithinMs, releases = 0 }) => {
        const startedAtMs = performance.now();
        const now = () => performance.now() - startedAtMs;
        let movedAtMs: number | undefined;
        const silenceWatch = new SilenceWatch({
            hasResponded: () => false,
            getQuietMs: () => 0,
            isEndpointSilent: () => true,
            isRepeatable: true,
            isExclusive: false,
            mayMove: () => now() >= (allowedMs[0] ?? 0) && now() < (allowedMs[1] ?? 0),
            checkEndpoint: () => Promise.resolve("none"),
            requestPlace: () => new Promise(resolve => setTimeout(() => resolve(newPlace()), 500)),
            move: () => {
                movedAtMs = now();
                silenceWatch.stop();
            },
        });
        await vi.advanceTimersByTimeAsync(5_000);
        silenceWatch.stop();
        expect({ hasMoved: movedAtMs !== undefined, released }).toEqual({
            hasMoved: movedWithinMs !== undefined,
            released: releases,
        });
        expect(movedAtMs ?? 0).toBeGreaterThanOrEqual(movedWithinMs?.[0] ?? 0);
        expect(movedAtMs ?? 0).toBeLessThanOrEqual(movedWithinMs?.[1] ?? 0);
    });
});
