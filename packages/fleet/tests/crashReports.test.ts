import type { BlockedPrompt, EndpointCrash } from "@heatherline/common";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type Coordinator, FleetView, type PlaceRequest, PromptEvidence, type SyncRequest } from "../src";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

/** After this time, the first request with blocked parts is a trial. */
const FIRST_TRIAL_MS = 6_000;

let saved: { prompt: BlockedPrompt; isEnded: boolean; }[];

beforeEach(() => {
    vi.useFakeTimers();
    saved = [];
});

afterEach(() => {
    vi.useRealTimers();
});

function startCoordinator(view?: FleetView): Coordinator {
    return startTestCoordinator({
        endpoints: [newTestEndpoint()],
        saveBlockedPrompt: (prompt, isEnded) => saved.push({ prompt, isEnded }),
        ...view === undefined ? {} : { view },
    });
}

function newCrash(request: number): EndpointCrash {
    return {
        reportId: `r${request}`,
        endpointId: `e${request}`,
        fingerprint: `f${request}`,
        promptParts: ["bad"],
        ageMs: 10_000 - 1_000 * request,
    };
}

function newSync(crashes: readonly EndpointCrash[]): SyncRequest {
    return {
        member: { ...TEST_MEMBER, instanceId: "b" },
        known: { config: 0, endpoints: 1, evacuated: 0, members: 1, blockedPrompts: 0 },
        places: [],
        crashes,
        jobs: [],
        isStoreFailing: false,
        waitMs: 0,
    };
}

async function report(coordinator: Coordinator, crashes: readonly EndpointCrash[]): Promise<void> {
    const reply = coordinator.handleSync(newSync(crashes));
    await vi.advanceTimersByTimeAsync(1);
    await reply;
}

function newRequest(changes: Partial<PlaceRequest> = {}): PlaceRequest {
    return newTestRequest({
        askId: "ask",
        instanceId: "b",
        giveUpAfterMs: 1_000,
        dueInMs: 1_000,
        fingerprint: "f",
        promptParts: ["all", "bad"],
        ...changes,
    });
}

async function place(coordinator: Coordinator, changes: Partial<PlaceRequest> = {}): Promise<string> {
    const outcome = await coordinator.place(newRequest(changes));
    return outcome.kind === "placed" ? "placed" : outcome.reason;
}

describe("a new coordinator", () => {
    it("blocks parts for crashes that instances have reported to the one before", async () => {
        const coordinator = startCoordinator();
        expect(await place(coordinator)).toBe("placed");
        await report(coordinator, [newCrash(1), newCrash(2)]);
        expect(await place(coordinator)).toBe("placed");
        await report(coordinator, [newCrash(2), newCrash(3)]);
        expect(await place(coordinator)).toBe("crashes-endpoints");
        expect(await place(coordinator, { promptParts: ["all"] })).toBe("placed");
        expect(saved.map(({ prompt, isEnded }) => [prompt.parts, isEnded])).toEqual([[["bad"], false]]);
        coordinator.stop();
    });

    it("knows the blocks that its view has from the store", async () => {
        const view = new FleetView(1_200);
        const prompt = { blockId: "b", parts: ["bad"], trials: 0, laterCrashes: 0, blockedAt: Date.now() };
        view.applyBlockedPrompts({ revision: 5, value: [prompt] });
        const coordinator = startCoordinator(view);
        expect(await place(coordinator)).toBe("crashes-endpoints");
        expect(await place(coordinator, { workClass: "batch", promptParts: undefined })).toBe("placed");
        coordinator.stop();
    });

    it("does not count a trial that is refused for another reason", async () => {
        const coordinator = startCoordinator();
        coordinator.recordCrashes([newCrash(1), newCrash(2), newCrash(3)]);
        await vi.advanceTimersByTimeAsync(FIRST_TRIAL_MS);
        expect(await place(coordinator, { service: "unknown" })).toBe("no-endpoint");
        expect([await place(coordinator), await place(coordinator)]).toEqual(["placed", "crashes-endpoints"]);
        coordinator.stop();
    });
});

describe("an instance", () => {
    it("reports its crashes of the last two minutes, and successes of a part twice a second at most", () => {
        const evidence = new PromptEvidence();
        const crash = { reportId: "r", endpointId: "e", fingerprint: "f", promptParts: ["all", "bad"] };
        expect(evidence.recordSuccess(["all"])).toEqual(["all"]);
        expect(evidence.recordSuccess(["all"])).toEqual([]);
        expect(evidence.recordCrash(crash)?.promptParts).toEqual(["bad"]);
        vi.advanceTimersByTime(501);
        expect(evidence.recordSuccess(["all"])).toEqual(["all"]);
        expect(evidence.getRecentCrashes()).toMatchObject([{ reportId: "r", ageMs: 501 }]);
        vi.advanceTimersByTime(120_000);
        expect(evidence.getRecentCrashes()).toEqual([]);
    });

    it("is sent the blocks with the coordinator's updates, and none if it is of an earlier release", () => {
        const view = new FleetView(1_200);
        const prompt = { blockId: "b", parts: ["bad"], trials: 0, laterCrashes: 0, blockedAt: 1 };
        view.applyBlockedPrompts({ revision: 5, value: [prompt] });
        const known = { config: 0, endpoints: 0, evacuated: 0, members: 0 };
        const receiver = new FleetView(1_200);
        receiver.applyUpdate(view.newUpdateFor(receiver.getRevisions()), 0);
        expect(receiver.blockedPrompts).toEqual([prompt]);
        expect(view.newUpdateFor(receiver.getRevisions()).blockedPrompts).toBeUndefined();
        expect(view.newUpdateFor(known).blockedPrompts).toBeUndefined();
    });
});
