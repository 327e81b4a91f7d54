import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { IngressHarness, pause } from "./ingressHarness";

const SHORT_MS = 100;
const LONG_MS = 4_000;
/** Longer than the short limit with its margin, shorter than the long limit. */
const IDLE_MS = 2_700;

let harness: IngressHarness;

beforeEach(async () => {
    harness = new IngressHarness((_, response) => response.sendFull(200, [], Buffer.from("ok")));
    await harness.listen();
});

afterEach(() => harness.ingress.close());

describe("limit of idle time", () => {
    it.each([
        { change: "raised while the connection is idle", first: SHORT_MS, then: [LONG_MS], mayReuse: true },
        { change: "lowered while the connection is idle", first: LONG_MS, then: [SHORT_MS], mayReuse: true },
        { change: "raised and lowered again", first: SHORT_MS, then: [LONG_MS, SHORT_MS], mayReuse: true },
        { change: "not changed", first: SHORT_MS, then: [], mayReuse: false },
    ])("is the highest in force since the connection became idle: $change", async ({ first, then, mayReuse }) => {
        harness.setLimits({ idleTimeoutMs: first });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        expect(caller.statuses).toEqual([200]);
        for (const idleTimeoutMs of then) {
            harness.setLimits({ idleTimeoutMs });
        }
        await pause(IDLE_MS);
        expect(caller.isClosed).toBe(!mayReuse);
        caller.send("/b");
        await pause(100);
        expect(caller.statuses).toEqual(mayReuse ? [200, 200] : [200]);
    });

    it("counts anew after each response", async () => {
        harness.setLimits({ idleTimeoutMs: LONG_MS });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        harness.setLimits({ idleTimeoutMs: SHORT_MS });
        caller.send("/b");
        await pause(IDLE_MS);
        expect(caller.isClosed).toBe(true);
        expect(caller.statuses).toEqual([200, 200]);
    });

    // Guards against a connection that closes sooner than a response has announced, on the next request of its caller.
    it("is what a response has announced, if it is lowered before the response ends", async () => {
        harness.ingress.close();
        harness = new IngressHarness((_, response) => {
            response.startStream(200, []);
            void response.write(Buffer.from("a"));
            setTimeout(() => response.endStream(), 300);
        });
        await harness.listen();
        harness.setLimits({ idleTimeoutMs: LONG_MS });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        expect(caller.received).toContain("Keep-Alive: timeout=4\r\n");
        harness.setLimits({ idleTimeoutMs: SHORT_MS });
        await pause(IDLE_MS);
        expect(caller.isClosed).toBe(false);
        caller.send("/b");
        await pause(IDLE_MS + 400);
        expect(caller.statuses).toEqual([200, 200]);
        expect(caller.isClosed).toBe(true);
    });

    it("doesn't close a connection on which a part of a request has arrived", async () => {
        harness.setLimits({ idleTimeoutMs: SHORT_MS });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        caller.socket.write("POST /b HTTP/1.1\r\nHost: h\r\n");
        await pause(IDLE_MS);
        caller.socket.write("Content-Length: 0\r\n\r\n");
        await pause(100);
        expect(caller.statuses).toEqual([200, 200]);
    });

    it("promises callers no longer idle time than the limit", async () => {
        harness.setLimits({ idleTimeoutMs: LONG_MS });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(100);
        expect(caller.received).toContain("Keep-Alive: timeout=4\r\n");
    });

    it("reads a request that arrived while the process was busy beyond the limit", async () => {
        harness.setLimits({ idleTimeoutMs: SHORT_MS });
        const caller = await harness.connect();
        caller.send("/a");
        await pause(SHORT_MS);
        caller.send("/b");
        const endAtMs = Date.now() + IDLE_MS;
        while (Date.now() < endAtMs) {
            // The event loop is blocked, as in a process without processor time.
        }
        await pause(SHORT_MS);
        expect(caller.statuses).toEqual([200, 200]);
    });
});
