import { newLogger } from "@heatherline/common";
import type { EndpointEntry } from "@heatherline/fleet";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointLinks } from "../src/endpoints/endpointLinks";

const ENDPOINTS = ["e1", "e2", "e3", "e4", "e5"].map(endpointId => newTestEndpoint({ endpointId }));
const [FIRST = newTestEndpoint(), SECOND = newTestEndpoint()] = ENDPOINTS;
const PROBE_ROUNDS_MS = 1_000;

let reachable: ReadonlySet<string>;
let probes: string[];
let links: EndpointLinks;

beforeEach(() => {
    vi.useFakeTimers();
    reachable = new Set(ENDPOINTS.map(({ endpointId }) => endpointId));
    probes = [];
    links = new EndpointLinks({
        getEndpoints: () => ENDPOINTS,
        canConnect: async ({ endpointId }) => {
            probes.push(endpointId);
            return reachable.has(endpointId);
        },
        logger: newLogger("test", "fatal"),
    });
});

afterEach(() => {
    links.stop();
    vi.useRealTimers();
});

describe("an instance that couldn't connect to an endpoint", () => {
    const cases = [
        { title: "reaches others: the endpoint is at fault", reachableIds: ["e2", "e3", "e4"], isStranded: false },
        { title: "reaches one other", reachableIds: ["e3"], isStranded: false },
        { title: "reaches only that endpoint by now", reachableIds: ["e1"], isStranded: true },
        { title: "reaches none: its own link is at fault", reachableIds: [], isStranded: true },
    ];
    it.each(cases)("$title", async ({ reachableIds, isStranded }) => {
        reachable = new Set(reachableIds);
        expect(await links.checkLink(FIRST)).toBe(!isStranded);
        expect(links.isStranded).toBe(isStranded);
        expect(ENDPOINTS.every(endpoint => links.isDirect(endpoint))).toBe(!isStranded);
    });

    it("tries few endpoints, once for all that ask at the same time", async () => {
        reachable = new Set();
        await Promise.all(ENDPOINTS.map(endpoint => links.checkLink(endpoint)));
        expect(probes.length).toBeLessThanOrEqual(3);
        expect(probes).not.toContain("e1");
    });
});

describe("a stranded instance", () => {
    beforeEach(async () => {
        reachable = new Set();
        await links.checkLink(FIRST);
    });

    it.each(["e1", "e3", "e5"])("uses its own connections again when %s can be reached", async endpointId => {
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        expect(links.isStranded).toBe(true);
        reachable = new Set([endpointId]);
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        expect(links.isStranded).toBe(false);
    });

    it("stops probing when the link is back", async () => {
        reachable = new Set(["e1", "e2", "e3", "e4", "e5"]);
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        probes = [];
        await vi.advanceTimersByTimeAsync(10 * PROBE_ROUNDS_MS);
        expect(probes).toEqual([]);
    });

    it("is not found sound by an old check", async () => {
        reachable = new Set(["e2"]);
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        reachable = new Set();
        expect(await links.checkLink(FIRST)).toBe(false);
    });
});

// Fails if the turns of the probes leave endpoints out, whatever the size of the fleet.
describe("the probes for the link back", () => {
    it.each([1, 2, 5, 6, 7, 12, 30])("reach the only sound one of %d endpoints", async count => {
        const endpoints = Array.from(
            { length: count },
            (_, index) => newTestEndpoint({ endpointId: `n${index}`, service: index % 3 === 0 ? "plain" : "lm" }),
        );
        for (const sound of endpoints) {
            let isHealed = false;
            const { endpointId } = sound;
            const tested = new EndpointLinks({
                getEndpoints: () => endpoints,
                canConnect: async entry => isHealed && entry.endpointId === endpointId,
                logger: newLogger("test", "fatal"),
            });
            await tested.checkLink(sound);
            tested.markOutOfReach(sound);
            isHealed = true;
            await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS * count);
            expect(tested.isStranded, endpointId).toBe(false);
            expect(tested.isDirect(sound), endpointId).toBe(true);
            tested.stop();
        }
    });

    it("try endpoints of several services", async () => {
        const endpoints = ["lm", "lm", "lm", "lm", "lm", "lm", "plain"].map((service, index) =>
            newTestEndpoint({ endpointId: `n${index}`, service })
        );
        const tested = new EndpointLinks({
            getEndpoints: () => endpoints,
            canConnect: async ({ service }) => service === "plain",
            logger: newLogger("test", "fatal"),
        });
        expect(await tested.checkLink(endpoints[0] as EndpointEntry)).toBe(true);
    });
});

describe("a single endpoint that only others reach", () => {
    it("is not used directly until it can be reached; the others are", async () => {
        reachable = new Set(["e2"]);
        links.markOutOfReach(FIRST);
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        expect(links.isDirect(FIRST)).toBe(false);
        expect(links.isDirect(SECOND)).toBe(true);
        reachable = new Set(["e1"]);
        await vi.advanceTimersByTimeAsync(PROBE_ROUNDS_MS);
        expect(links.isDirect(FIRST)).toBe(true);
    });
});
