import type { MemberEntry } from "@heatherline/fleet";
import { callHttp } from "@heatherline/store";
import http from "node:http";
import net from "node:net";
import { setImmediate } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointClient, type EndpointRequest } from "../src/endpoints/endpointClient";
import { RelayClient } from "../src/endpoints/relayClient";
import type { WireCodec } from "../src/wireCodec";

/** Time limit of a call that gets no response. */
const TIMEOUT_MS = 2_000;
/** Delay between the head and the end of the connection, so that they don't always arrive together. */
const RESET_DELAY_MS = 2;
const WHOLE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const COMMON_HEADERS = "Request-Id: r1\r\nX-Relayed-Endpoint: e\r\nResponse-Signature: sig\r\n";

/** Heads of responses, of which any part may arrive. */
const HEADS = {
    length: `HTTP/1.1 200 OK\r\n${COMMON_HEADERS}Content-Length: 123\r\n\r\n`,
    chunked: `HTTP/1.1 200 OK\r\n${COMMON_HEADERS}Transfer-Encoding: chunked\r\n\r\n`,
    connection: `HTTP/1.1 200 OK\r\nConnection: close\r\n${COMMON_HEADERS}\r\n`,
    afterInformation: `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${COMMON_HEADERS}\r\n`,
    withoutHeaders: "HTTP/1.0 200 OK\r\n\r\n",
} as const;

/** Sends the first response of a connection whole if connections are kept, and a part of a head then. */
class CutServer {
    port = 0;
    part = "";
    ending: "close" | "reset" = "close";
    isKept = false;
    private readonly sockets = new Set<net.Socket>();
    private readonly server = net.createServer(socket => this.serve(socket));

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as net.AddressInfo).port;
    }

    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private serve(socket: net.Socket): void {
        let isFirst = true;
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", () => {
            const isWhole = this.isKept && isFirst;
            isFirst = false;
            socket.write(isWhole ? WHOLE_RESPONSE : this.part, () => isWhole || this.end(socket));
        });
    }

    private end(socket: net.Socket): void {
        if (this.ending === "close") {
            socket.end();
        }
        else {
            setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        }
    }
}

const wire = {
    parseResponseHead: () => ({ requestId: undefined, requestLimit: { kind: "none" } }),
} as unknown as WireCodec;

let requestCount = 0;

/** Ids differ, since no connection carries two requests with the same one. */
function newRequest(port: number): EndpointRequest {
    requestCount += 1;
    return {
        requestId: `r${requestCount}`,
        endpoint: newTestEndpoint({ port }),
        method: "POST",
        path: "/",
        headers: ["Host", "h", "Content-Length", "0"],
        body: Buffer.alloc(0),
        mayReuseConnection: true,
        signal: AbortSignal.timeout(TIMEOUT_MS),
    };
}

/** Sends a request, and tells what came of it: `response` if there was one, of whatever kind. */
type Send = (port: number) => Promise<string>;

function newEndpointSend(): Send {
    const client = new EndpointClient(wire);
    return async port => {
        const result = await client.send(newRequest(port));
        if (result.isOk()) {
            await result.value.incoming.toArray().catch(() => []);
            await setImmediate();
        }
        return result.isOk() ? "response" : result.error.kind;
    };
}

function newRelaySend(): Send {
    const client = new RelayClient("a");
    return async port => {
        const peer = { instanceId: "b", host: "127.0.0.1", rpcPort: port } as MemberEntry;
        const outcome = await client.send(peer, newRequest(port), []);
        if (outcome.kind === "response") {
            outcome.response.incoming.resume();
        }
        // The whole response on a kept connection names no endpoint, as that of an instance which doesn't relay.
        return outcome.kind === "not-taken" ? "response" : outcome.kind;
    };
}

/** The call of the store and of other instances. */
function newCallSend(): Send {
    const agent = new http.Agent({ keepAlive: true });
    return async port => {
        const url = new URL(`http://127.0.0.1:${port}/`);
        const reply = await callHttp({ url, method: "POST", body: "{}", timeoutMs: TIMEOUT_MS, agent });
        return reply.isOk() ? "response" : reply.error.kind;
    };
}

let server: CutServer;

afterEach(() => server.stop());

describe("a response that ends inside its head is none, wherever it ends", () => {
    it.each(
        ([
            { who: "an endpoint's", newSend: newEndpointSend, failures: ["broken", "invalid-response"] },
            { who: "a relaying instance's", newSend: newRelaySend, failures: ["lost"] },
            { who: "the store's or an instance's", newSend: newCallSend, failures: ["lost"] },
        ] as const).flatMap(client =>
            (["close", "reset"] as const).flatMap(ending =>
                [false, true].map(isKept => ({ ...client, ending, isKept }))
            )
        ),
    )("$who, $ending, on a kept connection: $isKept", async ({ newSend, failures, ending, isKept }) => {
        server = new CutServer();
        await server.start();
        Object.assign(server, { ending, isKept });
        const wrong: { head: string; end: string; outcome: string; }[] = [];
        for (const [head, text] of Object.entries(HEADS)) {
            for (let length = 0; length < text.length; length += 1) {
                server.part = text.slice(0, length);
                const send = newSend();
                expect(isKept ? await send(server.port) : "response").toBe("response");
                const outcome = await send(server.port);
                if (!(failures as readonly string[]).includes(outcome)) {
                    wrong.push({ head, end: server.part.slice(-20), outcome });
                }
            }
        }
        expect(wrong).toEqual([]);
    });
});
