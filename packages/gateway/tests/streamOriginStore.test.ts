import type { Logger } from "@heatherline/common";
import { type EndpointEntry, FleetView, STREAM_KIND, type StreamOriginReport, StreamOrigins } from "@heatherline/fleet";
import { MemoryStore, type ObjectStore, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { StreamOriginStore } from "../src/fleet/streamOriginStore";

const logger = { info: () => undefined, warn: () => undefined } as unknown as Logger;
const V1 = { service: "lm", softwareVersion: "v1" };
const V2 = { service: "lm", softwareVersion: "v2" };
const SETTLE_MS = 1_000;

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

/** A store that can be down, lose the responses of writes that it makes, or take smaller objects; counts its writes. */
class UnreliableStore extends MemoryStore {
    isDown = false;
    losesResponses = false;
    maxBytes = Infinity;
    rejections = 0;
    writes = 0;
    lists = 0;

    override async list(prefix: string): ReturnType<ObjectStore["list"]> {
        this.lists += 1;
        return this.isDown ? err(new StoreError("unavailable", "down")) : super.list(prefix);
    }

    override async put(...args: Parameters<ObjectStore["put"]>): ReturnType<ObjectStore["put"]> {
        this.writes += 1;
        if (this.isDown) {
            return err(new StoreError("unavailable", "down"));
        }
        const isTooLarge = Buffer.byteLength(JSON.stringify(args[1])) > this.maxBytes;
        const written = isTooLarge ? err(new StoreError("rejected", "too large")) : await super.put(...args);
        this.rejections += written.isErr() && written.error.kind === "rejected" ? 1 : 0;
        return this.losesResponses ? err(new StoreError("unknown", "the response was lost")) : written;
    }
}

interface Granter {
    readonly view: FleetView;
    readonly streams: StreamOrigins;
    readonly originStore: StreamOriginStore;
}

function newEndpoints(versions: readonly string[]): EndpointEntry[] {
    return versions.map(softwareVersion => ({
        endpointId: softwareVersion,
        service: "lm",
        host: "h",
        port: 1,
        dataCentre: "east",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        softwareVersion,
    }));
}

function startGranter(store: ObjectStore, versions: readonly string[], name = "fleet"): Granter {
    const view = new FleetView(1_200);
    view.applyEndpoints({ revision: 1, value: newEndpoints(versions) });
    view.markEndpointsCurrent(0);
    const streams = new StreamOrigins(() => view.softwareVersions.retentionMs);
    const originStore = new StreamOriginStore(store, view, name, logger);
    originStore.start({
        adoptStreams: reports => streams.adopt(reports),
        getStreams: () => streams.getReports(),
    });
    return { view, streams, originStore };
}

function begin({ streams, originStore }: Granter, requestId: string, origin = V1): void {
    streams.record(requestId, origin);
    originStore.add({ ...origin, requestIds: [requestId] });
}

function countStreams(reports: readonly StreamOriginReport[]): number {
    return reports.reduce((sum, { requestIds }) => sum + requestIds.length, 0);
}

/** What a granter knows that starts after all instances were killed. */
async function restart({ originStore }: Granter, store: ObjectStore, versions: readonly string[]): Promise<Granter> {
    originStore.stop();
    const granter = startGranter(store, versions);
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    return granter;
}

describe("what outlasts a kill of all instances", () => {
    it("is where streams began, while several versions serve", async () => {
        const store = new MemoryStore();
        const granter = startGranter(store, ["v1", "v2"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        begin(granter, "a", V1);
        begin(granter, "b", V2);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        const next = await restart(granter, store, ["v1", "v2"]);
        expect(next.streams.get("a")).toEqual(V1);
        expect(next.streams.get("b")).toEqual(V2);
        next.originStore.stop();
    });

    it("is where streams began before a second version appeared", async () => {
        const store = new MemoryStore();
        const granter = startGranter(store, ["v1"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        begin(granter, "a", V1);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        granter.view.applyEndpoints({ revision: 2, value: newEndpoints(["v1", "v2"]) });
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        const next = await restart(granter, store, ["v1", "v2"]);
        expect(next.streams.get("a")).toEqual(V1);
        next.originStore.stop();
    });

    it("is that only one version served, which costs one write", async () => {
        const store = new UnreliableStore();
        const granter = startGranter(store, ["v1"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        for (let index = 0; index < 40; index += 1) {
            begin(granter, `r${index}`);
            await vi.advanceTimersByTimeAsync(100);
        }
        expect(store.writes).toBe(1);
        const next = await restart(granter, store, ["v1"]);
        next.view.softwareVersions.markCurrent();
        expect(next.view.softwareVersions.getSole("lm")).toBe("v1");
        next.originStore.stop();
    });

    it("is that another version had just served", async () => {
        const store = new MemoryStore();
        const granter = startGranter(store, ["v1"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        const next = await restart(granter, store, ["v2"]);
        next.view.softwareVersions.markCurrent();
        expect(next.view.softwareVersions.getSole("lm")).toBeUndefined();
        expect(next.view.softwareVersions.getPossible("lm")).toEqual(["v1", "v2"]);
        next.originStore.stop();
    });

    it.each([
        { what: "the store was down", fault: "isDown" as const },
        { what: "responses of the store were lost", fault: "losesResponses" as const },
    ])("is where streams began while $what", async ({ fault }) => {
        const store = new UnreliableStore();
        const granter = startGranter(store, ["v1", "v2"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        store[fault] = true;
        begin(granter, "a", V2);
        await vi.advanceTimersByTimeAsync(5 * SETTLE_MS);
        store[fault] = false;
        await vi.advanceTimersByTimeAsync(3 * SETTLE_MS);
        const next = await restart(granter, store, ["v1", "v2"]);
        expect(next.streams.get("a")).toEqual(V2);
        next.originStore.stop();
    });

    it("is read as soon as the store is up, and nothing is certain before", async () => {
        const store = new UnreliableStore();
        const granter = startGranter(store, ["v1", "v2"]);
        begin(granter, "a", V2);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        store.isDown = true;
        const next = await restart(granter, store, ["v1"]);
        next.view.softwareVersions.markCurrent();
        expect(next.streams.get("a")).toBeUndefined();
        expect(next.view.softwareVersions.getSole("lm")).toBeUndefined();
        store.isDown = false;
        await vi.advanceTimersByTimeAsync(3 * SETTLE_MS);
        expect(next.streams.get("a")).toEqual(V2);
        next.originStore.stop();
    });

    it("is what all granters wrote, also those that write at the same time", async () => {
        const store = new MemoryStore();
        const first = startGranter(store, ["v1", "v2"], "east");
        const second = startGranter(store, ["v1", "v2"], "west");
        begin(first, "a", V1);
        begin(second, "b", V2);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        second.originStore.stop();
        const next = await restart(first, store, ["v1", "v2"]);
        expect(countStreams(next.streams.getReports())).toBe(2);
        next.originStore.stop();
    });

    it("are no objects of another form, and no streams of long ago", async () => {
        const store = new MemoryStore();
        const old = { writtenAt: Date.now() - 60_000, streams: [{ ...V1, requestIds: ["old"] }] };
        await store.put(`${STREAM_KIND}/begun.fleet.1`, old, 0);
        await store.put(
            `${STREAM_KIND}/begun.fleet.2`,
            { writtenAt: Date.now(), streams: [{ requestIds: [1] }, 3] },
            0,
        );
        await store.put(`${STREAM_KIND}/versions.lm`, { service: "lm", softwareVersions: "v1" }, 0);
        const granter = startGranter(store, ["v1"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(granter.streams.getReports()).toEqual([]);
        granter.originStore.stop();
    });
});

describe("a store that is down for a minute", () => {
    it.each([
        { what: "read", isDownAtStart: true },
        { what: "written", isDownAtStart: false },
    ])("is tried again ever less often until it can be $what", async ({ isDownAtStart }) => {
        const store = new UnreliableStore();
        store.isDown = isDownAtStart;
        const granter = startGranter(store, ["v1", "v2"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        store.isDown = true;
        store.writes = 0;
        store.lists = 0;
        for (let index = 0; index < 600; index += 1) {
            begin(granter, `r${index}`);
            await vi.advanceTimersByTimeAsync(100);
        }
        expect(store.writes + store.lists).toBeLessThan(60);
        expect(store.writes + store.lists).toBeGreaterThan(15);
        granter.originStore.stop();
    });
});

describe("what keeping streams in the store costs at 4,600 streams a second of two versions", () => {
    it("is four writes a second, less than 200 objects, and far less than the largest object", async () => {
        const store = new UnreliableStore();
        const granter = startGranter(store, ["v1", "v2"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        store.writes = 0;
        for (let tick = 0; tick < 40; tick += 1) {
            for (let index = 0; index < 1_150; index += 1) {
                begin(granter, `0123456789ab${tick}.${index}`, index % 2 === 0 ? V1 : V2);
            }
            await vi.advanceTimersByTimeAsync(250);
        }
        const objects = (await store.list(STREAM_KIND))._unsafeUnwrap().objects;
        expect(store.writes).toBeLessThanOrEqual(41);
        expect(objects.length).toBeLessThan(200);
        expect(Math.max(...objects.map(({ value }) => JSON.stringify(value).length))).toBeLessThan(50_000);
        granter.originStore.stop();
    });
});

// Guards against streams that can't be taken up after a kill of all instances, since an object with the ids of many
// streams was larger than the store takes, and was sent again without end.
describe("streams whose ids are long", () => {
    it.each([
        {
            what: "that take more than one object",
            count: 4_000,
            idLength: 500,
            maxBytes: Infinity,
            rejections: 0,
            kept: 4_000,
        },
        { what: "of several bytes a character", count: 2_000, idLength: 300, letter: "録", rejections: 0, kept: 2_000 },
        {
            what: "at a store that takes smaller objects",
            count: 4_000,
            idLength: 100,
            maxBytes: 100_000,
            rejections: 3,
            kept: 4_000,
        },
        {
            what: "at a store that takes none that large",
            count: 1,
            idLength: 3_000,
            maxBytes: 1_000,
            rejections: 1,
            kept: 0,
        },
    ])("$what are stored as far as they can be", async testCase => {
        const { count, idLength, letter = "i", maxBytes = Infinity, rejections, kept } = testCase;
        const store = new UnreliableStore();
        store.maxBytes = maxBytes;
        const granter = startGranter(store, ["v1", "v2"]);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        for (let index = 0; index < count; index += 1) {
            begin(granter, `${index}`.padEnd(idLength, letter), V2);
        }
        await vi.advanceTimersByTimeAsync(20 * SETTLE_MS);
        begin(granter, "later", V1);
        await vi.advanceTimersByTimeAsync(2 * SETTLE_MS);
        expect(store.rejections).toBeLessThanOrEqual(rejections);
        const next = await restart(granter, store, ["v1", "v2"]);
        expect(countStreams(next.streams.getReports())).toBe(kept + 1);
        next.originStore.stop();
    });
});

// Guards against a granter that runs out of memory, since the store rejects whatever is written.
it("keeps no more streams for a store that rejects all than the granter remembers", async () => {
    const store = new UnreliableStore();
    store.maxBytes = 0;
    const granter = startGranter(store, ["v1", "v2"]);
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    const pendingCounts: number[] = [];
    for (let round = 0; round < 40; round += 1) {
        for (let index = 0; index < 500; index += 1) {
            begin(granter, `${round}.${index}`);
        }
        await vi.advanceTimersByTimeAsync(5_000);
        pendingCounts.push(granter.originStore.pendingCount - countStreams(granter.streams.getReports()));
    }
    expect(Math.max(...pendingCounts.slice(20))).toBeLessThanOrEqual(500);
    granter.originStore.stop();
});
