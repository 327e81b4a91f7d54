import type { HeldPlace, PlacementClient, Route } from "@heatherline/fleet";
import http from "node:http";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { closeServer, listenOnLoopback } from "../../../standins/operators/httpServer";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointClient } from "../src/endpoints/endpointClient";
import { ItemDurationEstimator } from "../src/jobs/itemDurationEstimator";
import { ItemPlacementQueue } from "../src/jobs/itemPlacementQueue";
import { ItemProgress } from "../src/jobs/itemProgress";
import { ItemRun } from "../src/jobs/itemRun";
import { ProgressMemory } from "../src/jobs/progressMemory";
import type { ItemResult, WireCodec } from "../src/wireCodec";

/** Longest time until an endpoint that sends events without end is cut off. */
const MAX_MS = 5_000;
const CONCURRENT = 20;
const MEMORY_BYTES = 4_000_000;
const SOUND = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const EVENTS_PER_BLOCK = 100;

const wire = {
    parseResponseHead: () => ({ isSigned: true, isNotExecuted: false, requestLimit: { kind: "none" } }),
    toEndpointHeaders: () => ["Host", "h"],
    toItemHeaders: () => [],
} as unknown as WireCodec;

/** Makes the events that an endpoint sends without end. */
type NewEvent = (index: number) => string;

/** Events of the first so many answers, which have no end; later answers are sound. */
let endless: { readonly answers: number; readonly newEvent: NewEvent; };
let requests: number;
let openEndless: number;
let soundText: string;
let server: http.Server;
let port: number;
let ending: AbortController;

function sendWithoutEnd(response: http.ServerResponse): void {
    openEndless += 1;
    response.once("close", () => openEndless -= 1);
    let index = 0;
    const pump = () => {
        while (!response.destroyed) {
            const block = Array.from({ length: EVENTS_PER_BLOCK }, () => endless.newEvent(index++)).join("");
            if (!response.write(block)) {
                response.once("drain", pump);
                return;
            }
        }
    };
    pump();
}

beforeEach(async () => {
    requests = 0;
    openEndless = 0;
    soundText = SOUND;
    ending = new AbortController();
    server = http.createServer((_, response) => {
        requests += 1;
        response.writeHead(200, { "Content-Type": "text/event-stream" });
        if (requests <= endless.answers) {
            sendWithoutEnd(response);
        }
        else {
            response.end(soundText);
        }
    });
    port = await listenOnLoopback(server);
});

afterEach(async () => {
    ending.abort();
    await closeServer(server);
});

function run(
    memory: ProgressMemory | undefined,
    ends: string[] = [],
    onReleased: () => void = () => undefined,
): Promise<ItemResult | undefined> {
    const place = {
        placeId: "p",
        endpoint: newTestEndpoint({ port }),
        preemptSignal: new AbortController().signal,
        release: onReleased,
    } as unknown as HeldPlace;
    const route = { kind: "batch", targets: [{ service: "lm", weight: 1 }], retentionMs: 60_000, maxAttempts: 3 };
    return new ItemRun(
        { jobId: "j", organisation: "o", host: "h", submittedAt: Date.now() },
        { itemId: "i", path: "/", headers: {}, tokens: 160 } as never,
        {
            placement: { requestPlace: () => Promise.resolve({ kind: "placed", place }) } as unknown as PlacementClient,
            endpoints: new EndpointClient(wire),
            wire,
            durationEstimator: new ItemDurationEstimator(),
            placementQueue: new ItemPlacementQueue(),
            findRoute: () => route as unknown as Route,
            getContent: () => Promise.resolve({ path: "/", headers: {}, bodyBase64: "Ym9keQ==" }),
            mayRun: () => true,
            onRunEnded: (_, end) => ends.push(end),
        },
        ending.signal,
        new ItemProgress(memory),
    ).run();
}

// Fails if an answer to an item is kept however long it gets, so that the process ends for want of memory.
describe("an endpoint that sends events to an item without end", () => {
    const data = "z".repeat(300);
    const cases: { readonly what: string; readonly newEvent: NewEvent; readonly end: string; }[] = [
        { what: "without ids", newEvent: () => `data: ${data}\n\n`, end: "too-long" },
        { what: "with ids in order", newEvent: index => `id: ${index}\ndata: ${data}\n\n`, end: "too-long" },
        { what: "with ids and no data", newEvent: index => `id: ${index}\n\n`, end: "too-long" },
        { what: "with one id again and again", newEvent: () => `id: 0\ndata: ${data}\n\n`, end: "silent" },
        { what: "that are comments", newEvent: () => `: ${data}\n\n`, end: "silent" },
    ];
    it.each(cases)("is cut off, and the item has the output of a sound answer: $what", async ({ newEvent, end }) => {
        endless = { answers: 1, newEvent };
        const ends: string[] = [];
        const result = run(undefined, ends);
        await vi.waitFor(() => expect(ends).toEqual([end]), { timeout: MAX_MS });
        if (end === "too-long") {
            expect(await result).toEqual({ itemId: "i", state: "completed", output: "a\nb" });
        }
        await vi.waitFor(() => expect(openEndless).toBe(0), { timeout: MAX_MS });
    }, 2 * MAX_MS);

    it(`takes bounded memory when ${CONCURRENT} do it at once, and a sound item is completed meanwhile`, async () => {
        endless = { answers: Infinity, newEvent: index => `id: ${index}\ndata: ${data}\n\n` };
        const memory = new ProgressMemory(MEMORY_BYTES);
        const endlessEnds: string[] = [];
        for (let index = 0; index < CONCURRENT; index += 1) {
            void run(memory, endlessEnds);
        }
        await vi.waitFor(() => expect(endlessEnds.length).toBeGreaterThan(2 * CONCURRENT), { timeout: MAX_MS });
        expect(new Set(endlessEnds)).toEqual(new Set(["memory-short"]));
        expect(memory.usedBytes).toBeLessThanOrEqual(MEMORY_BYTES);
        endless = { ...endless, answers: 0 };
        expect(await run(memory)).toEqual({ itemId: "i", state: "completed", output: "a\nb" });
        ending.abort();
        await vi.waitFor(() => expect(memory.usedBytes).toBe(0), { timeout: MAX_MS });
    }, 3 * MAX_MS);
});

describe("a long output of an item", () => {
    it("is kept whole", async () => {
        endless = { answers: 0, newEvent: () => "" };
        const texts = Array.from({ length: 20_000 }, (_, index) => `${index} ${"y".repeat(60)}`);
        soundText = texts.map((text, index) => `id: ${index}\ndata: ${text}\n\n`).join("");
        const memory = new ProgressMemory(MEMORY_BYTES);
        expect(await run(memory)).toEqual({ itemId: "i", state: "completed", output: texts.join("\n") });
        expect(memory.usedBytes).toBe(0);
    });
});

// Fails if an item is completed with less than its output, since others took the memory before the output was read.
describe("the output of an item that has just been completed", () => {
    it("is not given up for others", async () => {
        endless = { answers: 0, newEvent: () => "" };
        const memory = new ProgressMemory(300);
        const fillMemory = () => memory.setBytes({ drop: () => undefined }, 150);
        expect(await run(memory, [], fillMemory)).toEqual({ itemId: "i", state: "completed", output: "a\nb" });
    });
});

describe("the progress of items that another instance hands over", () => {
    const newState = (itemId: string, sizeBytes: number) => ({
        itemId,
        data: ["x".repeat(sizeBytes)],
        lastEventId: 0,
        origin: { service: "lm", softwareVersion: "" },
        failures: 1,
    });

    it("is bounded, and the largest is given up", () => {
        const memory = new ProgressMemory(10_000);
        const progress = [["small", 3_000], ["large", 6_000], ["next", 2_000]] as const;
        const [small, large, next] = progress.map(([itemId, sizeBytes]) =>
            new ItemProgress(memory, newState(itemId, sizeBytes))
        );
        expect([small, large, next].map(held => held?.eventCount)).toEqual([1, 0, 1]);
        expect(large?.getState("large")).toEqual({
            itemId: "large",
            data: [],
            lastEventId: undefined,
            origin: undefined,
            failures: 1,
        });
        expect(memory.usedBytes).toBeGreaterThan(5_000);
        expect(memory.usedBytes).toBeLessThan(6_000);
        expect([small, large].map(held => held?.mayRun)).toEqual([true, false]);
        small?.release();
        next?.release();
        expect([memory.usedBytes, large?.mayRun]).toEqual([0, true]);
    });
});
