import type { Exchange } from "@heatherline/serving";
import { ok } from "neverthrow";
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
let drainLeftMs: number;
/** Paths of the requests that the pipeline got. */
let run: string[];
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
    drainLeftMs = Infinity;
    run = [];
    received = "";
    isClosed = false;
    server = new CallerServer({
        metrics: { registry: { contentType: "text/plain", metrics: () => "x".repeat(LARGE_BODY_BYTES) } },
        isReady: () => true,
        isDraining: () => isDraining,
        getDrainLeftMs: () => drainLeftMs,
        maxBodyBytes: 1_000,
        onDirectResponse: () => undefined,
        pipeline: async ({ path, sink }: Exchange) => {
            run.push(path);
            await pause(2 * SHORT_MS);
            sink.begin(200, {});
            sink.end();
            return ok(undefined);
        },
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

    it.each([
        { what: "that may not end in time", timeoutMs: 5_000, status: 503, runs: 0 },
        { what: "that ends in time", timeoutMs: 900, status: 200, runs: 1 },
    ])("takes no request with a slow body $what: $status", async ({ timeoutMs, status, runs }) => {
        socket.write(`POST /v1/a HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: ${timeoutMs}\r\nContent-Length: 4\r\n\r\nab`);
        await pause(SHORT_MS);
        drainLeftMs = 1_000;
        stop();
        await pause(SHORT_MS);
        socket.write("cd");
        await pause(4 * SHORT_MS);
        expect(received.slice(0, 12)).toBe(`HTTP/1.1 ${status}`);
        expect(run).toHaveLength(runs);
        expect(isClosed).toBe(true);
    });

    it("answers each request on a connection that runs", async () => {
        isDraining = true;
        send("/v1/a");
        send("/v1/b");
        await pause(SHORT_MS);
        void server.stopAccepting();
        await pause(LONG_MS);
        expect(run).toEqual(["/v1/a", "/v1/b"]);
        expect(received.match(/HTTP\/1\.1 200/g)).toHaveLength(2);
        expect(isClosed).toBe(true);
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
