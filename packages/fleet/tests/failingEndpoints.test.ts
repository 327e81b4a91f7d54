import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Dispatcher, type PlaceOutcome, type RequestEnd } from "../src";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function newDispatcher(endpointIds: readonly string[]): Dispatcher {
    const dispatcher = new Dispatcher({
        getCapacity: ({ slots }) => slots,
        getColdRatePerS: () => 0,
        getLimitPerS: () => undefined,
        getStreamDelayMs: () => 0,
        getRegion: () => "region",
        preempt: () => undefined,
    });
    dispatcher.setEndpoints(endpointIds.map(endpointId => newTestEndpoint({ endpointId })));
    return dispatcher;
}

async function placeEverywhere(dispatcher: Dispatcher, endpointIds: readonly string[]): Promise<string[]> {
    const outcomes: PlaceOutcome[] = [];
    for (const endpointId of endpointIds) {
        const excluded = endpointIds.filter(other => other !== endpointId);
        outcomes.push(await dispatcher.place(newTestRequest({ excluded })));
    }
    return outcomes.map(outcome => outcome.kind === "placed" ? outcome.placeId : "");
}

// Fails if callers are refused because all endpoints of a service are silent for a moment.
describe("endpoints that are silent", () => {
    const cases: { title: string; endpoints: string[]; silent: string[]; end: RequestEnd; isServed: boolean; }[] = [
        { title: "one of two", endpoints: ["e1", "e2"], silent: ["e1"], end: "silent", isServed: true },
        { title: "all of two", endpoints: ["e1", "e2"], silent: ["e1", "e2"], end: "silent", isServed: true },
        { title: "the only one", endpoints: ["e1"], silent: ["e1"], end: "silent", isServed: true },
        {
            title: "all, which can't be reached",
            endpoints: ["e1", "e2"],
            silent: ["e1", "e2"],
            end: "unreachable",
            isServed: false,
        },
    ];
    const ways = cases.flatMap(testCase => [{ ...testCase, way: "reported" }, { ...testCase, way: "released" }]);
    it.each(ways.filter(({ end, way }) => end === "silent" || way === "released"))(
        "$title, $way: a request gets a place at once: $isServed",
        async ({ endpoints, silent, end, way, isServed }) => {
            const dispatcher = newDispatcher(endpoints);
            const placeIds = await placeEverywhere(dispatcher, endpoints);
            vi.advanceTimersByTime(600);
            silent.forEach(endpointId => {
                const placeId = placeIds[endpoints.indexOf(endpointId)] ?? "";
                if (way === "reported") {
                    dispatcher.recordSilence(placeId);
                }
                else {
                    dispatcher.release(placeId, end);
                }
            });
            let outcome: PlaceOutcome | undefined;
            void dispatcher.place(newTestRequest({ usefulForMs: 50 })).then(decided => outcome = decided);
            await vi.advanceTimersByTimeAsync(10);
            expect(outcome?.kind === "placed").toBe(isServed);
            if (endpoints.length > silent.length && outcome?.kind === "placed") {
                expect(silent).not.toContain(outcome.endpointId);
            }
        },
    );
});

// Fails if callers are refused because one request takes an endpoint long that answers the others.
describe("an endpoint of two at which a request has been given up as silent", () => {
    const cases = [
        { title: "that has answered another one meanwhile", answeredAfterMs: 300, isPaused: false },
        { title: "that has answered another one long before", answeredAfterMs: 100, isPaused: true },
        { title: "that has answered none", answeredAfterMs: undefined, isPaused: true },
    ];
    it.each(cases)("$title: is paused: $isPaused", async ({ answeredAfterMs = Infinity, isPaused }) => {
        const dispatcher = newDispatcher(["e1", "e2"]);
        const places = await Promise.all([1, 2].map(() => dispatcher.place(newTestRequest({ excluded: ["e2"] }))));
        const [silentId = "", otherId = ""] = places.map(place => place.kind === "placed" ? place.placeId : "");
        const silentAfterMs = 800;
        if (answeredAfterMs < silentAfterMs) {
            vi.advanceTimersByTime(answeredAfterMs);
            dispatcher.release(otherId, "done");
        }
        vi.advanceTimersByTime(silentAfterMs - Math.min(silentAfterMs, answeredAfterMs));
        dispatcher.release(silentId, "silent");
        let outcome: PlaceOutcome | undefined;
        void dispatcher.place(newTestRequest({ excluded: ["e2"] })).then(decided => outcome = decided);
        await vi.advanceTimersByTimeAsync(10);
        expect(outcome?.kind).toBe(isPaused ? undefined : "placed");
    });
});

// Fails if a request that has lost time at one unreachable endpoint is sent to the next one.
describe("a request for which an endpoint could not be reached", () => {
    const cases = [
        {
            title: "gets a place at an endpoint that serves others",
            unreachable: ["e1"],
            wasUnreachable: true,
            expected: "placed",
        },
        {
            title: "is refused at once if all are being tried again",
            unreachable: ["e1", "e2"],
            wasUnreachable: true,
            expected: "refused",
        },
        {
            title: "(not: a new one) tries an endpoint again",
            unreachable: ["e1", "e2"],
            wasUnreachable: false,
            expected: "placed",
        },
    ];
    it.each(cases)("$title", async ({ unreachable, wasUnreachable, expected }) => {
        const dispatcher = newDispatcher(["e1", "e2"]);
        const placeIds = await placeEverywhere(dispatcher, ["e1", "e2"]);
        placeIds.forEach((placeId, index) =>
            dispatcher.release(placeId, unreachable.includes(`e${index + 1}`) ? "unreachable" : "done")
        );
        // The pauses are over.
        vi.advanceTimersByTime(200);
        const outcome = await dispatcher.place(newTestRequest({ wasUnreachable }));
        expect(outcome.kind).toBe(expected);
        if (outcome.kind === "placed" && wasUnreachable) {
            expect(unreachable).not.toContain(outcome.endpointId);
        }
    });
});

// Fails if a request is held although the last endpoint of its service has been paused for longer than it may wait.
describe("a request that waits while the last endpoint can't be reached", () => {
    const cases = [
        { title: "is refused at once if it would be late after the pause", usefulForMs: 400, isRefused: true },
        { title: "waits if it would still be in time", usefulForMs: 1_000, isRefused: false },
    ];
    it.each(cases)("$title", async ({ usefulForMs, isRefused }) => {
        const dispatcher = newDispatcher(["e1"]);
        const placeIds = await placeEverywhere(dispatcher, Array.from({ length: 8 }, () => "e1"));
        let outcome: PlaceOutcome | undefined;
        const request = newTestRequest({ usefulForMs, targetLatencyMs: 1_000 });
        void dispatcher.place(request).then(decided => outcome = decided);
        await vi.advanceTimersByTimeAsync(300);
        expect(outcome).toBeUndefined();
        dispatcher.release(placeIds[0] ?? "", "unreachable");
        await vi.advanceTimersByTimeAsync(1);
        expect(outcome?.kind).toBe(isRefused ? "refused" : undefined);
    });
});

// Fails if a request waits while one endpoint after the other is tried again in vain, and is refused only after a second.
describe("a request that waits while all endpoints are tried again", () => {
    const TRIAL_MS = 360;
    /** So many quick responses let the forecast expect short waits. */
    const QUICK_RESPONSES = 50;
    const QUICK_MS = 5;
    const cases = [
        { title: "is refused after the first trial that fails once it is late", end: "unreachable", isRefused: true },
        { title: "is placed if the trial succeeds", end: "done", isRefused: false },
    ] as const;
    it.each(cases)("$title", async ({ end, isRefused }) => {
        const endpointIds = ["e1", "e2"];
        const dispatcher = newDispatcher(endpointIds);
        for (let count = 0; count < QUICK_RESPONSES; count += 1) {
            const [placeId = ""] = await placeEverywhere(dispatcher, ["e1"]);
            vi.advanceTimersByTime(QUICK_MS);
            dispatcher.release(placeId, "done", QUICK_MS);
        }
        for (const placeId of await placeEverywhere(dispatcher, endpointIds)) {
            dispatcher.release(placeId, "unreachable");
        }
        await vi.advanceTimersByTimeAsync(151);
        const trials = await placeEverywhere(dispatcher, endpointIds);
        let outcome: PlaceOutcome | undefined;
        const request = newTestRequest({ usefulForMs: 300, targetLatencyMs: 300, giveUpAfterMs: 5_000 });
        void dispatcher.place(request).then(decided => outcome = decided);
        await vi.advanceTimersByTimeAsync(TRIAL_MS);
        expect(outcome).toBeUndefined();
        dispatcher.release(trials[0] ?? "", end);
        await vi.advanceTimersByTimeAsync(1);
        expect(outcome?.kind).toBe(isRefused ? "refused" : "placed");
    });
});
