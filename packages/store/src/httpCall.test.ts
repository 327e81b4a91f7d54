import net from "node:net";
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
