import type { BlockedPrompt, EndpointCrash, Logger } from "@heatherline/common";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Coordinator, FleetScope, FleetView, type PlaceRequest, PromptEvidence, type SyncRequest } from "../src";
import { newTestEndpoint } from "./testEndpoint";

const TOLERANCE = { windowMs: 5_000, overPart: 0.1, extraRequests: 20 };
const MEMBER = { instanceId: "a", incarnation: "1", host: "h", rpcPort: 1, dataCentre: "east", processorShare: 1 };
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

function startCoordinator(view = new FleetView(1_200)): Coordinator {
    view.applyMembers({ revision: 1, value: [MEMBER] });
    view.applyEndpoints({
        revision: 1,
        value: [newTestEndpoint()],
    });
    return new Coordinator(2, {
        self: MEMBER,
        view,
        scope: new FleetScope(view, 2, () => TOLERANCE),
        getRegion: () => "",
        getLeaseVersion: () => 1,
        isStoreFailing: () => false,
        preemptOwnPlace: () => undefined,
        recordStreams: () => undefined,
        saveBlockedPrompt: (prompt, isEnded) => saved.push({ prompt, isEnded }),
        logger: { info: () => undefined } as unknown as Logger,
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
        member: { ...MEMBER, instanceId: "b" },
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
    return {
        askId: "ask",
        instanceId: "b",
        dataCentre: "east",
        service: "lm",
        workClass: "online",
        organisation: "o",
        priority: 0,
        usefulForMs: 300,
        targetLatencyMs: 300,
        giveUpAfterMs: 1_000,
        dueInMs: 1_000,
        remainingMs: 0,
        excluded: [],
        allowedRegions: [],
        fingerprint: "f",
        promptParts: ["all", "bad"],
        rate: undefined,
        ...changes,
    };
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
