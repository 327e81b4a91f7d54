import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Dispatcher, getSlotsAlone, type MemberEntry } from "../src";
import { type LoadPattern, LoadReplay, type NewDesks, type ReplayReport } from "./loadReplay";

const SEED = 20261204;
const INSTANCES = 6;

const members: MemberEntry[] = Array.from({ length: INSTANCES }, (_, index) => ({
    instanceId: `instance-${index}`,
    incarnation: "1",
    host: "127.0.0.1",
    rpcPort: 1,
    dataCentre: `dc-${index % 3}`,
    processorShare: 1,
}));

/** One queue for all instances. */
const oneQueue: NewDesks = callBack => [
    new Dispatcher({
        getCapacity: ({ slots }) => slots,
        getColdRatePerS: () => 0,
        getRegion: () => "",
        callBack: ({ placeId }) => callBack(placeId),
    }),
];

/** Each instance queues for its own part of each endpoint: what the one queue replaces. */
const staticParts: NewDesks = callBack =>
    members.map(({ instanceId }) =>
        new Dispatcher({
            getCapacity: entry => getSlotsAlone(entry, instanceId, members),
            getColdRatePerS: () => 0,
            getRegion: () => "",
            callBack: ({ placeId }) => callBack(placeId),
        })
    );

const trough = { lengthMs: 3_800, onlinePerS: 14, endpoints: 6 };
const peak = { lengthMs: 2_800, onlinePerS: 62, endpoints: 6 };
const steps: LoadPattern = { name: "steps", phases: [trough, peak, trough, peak], batchItems: 60 };
const endpointsLost: LoadPattern = {
    name: "a third of the endpoints lost at a peak",
    phases: [trough, { ...peak, endpoints: 4 }, trough],
    batchItems: 40,
};
const flood: LoadPattern = {
    name: "three times what the endpoints serve, for a second",
    phases: [trough, { lengthMs: 1_000, onlinePerS: 200, endpoints: 6 }, { ...trough, lengthMs: 5_000 }],
    batchItems: 20,
};

async function replay(pattern: LoadPattern, newDesks: NewDesks): Promise<ReplayReport> {
    return new LoadReplay(pattern, newDesks, SEED).run();
}

function getShareInTime({ inTime, late, refusedAgain }: ReplayReport): number {
    return inTime / (inTime + late + refusedAgain);
}

describe("load at its worst, replayed in virtual time", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });

    afterEach(() => {
        vi.useRealTimers();
    });

    it.each([
        { pattern: steps, minInTime: 0.97 },
        { pattern: endpointsLost, minInTime: 0.85 },
        { pattern: flood, minInTime: 0.6 },
    ])("serves in time what one queue can: $pattern.name", async ({ pattern, minInTime }) => {
        const report = await replay(pattern, oneQueue);
        expect(getShareInTime(report), JSON.stringify(report)).toBeGreaterThanOrEqual(minInTime);
    });

    it.each([{ pattern: steps }, { pattern: endpointsLost }])(
        "serves more in time than parts of each endpoint do: $pattern.name",
        async ({ pattern }) => {
            const together = await replay(pattern, oneQueue);
            const apart = await replay(pattern, staticParts);
            const figures = JSON.stringify({ together, apart });
            expect(getShareInTime(together), figures).toBeGreaterThan(getShareInTime(apart));
            expect(together.idleWhileWaitingMs, figures).toBeLessThan(apart.idleWhileWaitingMs / 10);
        },
    );

    it("leaves no place idle while an online request waits", async () => {
        const report = await replay(steps, oneQueue);
        // Preemption takes some milliseconds, in which the place is neither idle nor the request's.
        expect(report.idleWhileWaitingMs, JSON.stringify(report)).toBeLessThan(1_000);
    });

    it("gives batch what online leaves", async () => {
        const report = await replay(steps, oneQueue);
        expect(report.itemsDone, JSON.stringify(report)).toBeGreaterThanOrEqual(40);
    });

    it("refuses early what can't be in time, and serves it when it comes back", async () => {
        const report = await replay(flood, oneQueue);
        expect(report.refused, JSON.stringify(report)).toBeGreaterThan(0);
        expect(report.refusedAgain / report.refused, JSON.stringify(report)).toBeLessThan(0.4);
    });
});
