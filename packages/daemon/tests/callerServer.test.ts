import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CallerServer, type CallerServerDependencies } from "../src/callerServer";

/** Larger than the buffers of both sockets. */
const LARGE_BODY_BYTES = 20_000_000;
const SHORT_MS = 100;
const LONG_MS = 1_200;
const BLOCK_MS = 150;

let server: CallerServer;
let isDraining: boolean;
let socket: net.Socket;
let received: string;
let isClosed: boolean;

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function send(path: string): void {
    socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
}

function stop(): void {
    isDraining = true;
    void server.stopAccepting();
}

beforeEach(async () => {
    isDraining = false;
    received = "";
    isClosed = false;
    server = new CallerServer({
        metrics: { registry: { contentType: "text/plain", metrics: () => "x".repeat(LARGE_BODY_BYTES) } },
        isReady: () => true,
        isDraining: () => isDraining,
    } as unknown as CallerServerDependencies);
    const port = await server.listen("127.0.0.1", 0);
    socket = net.connect(port, "127.0.0.1");
    socket.on("data", (bytes: Buffer) => {
        received += bytes.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        isClosed = true;
    });
    await new Promise(resolve => socket.once("connect", resolve));
});

afterEach(() => socket.destroy());

describe("a planned stop", () => {
    it("lets a caller that reads slowly have the whole response", async () => {
        socket.pause();
        send("/metrics");
        await pause(SHORT_MS);
        stop();
        await pause(SHORT_MS);
        expect(server.countOpenRequests()).toBe(1);
        socket.resume();
        await pause(LONG_MS);
        expect(received.length).toBeGreaterThan(LARGE_BODY_BYTES);
        expect(isClosed).toBe(true);
    });

    it("answers what had arrived on an idle connection before it began to close connections", async () => {
        send("/readyz");
        await pause(SHORT_MS);
        send("/readyz");
        const endAtMs = Date.now() + BLOCK_MS;
        while (Date.now() < endAtMs) {
            // The event loop is blocked, as in a process without processor time.
        }
        stop();
        await pause(SHORT_MS);
        expect(received.match(/HTTP\/1\.1 200/g)).toHaveLength(2);
    });

    it("closes a connection on which nothing is sent", async () => {
        await pause(SHORT_MS);
        stop();
        await pause(LONG_MS);
        expect(isClosed).toBe(true);
    });

    it("answers the first request on a connection that was just accepted", async () => {
        await pause(SHORT_MS);
        stop();
        await pause(SHORT_MS);
        send("/readyz");
        await pause(SHORT_MS);
        expect(received.match(/HTTP\/1\.1 200/g)).toHaveLength(1);
        expect(isClosed).toBe(true);
    });
});
