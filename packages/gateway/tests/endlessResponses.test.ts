import net from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { afterEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { discardBody, readFullBody } from "../src/endpoints/bodyReader";
import { EndpointClient, type EndpointRequest } from "../src/endpoints/endpointClient";
import { EventStreamParser } from "../src/online/eventStreamParser";
import { StreamRelay } from "../src/online/responseRelay";
import type { WireCodec } from "../src/wireCodec";

/** Longest time until a connection that sends bytes without end is closed. */
const MAX_MS = 3_000;
/** Most memory that one such connection may take. */
const MAX_BYTES = 32_000_000;
const CONCURRENT = 30;
/** Twice the limit of buffered bodies, whose chunks refer to larger read buffers, and what the sockets may hold. */
const MAX_LIVE_BYTES = 2 * 16_777_216 + CONCURRENT * 4 * 65_536;
const SAMPLE_INTERVAL_MS = 10;
const HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
const BLOCK = "x".repeat(65_536);

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** @returns Bytes in buffers that are still referenced. */
function getLiveBytes(): number {
    collectGarbage();
    return process.memoryUsage().arrayBuffers;
}

/** Sends `prefix` and then `block` again and again until the other side closes the connection. */
class EndlessServer {
    port = 0;
    open = 0;
    private readonly server: net.Server;
    private readonly sockets = new Set<net.Socket>();

    constructor(prefix: string, block: string) {
        this.server = net.createServer(socket => {
            this.open += 1;
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                this.open -= 1;
                this.sockets.delete(socket);
            });
            socket.once("data", () => {
                socket.write(prefix);
                const send = () => {
                    while (!socket.destroyed && socket.write(block)) {
                        // Writes until the buffer is full.
                    }
                };
                socket.on("drain", send);
                send();
            });
        });
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as net.AddressInfo).port;
    }

    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}

const wire = {
    parseResponseHead: () => ({
        requestId: "r1",
        isSigned: true,
        isNotExecuted: false,
        requestLimit: { kind: "none" },
    }),
} as unknown as WireCodec;

function newRequest(port: number): EndpointRequest {
    return {
        requestId: "r1",
        endpoint: newTestEndpoint({ port }),
        method: "POST",
        path: "/",
        headers: ["Host", "h"],
        body: Buffer.from("body"),
        mayReuseConnection: true,
        signal: new AbortController().signal,
    };
}

/** A caller's response that accepts everything and counts it. */
function newCallerResponse() {
    let bytes = 0;
    return {
        hasStarted: true,
        write: (chunk: Buffer) => {
            bytes += chunk.length;
            return undefined;
        },
        endStream: () => undefined,
        get bytes() {
            return bytes;
        },
    };
}

async function readResponse(port: number, how: "body" | "stream" | "discard"): Promise<string> {
    const result = await new EndpointClient(wire).send(newRequest(port));
    if (result.isErr()) {
        return result.error.kind;
    }
    if (how === "body") {
        return await readFullBody(result.value) === undefined ? "no body" : "body";
    }
    if (how === "discard") {
        discardBody(result.value.incoming);
        return "discarded";
    }
    const relay = new StreamRelay(newCallerResponse() as never, undefined, () => undefined);
    return (await relay.relay(result.value)).kind;
}

async function waitUntilClosed(server: EndlessServer): Promise<void> {
    const startedAtMs = performance.now();
    while (server.open > 0 && performance.now() - startedAtMs < MAX_MS) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(server.open, "open connections").toBe(0);
}

describe("an endpoint that sends bytes without end", () => {
    let server: EndlessServer;

    afterEach(() => server.stop());

    it.each(
        [
            {
                what: "one line of a head",
                prefix: "HTTP/1.1 200 OK\r\nA: ",
                block: BLOCK,
                how: "body",
                outcome: "invalid-response",
            },
            {
                what: "lines of a head",
                prefix: HEAD,
                block: "A: b\r\n".repeat(5_000),
                how: "body",
                outcome: "invalid-response",
            },
            { what: "bytes that are no HTTP", prefix: "", block: BLOCK, how: "body", outcome: "invalid-response" },
            {
                what: "informational heads",
                prefix: "",
                block: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n".repeat(500),
                how: "body",
                outcome: "invalid-response",
            },
            {
                what: "heads that say to continue",
                prefix: "",
                block: "HTTP/1.1 100 Continue\r\n\r\n".repeat(500),
                how: "body",
                outcome: "invalid-response",
            },
            {
                what: "a chunk size",
                prefix: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
                block: "0".repeat(65_536),
                how: "body",
                outcome: "no body",
            },
            {
                what: "a body until the connection closes",
                prefix: `${HEAD}\r\n`,
                block: BLOCK,
                how: "body",
                outcome: "no body",
            },
            {
                what: "chunks of a body",
                prefix: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
                block: `10000\r\n${BLOCK}\r\n`,
                how: "body",
                outcome: "no body",
            },
            {
                what: "an event without a line end",
                prefix: `${HEAD}\r\ndata: `,
                block: BLOCK,
                how: "stream",
                outcome: "broken",
            },
            {
                what: "lines of one event",
                prefix: `${HEAD}\r\n`,
                block: "data: x\n".repeat(8_000),
                how: "stream",
                outcome: "broken",
            },
            {
                what: "a body that is not needed",
                prefix: `${HEAD}\r\n`,
                block: BLOCK,
                how: "discard",
                outcome: "discarded",
            },
            {
                what: "bytes after a complete response",
                prefix: `${HEAD}Content-Length: 2\r\n\r\nok`,
                block: BLOCK,
                how: "body",
                outcome: "body",
            },
        ] as const,
    )("($what) is cut off in bounded time and memory", async ({ prefix, block, how, outcome }) => {
        server = new EndlessServer(prefix, block);
        await server.start();
        const beforeBytes = process.memoryUsage().rss;
        const startedAtMs = performance.now();
        expect(await readResponse(server.port, how)).toBe(outcome);
        await waitUntilClosed(server);
        expect(performance.now() - startedAtMs).toBeLessThan(MAX_MS);
        expect(process.memoryUsage().rss - beforeBytes).toBeLessThan(MAX_BYTES * 3);
    });

    it(`takes bounded memory when ${CONCURRENT} do it at once`, async () => {
        server = new EndlessServer(`${HEAD}\r\n`, BLOCK);
        await server.start();
        const beforeBytes = getLiveBytes();
        let mostBytes = beforeBytes;
        const timer = setInterval(() => mostBytes = Math.max(mostBytes, getLiveBytes()), SAMPLE_INTERVAL_MS);
        const outcomes = await Promise.all(Array.from({ length: CONCURRENT }, () => readResponse(server.port, "body")));
        clearInterval(timer);
        await waitUntilClosed(server);
        expect(new Set(outcomes)).toEqual(new Set(["no body"]));
        expect(mostBytes - beforeBytes).toBeLessThan(MAX_LIVE_BYTES);
    });
});

describe("the parser of event streams", () => {
    it("takes time in proportion to the bytes of a long event", () => {
        const parser = new EventStreamParser();
        const startedAtMs = performance.now();
        let bytes = 0;
        expect(() => {
            for (; bytes < 50_000_000; bytes += BLOCK.length) {
                parser.parse(Buffer.from(BLOCK));
            }
        }).toThrow();
        expect(bytes).toBeLessThan(MAX_BYTES);
        expect(performance.now() - startedAtMs).toBeLessThan(1_000);
    });

    it.each([
        { name: "in one piece", size: 1_000 },
        { name: "byte by byte", size: 1 },
        { name: "in threes", size: 3 },
    ])("finds events that arrive $name", ({ size }) => {
        const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\ndata: rest";
        const parser = new EventStreamParser();
        const events = [];
        for (let at = 0; at < text.length; at += size) {
            events.push(...parser.parse(Buffer.from(text.slice(at, at + size))));
        }
        expect(events.map(({ eventId }) => eventId)).toEqual([1, 2, 3]);
        expect(Buffer.concat([...events.map(({ bytes }) => bytes), parser.getRemainder()]).toString()).toBe(text);
    });
});

// Fails if unfinished events, each within its own limit, together take memory that nothing bounds.
describe("events without end on many streams at once", () => {
    it("take bounded memory, and usual events of other streams are still taken", () => {
        const streams = Array.from({ length: 40 }, () => new EventStreamParser());
        const failed = new Set<EventStreamParser>();
        for (let block = 0; block < 15; block += 1) {
            for (const parser of streams.filter(stream => !failed.has(stream))) {
                try {
                    parser.parse(Buffer.alloc(BLOCK.length, "x"));
                }
                catch {
                    parser.close();
                    failed.add(parser);
                }
            }
        }
        const held = streams.filter(stream => !failed.has(stream));
        const heldBytes = held.reduce((sum, parser) => sum + parser.getRemainder().length, 0);
        expect(heldBytes).toBeLessThanOrEqual(16_777_216);
        expect(held.length).toBeGreaterThan(0);
        const other = new EventStreamParser();
        expect(other.parse(Buffer.from(`id: 1\ndata: ${"y".repeat(60_000)}\n\n`))).toHaveLength(1);
        held.forEach(parser => parser.close());
        other.close();
    });
});
