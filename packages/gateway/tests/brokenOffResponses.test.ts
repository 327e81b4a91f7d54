import type { HeldPlace, PlacementClient, Route } from "@heatherline/fleet";
import net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { readFullBody } from "../src/endpoints/bodyReader";
import { EndpointClient, type EndpointRequest, type EndpointResponse } from "../src/endpoints/endpointClient";
import { ItemDurationEstimator } from "../src/jobs/itemDurationEstimator";
import { ItemPlacementQueue } from "../src/jobs/itemPlacementQueue";
import { ItemRun } from "../src/jobs/itemRun";
import { StreamRelay } from "../src/online/responseRelay";
import type { WireCodec } from "../src/wireCodec";

/** How the endpoint ends its response, or that this side gives it up. */
type Ending = "close" | "reset" | "reset-with-data" | "keep" | "abort";

const EVENTS = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const HALF_EVENT = "id: 2\ndata: ha";
/** Delay between the body and the end of the connection, so that they don't arrive together. */
const END_DELAY_MS = 20;
const ABORT_DELAY_MS = 60;

/** Sends one response to each request; only the first one on the server ends in the given way. */
class ScriptedServer {
    port = 0;
    readonly requests: string[] = [];
    private readonly sockets = new Set<net.Socket>();
    private readonly server: net.Server;

    constructor(private readonly responses: readonly { readonly text: string; readonly ending: Ending; }[]) {
        this.server = net.createServer(socket => this.serve(socket));
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
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", (bytes: Buffer) => {
            const response = this.responses[Math.min(this.requests.length, this.responses.length - 1)];
            this.requests.push(bytes.toString("latin1"));
            socket.write(response?.text ?? "");
            if (response?.ending === "reset-with-data") {
                socket.resetAndDestroy();
                return;
            }
            setTimeout(() => this.end(socket, response?.ending ?? "close"), END_DELAY_MS);
        });
    }

    private end(socket: net.Socket, ending: Ending): void {
        if (ending === "close") {
            socket.end();
        }
        else if (ending === "reset") {
            socket.resetAndDestroy();
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
    toEndpointHeaders: (_: unknown, { lastEventId }: { lastEventId: number | undefined; }) => [
        "Host",
        "h",
        ...lastEventId === undefined ? [] : ["Last-Event-Id", String(lastEventId)],
    ],
    toItemHeaders: () => [],
} as unknown as WireCodec;

function newHead(framing: "connection" | "chunked", status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\n${framing === "chunked" ? "Transfer-Encoding: chunked\r\n" : ""}\r\n`;
}

function newChunks(body: string): string {
    return `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

async function send(port: number, ending: Ending, method = "POST"): Promise<EndpointResponse> {
    const abortController = new AbortController();
    const request: EndpointRequest = {
        requestId: "r1",
        endpoint: newTestEndpoint({ port }),
        method,
        path: "/",
        headers: ["Host", "h"],
        body: Buffer.alloc(0),
        mayReuseConnection: true,
        signal: abortController.signal,
    };
    if (ending === "abort") {
        setTimeout(() => abortController.abort(), ABORT_DELAY_MS);
    }
    return (await new EndpointClient(wire).send(request))._unsafeUnwrap();
}

/** Records what a caller gets. */
class RecordedResponse {
    hasStarted = false;
    text = "";
    hasEnded = false;

    startStream(): void {
        this.hasStarted = true;
    }

    write(bytes: Buffer): undefined {
        this.text += bytes.toString("latin1");
    }

    endStream(): void {
        this.hasEnded = true;
    }
}

let server: ScriptedServer;

async function startServer(text: string, ending: Ending): Promise<void> {
    server = new ScriptedServer([{ text, ending }]);
    await server.start();
}

async function relayStream(ending: Ending) {
    const callerResponse = new RecordedResponse();
    const relay = new StreamRelay(callerResponse as never, undefined, () => undefined);
    const { kind } = await relay.relay(await send(server.port, ending));
    return { kind, text: callerResponse.text, hasEnded: callerResponse.hasEnded };
}

afterEach(() => server.stop());

describe("a stream that was broken off is not ended as complete", () => {
    it.each(
        [
            { what: "closed inside an event", framing: "connection", body: EVENTS + HALF_EVENT, ending: "close" },
            { what: "reset inside an event", framing: "connection", body: EVENTS + HALF_EVENT, ending: "reset" },
            { what: "reset after an event", framing: "connection", body: EVENTS, ending: "reset" },
            { what: "given up by this side", framing: "connection", body: EVENTS, ending: "abort" },
            {
                what: "whose last chunk ends inside an event",
                framing: "chunked",
                body: EVENTS + HALF_EVENT,
                ending: "keep",
            },
        ] as const,
    )("$what", async ({ framing, body, ending }) => {
        await startServer(newHead(framing) + (framing === "chunked" ? newChunks(body) : body), ending);
        expect(await relayStream(ending)).toEqual({ kind: "broken", text: EVENTS, hasEnded: false });
    });
});

/** The caller's side reads the last bytes and the reset at once, which Node.js reports as an orderly close. */
describe("a response that was reset together with its last bytes is not delivered as complete", () => {
    it("a stream", async () => {
        await startServer(newHead("connection") + EVENTS, "reset-with-data");
        expect(await relayStream("reset-with-data")).toEqual({ kind: "broken", text: EVENTS, hasEnded: false });
    });

    it("a body", async () => {
        await startServer(`${newHead("connection")}half of it`, "reset-with-data");
        expect(await readFullBody(await send(server.port, "reset-with-data"))).toBeUndefined();
    });
});

describe("a whole stream is ended as complete", () => {
    it.each(
        [
            { what: "with neither length nor chunks", framing: "connection", body: EVENTS, ending: "close" },
            { what: "in chunks", framing: "chunked", body: EVENTS, ending: "keep" },
            {
                what: "with a comment after its last event",
                framing: "connection",
                body: `${EVENTS}: end\n`,
                ending: "close",
            },
            {
                what: "with blank lines after its last event",
                framing: "connection",
                body: `${EVENTS}\r\n\r\n`,
                ending: "close",
            },
        ] as const,
    )("$what", async ({ framing, body, ending }) => {
        await startServer(newHead(framing) + (framing === "chunked" ? newChunks(body) : body), ending);
        expect(await relayStream(ending)).toEqual({ kind: "complete", text: body, hasEnded: true });
    });
});

describe("a body that was broken off is not delivered", () => {
    it.each(
        [
            { what: "reset", ending: "reset" },
            { what: "given up by this side", ending: "abort" },
        ] as const,
    )("$what", async ({ ending }) => {
        await startServer(`${newHead("connection")}half of it`, ending);
        expect(await readFullBody(await send(server.port, ending))).toBeUndefined();
    });
});

describe("a whole body is delivered", () => {
    it.each(
        [
            {
                what: "with neither length nor chunks",
                method: "POST",
                head: newHead("connection"),
                body: "whole",
                ending: "close",
            },
            {
                what: "to HEAD, without a length",
                method: "HEAD",
                head: newHead("connection"),
                body: "",
                ending: "keep",
            },
            {
                what: "without content",
                method: "POST",
                head: newHead("connection", "204 No Content"),
                body: "",
                ending: "keep",
            },
            {
                what: "with a length, before a reset",
                method: "POST",
                head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                body: "whole",
                ending: "reset",
            },
        ] as const,
    )("$what", async ({ method, head, body, ending }) => {
        await startServer(head + body, ending);
        expect((await readFullBody(await send(server.port, ending, method)))?.toString()).toBe(body);
    });
});

const ITEM_ROUTE = { kind: "batch", targets: [{ service: "lm", weight: 1 }], retentionMs: 60_000, maxAttempts: 3 };
let preemptController: AbortController;

function newItemRun(onRun: () => void): ItemRun {
    const place = {
        placeId: "p",
        endpoint: newTestEndpoint({ port: server.port }),
        givenBy: "coordinator",
        expectedWaitMs: 0,
        reportSilence: () => undefined,
        reportCrash: () => undefined,
        release: () => undefined,
    };
    const requestPlace = () => {
        preemptController = new AbortController();
        onRun();
        const heldPlace: HeldPlace = { ...place, givenBy: "coordinator", preemptSignal: preemptController.signal };
        return Promise.resolve({ kind: "placed", place: heldPlace });
    };
    return new ItemRun(
        { jobId: "j", organisation: "o", host: "h", submittedAt: Date.now() },
        { itemId: "i", path: "/", headers: {}, tokens: 1 } as never,
        {
            placement: { requestPlace } as unknown as PlacementClient,
            endpoints: new EndpointClient(wire),
            wire,
            durationEstimator: new ItemDurationEstimator(),
            placementQueue: new ItemPlacementQueue(),
            findRoute: () => ITEM_ROUTE as unknown as Route,
            getContent: () => Promise.resolve({ path: "/", headers: {}, bodyBase64: "Ym9keQ==" }),
            mayRun: () => true,
            onRunEnded: () => undefined,
        },
        new AbortController().signal,
        undefined,
    );
}

describe("a batch item whose stream was broken off continues after its last event", () => {
    it.each(
        [
            { what: "closed inside an event", body: EVENTS + HALF_EVENT, ending: "close" },
            { what: "reset after an event", body: EVENTS, ending: "reset" },
            { what: "preempted", body: EVENTS, ending: "abort" },
        ] as const,
    )("$what", async ({ body, ending }) => {
        server = new ScriptedServer([
            { text: newHead("connection") + body, ending },
            { text: `${newHead("connection")}id: 2\ndata: c\n\n`, ending: "close" },
        ]);
        await server.start();
        let runs = 0;
        const itemRun = newItemRun(() => {
            runs += 1;
            if (ending === "abort" && runs === 1) {
                setTimeout(() => preemptController.abort(), ABORT_DELAY_MS);
            }
        });
        expect(await itemRun.run()).toEqual({ itemId: "i", state: "completed", output: "a\nb\nc" });
        expect(server.requests[1]).toContain("Last-Event-Id: 1");
    });
});

// Guards against an accepted item that never ends, since endpoints answer it soundly without a single event.
describe("a batch item whose answers have no event", () => {
    const chunked = `${newHead("chunked")}0\r\n\r\n`;
    const withLength = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const cut = newHead("connection");
    const whole = `${newHead("connection")}id: 0\ndata: a\n\n`;
    it.each([
        { what: "is completed with no output once several agree", texts: [chunked, withLength, chunked], output: "" },
        { what: "has the output of a later answer if one was faulty", texts: [chunked, chunked, whole], output: "a" },
        { what: "goes on if they may have been cut off", texts: [cut, cut, cut, chunked, whole], output: "a" },
    ])("$what", async ({ texts, output }) => {
        server = new ScriptedServer(texts.map(text => ({ text, ending: "close" })));
        await server.start();
        expect(await newItemRun(() => undefined).run()).toEqual({ itemId: "i", state: "completed", output });
        expect(server.requests.length).toBe(texts.length);
    }, 8_000);
});
