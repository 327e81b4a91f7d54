import { describe, expect, it } from "vitest";
import { Dispatcher } from "../src/dispatcher";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

const ENDPOINTS = 1_300;
const SLOTS = 8;
/** Streams of a few dozen endpoints that are silent. */
const WAITING = 200;
/** Fewer than end in a tenth of a second. */
const RELEASES = 100;
/** Time within which an instance must respond again, in milliseconds. */
const CONTACT_MS = 3_000;
/** Requests that are late wait a little, others until this time, in milliseconds. */
const USEFUL_MS = 60_000;

describe("a fleet of many endpoints, all of them full", () => {
    // Each release tried each endpoint for each waiting request, so that a few hundred of them blocked the process.
    it("is dispatched in time while many requests wait", async () => {
        const dispatcher = new Dispatcher({
            getCapacity: ({ slots }) => slots,
            getColdRatePerS: () => 0,
            getLimitPerS: () => undefined,
            getStreamDelayMs: () => 0,
            getRegion: () => "r",
            preempt: () => undefined,
        });
        const endpointIds = Array.from({ length: ENDPOINTS }, (_, index) => `e${index}`);
        dispatcher.setEndpoints(endpointIds.map(endpointId => newTestEndpoint({ endpointId, slots: SLOTS })));
        for (const endpointId of endpointIds) {
            for (let slot = 0; slot < SLOTS; slot += 1) {
                dispatcher.adopt({
                    placeId: `${endpointId}.${slot}`,
                    endpointId,
                    instanceId: "a",
                    service: "lm",
                    workClass: "online",
                    organisation: "o",
                    grantedAtMs: performance.now(),
                    dueAtMs: performance.now() + USEFUL_MS,
                    finishAtMs: performance.now(),
                    isPreempted: false,
                });
            }
        }
        const times = { usefulForMs: USEFUL_MS, targetLatencyMs: USEFUL_MS, giveUpAfterMs: USEFUL_MS };
        const startedAtMs = performance.now();
        const placed: string[] = [];
        for (let index = 0; index < WAITING && performance.now() - startedAtMs < CONTACT_MS; index += 1) {
            const request = newTestRequest({ ...times, excluded: [endpointIds[index % ENDPOINTS] as string] });
            void dispatcher.place(request).then(outcome => outcome.kind === "placed" && placed.push(request.askId));
        }
        for (let index = 0; index < RELEASES && performance.now() - startedAtMs < CONTACT_MS; index += 1) {
            dispatcher.release(`${endpointIds[ENDPOINTS - 1 - index]}.0`, "lost");
        }
        const tookMs = performance.now() - startedAtMs;
        await Promise.resolve();
        dispatcher.refuseAll("the test is over");
        expect(placed.length).toBe(RELEASES);
        expect(tookMs).toBeLessThan(CONTACT_MS);
    });
});
