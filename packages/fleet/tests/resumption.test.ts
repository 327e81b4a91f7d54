import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
    type Coordinator,
    type EndpointEntry,
    FleetView,
    type PlaceOutcome,
    type PlaceRequest,
    SoftwareVersions,
    StreamOrigins,
} from "../src";
import { startTestCoordinator } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

const RETENTION_MS = 20_000;
beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

function newEndpoints(...versions: readonly string[]): EndpointEntry[] {
    return versions.map((softwareVersion, index) =>
        newTestEndpoint({ endpointId: `e${index}`, softwareVersion, slots: 2 })
    );
}

/** Lets time pass in which the list of endpoints stays current. */
function passCurrent(versions: SoftwareVersions, durationMs: number): void {
    for (let atMs = 0; atMs < durationMs; atMs += 500) {
        vi.advanceTimersByTime(500);
        versions.markCurrent();
    }
}

describe("the versions that may have begun a stream", () => {
    function newVersions(...listed: readonly string[]): SoftwareVersions {
        const versions = new SoftwareVersions();
        versions.markCurrent();
        versions.setEndpoints(newEndpoints(...listed));
        return versions;
    }

    it.each<{ what: string; prepare: (versions: SoftwareVersions) => void; sole: string | undefined; }>([
        { what: "just after the start", prepare: () => undefined, sole: undefined },
        {
            what: "after the start, with what is stored",
            prepare: versions => versions.adopt([{ service: "lm", softwareVersions: ["v1"], joinedVersions: [] }]),
            sole: "v1",
        },
        {
            what: "after the start, where another version is stored",
            prepare: versions => versions.adopt([{ service: "lm", softwareVersions: ["v0"], joinedVersions: [] }]),
            sole: undefined,
        },
        {
            what: "once the stored version is out of date",
            prepare: versions => {
                versions.adopt([{ service: "lm", softwareVersions: ["v0"], joinedVersions: [] }]);
                passCurrent(versions, RETENTION_MS + 1_000);
            },
            sole: "v1",
        },
        {
            what: "long after the start",
            prepare: versions => passCurrent(versions, RETENTION_MS + 1_000),
            sole: "v1",
        },
        {
            what: "when a second one appears",
            prepare: versions => {
                passCurrent(versions, RETENTION_MS + 1_000);
                versions.setEndpoints(newEndpoints("v1", "v2"));
            },
            sole: undefined,
        },
        {
            what: "when the first one has just left",
            prepare: versions => {
                passCurrent(versions, RETENTION_MS + 1_000);
                versions.setEndpoints(newEndpoints("v2"));
            },
            sole: undefined,
        },
        {
            what: "when the first one has left long ago",
            prepare: versions => {
                versions.setEndpoints(newEndpoints("v2"));
                passCurrent(versions, RETENTION_MS + 1_000);
            },
            sole: "v2",
        },
        {
            what: "after a time in which nothing was heard",
            prepare: versions => {
                passCurrent(versions, RETENTION_MS + 1_000);
                vi.advanceTimersByTime(4_000);
                versions.markCurrent();
            },
            sole: undefined,
        },
        {
            what: "after the process was suspended, which its steady clock doesn't count",
            prepare: versions => {
                passCurrent(versions, RETENTION_MS + 1_000);
                vi.setSystemTime(Date.now() + 60_000);
            },
            sole: undefined,
        },
        {
            what: "while nothing is heard",
            prepare: versions => {
                passCurrent(versions, RETENTION_MS + 1_000);
                vi.advanceTimersByTime(4_000);
            },
            sole: undefined,
        },
    ])("$what: for certain $sole", ({ prepare, sole }) => {
        const versions = newVersions("v1");
        prepare(versions);
        expect(versions.getSole("lm")).toBe(sole);
    });
});

describe("where recent streams began", () => {
    const v1 = { service: "lm", softwareVersion: "v1" };
    const v2 = { service: "lm", softwareVersion: "v2" };

    it("is remembered for the retention time, and forgotten after twice that", () => {
        const streams = new StreamOrigins(() => RETENTION_MS);
        vi.advanceTimersByTime(RETENTION_MS - 1);
        streams.record("r", v1);
        vi.advanceTimersByTime(RETENTION_MS);
        expect(streams.get("r")).toEqual(v1);
        vi.advanceTimersByTime(2 * RETENTION_MS);
        expect(streams.get("r")).toBeUndefined();
    });

    it("is the latest that was recorded, and no report replaces it", () => {
        const streams = new StreamOrigins(() => RETENTION_MS);
        streams.record("r", v1);
        streams.record("r", v2);
        streams.adopt([{ ...v1, requestIds: ["r", "s"] }]);
        expect(streams.get("r")).toEqual(v2);
        expect(streams.getReports()).toEqual([{ ...v1, requestIds: ["s"] }, { ...v2, requestIds: ["r"] }]
            .sort((left, right) => left.softwareVersion < right.softwareVersion ? 1 : -1));
    });

    it("takes a bounded amount of memory however many streams there are", () => {
        const streams = new StreamOrigins(() => RETENTION_MS);
        for (let index = 0; index < 200_000; index += 1) {
            streams.record(`r${index}`, v1);
        }
        const count = streams.getReports().reduce((sum, { requestIds }) => sum + requestIds.length, 0);
        expect(count).toBeGreaterThanOrEqual(60_000);
        expect(count).toBeLessThanOrEqual(120_000);
        expect(streams.get("r199999")).toEqual(v1);
    });
});

describe("a request that goes on with a stream, at who grants places", () => {
    let preempted: string[];

    beforeEach(() => {
        preempted = [];
    });

    function startCoordinator(...versions: readonly string[]): Coordinator {
        return startTestCoordinator({
            endpoints: newEndpoints(...versions),
            preemptOwnPlace: placeId => preempted.push(placeId),
        });
    }

    function newTakeUp(requestId: string, services = ["lm"]): PlaceRequest {
        return newTestRequest({ streamId: `${requestId}-again`, resumedStream: { requestId, services } });
    }

    async function decide(coordinator: Coordinator, request: PlaceRequest, waitMs = 600): Promise<PlaceOutcome> {
        const outcome = coordinator.place(request);
        await vi.advanceTimersByTimeAsync(waitMs);
        return outcome;
    }

    function getEndpoint(outcome: PlaceOutcome): string {
        return outcome.kind === "placed" ? outcome.endpointId : outcome.reason;
    }

    it.each([
        { what: "its own record", requestId: "own", services: ["lm"], expected: "e0" },
        { what: "an instance's report", requestId: "reported", services: ["lm"], expected: "e1" },
        { what: "nothing", requestId: "unknown", services: ["lm"], expected: "origin-unknown" },
        { what: "no id", requestId: "", services: ["lm"], expected: "origin-unknown" },
        { what: "a version that has left", requestId: "left", services: ["lm"], expected: "version-gone" },
        { what: "a service that the route has lost", requestId: "own", services: ["other"], expected: "version-gone" },
        { what: "one of the route's services", requestId: "own", services: ["other", "lm"], expected: "e0" },
    ])("is decided by $what: $expected", async ({ requestId, services, expected }) => {
        const coordinator = startCoordinator("v1", "v2");
        const begun = await decide(coordinator, newTestRequest({ streamId: "own", softwareVersion: "v1" }));
        expect(getEndpoint(begun)).toBe("e0");
        coordinator.adoptStreams([
            { service: "lm", softwareVersion: "v2", requestIds: ["reported"] },
            { service: "lm", softwareVersion: "v0", requestIds: ["left"] },
        ]);
        expect(getEndpoint(await decide(coordinator, newTakeUp(requestId, services)))).toBe(expected);
        coordinator.stop();
    });

    it("goes on at the same version when a take-up has broken off, too", async () => {
        const coordinator = startCoordinator("v1", "v2");
        coordinator.adoptStreams([{ service: "lm", softwareVersion: "v2", requestIds: ["r"] }]);
        await decide(coordinator, newTakeUp("r"));
        expect(getEndpoint(await decide(coordinator, newTakeUp("r-again")))).toBe("e1");
        coordinator.stop();
    });

    it("may begin at a version that has just joined only where it can't be resumed", async () => {
        const view = new FleetView(1_200);
        const coordinator = startTestCoordinator({ view, endpoints: newEndpoints("v1") });
        view.applyEndpoints({ revision: 2, value: newEndpoints("v1", "v2") });
        coordinator.onViewChanged();
        const begin = async (changes: Partial<PlaceRequest>) =>
            getEndpoint(await decide(coordinator, newTestRequest(changes), 1));
        expect(await begin({ streamId: "a" })).toBe("e0");
        expect(await begin({})).toBe("e1");
        expect(await begin({ streamId: "b" })).toBe("e0");
        expect(await begin({ streamId: "c" })).toBe("overloaded");
        const waiting = coordinator.place(newTestRequest({ streamId: "d", usefulForMs: 5_000, giveUpAfterMs: 5_000 }));
        await vi.advanceTimersByTimeAsync(4_000);
        expect(getEndpoint(await waiting)).toBe("e1");
        coordinator.stop();
    });

    it("waits for a place of its version, before requests that began later elsewhere in the queue", async () => {
        const coordinator = startCoordinator("v1", "v2");
        const held = await Promise.all(Array.from({ length: 4 }, () => coordinator.place(newTestRequest({}))));
        const decided: string[] = [];
        const begin = (name: string, changes: Partial<PlaceRequest>) =>
            void coordinator.place(newTestRequest({ usefulForMs: 5_000, giveUpAfterMs: 5_000, ...changes }))
                .then(outcome => decided.push(`${name} ${getEndpoint(outcome)}`));
        begin("new", {});
        begin("another new", {});
        begin("resumed", { softwareVersion: "v1", usefulForMs: -100 });
        await vi.advanceTimersByTimeAsync(10);
        expect(decided).toEqual([]);
        const [first] = held.filter(outcome => getEndpoint(outcome) === "e0");
        const placeId = first?.kind === "placed" ? first.placeId : "";
        const release = { placeId, end: "done" as const, fingerprint: "", firstAnswerMs: undefined };
        coordinator.handleRelease({ releases: [release], withdrawnAsks: [], silentPlaces: [] });
        await vi.advanceTimersByTimeAsync(10);
        expect(decided).toEqual(["resumed e0"]);
        coordinator.stop();
    });

    it("is refused as soon as the last endpoint of its version leaves while it waits", async () => {
        const view = new FleetView(1_200);
        const coordinator = startTestCoordinator({ view, endpoints: newEndpoints("v1", "v2") });
        await Promise.all(Array.from({ length: 4 }, () => coordinator.place(newTestRequest())));
        const outcome = coordinator.place(newTestRequest({ softwareVersion: "v1" }));
        const item = coordinator.place(newTestRequest({ softwareVersion: "v1", workClass: "batch" }));
        await vi.advanceTimersByTimeAsync(100);
        const endpoints = newEndpoints("v1", "v2").map(entry =>
            entry.softwareVersion === "v1" ? { ...entry, state: "draining" as const } : entry
        );
        view.applyEndpoints({ revision: 2, value: endpoints });
        coordinator.onViewChanged();
        await vi.advanceTimersByTimeAsync(1);
        expect((await Promise.all([outcome, item])).map(getEndpoint)).toEqual(["version-gone", "version-gone"]);
        coordinator.stop();
    });

    it("isn't refused for the requests that wait for any version", async () => {
        const coordinator = startCoordinator("v1", "v2");
        await Promise.all(Array.from({ length: 4 }, () => coordinator.place(newTestRequest({}))));
        for (let index = 0; index < 3; index += 1) {
            void coordinator.place(newTestRequest({ usefulForMs: 60_000, giveUpAfterMs: 60_000 }));
        }
        await vi.advanceTimersByTimeAsync(1);
        const taken = coordinator.place(newTakeUp("r"));
        coordinator.adoptStreams([{ service: "lm", softwareVersion: "v2", requestIds: ["r"] }]);
        let isDecided = false;
        void taken.then(() => isDecided = true);
        await vi.advanceTimersByTimeAsync(200);
        expect(isDecided).toBe(false);
        coordinator.stop();
    });

    it("waits just after a takeover for the records of the instances, and no longer", async () => {
        const coordinator = startCoordinator("v1", "v2");
        const early = coordinator.place(newTakeUp("r"));
        await vi.advanceTimersByTimeAsync(300);
        coordinator.adoptStreams([{ service: "lm", softwareVersion: "v2", requestIds: ["r"] }]);
        await vi.advanceTimersByTimeAsync(100);
        expect(getEndpoint(await early)).toBe("e1");
        await vi.advanceTimersByTimeAsync(1_000);
        expect(getEndpoint(await decide(coordinator, newTakeUp("unknown"), 1))).toBe("origin-unknown");
        coordinator.stop();
    });

    it.each([
        { who: "a deputy", epoch: 0, retryAfterMs: 500 },
        { who: "the coordinator", epoch: 2, retryAfterMs: 0 },
    ])("may be sent again in $retryAfterMs ms (0: never) where $who doesn't know its stream", async (
        { epoch, retryAfterMs },
    ) => {
        const granter = startTestCoordinator({ epoch, endpoints: newEndpoints("v1", "v2") });
        const outcome = await decide(granter, newTakeUp("unknown"));
        expect(outcome).toMatchObject({ kind: "refused", reason: "origin-unknown", retryAfterMs });
        granter.stop();
    });

    it("takes no place from a batch item that another version runs", async () => {
        const coordinator = startCoordinator("v1", "v2");
        const items = await Promise.all(
            Array.from({ length: 4 }, () => decide(coordinator, newTestRequest({ workClass: "batch" }))),
        );
        expect(items.map(getEndpoint).sort()).toEqual(["e0", "e0", "e1", "e1"]);
        void coordinator.place(newTestRequest({ softwareVersion: "v1", usefulForMs: 60_000 }));
        await vi.advanceTimersByTimeAsync(10);
        const atFirst = items.flatMap(item => item.kind === "placed" && item.endpointId === "e0" ? [item.placeId] : []);
        expect(preempted).toHaveLength(1);
        expect(atFirst).toContain(preempted[0]);
        coordinator.stop();
    });
});
