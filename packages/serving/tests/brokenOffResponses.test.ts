import net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { type EndpointSlot, type Exchange, HttpDispatcher, newExchange, type ResponseSink } from "../src";

/** How the endpoint ends its response, or that this side gives it up. */
type Ending = "close" | "reset" | "reset-with-data" | "abort";

/** Delay between the body and the end of the connection, so that they don't arrive together. */
const END_DELAY_MS = 20;
const ABORT_DELAY_MS = 60;
const STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const JSON_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
const EVENT = 'data: {"text":"word"}\n\n';
const FINAL_EVENT = "data: [DONE]\n\n";

/** Records whether the caller's response was ended as complete. */
class CallerSink implements ResponseSink {
    hasBegun = false;
    hasEnded = false;

    begin(): void {
        this.hasBegun = true;
    }

    write(): undefined {
        return undefined;
    }

    end(): void {
        this.hasEnded = true;
    }

    abort(): void {
        this.hasEnded = false;
    }
}

let server: net.Server;

async function startServer(text: string, ending: Ending): Promise<number> {
    server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(text);
            if (ending === "reset-with-data") {
                socket.resetAndDestroy();
                return;
            }
            setTimeout(() => {
                if (ending === "close") {
                    socket.end();
                }
                else if (ending === "reset") {
                    socket.resetAndDestroy();
                }
            }, END_DELAY_MS);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as net.AddressInfo).port;
}

async function dispatch(port: number, ending: Ending) {
    const sink = new CallerSink();
    const abortController = new AbortController();
    const exchange: Exchange = newExchange({
        requestId: "r1",
        workClass: "online",
        method: "POST",
        path: "/",
        headers: {},
        body: Buffer.alloc(0),
        sink,
        abortController,
        deadlineAtMs: Infinity,
    });
    if (ending === "abort") {
        setTimeout(() => abortController.abort("preempted"), ABORT_DELAY_MS);
    }
    const dispatcher = new HttpDispatcher({ recordResponse: () => undefined } as never);
    const slot = { endpoint: "e", spec: { address: "127.0.0.1", port } } as unknown as EndpointSlot;
    const outcome = await dispatcher.dispatch(exchange, slot);
    return { kind: outcome.isOk() ? "delivered" : outcome.error.kind, hasEnded: sink.hasEnded };
}

afterEach(() => void server.close());

describe("an endpoint's response with neither length nor chunks that was broken off is not delivered", () => {
    it.each(
        [
            { what: "an object, reset", text: `${JSON_HEAD}{"text":"wo`, ending: "reset", kind: "truncated" },
            {
                what: "an object, given up by this side",
                text: `${JSON_HEAD}{"text":"wo`,
                ending: "abort",
                kind: "aborted",
            },
            {
                what: "a stream, given up after its last event",
                text: STREAM_HEAD + EVENT + FINAL_EVENT,
                ending: "abort",
                kind: "aborted",
            },
            {
                what: "a stream, closed inside its last event",
                text: `${STREAM_HEAD}${EVENT}data: [DONE]`,
                ending: "close",
                kind: "truncated",
            },
            {
                what: "a stream, closed after text that looks like its last event",
                text: `${STREAM_HEAD}data: {"text":"data: [DONE]"}\n\n`,
                ending: "close",
                kind: "truncated",
            },
        ] as const,
    )("$what", async ({ text, ending, kind }) => {
        expect(await dispatch(await startServer(text, ending), ending)).toEqual({ kind, hasEnded: false });
    });
});

describe("an endpoint's response that ends inside its head is not delivered, wherever it ends", () => {
    it.each(["close", "reset", "reset-with-data"] as const)("%s", async ending => {
        const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 123\r\n\r\n";
        const outcomes = await Promise.all(Array.from({ length: head.length }, async (_, length) => {
            const port = await startServer(head.slice(0, length), ending);
            const ownServer = server;
            const { kind, hasEnded } = await dispatch(port, ending);
            ownServer.close();
            return { length, isDelivered: kind === "delivered" || hasEnded };
        }));
        expect(outcomes.filter(({ isDelivered }) => isDelivered)).toEqual([]);
    });
});

/** The caller's side reads the last bytes and the reset at once, which Node.js reports as an orderly close. */
describe("an endpoint's response that was reset together with its last bytes is not delivered", () => {
    it.each([
        { what: "an object", text: `${JSON_HEAD}{"text":"wo` },
        { what: "a stream", text: STREAM_HEAD + EVENT + FINAL_EVENT },
    ])("$what", async ({ text }) => {
        const port = await startServer(text, "reset-with-data");
        expect(await dispatch(port, "reset-with-data")).toEqual({ kind: "truncated", hasEnded: false });
    });
});

describe("an endpoint's whole response with neither length nor chunks is delivered", () => {
    it.each([
        { what: "an object", text: `${JSON_HEAD}{"text":"word"}` },
        { what: "a stream", text: STREAM_HEAD + EVENT + FINAL_EVENT },
        { what: "a stream with carriage returns", text: `${STREAM_HEAD}${EVENT}data: [DONE]\r\n\r\n` },
    ])("$what", async ({ text }) => {
        expect(await dispatch(await startServer(text, "close"), "close")).toEqual({
            kind: "delivered",
            hasEnded: true,
        });
    });
});
