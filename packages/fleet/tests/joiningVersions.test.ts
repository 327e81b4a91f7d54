import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type EndpointEntry, SoftwareVersions } from "../src";
import { newTestEndpoint } from "./testEndpoint";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("a version that joins", () => {
    const v1 = newTestEndpoint({ endpointId: "e1", softwareVersion: "v1" });
    const v2 = newTestEndpoint({ endpointId: "e2", softwareVersion: "v2" });
    const LONG_MS = 60_000;

    it.each<{ what: string; prepare: (versions: SoftwareVersions) => void; entry: EndpointEntry; isDelayed: boolean; }>(
        [
            { what: "the only one", prepare: versions => versions.setEndpoints([v2]), entry: v2, isDelayed: false },
            {
                what: "the one that was there",
                prepare: versions => versions.setEndpoints([v1, v2]),
                entry: v1,
                isDelayed: false,
            },
            {
                what: "one beside another",
                prepare: versions => versions.setEndpoints([v1, v2]),
                entry: v2,
                isDelayed: true,
            },
            {
                what: "one that replaces another",
                prepare: versions => {
                    versions.setEndpoints([v1, v2]);
                    versions.setEndpoints([v2]);
                },
                entry: v2,
                isDelayed: false,
            },
            {
                what: "one that is listed again and again",
                prepare: versions => {
                    versions.setEndpoints([v1, v2]);
                    vi.advanceTimersByTime(2_000);
                    versions.setEndpoints([v2, v1]);
                    vi.advanceTimersByTime(2_000);
                },
                entry: v2,
                isDelayed: false,
            },
            {
                what: "one that was listed for a moment before",
                prepare: versions => {
                    versions.setEndpoints([v1, v2]);
                    vi.advanceTimersByTime(500);
                    versions.setEndpoints([v1]);
                    vi.advanceTimersByTime(5_000);
                    versions.setEndpoints([v1, v2]);
                },
                entry: v2,
                isDelayed: true,
            },
            {
                what: "one that was listed for long before",
                prepare: versions => {
                    versions.setEndpoints([v1, v2]);
                    vi.advanceTimersByTime(5_000);
                    versions.setEndpoints([v1]);
                    vi.advanceTimersByTime(5_000);
                    versions.setEndpoints([v1, v2]);
                },
                entry: v2,
                isDelayed: false,
            },
            {
                what: "one that is stored as joined",
                prepare: versions => {
                    versions.adopt([{ service: "lm", softwareVersions: ["v1", "v2"], joinedVersions: ["v1", "v2"] }]);
                    versions.setEndpoints([v1, v2]);
                },
                entry: v2,
                isDelayed: false,
            },
            {
                what: "one of a service of which nothing is stored",
                prepare: versions => {
                    versions.setEndpoints([v1, v2]);
                    versions.adopt([]);
                },
                entry: v2,
                isDelayed: false,
            },
            {
                what: "one that is stored as listed only",
                prepare: versions => {
                    versions.adopt([{ service: "lm", softwareVersions: ["v1", "v2"], joinedVersions: ["v1"] }]);
                    versions.setEndpoints([v1, v2]);
                },
                entry: v2,
                isDelayed: true,
            },
        ],
    )("$what: streams delayed $isDelayed", ({ what, prepare, entry, isDelayed }) => {
        const versions = new SoftwareVersions();
        versions.setEndpoints(what === "the only one" ? [] : [v1]);
        vi.advanceTimersByTime(LONG_MS);
        prepare(versions);
        expect(versions.getStreamDelayMs(entry) > 0).toBe(isDelayed);
    });

    it.each([0, 1_000, 2_000, 2_400])(
        "begins no stream while an instance that has last heard a list of %d ms ago takes another as the only one",
        listAgeMs => {
            const outOfContact = new SoftwareVersions();
            const inContact = new SoftwareVersions();
            [outOfContact, inContact].forEach(versions => versions.setEndpoints([v1]));
            for (let atMs = 0; atMs < LONG_MS; atMs += 50) {
                vi.advanceTimersByTime(50);
                outOfContact.markCurrent(listAgeMs);
            }
            expect(outOfContact.getSole("lm")).toBe("v1");
            vi.advanceTimersByTime(1);
            inContact.setEndpoints([v1, v2]);
            // What was on its way when contact ended shows the list of before.
            vi.advanceTimersByTime(listAgeMs);
            outOfContact.markCurrent(listAgeMs + 1);
            const startedAtMs = performance.now();
            while (inContact.getStreamDelayMs(v2) > 0) {
                vi.advanceTimersByTime(50);
            }
            expect(outOfContact.getSole("lm")).toBeUndefined();
            expect(performance.now() - startedAtMs).toBeLessThan(5_000);
        },
    );

    // Streams were refused for up to three seconds when a new version had taken the place of all others.
    it.each([
        { what: "are gone", others: [] },
        { what: "leave", others: [{ ...v1, state: "draining" as const }] },
    ])("isn't delayed any more when all endpoints of the others $what", ({ others }) => {
        const versions = new SoftwareVersions();
        versions.setEndpoints([v1]);
        vi.advanceTimersByTime(LONG_MS);
        versions.setEndpoints([v1, v2]);
        expect(versions.getStreamDelayMs(v2)).toBeGreaterThan(0);
        versions.setEndpoints([...others, v2]);
        expect(versions.getStreamDelayMs(v2)).toBe(0);
    });
});
