import http from "node:http";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { callHttp } from "./httpCall";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
let server: net.Server;

async function startServer(onRequest: (socket: net.Socket) => void): Promise<URL> {
    server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => onRequest(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return new URL(`http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`);
}

afterEach(() => void server.close());

describe("a reply with neither length nor chunks", () => {
    it.each([
        { ending: "is whole when its connection is closed", end: (socket: net.Socket) => socket.end(), isWhole: true },
        {
            ending: "is not whole when its connection is reset",
            end: (socket: net.Socket) => socket.resetAndDestroy(),
            isWhole: false,
        },
    ])("$ending", async ({ end, isWhole }) => {
        const url = await startServer(socket => {
            socket.write(`${HEAD}{"items":[]}`);
            end(socket);
        });
        const reply = await callHttp({ url, method: "GET", timeoutMs: 1_000 });
        expect(reply.match(() => "whole", ({ kind }) => kind)).toBe(isWhole ? "whole" : "lost");
    });
});

describe("a call without a response in time", () => {
    const TIMEOUT_MS = 50;

    it.each([
        { lateResponseMs: undefined, respondAfterMs: 100, kept: "closes its connection at once", freeSockets: 0 },
        {
            lateResponseMs: 400,
            respondAfterMs: 100,
            kept: "keeps its connection if a response comes late",
            freeSockets: 1,
        },
        { lateResponseMs: 100, respondAfterMs: 400, kept: "closes its connection if none comes late", freeSockets: 0 },
    ])("$kept", async ({ lateResponseMs, respondAfterMs, freeSockets }) => {
        let open = 0;
        const url = await startServer(socket => {
            open += 1;
            socket.on("close", () => open -= 1);
            setTimeout(() => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"), respondAfterMs);
        });
        const agent = new http.Agent({ keepAlive: true });
        const call = { url, method: "GET", timeoutMs: TIMEOUT_MS, agent };
        const reply = await callHttp(lateResponseMs === undefined ? call : { ...call, lateResponseMs });
        expect(reply._unsafeUnwrapErr().kind).toBe("lost");
        await sleep(500);
        expect(Object.values(agent.freeSockets).flat()).toHaveLength(freeSockets);
        expect(open).toBe(freeSockets);
        agent.destroy();
    });

    it("is never sent after its caller was told that it was not", async () => {
        let requests = 0;
        const server = http.createServer((_request, response) => {
            requests += 1;
            setTimeout(() => response.end("late"), 4 * TIMEOUT_MS);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const url = new URL(`http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`);
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const call = { url, method: "GET", timeoutMs: TIMEOUT_MS, lateResponseMs: 1_000, agent };
        const replies = await Promise.all([callHttp(call), callHttp(call)]);
        await sleep(6 * TIMEOUT_MS);
        expect(replies.map(reply => reply._unsafeUnwrapErr().kind)).toEqual(["lost", "unsent"]);
        expect(requests).toBe(1);
        agent.destroy();
        server.close();
    });
});
