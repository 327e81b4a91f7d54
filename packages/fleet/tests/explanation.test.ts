import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    AloneGranter,
    type Coordinator,
    CrashTracker,
    EndpointStatements,
    FleetView,
    GranterReports,
    type PlaceExplanation,
    type PlaceOutcome,
    type PlaceRequest,
    PromptEvidence,
    StreamLocator,
} from "../src";
import { logged, LOGGER, occupy, ONE, release, SITUATIONS, TWO } from "./explanationSituations";
import { takeStateSnapshot } from "./stateSnapshot";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

let coordinator: Coordinator | undefined;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "setInterval", "clearTimeout", "clearInterval", "Date", "performance"] });
});

afterEach(() => {
    coordinator?.stop();
    vi.useRealTimers();
});

function describeDecision({ decision }: PlaceExplanation): string {
    return decision.kind === "granted" ? decision.endpointId : decision.kind === "waits" ? "waits" : decision.reason;
}

/** Checks that the outcome is what was explained. */
function expectAgreement({ decision }: PlaceExplanation, outcome: PlaceOutcome | undefined): void {
    if (decision.kind === "waits") {
        expect(outcome).toBeUndefined();
        return;
    }
    expect(outcome).toMatchObject(
        decision.kind === "granted" ? { kind: "placed", endpointId: decision.endpointId } : { ...decision },
    );
}

async function decide(placed: Promise<PlaceOutcome>): Promise<PlaceOutcome | undefined> {
    return Promise.race([placed, new Promise<undefined>(resolve => setImmediate(() => resolve(undefined)))]);
}

describe("the explanation of a coordinator", () => {
    it.each(SITUATIONS)(
        "is what it then decides, and changes nothing, where $what: $expected",
        async ({ endpoints, options, prepare, request: changes, expected }) => {
            const granter = startTestCoordinator({ endpoints, logger: LOGGER, ...options?.() });
            coordinator = granter;
            await prepare?.(granter);
            const request = newTestRequest(changes);
            const stateBefore = takeStateSnapshot(granter);
            const timersBefore = vi.getTimerCount();
            const linesBefore = logged.length;

            const explanation = granter.explain({ ask: request });

            expect(takeStateSnapshot(granter)).toEqual(stateBefore);
            expect(vi.getTimerCount()).toBe(timersBefore);
            expect(logged).toHaveLength(linesBefore);
            expect(describeDecision(explanation)).toBe(expected);
            expect(granter.explain({ ask: request })).toEqual(explanation);
            const { candidates, decision } = explanation;
            if (decision.kind === "granted" && request.workClass === "online") {
                expect(candidates[0]).toMatchObject({ endpointId: decision.endpointId, obstacle: undefined });
            }
            expectAgreement(explanation, await decide(granter.place(request)));
        },
    );

    it("names the wait that the request is then told", async () => {
        const granter = startTestCoordinator({ endpoints: ONE });
        coordinator = granter;
        const [placeId = ""] = await occupy(granter, 1);
        const request = newTestRequest({ usefulForMs: 2_500, targetLatencyMs: 2_500 });
        const { decision, queue } = granter.explain({ ask: request });
        expect(decision).toMatchObject({ kind: "waits", expectedWaitMs: queue.expectedWaitMs });
        const placed = granter.place(request);
        await vi.advanceTimersByTimeAsync(1);
        release(granter, placeId);
        expect(await placed).toMatchObject({
            kind: "placed",
            expectedWaitMs: decision.kind === "waits" ? decision.expectedWaitMs : -1,
        });
    });

    it("notices that its own comparison would show a change of the state", async () => {
        const granter = startTestCoordinator({ endpoints: ONE });
        coordinator = granter;
        const before = takeStateSnapshot(granter);
        await occupy(granter, 1);
        expect(takeStateSnapshot(granter)).not.toEqual(before);
    });

    it.each([
        { what: "drains", entry: newTestEndpoint({ state: "draining" }), obstacle: "not-ready" },
        { what: "has no slot", entry: newTestEndpoint({ slots: 0 }), obstacle: "no-slot" },
        { what: "is excluded", entry: newTestEndpoint(), changes: { excluded: ["e"] }, obstacle: "excluded" },
        {
            what: "is in no allowed region",
            entry: newTestEndpoint(),
            changes: { allowedRegions: ["elsewhere"] },
            obstacle: "region",
        },
        {
            what: "has another version",
            entry: newTestEndpoint(),
            changes: { softwareVersion: "v9" },
            obstacle: "version",
        },
    ])("says of an endpoint that $what that the obstacle is $obstacle", ({ entry, changes, obstacle }) => {
        coordinator = startTestCoordinator({ endpoints: [entry] });
        const { candidates } = coordinator.explain({ ask: newTestRequest(changes) });
        expect(candidates).toMatchObject([{ endpointId: "e", obstacle }]);
    });

    it("lists 32 of many endpoints and counts all", () => {
        const endpoints = Array.from({ length: 100 }, (_, index) => newTestEndpoint({ endpointId: `e${index}` }));
        coordinator = startTestCoordinator({ endpoints });
        const { candidates, candidateCount } = coordinator.explain({ ask: newTestRequest() });
        expect(candidates).toHaveLength(32);
        expect(candidateCount).toBe(100);
    });

    it("says whether a job would be admitted, and reserves no tokens for it", () => {
        coordinator = startTestCoordinator({ endpoints: ONE });
        coordinator.updateJobs(new Map());
        const job = { jobId: "j", organisation: "o", route: "jobs", tokens: 60, maxWaitingTokens: 100 };
        const ask = newTestRequest({ workClass: "batch" });
        expect(coordinator.explain({ ask, job }).job).toEqual({ kind: "admitted" });
        expect(coordinator.explain({ ask, job }).job).toEqual({ kind: "admitted" });
        coordinator.jobs.admit(job);
        const other = { ...job, jobId: "k" };
        expect(coordinator.explain({ ask, job: other }).job).toEqual({ kind: "full", waitingTokens: 60 });
        expect(coordinator.jobs.admit(other)).toEqual({ kind: "full", waitingTokens: 60 });
    });
});

describe("the explanation of an instance alone", () => {
    function newAlone(): AloneGranter {
        const view = new FleetView(1_200);
        view.applyMembers({ revision: 1, value: [TEST_MEMBER] });
        view.applyEndpoints({ revision: 1, value: TWO });
        const granter = new AloneGranter({
            self: TEST_MEMBER,
            view,
            statements: new EndpointStatements(new GranterReports([]), LOGGER),
            streams: new StreamLocator(view.softwareVersions),
            promptEvidence: new PromptEvidence(),
            crashTracker: new CrashTracker(),
            getRegion: () => "",
            countPlacesOfOthers: () => 0,
            getTokensOfOthers: () => 0,
            preempt: () => undefined,
            hedgeExtraFraction: 0,
        });
        granter.onViewChanged();
        return granter;
    }

    it.each<{ what: string; placed: number; request: Partial<PlaceRequest>; expected: string; }>([
        { what: "all endpoints are idle", placed: 0, request: {}, expected: "near" },
        { what: "the local endpoint is full", placed: 2, request: {}, expected: "far" },
        { what: "all endpoints are full", placed: 4, request: {}, expected: "waits" },
        { what: "the wait would be too long", placed: 4, request: { usefulForMs: 100 }, expected: "overloaded" },
        {
            what: "its part of the rate is used up",
            placed: 1,
            request: { rate: { ratePerS: 1, burst: 1 } },
            expected: "rate-limited",
        },
    ])("is what it then decides, and changes nothing, where $what", async ({ placed, request: changes, expected }) => {
        const granter = newAlone();
        const { signal } = new AbortController();
        vi.spyOn(Math, "random").mockReturnValue(0);
        for (let index = 0; index < placed; index += 1) {
            await granter.place(newTestRequest(changes), signal);
        }
        const request = newTestRequest(changes);
        const stateBefore = takeStateSnapshot(granter);
        const explanation = granter.explain(request);
        expect(takeStateSnapshot(granter)).toEqual(stateBefore);
        expect(describeDecision(explanation)).toBe(expected);
        expectAgreement(explanation, await decide(granter.place(request, signal)));
        vi.restoreAllMocks();
    });
});
