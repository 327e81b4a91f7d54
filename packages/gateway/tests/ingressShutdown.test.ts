import { Worker } from "node:worker_threads";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { CallerResponse } from "../src/callers/callerResponse";
import { IngressHarness, pause } from "./ingressHarness";

/** Larger than the buffers of both sockets. */
const LARGE_BODY_BYTES = 20_000_000;
const SHORT_MS = 100;
/** Longer than a new connection may take until its first request while the server stops. */
const LONG_MS = 1_200;
const BLOCK_MS = 150;
/** A caller that goes on while the event loop of the test is blocked: connects, sends, and reports what it received. */
const CALLER_THREAD = `
    const { parentPort, workerData } = require("node:worker_threads");
    const net = require("node:net");
    parentPort.once("message", () => {
        const socket = net.connect(workerData, "127.0.0.1", () => {
            socket.write("POST /a HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 0\\r\\n\\r\\n");
        });
        let received = "";
        socket.on("data", bytes => { received += bytes; });
        socket.on("error", error => { received += error.code; });
        socket.on("close", () => parentPort.postMessage(received));
    });
    parentPort.postMessage("ready");
`;

let harness: IngressHarness;
let streams: CallerResponse[];

beforeEach(async () => {
    streams = [];
    harness = new IngressHarness((path, response) => {
        if (path === "/large") {
            response.sendFull(200, [], Buffer.alloc(LARGE_BODY_BYTES, "x"));
        }
        else if (path === "/local") {
            response.sendLocal(200, Buffer.alloc(LARGE_BODY_BYTES, "x"), "text/plain");
        }
        else if (path === "/stream") {
            response.startStream(200, []);
            void response.write(Buffer.from("first"));
            streams.push(response);
        }
        else if (path !== "/never") {
            response.sendFull(200, [], Buffer.from("ok"));
        }
    });
    await harness.listen();
});

afterEach(() => harness.ingress.close());

function stop(): void {
    harness.isStopping = true;
    void harness.ingress.stopAccepting();
}

/** Blocks the event loop, as in a process without processor time. */
function blockLoop(): void {
    const endAtMs = Date.now() + BLOCK_MS;
    while (Date.now() < endAtMs) {
        // Nothing is read meanwhile.
    }
}

describe("a planned stop", () => {
    it.each(["/large", "/local"])("lets a caller that reads slowly have the whole response to %s", async path => {
        const caller = await harness.connect();
        caller.socket.pause();
        caller.send(path);
        await pause(SHORT_MS);
        stop();
        await pause(SHORT_MS);
        expect(harness.ingress.openRequestCount).toBe(1);
        caller.socket.resume();
        await pause(LONG_MS);
        expect(caller.received.length).toBeGreaterThan(LARGE_BODY_BYTES);
        expect(harness.ingress.openRequestCount).toBe(0);
    });

    it.each([
        { when: "before connections are closed", isClosing: false },
        { when: "after connections are closed", isClosing: true },
    ])("closes a connection at the end of a stream that began before, $when", async ({ isClosing }) => {
        const caller = await harness.connect();
        caller.send("/stream");
        await pause(SHORT_MS);
        harness.isStopping = true;
        if (isClosing) {
            await harness.ingress.stopAccepting();
            await pause(SHORT_MS);
        }
        void streams[0]?.write(Buffer.from("last"));
        streams[0]?.endStream();
        await pause(SHORT_MS);
        expect(caller.received).toContain("last");
        expect(caller.received).toMatch(/\r\n0\r\n\r\n$/);
        expect(caller.isClosed).toBe(true);
    });

    it("answers the first request on a connection that was just accepted", async () => {
        const caller = await harness.connect();
        await pause(SHORT_MS);
        stop();
        await pause(SHORT_MS);
        caller.send("/a");
        await pause(SHORT_MS);
        expect(caller.statuses).toEqual([200]);
        expect(caller.isClosed).toBe(true);
    });

    it("closes a connection on which nothing is sent", async () => {
        const caller = await harness.connect();
        await pause(SHORT_MS);
        stop();
        await pause(LONG_MS);
        expect(caller.isClosed).toBe(true);
    });

    // Fails if bytes that belong to no request keep a connection, and with it the process, until the grace period is over.
    it("closes a connection on which a line end came after the last request", async () => {
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        caller.socket.write("\r\n");
        await pause(400);
        stop();
        await pause(2_500);
        expect(caller.isClosed).toBe(true);
        expect(harness.ingress.openConnectionCount).toBe(0);
    });

    it("closes idle connections at once", async () => {
        const caller = await harness.connect();
        caller.send("/a");
        await pause(SHORT_MS);
        stop();
        await pause(SHORT_MS);
        expect(caller.isClosed).toBe(true);
    });

    it("answers what had arrived on an idle connection before it began to close connections", async () => {
        const caller = await harness.connect();
        caller.send("/a");
        await pause(SHORT_MS);
        caller.send("/b");
        blockLoop();
        stop();
        await pause(SHORT_MS);
        expect(caller.statuses).toEqual([200, 200]);
    });

    it("answers a request on a connection that is yet to be accepted", async () => {
        const worker = new Worker(CALLER_THREAD, { eval: true, workerData: harness.port });
        await new Promise(resolve => worker.once("message", resolve));
        const answer = new Promise(resolve => worker.once("message", resolve));
        worker.postMessage("send");
        blockLoop();
        stop();
        expect(await answer).toContain("HTTP/1.1 200");
        await worker.terminate();
    });

    it("answers what nobody has answered when the process is about to end, and only that", async () => {
        const [waiting, streaming] = [await harness.connect(), await harness.connect()];
        waiting.send("/never");
        streaming.send("/stream");
        await pause(SHORT_MS);
        stop();
        await harness.ingress.giveUpRequests();
        streams[0]?.endStream();
        await pause(SHORT_MS);
        expect(waiting.statuses).toEqual([504]);
        expect(waiting.received).toContain("outcome-unknown");
        expect(waiting.isClosed).toBe(true);
        expect(streaming.statuses).toEqual([200]);
        expect(streaming.received).toMatch(/\r\n0\r\n\r\n$/);
    });
});
