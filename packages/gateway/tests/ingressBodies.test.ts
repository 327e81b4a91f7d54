import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type CallerConnection, IngressHarness, pause } from "./ingressHarness";

const SHORT_MS = 100;
const LIMIT_BYTES = 100_000;
const CHUNK_BYTES = 50_000;
/** Enough that the limit is exceeded long before the caller has sent all. */
const LARGE_BYTES = 3_000_000;
/** More than the server reads of a body that it refuses. */
const ENDLESS_BYTES = 40_000_000;

let harness: IngressHarness;
let bodies: number[];

beforeEach(async () => {
    bodies = [];
    harness = new IngressHarness((_, response, body) => {
        bodies.push(body.length);
        response.sendFull(200, [], Buffer.from("ok"));
    });
    harness.setLimits({ maxBodyBytes: LIMIT_BYTES });
    await harness.listen();
});

afterEach(() => harness.ingress.close());

async function sendInParts(caller: CallerConnection, sizeBytes: number, isChunked: boolean): Promise<void> {
    const framing = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${sizeBytes}`;
    caller.socket.write(`POST /a HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n`);
    const part = "x".repeat(CHUNK_BYTES);
    for (let sentBytes = 0; sentBytes < sizeBytes && !caller.isClosed; sentBytes += CHUNK_BYTES) {
        caller.socket.write(isChunked ? `${CHUNK_BYTES.toString(16)}\r\n${part}\r\n` : part);
        await new Promise(resolve => setImmediate(resolve));
    }
    if (isChunked) {
        caller.socket.write("0\r\n\r\n");
    }
}

describe("a request body over the limit", () => {
    it.each([{ isChunked: false }, { isChunked: true }])(
        "is refused once it is read, and the next request on the connection is served (chunks: $isChunked)",
        async ({ isChunked }) => {
            const caller = await harness.connect();
            await sendInParts(caller, LARGE_BYTES, isChunked);
            await pause(SHORT_MS);
            expect(caller.statuses).toEqual([413]);
            caller.send("/b", "short");
            await pause(SHORT_MS);
            expect(caller.statuses).toEqual([413, 200]);
            expect(bodies).toEqual([5]);
        },
    );

    it("is not read without end", async () => {
        const caller = await harness.connect();
        await sendInParts(caller, ENDLESS_BYTES, false);
        await pause(SHORT_MS);
        expect(caller.isClosed).toBe(true);
    });

    it.each([
        { change: "raised", maxBodyBytes: LARGE_BYTES, sizeBytes: 2 * LIMIT_BYTES, status: 200 },
        { change: "lowered", maxBodyBytes: 10, sizeBytes: LIMIT_BYTES, status: 200 },
        { change: "lowered", maxBodyBytes: 10, sizeBytes: 2 * LIMIT_BYTES, status: 413 },
    ])("is judged by the highest limit since the request began: $change, $sizeBytes bytes", async change => {
        const { maxBodyBytes, sizeBytes, status } = change;
        const caller = await harness.connect();
        caller.socket.write(`POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${sizeBytes}\r\n\r\n`);
        await pause(SHORT_MS);
        harness.setLimits({ maxBodyBytes });
        caller.socket.write("x".repeat(sizeBytes));
        await pause(SHORT_MS);
        expect(caller.statuses).toEqual([status]);
    });
});
