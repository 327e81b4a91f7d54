import { Dispatcher, type HeldPlace, type PlacementClient, type RequestEnd, type Route } from "@heatherline/fleet";
import http from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { closeServer, listenOnLoopback } from "../../../standins/operators/httpServer";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { newTestRequest } from "../../fleet/tests/testRequest";
import { EndpointClient } from "../src/endpoints/endpointClient";
import { ItemDurationEstimator } from "../src/jobs/itemDurationEstimator";
import { ItemPlacementQueue } from "../src/jobs/itemPlacementQueue";
import { ItemRun } from "../src/jobs/itemRun";
import type { WireCodec } from "../src/wireCodec";

const RUN_MS = 80;

const wire = {
    parseResponseHead: () => ({ isSigned: true, isNotExecuted: false, requestLimit: { kind: "none" } }),
    toEndpointHeaders: () => ["Host", "h"],
    toItemHeaders: () => [],
} as unknown as WireCodec;

/** What an endpoint sends, after which it hangs. */
let sentText: string;
let server: http.Server;
let port: number;

beforeEach(async () => {
    server = http.createServer((_, response) => sentText === "" ? undefined : response.write(sentText));
    port = await listenOnLoopback(server);
});

afterEach(() => closeServer(server));

/** Runs an item, ends the run after a moment and returns how its place was released. */
async function releaseAfter(cause: "preempted" | "stopped"): Promise<RequestEnd> {
    const ending = new AbortController();
    const preempting = new AbortController();
    const ends: RequestEnd[] = [];
    const place = {
        placeId: "p",
        endpoint: newTestEndpoint({ port }),
        preemptSignal: preempting.signal,
        release: (end: RequestEnd) => {
            ends.push(end);
            ending.abort();
        },
    } as unknown as HeldPlace;
    const route = { kind: "batch", targets: [{ service: "lm", weight: 1 }], retentionMs: 60_000, maxAttempts: 3 };
    const itemRun = new ItemRun(
        { jobId: "j", organisation: "o", host: "h", submittedAt: Date.now() },
        { itemId: "i", path: "/", headers: {}, tokens: 1 } as never,
        {
            placement: {
                requestPlace: () => Promise.resolve({ kind: "placed", place }),
            } as unknown as PlacementClient,
            endpoints: new EndpointClient(wire),
            wire,
            durationEstimator: new ItemDurationEstimator(),
            placementQueue: new ItemPlacementQueue(),
            findRoute: () => route as unknown as Route,
            getContent: () => Promise.resolve({ path: "/", headers: {}, bodyBase64: "Ym9keQ==" }),
            mayRun: () => true,
            onRunEnded: () => undefined,
        },
        ending.signal,
        undefined,
    );
    setTimeout(() => (cause === "preempted" ? preempting : ending).abort(), RUN_MS);
    await itemRun.run();
    return ends[0] as RequestEnd;
}

// Fails if an endpoint that hangs counts as sound, and gets as many requests as it has slots, once an item has left it.
describe("an endpoint at which the run of an item has been ended", () => {
    const cases = [
        { title: "that has sent nothing", text: "", end: "lost" },
        { title: "that has sent an event", text: "id: 0\ndata: a\n\n", end: "done" },
    ] as const;
    it.each(cases.flatMap(entry => [{ ...entry, cause: "preempted" }, { ...entry, cause: "stopped" }] as const))(
        "$title, $cause: $end",
        async ({ text, end, cause }) => {
            sentText = text;
            expect(await releaseAfter(cause)).toBe(end);
        },
    );

    it("that has been paused is still sent one request at a time", async () => {
        sentText = "";
        const dispatcher = new Dispatcher({
            getCapacity: ({ slots }) => slots,
            getColdRatePerS: () => 0,
            getLimitPerS: () => undefined,
            getStreamDelayMs: () => 0,
            getRegion: () => "region",
            preempt: () => undefined,
        });
        dispatcher.setEndpoints(["sound", "hung"].map(endpointId => newTestEndpoint({ endpointId, port })));
        const atHung = { excluded: ["sound"], usefulForMs: 1, giveUpAfterMs: 500 };
        const first = await dispatcher.place(newTestRequest(atHung));
        dispatcher.release(first.kind === "placed" ? first.placeId : "", "silent");
        const item = await dispatcher.place(newTestRequest({ ...atHung, workClass: "batch" }));
        dispatcher.release(item.kind === "placed" ? item.placeId : "", await releaseAfter("preempted"));
        const outcomes = await Promise.all([1, 2, 3].map(() => dispatcher.place(newTestRequest(atHung))));
        expect(outcomes.map(({ kind }) => kind)).toEqual(["placed", "refused", "refused"]);
    });
});
