import type { Logger } from "@heatherline/common";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type Coordinator, type CoordinatorLink, FleetView, type PlaceGranter, PlacementClient } from "../src";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

const logger = { info: () => undefined } as unknown as Logger;
const ENDPOINTS = ["v1", "v2"].map(softwareVersion =>
    newTestEndpoint({ endpointId: softwareVersion, softwareVersion })
);
const RESUMED = { requestId: "r", services: ["lm"] };

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("a request of an instance that has just lost the coordinator", () => {
    it.each([
        {
            what: "goes on with a stream",
            foundAfterMs: 300,
            resumedStream: RESUMED,
            expected: "v2",
            decidedAfterMs: 320,
        },
        {
            what: "goes on with a stream, in vain",
            foundAfterMs: undefined,
            resumedStream: RESUMED,
            expected: "origin-unknown, retry after 500",
            decidedAfterMs: 820,
        },
        {
            what: "begins a stream",
            foundAfterMs: 300,
            resumedStream: undefined,
            expected: /^v/,
            decidedAfterMs: 0,
        },
        {
            what: "goes on with a stream, when the coordinator has been gone for long",
            lostBeforeMs: 5_000,
            foundAfterMs: undefined,
            resumedStream: RESUMED,
            expected: "origin-unknown, retry after 500",
            decidedAfterMs: 0,
        },
        {
            what: "goes on with a stream whose prompt is blocked",
            foundAfterMs: 300,
            resumedStream: undefined,
            softwareVersion: "v1",
            expected: "crashes-endpoints, retry after 0",
            decidedAfterMs: 0,
        },
    ])("that $what is decided within $decidedAfterMs ms: $expected", async (
        { lostBeforeMs = 0, foundAfterMs, resumedStream, softwareVersion, expected, decidedAfterMs },
    ) => {
        const view = new FleetView(1_200);
        view.applyMembers({ revision: 1, value: [TEST_MEMBER] });
        view.applyEndpoints({ revision: 1, value: ENDPOINTS });
        const block = { blockId: "b", parts: ["bad"], trials: 0, laterCrashes: 0, blockedAt: Date.now() };
        view.applyBlockedPrompts({ revision: 1, value: [block] });
        let coordinator: Coordinator | undefined;
        const newGranter = (decider: PlaceGranter["decider"], getLocal: PlaceGranter["getLocal"]): PlaceGranter => ({
            decider,
            link: { coordinator: undefined, call: async () => undefined } as unknown as CoordinatorLink,
            getLocal,
            placeMethod: "",
            releaseMethod: "",
        });
        const client = new PlacementClient(
            TEST_MEMBER,
            view,
            newGranter("coordinator", () => coordinator),
            newGranter("deputy", () => undefined),
            () => "",
            logger,
        );
        client.onViewChanged();
        client.enterFallbackMode();
        await vi.advanceTimersByTimeAsync(lostBeforeMs);
        if (foundAfterMs !== undefined) {
            setTimeout(() => {
                coordinator = startTestCoordinator({ view, endpoints: ENDPOINTS });
                coordinator.adoptStreams([{ service: "lm", softwareVersion: "v2", requestIds: ["r"] }]);
            }, foundAfterMs);
        }
        let decision: string | undefined;
        const promptParts = softwareVersion === undefined ? [] : ["bad"];
        const request = newTestRequest({ resumedStream, softwareVersion, promptParts });
        void client.requestPlace({ ...request, signal: new AbortController().signal })
            .then(outcome => {
                decision = outcome.kind === "placed"
                    ? outcome.place.endpoint.endpointId
                    : `${outcome.reason}, retry after ${outcome.retryAfterMs}`;
            });
        await vi.advanceTimersByTimeAsync(Math.max(0, decidedAfterMs - 50));
        expect(decision === undefined).toBe(decidedAfterMs > 0);
        await vi.advanceTimersByTimeAsync(60);
        expect(decision).toMatch(expected);
        coordinator?.stop();
    });
});
