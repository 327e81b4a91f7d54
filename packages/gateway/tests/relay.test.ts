import { RpcPeerServer } from "@heatherline/agreement";
import { newLogger, sleep } from "@heatherline/common";
import type { EndpointEntry, MemberEntry } from "@heatherline/fleet";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointClient, type EndpointRequest, type EndpointStatementListener } from "../src/endpoints/endpointClient";
import type { EndpointLinks } from "../src/endpoints/endpointLinks";
import { LinkedEndpointClient } from "../src/endpoints/linkedEndpointClient";
import { RelayClient } from "../src/endpoints/relayClient";
import { RelayPeers } from "../src/endpoints/relayPeers";
import { RELAY_PATH } from "../src/endpoints/relayProtocol";
import { RelayServer } from "../src/endpoints/relayServer";
import { MemoryBudget } from "../src/memoryBudget";
import type { WireCodec } from "../src/wireCodec";

const logger = newLogger("test", "fatal");
const BODY = "x".repeat(300_000);
/** Memory of an instance for the requests that it relays. */
const BUDGET_BYTES = 1_000_000;
const wire = {
    parseResponseHead: (headers: http.IncomingHttpHeaders) => ({
        requestId: headers["request-id"],
        isSigned: true,
        isNotExecuted: headers["not-executed"] !== undefined,
        isLeaving: headers["server-leaving"] !== undefined,
        requestLimit: { kind: "none" },
    }),
} as unknown as WireCodec;

/** How an instance takes requests that it is asked to relay. */
type PeerState = "sound" | "stranded" | "stopping" | "not-usable" | "earlier-release" | "gone";

/** Counts what endpoints say of themselves. */
class Listener implements EndpointStatementListener {
    leaving = 0;

    markLeaving(): void {
        this.leaving += 1;
    }

    recordLimit(): void {}
}

class Peer {
    readonly listener = new Listener();
    readonly rpcServer = new RpcPeerServer("");
    port = 0;
    relays: RelayServer | undefined;
    readonly budget = new MemoryBudget(BUDGET_BYTES, Infinity);

    constructor(readonly instanceId: string, private readonly state: PeerState) {}

    async start(): Promise<void> {
        this.relays = new RelayServer({
            client: new EndpointClient(wire, this.listener),
            links: newLinks(this.state !== "stranded"),
            getUsableEndpoint: ({ service }) =>
                this.state === "not-usable" || service !== endpoint.service ? undefined : endpoint,
            isStopping: () => this.state === "stopping",
            bodies: this.budget.bodies,
            logger,
        });
        if (this.state !== "earlier-release") {
            const { relays } = this;
            this.rpcServer.addRoute(RELAY_PATH, (request, response) => relays.handle(request, response));
        }
        this.port = await this.rpcServer.listen("127.0.0.1", 0);
        if (this.state === "gone") {
            this.rpcServer.close();
        }
    }

    getEntry(): MemberEntry {
        const { instanceId, port } = this;
        return {
            instanceId,
            incarnation: "1",
            host: "127.0.0.1",
            rpcPort: port,
            dataCentre: "east",
            processorShare: 1,
        };
    }
}

let engine: http.Server;
let respond: (request: http.IncomingMessage, response: http.ServerResponse, body: string) => void;
let received: { method: string; url: string; body: string; headers: http.IncomingHttpHeaders; }[];
let openAtEngine: number;
let endpoint: EndpointEntry;
let peers: Peer[];

function newLinks(isSound: boolean): EndpointLinks {
    const links = {
        isStranded: !isSound,
        isDirect: () => isSound,
        checkLink: async () => isSound,
        markOutOfReach: () => undefined,
    };
    return links as unknown as EndpointLinks;
}

beforeEach(async () => {
    received = [];
    peers = [];
    openAtEngine = 0;
    respond = (_, response) => response.end(BODY);
    engine = http.createServer((request, response) => {
        let body = "";
        openAtEngine += 1;
        response.on("close", () => openAtEngine -= 1);
        request.on("data", (chunk: Buffer) => body += chunk.toString("latin1"));
        request.on("end", () => {
            const { method = "", url = "", headers } = request;
            received.push({ method, url, body, headers });
            respond(request, response, body);
        });
    });
    await new Promise<void>(resolve => engine.listen(0, "127.0.0.1", resolve));
    endpoint = newTestEndpoint({ port: (engine.address() as AddressInfo).port });
});

afterEach(() => {
    peers.forEach(({ rpcServer }) => rpcServer.close());
    engine.closeAllConnections();
    engine.close();
});

async function newSender(states: readonly PeerState[], listener = new Listener()): Promise<LinkedEndpointClient> {
    peers = states.map((state, index) => new Peer(`p${index}`, state));
    await Promise.all(peers.map(peer => peer.start()));
    const self = new Peer("self", "sound").getEntry();
    return new LinkedEndpointClient({
        direct: new EndpointClient(wire, listener),
        links: newLinks(false),
        peers: new RelayPeers({ self, getMembers: () => peers.map(peer => peer.getEntry()), getRegion: () => "near" }),
        relays: new RelayClient("self"),
        askPeer: async () => undefined,
        onRelayed: () => undefined,
    });
}

function newRequest(changes: Partial<EndpointRequest> = {}): EndpointRequest {
    return {
        requestId: "r1",
        endpoint,
        method: "PUT",
        path: "/a/b?c=d",
        headers: ["Host", "h", "Request-Id", "r1", "Deadline", "900", "Content-Length", "8"],
        body: Buffer.from("the body"),
        mayReuseConnection: true,
        signal: new AbortController().signal,
        ...changes,
    };
}

async function readBody(incoming: http.IncomingMessage): Promise<string> {
    let body = "";
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            body += chunk.toString("latin1");
        }
    }
    catch {
        // The observer tells that the response is incomplete.
    }
    return body;
}

describe("a request of an instance that doesn't reach the endpoint", () => {
    const responses: {
        title: string;
        respond: typeof respond;
        status?: number;
        body?: string;
        isComplete?: boolean;
        framing?: string;
    }[] = [
        {
            title: "with a length",
            framing: "length",
            respond: (_, response) => response.setHeader("Content-Length", 3).end("abc"),
            body: "abc",
        },
        {
            title: "in chunks",
            respond: (_, response) => {
                response.write(BODY);
                response.end();
            },
            body: BODY,
        },
        {
            title: "that ends with its connection",
            framing: "connection",
            respond: (_, response) => {
                response.useChunkedEncodingByDefault = false;
                response.writeHead(200).end("abc");
            },
            body: "abc",
        },
        {
            title: "that is a refusal",
            respond: (_, response) => response.writeHead(503).end(),
            status: 503,
            body: "",
        },
        {
            title: "without a body",
            framing: "none",
            respond: (_, response) => response.writeHead(204).end(),
            status: 204,
            body: "",
        },
        {
            title: "that breaks off",
            respond: (_, response) => {
                response.write("abc");
                setTimeout(() => response.destroy(), 30);
            },
            body: "abc",
            isComplete: false,
        },
    ];
    it.each(responses)(
        "gets a response $title",
        async ({ respond: answer, status = 200, body, isComplete = true, framing = "chunked" }) => {
            respond = answer;
            const sender = await newSender(["sound"]);
            const response = (await sender.send(newRequest()))._unsafeUnwrap();
            expect(response.status).toBe(status);
            expect(await readBody(response.incoming)).toBe(body);
            expect(response.endObserver.isComplete).toBe(isComplete);
            // An empty response that ends with its connection may have been cut off, and must not look like another one.
            expect(response.endObserver.responseEnd.framing).toBe(framing);
            expect(received).toMatchObject([{ method: "PUT", url: "/a/b?c=d", body: "the body" }]);
            expect(received[0]?.headers).toMatchObject({ "request-id": "r1", deadline: "900", "content-length": "8" });
        },
    );

    const ways: { title: string; states: PeerState[]; isSent: boolean; }[] = [
        { title: "an instance that relays", states: ["sound"], isSent: true },
        { title: "the one that isn't stranded", states: ["stranded", "stranded", "sound"], isSent: true },
        { title: "the one that isn't gone", states: ["gone", "sound"], isSent: true },
        { title: "the one that isn't stopping", states: ["stopping", "sound"], isSent: true },
        { title: "the one whose release can relay", states: ["earlier-release", "sound"], isSent: true },
        { title: "the one that knows the endpoint", states: ["not-usable", "sound"], isSent: true },
        { title: "none: all are stranded", states: ["stranded", "stranded"], isSent: false },
        { title: "none: they say that the endpoint isn't usable", states: ["not-usable", "not-usable"], isSent: false },
        { title: "none: there is no other", states: [], isSent: false },
    ];
    it.each(ways)("is sent once, through $title", async ({ states, isSent }) => {
        const sender = await newSender(states);
        const result = await sender.send(newRequest({ mayReuseConnection: false }));
        expect(result.isOk() ? "sent" : result.error.kind).toBe(isSent ? "sent" : "no-path");
        expect(received).toHaveLength(isSent ? 1 : 0);
    });

    it("is given up when the other instance's connection closes without a response", async () => {
        const server = http.createServer();
        server.on("connection", socket =>
            socket.on("data", () => {
                socket.write("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n");
                socket.on("error", () => undefined);
            }));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const entry = { ...new Peer("p", "sound").getEntry(), rpcPort: port };
        const outcome = await new RelayClient("self").send(entry, newRequest(), []);
        expect(outcome.kind).toBe("lost");
        server.closeAllConnections();
        server.close();
    });

    it("is sent as what the asking instance takes the endpoint for", async () => {
        const sender = await newSender(["sound"]);
        await sender.send(newRequest({ endpoint: newTestEndpoint({ ...endpoint, service: "other" }) }));
        expect(received).toEqual([]);
    });

    it("is not sent through the next instance if it may have run", async () => {
        respond = (_, response) => response.destroy();
        const sender = await newSender(["sound", "sound"]);
        const result = await sender.send(newRequest({ mayReuseConnection: false }));
        expect(result._unsafeUnwrapErr().kind).toBe("broken");
        expect(received).toHaveLength(1);
    });

    it("tells that the endpoint can't be reached only if an instance that reaches others says so", async () => {
        engine.close();
        engine.closeAllConnections();
        const sender = await newSender(["sound"]);
        expect((await sender.send(newRequest()))._unsafeUnwrapErr().kind).toBe("unreachable");
    });

    it("is not sent once it may no longer be", async () => {
        const sender = await newSender(["sound"]);
        const result = await sender.send(newRequest({ renewHeaders: () => undefined }));
        expect(result._unsafeUnwrapErr().kind).toBe("no-path");
        expect(received).toHaveLength(0);
    });

    it.each([true, false])("ends at the endpoint when it is aborted; after the head: %s", async hasResponded => {
        respond = (_, response) => hasResponded ? response.write("abc") : undefined;
        const abortController = new AbortController();
        const sender = await newSender(["sound"]);
        const pending = sender.send(newRequest({ signal: abortController.signal }));
        await sleep(100);
        expect(openAtEngine).toBe(1);
        abortController.abort();
        await sleep(100);
        expect(openAtEngine).toBe(0);
        expect((await pending).isOk()).toBe(hasResponded);
        expect(peers[0]?.relays?.openRelayCount).toBe(0);
    });

    it("tells both instances that the endpoint leaves", async () => {
        respond = (_, response) => response.setHeader("Server-Leaving", "1").end();
        const listener = new Listener();
        const sender = await newSender(["sound"], listener);
        await sender.send(newRequest());
        expect([listener.leaving, peers[0]?.listener.leaving]).toEqual([1, 1]);
    });

    it("gets no response to another request", async () => {
        respond = (_, response) => response.setHeader("Request-Id", "other").end();
        const sender = await newSender(["sound"]);
        expect((await sender.send(newRequest()))._unsafeUnwrapErr().kind).toBe("invalid-response");
    });
});

// Fails if an instance takes the messages of others into memory without a limit.
describe("requests of other instances beyond the memory of one that relays", () => {
    it("are refused as not sent, and the others are relayed", async () => {
        const waiting: http.ServerResponse[] = [];
        respond = (_, response) => waiting.push(response);
        const sender = await newSender(["sound"]);
        const body = Buffer.from(BODY);
        const headers = ["Host", "h", "Request-Id", "r1", "Content-Length", String(body.length)];
        const sent = Array.from({ length: 6 }, () => sender.send(newRequest({ headers, body })));
        const outcomes = sent.map(async result => (await result).match(() => "response", ({ kind }) => kind));
        while (waiting.length < 3) {
            await sleep(5);
        }
        await sleep(100);
        const { budget } = peers[0] as Peer;
        expect(waiting).toHaveLength(3);
        expect(budget.usedBytes).toBeLessThanOrEqual(BUDGET_BYTES);
        waiting.forEach(response => response.end("ok"));
        expect((await Promise.all(outcomes)).toSorted()).toEqual([
            ...Array.from({ length: 3 }, () => "no-path"),
            ...Array.from({ length: 3 }, () => "response"),
        ]);
        await sleep(50);
        expect(budget.usedBytes).toBe(0);
    });
});
