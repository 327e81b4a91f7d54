import type { Logger } from "@heatherline/common";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Coordinator, MemberEntry, SyncRequest } from "../src";
import { startTestCoordinator } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";

const INSTANCES = 165;
const SLOTS = 8;
const REVIEW_MS = 150;
const BLOCKED_MS = 4_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

function newMember(index: number): MemberEntry {
    const instanceId = `instance-${index}`;
    return { instanceId, incarnation: "1", host: "127.0.0.1", rpcPort: 1, dataCentre: "east", processorShare: 1 };
}

function newSync(index: number, placeIds: readonly string[]): SyncRequest {
    return {
        member: newMember(index),
        known: { config: 0, endpoints: 1, evacuated: 0, members: 1 },
        places: placeIds.map(placeId => ({
            placeId,
            endpointId: `endpoint-${index}`,
            service: "lm",
            workClass: "online",
            organisation: "alpha",
            dueInMs: 1_000,
            remainingMs: 0,
        })),
        jobs: [],
        isStoreFailing: false,
        waitMs: 0,
    };
}

function startCoordinator() {
    const events: string[] = [];
    const logger = { info: ({ event }: { event: string; }) => events.push(event) } as unknown as Logger;
    const coordinator = startTestCoordinator({
        self: newMember(0),
        members: Array.from({ length: INSTANCES }, (_, index) => newMember(index)),
        endpoints: Array.from(
            { length: INSTANCES },
            (_, index) => newTestEndpoint({ endpointId: `endpoint-${index}`, slots: SLOTS }),
        ),
        logger,
    });
    return { coordinator, events };
}

async function syncAll(coordinator: Coordinator): Promise<void> {
    const syncs = Array.from(
        { length: INSTANCES - 1 },
        (_, index) => coordinator.handleSync(newSync(index + 1, [`place-${index + 1}`])),
    );
    await vi.advanceTimersByTimeAsync(1);
    await Promise.all(syncs);
}

function countUsed(coordinator: Coordinator): number {
    return INSTANCES * SLOTS - (coordinator.getServiceStats()[0]?.free ?? 0);
}

describe("a coordinator whose process was blocked or suspended", () => {
    it("doesn't give the places of live instances to others before it has read their heartbeats", async () => {
        const { coordinator, events } = startCoordinator();
        await syncAll(coordinator);
        await vi.advanceTimersByTimeAsync(REVIEW_MS);
        expect(countUsed(coordinator)).toBe(INSTANCES - 1);
        vi.setSystemTime(Date.now() + BLOCKED_MS);
        await vi.advanceTimersByTimeAsync(REVIEW_MS - 1);
        await syncAll(coordinator);
        await vi.advanceTimersByTimeAsync(4 * REVIEW_MS);
        expect(events).not.toContain("places-freed");
        coordinator.stop();
    });

    it("counts all that are heard again with one review, not with one for each", async () => {
        const { coordinator, events } = startCoordinator();
        await syncAll(coordinator);
        await vi.advanceTimersByTimeAsync(REVIEW_MS);
        vi.setSystemTime(Date.now() + BLOCKED_MS);
        await vi.advanceTimersByTimeAsync(REVIEW_MS);
        events.splice(0);
        await syncAll(coordinator);
        await vi.advanceTimersByTimeAsync(REVIEW_MS);
        expect(events.filter(event => event === "silent-instances")).toHaveLength(1);
        coordinator.stop();
    });

    it("gives the places of an instance to others that stays silent", async () => {
        const { coordinator, events } = startCoordinator();
        await syncAll(coordinator);
        await vi.advanceTimersByTimeAsync(BLOCKED_MS);
        expect(events.filter(event => event === "places-freed")).toHaveLength(INSTANCES - 1);
        coordinator.stop();
    });
});
