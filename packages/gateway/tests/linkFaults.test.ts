import { err, ok } from "neverthrow";
import { beforeEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import type { EndpointClient, EndpointRequest, EndpointResponse, SendFailure } from "../src/endpoints/endpointClient";
import type { EndpointLinks, Fault } from "../src/endpoints/endpointLinks";
import { LinkedEndpointClient, type ReachCheck } from "../src/endpoints/linkedEndpointClient";
import type { RelayClient } from "../src/endpoints/relayClient";
import type { RelayPeers } from "../src/endpoints/relayPeers";

const ENDPOINT = newTestEndpoint();
const PEER = { instanceId: "p", incarnation: "1", host: "h", rpcPort: 1, dataCentre: "east", processorShare: 1 };
const REQUEST = { endpoint: ENDPOINT, headers: [], signal: new AbortController().signal } as unknown as EndpointRequest;

/** What this instance and another one experience with the endpoint. */
interface Case {
    readonly title: string;
    readonly canConnect: boolean;
    readonly reachesOthers: boolean;
    readonly peerSays: ReachCheck | undefined;
    readonly isAlreadyStranded?: boolean;
}

let markedOutOfReach: number;
let relayed: number;
let direct: number;

function newClient({ canConnect, reachesOthers, peerSays, isAlreadyStranded = false }: Case): LinkedEndpointClient {
    let isStranded = isAlreadyStranded;
    const send = async () => {
        direct += 1;
        return canConnect
            ? ok({} as EndpointResponse)
            : err<EndpointResponse, SendFailure>({ kind: "unreachable", reason: "" });
    };
    return new LinkedEndpointClient({
        direct: {
            send,
            canConnect: async () => canConnect,
            checkResponse: () => ok({} as EndpointResponse),
        } as unknown as EndpointClient,
        links: {
            isDirect: () => !isStranded,
            checkLink: async () => {
                isStranded ||= !reachesOthers;
                return !isStranded;
            },
            markOutOfReach: () => markedOutOfReach += 1,
        } as unknown as EndpointLinks,
        peers: {
            pick: (_: string, tried: ReadonlySet<string>) => tried.size < 1 ? PEER : undefined,
            recordSuccess: () => undefined,
            recordFailure: () => undefined,
        } as unknown as RelayPeers,
        relays: {
            send: async () => {
                relayed += 1;
                return { kind: "response", response: { incoming: { once: () => undefined } } };
            },
        } as unknown as RelayClient,
        askPeer: async () => peerSays,
        onRelayed: () => undefined,
    });
}

beforeEach(() => {
    markedOutOfReach = 0;
    relayed = 0;
    direct = 0;
});

describe("why an endpoint doesn't answer", () => {
    const cases: (Case & { readonly fault: Fault; readonly isOutOfReach?: boolean; })[] = [
        { title: "it accepts connections", canConnect: true, reachesOthers: true, peerSays: undefined, fault: "none" },
        {
            title: "it crashed",
            canConnect: false,
            reachesOthers: true,
            peerSays: "unreachable",
            fault: "endpoint",
        },
        {
            title: "only this instance doesn't reach it",
            canConnect: false,
            reachesOthers: true,
            peerSays: "reachable",
            fault: "link",
            isOutOfReach: true,
        },
        {
            title: "no other instance can tell, and this one reaches others",
            canConnect: false,
            reachesOthers: true,
            peerSays: "unknown",
            fault: "endpoint",
        },
        {
            title: "this instance is cut off",
            canConnect: false,
            reachesOthers: false,
            peerSays: "reachable",
            fault: "link",
        },
        {
            title: "it crashed while this instance is cut off",
            canConnect: false,
            reachesOthers: false,
            isAlreadyStranded: true,
            peerSays: "unreachable",
            fault: "endpoint",
        },
        {
            title: "all endpoints crashed, which looks like a cut",
            canConnect: false,
            reachesOthers: false,
            peerSays: "unreachable",
            fault: "endpoint",
        },
        {
            title: "nobody can tell",
            canConnect: false,
            reachesOthers: false,
            isAlreadyStranded: true,
            peerSays: undefined,
            fault: "link",
        },
    ];
    it.each(cases)("$title", async testCase => {
        expect(await newClient(testCase).findFault(ENDPOINT)).toBe(testCase.fault);
        expect(markedOutOfReach).toBe(testCase.isOutOfReach === true ? 1 : 0);
    });
});

describe("the way of a request", () => {
    const cases: (Case & { readonly way: "direct" | "relayed" | "unreachable"; })[] = [
        { title: "sound", canConnect: true, reachesOthers: true, peerSays: "reachable", way: "direct" },
        {
            title: "the endpoint crashed",
            canConnect: false,
            reachesOthers: true,
            peerSays: undefined,
            way: "unreachable",
        },
        { title: "just cut off", canConnect: false, reachesOthers: false, peerSays: undefined, way: "relayed" },
        {
            title: "known to be cut off",
            canConnect: false,
            reachesOthers: false,
            isAlreadyStranded: true,
            peerSays: undefined,
            way: "relayed",
        },
    ];
    it.each(cases)("$title: $way", async testCase => {
        const result = await newClient(testCase).send(REQUEST);
        expect(result.isOk() ? relayed > 0 ? "relayed" : "direct" : result.error.kind).toBe(testCase.way);
        // Nothing is tried in vain once the fault is known.
        expect(direct).toBe(testCase.isAlreadyStranded === true ? 0 : 1);
    });
});
