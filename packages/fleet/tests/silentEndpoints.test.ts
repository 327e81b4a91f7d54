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
