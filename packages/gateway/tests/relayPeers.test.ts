import type { MemberEntry } from "@heatherline/fleet";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { RelayPeers } from "../src/endpoints/relayPeers";

const SELF = newMember("a1", "a");
const MEMBERS = [SELF, newMember("a2", "a"), newMember("a3", "a"), newMember("b1", "b"), newMember("c1", "c")];
/** Data centre c is in a region of its own. */
const getRegion = (dataCentre: string) => dataCentre === "c" ? "far" : "near";
const DRAWS = 200;
const NONE: ReadonlySet<string> = new Set();

let peers: RelayPeers;

function newMember(instanceId: string, dataCentre: string): MemberEntry {
    return { instanceId, incarnation: "1", host: "127.0.0.1", rpcPort: 1, dataCentre, processorShare: 1 };
}

function draw(endpointDataCentre = "a", triedIds = NONE): Set<string | undefined> {
    return new Set(Array.from({ length: DRAWS }, () => peers.pick(endpointDataCentre, triedIds)?.instanceId));
}

beforeEach(() => {
    vi.useFakeTimers();
    peers = new RelayPeers({ self: SELF, getMembers: () => MEMBERS, getRegion });
});

afterEach(() => {
    vi.useRealTimers();
});

describe("instances that are asked to relay", () => {
    const cases: {
        title: string;
        endpointDataCentre?: string;
        failed?: string[];
        proven?: string[];
        tried?: string[];
        expected: (string | undefined)[];
    }[] = [
        { title: "those of the own data centre, the load spread", expected: ["a2", "a3"] },
        { title: "not those that have been asked", tried: ["a2"], expected: ["a3"] },
        { title: "not those that couldn't relay", failed: ["a2", "a3"], expected: ["b1"] },
        { title: "none if none is left", failed: ["a2", "a3", "b1"], expected: [undefined] },
        { title: "those in the endpoint's region only", endpointDataCentre: "c", expected: ["c1"] },
        { title: "those proven, and now and then others", proven: ["b1"], expected: ["a2", "a3", "b1"] },
        { title: "those proven only, if there are enough", proven: ["a2", "a3", "b1"], expected: ["a2", "a3"] },
    ];
    it.each(cases)("$title", ({ endpointDataCentre, failed = [], proven = [], tried = [], expected }) => {
        failed.forEach(id => peers.recordFailure(id));
        proven.forEach(id => peers.recordSuccess(id));
        expect(draw(endpointDataCentre, new Set(tried))).toEqual(new Set(expected));
    });

    it("includes one that couldn't relay after a while", () => {
        ["a2", "a3", "b1"].forEach(id => peers.recordFailure(id));
        vi.advanceTimersByTime(1_500);
        expect(draw()).toEqual(new Set(["a2", "a3"]));
    });
});
