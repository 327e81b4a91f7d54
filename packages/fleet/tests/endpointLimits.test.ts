import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    Dispatcher,
    EndpointLimits,
    FallbackShares,
    type MemberEntry,
    type PlaceOutcome,
    RequestRateLimiter,
    type SyncRequest,
} from "../src";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
    vi.restoreAllMocks();
});

const OLD = { endpointId: "e", startedAt: 1 };
const NEW = { endpointId: "e", startedAt: 2 };
const UNDATED = { endpointId: "e", startedAt: undefined };

describe("limits that endpoints have named", () => {
    it.each([
        { what: "one that is named", statements: [{ ...OLD, ratePerS: 3, ageMs: 0 }], of: OLD, ratePerS: 3 },
        {
            what: "another value",
            statements: [{ ...OLD, ratePerS: 3, ageMs: 50 }, { ...OLD, ratePerS: 2, ageMs: 0 }],
            of: OLD,
            ratePerS: 2,
        },
        {
            what: "an older value that is reported late",
            statements: [{ ...OLD, ratePerS: 2, ageMs: 0 }, { ...OLD, ratePerS: 3, ageMs: 50 }],
            of: OLD,
            ratePerS: 2,
        },
        {
            what: "none in the response to a request that was sent after the limit had been named",
            statements: [{ ...OLD, ratePerS: 3, ageMs: 50 }, { ...OLD, ratePerS: undefined, ageMs: 10 }],
            of: OLD,
            ratePerS: undefined,
        },
        {
            what: "none in the response to a request that was sent before",
            statements: [{ ...OLD, ratePerS: 3, ageMs: 50 }, { ...OLD, ratePerS: undefined, ageMs: 100 }],
            of: OLD,
            ratePerS: 3,
        },
        {
            what: "a limit of before its end, reported after it",
            statements: [
                { ...OLD, ratePerS: 3, ageMs: 50 },
                { ...OLD, ratePerS: undefined, ageMs: 10 },
                { ...OLD, ratePerS: 3, ageMs: 30 },
            ],
            of: OLD,
            ratePerS: undefined,
        },
        { what: "a new process", statements: [{ ...OLD, ratePerS: 3, ageMs: 0 }], of: NEW, ratePerS: undefined },
        {
            what: "a new process with a limit, and a late response of the old one",
            statements: [{ ...NEW, ratePerS: 3, ageMs: 50 }, { ...OLD, ratePerS: 1, ageMs: 0 }],
            of: NEW,
            ratePerS: 3,
        },
        {
            what: "a process without a start",
            statements: [{ ...UNDATED, ratePerS: 3, ageMs: 0 }],
            of: UNDATED,
            ratePerS: 3,
        },
        { what: "a limit of 0", statements: [{ ...OLD, ratePerS: 0, ageMs: 0 }], of: OLD, ratePerS: 0.25 },
    ])("are $ratePerS after $what", ({ statements, of, ratePerS }) => {
        const limits = new EndpointLimits();
        vi.advanceTimersByTime(1_000);
        statements.forEach(statement => limits.record(statement));
        expect(limits.getRatePerS(of)).toBe(ratePerS);
        expect(limits.getAll().filter(({ startedAt }) => startedAt === of.startedAt)).toHaveLength(
            ratePerS === undefined ? 0 : 1,
        );
    });

    it("stay while the endpoint's registration lapses, and for long without a response", () => {
        const limits = new EndpointLimits();
        limits.record({ ...OLD, ratePerS: 3, ageMs: 0 });
        vi.advanceTimersByTime(3_600_000);
        expect(limits.getRatePerS(OLD)).toBe(3);
    });
});

describe("the limiter of requests to one endpoint", () => {
    it.each([0.25, 0.9, 2.8, 3, 40])("sends %d a second, and in no 4 s more than a second's worth more", ratePerS => {
        const limiter = new RequestRateLimiter();
        const sentAtMs: number[] = [];
        for (let atMs = 0; atMs < 40_000; atMs += 5) {
            while (limiter.getWaitMs(ratePerS) === 0) {
                limiter.recordSend();
                sentAtMs.push(atMs);
            }
            vi.advanceTimersByTime(5);
        }
        const most = Math.max(
            ...sentAtMs.map(start => sentAtMs.filter(at => at >= start && at < start + 4_000).length),
        );
        expect(most).toBeLessThanOrEqual(4 * ratePerS + Math.max(1, ratePerS));
        expect(sentAtMs.length).toBeGreaterThanOrEqual(Math.floor(0.95 * 40 * ratePerS) - 1);
    });
});

function newDispatcher(limits: Record<string, number | undefined>, preempted: string[] = []): Dispatcher {
    const dispatcher = new Dispatcher({
        getCapacity: ({ slots }) => slots,
        getColdRatePerS: () => 0,
        getLimitPerS: ({ endpointId }) => limits[endpointId],
        getStreamDelayMs: () => 0,
        getRegion: () => "",
        preempt: ({ placeId }) => preempted.push(placeId),
    });
    dispatcher.setEndpoints(Object.keys(limits).map(endpointId => newTestEndpoint({ endpointId })));
    return dispatcher;
}

async function settleSoon(outcome: Promise<PlaceOutcome>): Promise<PlaceOutcome | undefined> {
    const result = Promise.race([outcome, new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), 1))]);
    await vi.advanceTimersByTimeAsync(1);
    return result;
}

describe("places at endpoints with limits", () => {
    it("refuses at once what the limit doesn't let be served in time, and says when it can be", async () => {
        const dispatcher = newDispatcher({ e: 1 });
        const outcome = await settleSoon(dispatcher.place(newTestRequest()));
        expect(outcome).toMatchObject({ kind: "refused", reason: "overloaded" });
        const retryAfterMs = outcome?.kind === "refused" ? outcome.retryAfterMs : 0;
        expect(retryAfterMs).toBeGreaterThan(500);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(await settleSoon(dispatcher.place(newTestRequest()))).toMatchObject({ kind: "placed" });
    });

    it("starts without any that have accrued, and again after a time without a limit", async () => {
        const limits: Record<string, number | undefined> = { e: 4 };
        const dispatcher = newDispatcher(limits);
        const countFree = () => dispatcher.getQueueStats("lm").free;
        expect(countFree()).toBe(0);
        await vi.advanceTimersByTimeAsync(1_000);
        expect(countFree()).toBe(4);
        limits.e = undefined;
        expect(countFree()).toBe(8);
        await vi.advanceTimersByTimeAsync(10_000);
        limits.e = 4;
        expect(countFree()).toBe(0);
    });

    it("places a request that waits as soon as the limit lets it", async () => {
        const dispatcher = newDispatcher({ e: 10 });
        const outcome = dispatcher.place(newTestRequest());
        expect(await settleSoon(outcome)).toBeUndefined();
        await vi.advanceTimersByTimeAsync(110);
        expect(await settleSoon(outcome)).toMatchObject({ kind: "placed" });
    });

    it("preempts batch items only where the request may then be sent", async () => {
        const preempted: string[] = [];
        const limits: Record<string, number> = { e: 100 };
        const dispatcher = newDispatcher(limits, preempted);
        const items = Array.from({ length: 8 }, () => dispatcher.place(newTestRequest({ workClass: "batch" })));
        await vi.advanceTimersByTimeAsync(1_000);
        await Promise.all(items);
        limits.e = 0.25;
        vi.spyOn(Math, "random").mockReturnValue(0);
        dispatcher.restartLimits();
        void dispatcher.place(newTestRequest({ usefulForMs: 60_000, giveUpAfterMs: 60_000 }));
        await vi.advanceTimersByTimeAsync(500);
        expect(preempted).toEqual([]);
        await vi.advanceTimersByTimeAsync(4_000);
        expect(preempted).toHaveLength(1);
    });

    it.each([1, 4, 33])("has shares of %d instances alone that add up to no more than the limit", count => {
        const members = Array.from({ length: count }, (_, index): MemberEntry => ({
            instanceId: `i${index}`,
            incarnation: "1",
            host: "h",
            rpcPort: 1,
            dataCentre: "east",
            processorShare: 1,
        }));
        const shares = new FallbackShares(members);
        const entry = newTestEndpoint();
        const sum = members.reduce((total, { instanceId }) => total + shares.getSlots(entry, instanceId), 0);
        expect(sum / entry.slots).toBe(1);
    });
});

describe("a coordinator that has just taken over", () => {
    const limit = { ...OLD, ratePerS: 2, ageMs: 500 };

    function newSync(limits: SyncRequest["limits"]): SyncRequest {
        return {
            member: { ...TEST_MEMBER, instanceId: "b" },
            known: { config: 0, endpoints: 1, evacuated: 0, members: 1 },
            places: [],
            limits,
            jobs: [],
            isStoreFailing: false,
            waitMs: 0,
        };
    }

    it.each([
        { what: "an instance reports", startedAt: 1, limits: [limit], granted: 2 },
        { what: "nobody reports", startedAt: 1, limits: undefined, granted: 8 },
        { what: "an instance reports of an earlier process", startedAt: 2, limits: [limit], granted: 8 },
    ])("keeps to the limits that $what: grants $granted places in a second", async ({ startedAt, limits, granted }) => {
        const coordinator = startTestCoordinator({ endpoints: [newTestEndpoint({ startedAt })] });
        void coordinator.handleSync(newSync(limits));
        const outcomes = Array.from(
            { length: 12 },
            () => coordinator.place(newTestRequest({ usefulForMs: 60_000, giveUpAfterMs: 60_000 })),
        );
        let places = 0;
        outcomes.forEach(outcome => void outcome.then(({ kind }) => places += Number(kind === "placed")));
        await vi.advanceTimersByTimeAsync(1_050);
        expect(places).toBe(granted);
        coordinator.stop();
    });

    it("tells with the place that the endpoint has named a limit", async () => {
        const coordinator = startTestCoordinator({ endpoints: [newTestEndpoint({ startedAt: 1 })] });
        coordinator.recordLimits([limit]);
        const outcome = coordinator.place(newTestRequest({ usefulForMs: 60_000 }));
        await vi.advanceTimersByTimeAsync(600);
        expect(await outcome).toMatchObject({ kind: "placed", limit: { ...OLD, ratePerS: 2 } });
        coordinator.stop();
    });
});
