import { RpcPeerServer } from "@heatherline/agreement";
import { newLogger } from "@heatherline/common";
import type { HeldPlace, MemberEntry, PlacementClient, Route } from "@heatherline/fleet";
import net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { readFullBody } from "../src/endpoints/bodyReader";
import { EndpointClient, type EndpointRequest } from "../src/endpoints/endpointClient";
import type { EndpointLinks } from "../src/endpoints/endpointLinks";
import { RelayClient } from "../src/endpoints/relayClient";
import { RELAY_PATH } from "../src/endpoints/relayProtocol";
import { RelayServer } from "../src/endpoints/relayServer";
import { ItemDurationEstimator } from "../src/jobs/itemDurationEstimator";
import { ItemPlacementQueue } from "../src/jobs/itemPlacementQueue";
import { ItemRun } from "../src/jobs/itemRun";
import { StreamRelay } from "../src/online/responseRelay";
import type { WireCodec } from "../src/wireCodec";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/** A part of the response that looks whole. */
const PART = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const UPLOAD_BYTES = [600_000, 4_000_000];
/** More than the system takes of an upload that nobody reads. */
const LARGE_UPLOAD_BYTES = 16_000_000;
const DELAYS_MS = [0, 5, 60];
const MAX_RUN_MS = 3_000;

/**
 * How the endpoint ends its connection after a part of its response.
 *
 * - `reset`: it resets the connection.
 * - `close`: it closes the connection in an orderly way, which the system turns into a reset once more of the upload arrives.
 * - `half-close`: it ends its side only, and resets the connection later.
 */
type Ending = "reset" | "close" | "half-close";

/** Answers each request before it has read its body. */
class EarlyServer {
    port = 0;
    private readonly sockets = new Set<net.Socket>();
    private readonly server: net.Server;

    constructor(
        private readonly ending: Ending,
        private readonly delayMs: number,
        private readonly readBytes: number,
    ) {
        this.server = net.createServer({ allowHalfOpen: true }, socket => this.serve(socket));
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as net.AddressInfo).port;
    }

    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private serve(socket: net.Socket): void {
        let bytes = 0;
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", (chunk: Buffer) => {
            const hadEnough = bytes > this.readBytes;
            bytes += chunk.length;
            if (!hadEnough && bytes > this.readBytes) {
                socket.pause();
                socket.write(HEAD + PART);
                setTimeout(() => this.end(socket), this.delayMs);
            }
        });
    }

    private end(socket: net.Socket): void {
        if (this.ending === "reset") {
            socket.resetAndDestroy();
        }
        else if (this.ending === "close") {
            socket.end(() => socket.destroy());
        }
        else {
            socket.end();
            setTimeout(() => socket.resetAndDestroy(), 30);
        }
    }
}

const wire = {
    parseResponseHead: () => ({
        requestId: undefined,
        isSigned: true,
        isNotExecuted: false,
        requestLimit: { kind: "none" },
    }),
    toEndpointHeaders: () => ["Host", "h"],
    toItemHeaders: () => [],
} as unknown as WireCodec;

let server: EarlyServer;

function newRequest(uploadBytes: number): EndpointRequest {
    return {
        requestId: "r1",
        endpoint: newTestEndpoint({ port: server.port }),
        method: "POST",
        path: "/",
        headers: ["Host", "h", "Content-Length", String(uploadBytes)],
        body: Buffer.alloc(uploadBytes),
        mayReuseConnection: true,
        signal: new AbortController().signal,
    };
}

/** @returns Whether the response to an upload is taken as complete. */
const readers: Record<string, (uploadBytes: number) => Promise<boolean>> = {
    body: async uploadBytes => {
        const result = await new EndpointClient(wire).send(newRequest(uploadBytes));
        return result.isOk() && await readFullBody(result.value) !== undefined;
    },
    "relayed body": async uploadBytes => {
        const request = newRequest(uploadBytes);
        const peer = new RpcPeerServer("");
        const relays = new RelayServer({
            client: new EndpointClient(wire),
            links: { isDirect: () => true, checkLink: async () => true } as unknown as EndpointLinks,
            getUsableEndpoint: () => request.endpoint,
            isStopping: () => false,
            logger: newLogger("test", "fatal"),
        });
        peer.addRoute(RELAY_PATH, (incoming, response) => relays.handle(incoming, response));
        const rpcPort = await peer.listen("127.0.0.1", 0);
        const member = { instanceId: "peer", host: "127.0.0.1", rpcPort } as MemberEntry;
        const outcome = await new RelayClient("self").send(member, request, request.headers);
        const isComplete = outcome.kind === "response"
            && await readFullBody({ ...outcome.response, head: wire.parseResponseHead({}) }) !== undefined;
        peer.close();
        return isComplete;
    },
    stream: async uploadBytes => {
        const response = { hasStarted: true, write: () => undefined, endStream: () => undefined };
        const relay = new StreamRelay(response as never, undefined, () => undefined);
        const result = await new EndpointClient(wire).send(newRequest(uploadBytes));
        return result.isOk() && (await relay.relay(result.value)).kind === "complete";
    },
    item: async uploadBytes => {
        const ending = new AbortController();
        const place = {
            placeId: "p",
            endpoint: newTestEndpoint({ port: server.port }),
            preemptSignal: new AbortController().signal,
            release: () => ending.abort(),
        } as unknown as HeldPlace;
        const route = { kind: "batch", targets: [{ service: "lm", weight: 1 }], retentionMs: 60_000, maxAttempts: 3 };
        const ends: string[] = [];
        const bodyBase64 = Buffer.alloc(uploadBytes).toString("base64");
        await new ItemRun(
            { jobId: "j", organisation: "o", host: "h", submittedAt: Date.now() },
            { itemId: "i", path: "/", headers: {}, tokens: 160 } as never,
            {
                placement: { requestPlace: async () => ({ kind: "placed", place }) } as unknown as PlacementClient,
                endpoints: new EndpointClient(wire),
                wire,
                durationEstimator: new ItemDurationEstimator(),
                placementQueue: new ItemPlacementQueue(),
                findRoute: () => route as unknown as Route,
                getContent: () => Promise.resolve({ path: "/", headers: {}, bodyBase64 }),
                mayRun: () => true,
                onRunEnded: (_, end) => ends.push(end),
            },
            ending.signal,
        ).run();
        return ends[0] === "complete";
    },
};

afterEach(() => server.stop());

/** How the endpoint ends the connection, and the uploads of which it has read that fraction by then. */
const ENDS: readonly {
    readonly ending: Ending;
    readonly readFraction: number;
    readonly uploads: readonly number[];
}[] = [
    { ending: "reset", readFraction: 0, uploads: UPLOAD_BYTES },
    { ending: "reset", readFraction: 0.5, uploads: UPLOAD_BYTES },
    { ending: "close", readFraction: 0, uploads: UPLOAD_BYTES },
    { ending: "close", readFraction: 0.5, uploads: UPLOAD_BYTES },
    { ending: "half-close", readFraction: 0, uploads: [LARGE_UPLOAD_BYTES] },
];

// Fails if a part of a response passes for a whole one since the endpoint ended it while its request was being uploaded.
describe("a response without a length that ends while its request is still being uploaded", () => {
    const cases = Object.keys(readers).flatMap(reader => ENDS.map(end => ({ reader, ...end })));
    it.each(cases)("is not complete: $reader, $ending, $readFraction read", async options => {
        const { reader, ending, readFraction, uploads } = options;
        for (const uploadBytes of uploads) {
            for (const delayMs of DELAYS_MS) {
                server = new EarlyServer(ending, delayMs, readFraction * uploadBytes);
                await server.start();
                expect(await readers[reader]?.(uploadBytes), `${uploadBytes} bytes, ${delayMs} ms`).toBe(false);
                server.stop();
            }
        }
    }, 20 * MAX_RUN_MS);
});
