import type { Logger } from "@heatherline/common";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type CoordinatorLink, FleetView, type PlaceGranter, PlacementClient, type PlaceOutcome } from "../src";
import { TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

const logger = { info: () => undefined } as unknown as Logger;
const ENDPOINT = newTestEndpoint({ endpointId: "e", slots: 100 });
const PLACED: PlaceOutcome = { kind: "placed", placeId: "p", endpointId: "e", expectedWaitMs: 0 };
/** Time that the slowest callers of the platform give for a whole request. */
const SHORT_DEADLINE_MS = 1_000;

/** How long a coordinator takes to reply, which may change. */
let replyMs: number;
let client: PlacementClient;

beforeEach(() => {
    vi.useFakeTimers();
    const view = new FleetView(1_200);
    view.applyMembers({ revision: 1, value: [TEST_MEMBER] });
    view.applyEndpoints({ revision: 1, value: [ENDPOINT] });
    const call = async (_method: string, _params: object, timeoutMs: number) => {
        await new Promise(resolve => setTimeout(resolve, Math.min(timeoutMs, replyMs)));
        return replyMs < timeoutMs ? { kind: "outcome", outcome: PLACED } : undefined;
    };
    const newGranter = (decider: PlaceGranter["decider"], isConnected: boolean): PlaceGranter => ({
        decider,
        link: {
            coordinator: isConnected ? TEST_MEMBER : undefined,
            disconnectSignal: new AbortController().signal,
            call,
        } as unknown as CoordinatorLink,
        getLocal: () => undefined,
        placeMethod: "",
        releaseMethod: "",
    });
    client = new PlacementClient(
        TEST_MEMBER,
        view,
        newGranter("coordinator", true),
        newGranter("deputy", false),
        dataCentre => dataCentre,
        logger,
    );
    client.onViewChanged();
});
afterEach(() => {
    vi.useRealTimers();
});

/** @returns Who decided, and after how long. */
async function request(): Promise<{ decidedBy: string; afterMs: number; }> {
    const startedAtMs = performance.now();
    const requested = client.requestPlace({ ...newTestRequest(), signal: new AbortController().signal });
    const settled = requested.then(outcome => ({
        decidedBy: outcome.kind === "placed" ? outcome.place.givenBy : outcome.decidedBy,
        afterMs: performance.now() - startedAtMs,
    }));
    await vi.advanceTimersByTimeAsync(3_000);
    return settled;
}

// Guards against short requests that spend their whole time on a coordinator that doesn't reply, and never run.
describe("a place request while the coordinator is connected and doesn't reply", () => {
    it("is decided without it within half of a short deadline", async () => {
        replyMs = Infinity;
        const { decidedBy, afterMs } = await request();
        expect(decidedBy).toBe("alone");
        expect(afterMs).toBeLessThanOrEqual(SHORT_DEADLINE_MS / 2);
    });

    it("is decided sooner once others have waited in vain, but for one that probes now and then", async () => {
        replyMs = Infinity;
        await request();
        const decided = Array.from({ length: 20 }, async (_, index) => {
            await new Promise(resolve => setTimeout(resolve, index * 50));
            const atMs = performance.now();
            await client.requestPlace({ ...newTestRequest(), signal: new AbortController().signal });
            return performance.now() - atMs;
        });
        await vi.advanceTimersByTimeAsync(3_000);
        const durationsMs = await Promise.all(decided);
        expect(durationsMs.filter(ms => ms > 100).length).toBeLessThanOrEqual(3);
    });

    it.each([
        { what: "at once", laterReplyMs: 1 },
        { what: "late, but in time", laterReplyMs: 400 },
    ])("is decided by it again as soon as it replies $what", async ({ laterReplyMs }) => {
        replyMs = Infinity;
        await request();
        replyMs = laterReplyMs;
        const decisions = [await request(), await request()];
        expect(decisions).toEqual([
            { decidedBy: "coordinator", afterMs: laterReplyMs },
            { decidedBy: "coordinator", afterMs: laterReplyMs },
        ]);
    });
});
