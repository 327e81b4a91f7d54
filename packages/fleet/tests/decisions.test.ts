import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    AgeTracker,
    CrashTracker,
    Dispatcher,
    type EndpointEntry,
    EndpointHealth,
    EndpointPool,
    EndpointRegistry,
    FleetView,
    getElapsedMs,
    intersectRegions,
    JobTracker,
    newTimestamp,
    type PlaceRequest,
    SendWindow,
} from "../src";
import { newTestEndpoint } from "./testEndpoint";

/** How often endpoints renew their registrations. */
const RENEWAL_MS = 1_200;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function newEntry(endpointId: string, changes: Partial<EndpointEntry> = {}): EndpointEntry {
    return newTestEndpoint({ endpointId, ...changes });
}

describe("the registry of endpoints", () => {
    it.each([
        { what: "without an outage", outageMs: 0, recoveryAgeMs: 0, waitMs: 0, gone: 1, isKept: false },
        { what: "at the end of a long outage", outageMs: 3_000, recoveryAgeMs: 0, waitMs: 0, gone: 1, isKept: true },
        { what: "1.9 s after a long outage", outageMs: 3_000, recoveryAgeMs: 1_900, waitMs: 0, gone: 1, isKept: true },
        { what: "2.1 s after a long outage", outageMs: 3_000, recoveryAgeMs: 2_100, waitMs: 0, gone: 1, isKept: false },
        {
            what: "at the end of a long outage, 2.1 s later",
            outageMs: 3_000,
            recoveryAgeMs: 0,
            waitMs: 2_100,
            gone: 1,
            isKept: false,
        },
        {
            what: "1.9 s after a long outage, 0.2 s later",
            outageMs: 3_000,
            recoveryAgeMs: 1_900,
            waitMs: 200,
            gone: 1,
            isKept: false,
        },
        {
            what: "at the end of an outage too short for entries to lapse",
            outageMs: 1_270,
            recoveryAgeMs: 0,
            waitMs: 0,
            gone: 1,
            isKept: false,
        },
        {
            what: "with most others at the end of a short outage",
            outageMs: 400,
            recoveryAgeMs: 0,
            waitMs: 0,
            gone: 2,
            isKept: true,
        },
        { what: "with all others without an outage", outageMs: 0, recoveryAgeMs: 0, waitMs: 0, gone: 3, isKept: false },
    ])("an entry that disappears $what: kept is $isKept", ({ outageMs, recoveryAgeMs, waitMs, gone, isKept }) => {
        const registry = new EndpointRegistry();
        const entries = ["a", "b", "c"].map(id => newEntry(id));
        registry.replaceAll(entries, RENEWAL_MS);
        if (outageMs > 0) {
            registry.recordStoreRecovery(outageMs);
        }
        vi.advanceTimersByTime(recoveryAgeMs);
        registry.replaceAll(entries.slice(gone), RENEWAL_MS);
        vi.advanceTimersByTime(waitMs);
        const ids = registry.getEntries().map(({ endpointId }) => endpointId).sort();
        expect(ids).toEqual(isKept ? ["a", "b", "c"] : ["a", "b", "c"].slice(gone));
    });

    it("drops a draining endpoint that disappears after an outage", () => {
        const registry = new EndpointRegistry();
        registry.replaceAll([newEntry("a", { state: "draining" })], RENEWAL_MS);
        registry.recordStoreRecovery(3_000);
        registry.replaceAll([], RENEWAL_MS);
        expect(registry.getEntries()).toEqual([]);
    });

    it("keeps a lapsed endpoint for as long as the instance that reported it does", () => {
        const sender = new FleetView(RENEWAL_MS);
        sender.applyEndpoints({ revision: 1, value: [newEntry("a"), newEntry("b")] });
        sender.recordStoreRecovery(3_000);
        vi.advanceTimersByTime(1_500);
        sender.applyEndpoints({ revision: 2, value: [newEntry("b")] });
        const receiver = new FleetView(RENEWAL_MS);
        receiver.applyUpdate(sender.newUpdateFor(receiver.getRevisions()), 0);
        expect(receiver.getEndpoints().map(({ endpointId }) => endpointId)).toEqual(["b", "a"]);
        vi.advanceTimersByTime(501);
        expect(receiver.getEndpoints().map(({ endpointId }) => endpointId)).toEqual(["b"]);
    });

    it("uses the list of an instance that reached the store, whatever outage others had", () => {
        const reader = new FleetView(RENEWAL_MS);
        reader.applyEndpoints({ revision: 1, value: [newEntry("a"), newEntry("b"), newEntry("c")] });
        const cutOff = new FleetView(RENEWAL_MS);
        cutOff.applyUpdate(reader.newUpdateFor(cutOff.getRevisions()), 0);
        cutOff.recordStoreRecovery(3_000);
        reader.applyUpdate(cutOff.newUpdateFor(reader.getRevisions()), 0);
        reader.applyEndpoints({ revision: 2, value: [newEntry("b"), newEntry("c")] });
        expect(reader.getEndpoints().map(({ endpointId }) => endpointId)).toEqual(["b", "c"]);
    });
});

describe("ages", () => {
    it("include the time for which the machine was suspended", () => {
        const age = new AgeTracker();
        const timestamp = newTimestamp();
        age.markCurrent(100);
        vi.setSystemTime(Date.now() + 4_000);
        expect(age.getAgeMs()).toBe(4_100);
        expect(getElapsedMs(timestamp)).toBe(4_000);
    });

    it("never shrink when the wall clock is set back", () => {
        const age = new AgeTracker();
        age.markCurrent(0);
        vi.advanceTimersByTime(500);
        vi.setSystemTime(Date.now() - 10_000);
        expect(age.getAgeMs()).toBe(500);
    });

    it("are not changed by older data", () => {
        const age = new AgeTracker();
        age.markCurrent(50);
        age.markCurrent(900);
        expect(age.getAgeMs()).toBe(50);
    });
});

describe("the health of an endpoint", () => {
    it.each(
        [
            { ends: ["unreachable"], isPaused: true },
            { ends: ["silent"], isPaused: true },
            { ends: ["broken", "broken"], isPaused: false },
            { ends: ["broken", "broken", "broken"], isPaused: true },
            { ends: ["broken", "broken", "done", "broken"], isPaused: false },
            { ends: ["failed", "failed", "failed"], isPaused: false },
            { ends: ["rejected", "rejected", "rejected"], isPaused: false },
            { ends: ["lost", "lost", "lost", "lost"], isPaused: false },
        ] as const,
    )("after $ends: paused is $isPaused", ({ ends, isPaused }) => {
        const health = new EndpointHealth();
        ends.forEach(end => health.recordEnd(end));
        expect(health.getPauseLeftMs() > 0).toBe(isPaused);
        expect(health.canAccept(0)).toBe(!isPaused);
    });

    it("allows one request at a time after a pause until one succeeds", () => {
        const health = new EndpointHealth();
        health.recordEnd("unreachable");
        vi.advanceTimersByTime(200);
        expect([health.canAccept(0), health.canAccept(1)]).toEqual([true, false]);
        health.recordEnd("done");
        expect(health.canAccept(1)).toBe(true);
    });
});

describe("an endpoint that fails part of its requests", () => {
    it.each(
        [
            { ends: ["failed", "done", "broken", "done", "failed"], isPreferred: false },
            { ends: ["silent"], isPreferred: false },
            { ends: ["done", "done", "done"], isPreferred: true },
            { ends: ["lost", "lost", "lost"], isPreferred: true },
        ] as const,
    )("after $ends: preferred to one of another data centre is $isPreferred", ({ ends, isPreferred }) => {
        const pool = new EndpointPool({
            getCapacity: ({ slots }) => slots,
            getColdRatePerS: () => 0,
            getLimitPerS: () => undefined,
            getStreamDelayMs: () => 0,
            getRegion: () => "",
        });
        pool.setEntries([newEntry("near"), newEntry("far", { dataCentre: "west" })]);
        for (const [index, end] of ends.entries()) {
            const place = {
                placeId: `p${index}`,
                endpointId: "near",
                instanceId: "i",
                service: "lm",
                workClass: "online" as const,
                organisation: "alpha",
                grantedAtMs: 0,
                dueAtMs: 0,
                finishAtMs: 0,
                isPreempted: false,
            };
            pool.addPlace(place);
            pool.removePlace(place, end);
        }
        const request = {
            askId: "a",
            instanceId: "i",
            dataCentre: "east",
            service: "lm",
            workClass: "online" as const,
            organisation: "alpha",
            priority: 0,
            usefulForMs: 300,
            targetLatencyMs: 300,
            giveUpAfterMs: 1_000,
            dueInMs: 0,
            remainingMs: 0,
            excluded: [],
            allowedRegions: [],
            fingerprint: "",
            rate: undefined,
        };
        expect(pool.pickEndpoint(request)?.entry.endpointId).toBe(isPreferred ? "near" : "far");
    });
});

describe("the rate limit of a cold endpoint", () => {
    it("holds in every second", () => {
        const window = new SendWindow();
        const sentAtMs: number[] = [];
        for (let atMs = 0; atMs < 4_000; atMs += 5) {
            if (window.getWaitMs(18) === 0) {
                window.recordSend();
                sentAtMs.push(atMs);
            }
            vi.advanceTimersByTime(5);
        }
        for (const fromMs of sentAtMs) {
            expect(sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length).toBeLessThanOrEqual(18);
        }
    });
});

describe("requests that crash endpoints", () => {
    it.each([
        { crashes: 1, heldMs: 0 },
        { crashes: 2, heldMs: 3_000 },
        { crashes: 3, heldMs: 20_000 },
        { crashes: 4, heldMs: 60_000 },
        { crashes: 9, heldMs: 60_000 },
        { crashes: 100, heldMs: 60_000 },
    ])("are held back for $heldMs ms after $crashes crashes", ({ crashes, heldMs }) => {
        const tracker = new CrashTracker();
        for (let count = 0; count < crashes; count += 1) {
            tracker.recordCrash("a", `p${count}`);
        }
        vi.advanceTimersByTime(Math.max(0, heldMs - 1));
        expect(tracker.mayRun("a")).toBe(heldMs === 0);
        vi.advanceTimersByTime(1);
        expect(tracker.mayRun("a")).toBe(true);
    });

    it.each([
        { crashes: 4, heldMs: 60_000 },
        { crashes: 5, heldMs: 600_000 },
        { crashes: 6, heldMs: 1_800_000 },
        { crashes: 8, heldMs: 1_800_000 },
    ])("are held back for $heldMs ms after $crashes crashes that come after the hold each", ({ crashes, heldMs }) => {
        const tracker = new CrashTracker();
        for (let count = 0; count < crashes; count += 1) {
            while (!tracker.mayRun("a")) {
                vi.advanceTimersByTime(1_000);
            }
            tracker.recordCrash("a", `p${count}`);
        }
        vi.advanceTimersByTime(heldMs - 1);
        expect(tracker.mayRun("a")).toBe(false);
        vi.advanceTimersByTime(1);
        expect(tracker.mayRun("a")).toBe(true);
    });

    it("are released by a response, and don't hold back others", () => {
        const tracker = new CrashTracker();
        tracker.recordCrash("a", "p1");
        tracker.recordCrash("a", "p2");
        expect([tracker.mayRun("a"), tracker.mayRun("b"), tracker.mayRun("")]).toEqual([false, true, true]);
        tracker.recordResponse("a");
        expect(tracker.mayRun("a")).toBe(true);
    });
});

describe("regions", () => {
    it.each([
        { route: [], organisation: [], allowed: [] },
        { route: ["a"], organisation: [], allowed: ["a"] },
        { route: [], organisation: ["b"], allowed: ["b"] },
        { route: ["a", "b"], organisation: ["b"], allowed: ["b"] },
        { route: ["a"], organisation: ["b"], allowed: undefined },
    ])("$route and $organisation allow $allowed", ({ route, organisation, allowed }) => {
        expect(intersectRegions(route, organisation)).toEqual(allowed);
    });
});

describe("the job tracker", () => {
    const request = { jobId: "j2", organisation: "alpha", route: "jobs", tokens: 60, maxWaitingTokens: 150 };

    function newTracker(): JobTracker {
        const tracker = new JobTracker(() => 7);
        const value = {
            jobId: "j1",
            organisation: "alpha",
            route: "jobs",
            submittedAt: 0,
            itemTokens: [50, 50],
            state: "open",
        };
        tracker.replaceAll(new Map([["j1", { path: "jobs/j1", version: 1, value }]]));
        return tracker;
    }

    function report(finishedTokens: number, handedOverBy = "") {
        return [{ jobId: "j1", finishedTokens, handedOverBy }];
    }

    it("counts what waits, what is finished, and what was just admitted", () => {
        const tracker = newTracker();
        expect(tracker.admit(request)).toEqual({ kind: "full", waitingTokens: 100 });
        tracker.recordProgress("x", report(50));
        expect(tracker.admit(request).kind).toBe("admitted");
        expect(tracker.admit({ ...request, jobId: "j3" })).toEqual({ kind: "full", waitingTokens: 110 });
        expect(tracker.admit(request).kind).toBe("admitted");
    });

    it("assigns a job that no instance runs, once", () => {
        const tracker = newTracker();
        expect(tracker.assignUnclaimed("x", ["x", "y"])).toEqual([]);
        vi.advanceTimersByTime(1_300);
        expect(tracker.assignUnclaimed("x", ["x", "y"])).toEqual(["j1"]);
        expect(tracker.assignUnclaimed("y", ["x", "y"])).toEqual([]);
        tracker.recordProgress("x", report(0));
        expect([tracker.assignUnclaimed("y", ["x", "y"]), tracker.findRunner("j1")]).toEqual([[], "x"]);
    });

    it("tells a runner that another one runs its job, unless the other handed it over", () => {
        const tracker = newTracker();
        tracker.recordProgress("x", report(0));
        expect(tracker.recordProgress("y", report(0))).toEqual({ closed: [], taken: ["j1"] });
        expect(tracker.recordProgress("z", report(0, "x"))).toEqual({ closed: [], taken: [] });
        expect(tracker.findRunner("j1")).toBe("z");
    });

    it("tells a runner which of its jobs are not open", () => {
        const tracker = newTracker();
        const unknown = [{ jobId: "gone", finishedTokens: 0, handedOverBy: "" }];
        expect(tracker.recordProgress("x", unknown)).toEqual({ closed: ["gone"], taken: [] });
    });
});

describe("a service whose only endpoint is paused", () => {
    async function newDispatcherWithPausedEndpoint(): Promise<Dispatcher> {
        const dispatcher = new Dispatcher({
            getCapacity: ({ slots }) => slots,
            getColdRatePerS: () => 0,
            getLimitPerS: () => undefined,
            getStreamDelayMs: () => 0,
            getRegion: () => "",
            preempt: () => undefined,
        });
        dispatcher.setEndpoints([newEntry("a")]);
        const outcome = await dispatcher.place(newPlaceRequest("first"));
        dispatcher.release(outcome.kind === "placed" ? outcome.placeId : "", "unreachable");
        return dispatcher;
    }

    it("holds the first request until the endpoint may be tried again, and refuses the next one at once", async () => {
        const dispatcher = await newDispatcherWithPausedEndpoint();
        const requestedAtMs = performance.now();
        const held = dispatcher.place(newPlaceRequest("held")).then((
            { kind },
        ) => [kind, performance.now() - requestedAtMs]);
        vi.advanceTimersByTime(1);
        const next = await dispatcher.place(newPlaceRequest("next"));
        expect(next).toMatchObject({ kind: "refused", reason: "no-endpoint" });
        await vi.advanceTimersByTimeAsync(200);
        const [kind, waitedMs] = await held;
        expect(kind).toBe("placed");
        expect(waitedMs).toBeLessThanOrEqual(160);
    });

    it("refuses at once a request that the pause would make late", async () => {
        const dispatcher = await newDispatcherWithPausedEndpoint();
        const outcome = await dispatcher.place({ ...newPlaceRequest("hurried"), usefulForMs: 100 });
        expect(outcome).toMatchObject({ kind: "refused", reason: "no-endpoint" });
    });
});

function newPlaceRequest(fingerprint: string): PlaceRequest {
    return {
        askId: fingerprint,
        instanceId: "east-1",
        dataCentre: "east",
        service: "lm",
        workClass: "online",
        organisation: "studio",
        priority: 0,
        usefulForMs: 300,
        targetLatencyMs: 300,
        giveUpAfterMs: 2_000,
        dueInMs: 300,
        remainingMs: 0,
        excluded: [],
        allowedRegions: [],
        fingerprint,
        rate: undefined,
    };
}
