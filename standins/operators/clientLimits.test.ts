import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CallerConnection } from "../../packages/gateway/tests/ingressHarness";
import { call, eventually, newJobBody, newRequestId, readAllResults } from "../../platform/tests/callerClient";
import { CHUNKED_HEAD, Crowd, type CrowdShape, newHead } from "./crowd";
import { KEYS, OperatorsFleet } from "./fleet";
import type { GatewayProcess } from "./gatewayProcess";
import { ProcessWatch } from "./processWatch";

/** Settings of the process; they are the bounds that each case checks. */
const LIMITS = { memoryMb: 150, maxFds: 1_000 };
const NODE_OPTIONS = ["--max-old-space-size=80", "--max-semi-space-size=4"];
const MAX_BODY_BYTES = 4_194_304;
const BYTES_PER_MB = 1_000_000;
/** How long a crowd stays once it has begun. */
const CROWD_MS = 4_000;
/** Ends the test if no ordinary request is served; no time is checked. */
const AFTERWARDS_MS = 20_000;
const JOB_ID = "unread";
const ITEM_COUNT = 40;
/** Size of the results of that job together is about 0.7 MB. */
const ITEM_BODY = "fill=1000";

type Listener = "port" | "readyPort" | "controlPort" | "metricsPort";

interface Case {
    readonly shape: string;
    readonly listener?: Listener;
    readonly crowd: CrowdShape;
    readonly hasJob?: boolean;
}

function* repeat(text: string | Buffer, count: number): Generator<string | Buffer> {
    for (let index = 0; index < count; index += 1) {
        yield text;
    }
}

function* sendHead(head: string, parts: Iterable<string | Buffer>): Generator<string | Buffer> {
    yield head;
    yield* parts;
}

const KILOBYTE_CHUNK = `400\r\n${"x".repeat(1_024)}\r\n`;
const UNFINISHED_BODY_HEAD = newHead("POST", "/lookup/a") + `Content-Length: ${MAX_BODY_BYTES}\r\n`;
const BODY_PART = Buffer.alloc(65_536, "x");
const LARGE_BODY_PARTS = MAX_BODY_BYTES / BODY_PART.length - 1;
const HEADER_LINES = "a: b\r\n".repeat(170);
const newRequest = (method: string, path: string, headers = "") =>
    `${newHead(method, path)}Request-Id: ${newRequestId()}\r\n${headers}\r\n`;
const TLS_HELLO = Buffer.concat([Buffer.from("16030100c8010000c40303", "hex"), Buffer.alloc(200, 7)]);

const CASES: Case[] = [
    {
        shape: "chunks of one byte that stop short",
        crowd: {
            connections: 40,
            parts: () => sendHead(`${CHUNKED_HEAD}\r\n`, repeat("1\r\nx\r\n".repeat(1_000), 60)),
        },
    },
    {
        shape: "chunks of 1 KB that stop short",
        crowd: { connections: 900, parts: () => sendHead(`${CHUNKED_HEAD}\r\n`, repeat(KILOBYTE_CHUNK, 60)) },
    },
    {
        shape: "large bodies just short of their end",
        crowd: {
            connections: 60,
            parts: () => sendHead(`${UNFINISHED_BODY_HEAD}\r\n`, repeat(BODY_PART, LARGE_BODY_PARTS)),
        },
    },
    {
        shape: "heads without end",
        crowd: { connections: 900, parts: () => sendHead(newHead("GET", "/lookup/a"), repeat(HEADER_LINES, 60)) },
    },
    {
        shape: "heads without end, of which little arrives at a time",
        crowd: {
            connections: 900,
            parts: () => sendHead(newHead("GET", "/lookup/a"), repeat("a: b\r\n", 1_000)),
            partGapMs: 100,
        },
    },
    {
        shape: "heads over the limit",
        crowd: {
            connections: 300,
            parts: () => sendHead(newHead("GET", "/lookup/a"), [`a: ${"x".repeat(200_000)}\r\n`, "\r\n"]),
        },
    },
    {
        shape: "empty lines without end",
        crowd: { connections: 200, parts: () => repeat("\r\n".repeat(500), 10_000), partGapMs: 10 },
    },
    {
        shape: "many connections of which a third leaves early",
        crowd: { connections: 2_000, parts: () => ["GET /look"], leavesEvery: 3 },
    },
    {
        shape: "results left unread",
        hasJob: true,
        crowd: {
            connections: 100,
            parts: () => repeat(newRequest("GET", `/-/lots/${JOB_ID}?after=0`), 20),
            isUnread: true,
        },
    },
    {
        shape: "pipelined requests",
        crowd: {
            connections: 100,
            parts: index => repeat(newRequest("GET", `/lookup/${index}`), 2_000),
            isUnread: true,
        },
    },
    {
        shape: "HTTP/2 prefaces",
        crowd: { connections: 300, parts: () => repeat("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 100) },
    },
    { shape: "TLS hellos", crowd: { connections: 300, parts: () => repeat(TLS_HELLO, 100) } },
    {
        shape: "upgrades",
        crowd: {
            connections: 300,
            parts: () =>
                sendHead(
                    newRequest("GET", "/lookup/a", "Connection: Upgrade\r\nUpgrade: websocket\r\n"),
                    repeat(BODY_PART, 40),
                ),
        },
    },
    {
        shape: "large bodies at the control port",
        listener: "controlPort",
        crowd: {
            connections: 60,
            parts: () => sendHead(`${CHUNKED_HEAD}\r\n`, repeat(KILOBYTE_CHUNK, 3_800)),
        },
    },
    {
        shape: "heads without end at the control port",
        listener: "controlPort",
        crowd: { connections: 900, parts: () => sendHead(newHead("POST", "/rpc"), repeat(HEADER_LINES, 15)) },
    },
    {
        shape: "many connections to the readiness port",
        listener: "readyPort",
        crowd: { connections: 1_500, parts: () => sendHead(newHead("GET", "/-/readyz"), repeat(HEADER_LINES, 10)) },
    },
    {
        shape: "metrics left unread",
        listener: "metricsPort",
        crowd: { connections: 200, parts: () => repeat(newRequest("GET", "/metrics"), 200), isUnread: true },
    },
];

let fleet: OperatorsFleet;
let gateway: GatewayProcess;

beforeEach(async () => {
    fleet = new OperatorsFleet();
    fleet.nodeOptions = NODE_OPTIONS;
    fleet.processLimits = LIMITS;
    fleet.configChanges = {
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    await fleet.start();
    fleet.writeConfig();
    await fleet.addEngine({ service: "plain", dataCentre: "east" });
    await fleet.addEngine({ service: "lm", dataCentre: "east" });
    gateway = await fleet.addGateway("east-1", "east");
});

afterEach(() => fleet.stop());

async function runJob(): Promise<void> {
    const itemIds = Array.from({ length: ITEM_COUNT }, (_, index) => `i${index}`);
    await call(gateway.port, { path: "/jobs/", requestId: JOB_ID, body: newJobBody(itemIds, ITEM_BODY) });
    await readAllResults(gateway.port, JOB_ID);
}

describe("clients outside the limits", () => {
    // Guards against a process that runs out of memory or descriptors, or doesn't serve others any more.
    it.each(CASES)(
        "leave the process within its limits: $shape",
        async ({ shape, listener = "port", crowd, hasJob }) => {
            if (hasJob === true) {
                await runJob();
            }
            const watch = new ProcessWatch(gateway.child.pid ?? 0);
            const clients = new Crowd(gateway[listener], crowd);
            clients.start();
            await new Promise(resolve => setTimeout(resolve, CROWD_MS));
            clients.stop();
            watch.stop();
            const { exitCode, signalCode } = gateway.child;
            const megabytes = Math.round(watch.residentBytes / BYTES_PER_MB);
            process.stdout.write(
                `${shape}: ${megabytes} MB, ${watch.descriptors} descriptors, exit ${
                    exitCode ?? signalCode ?? "none"
                }\n`,
            );
            expect({ exitCode, signalCode }).toEqual({ exitCode: null, signalCode: null });
            expect(watch.residentBytes).toBeLessThan(LIMITS.memoryMb * BYTES_PER_MB);
            expect(watch.descriptors).toBeLessThan(LIMITS.maxFds);
            // Another organisation's, since the crowd may have used up the rate of its own.
            const isServed = async () =>
                (await call(gateway.port, { path: "/lookup/after", key: KEYS.beta })).status === 200;
            await eventually("an ordinary request is served", isServed, AFTERWARDS_MS);
        },
    );

    // Guards against limits that a single client within the configured ones meets.
    it.each([
        { chunkBytes: 16, count: MAX_BODY_BYTES / 16 },
        { chunkBytes: 65_536, count: MAX_BODY_BYTES / 65_536 },
    ])("don't include a body of the largest size that is sent alone: $count of $chunkBytes bytes", async part => {
        const chunk = `${part.chunkBytes.toString(16)}\r\n${"x".repeat(part.chunkBytes)}\r\n`;
        const socket = net.connect(gateway.port, "127.0.0.1");
        const caller = new CallerConnection(socket);
        socket.write(`${CHUNKED_HEAD}Request-Id: ${newRequestId()}\r\n\r\n`);
        const perWrite = Math.min(1_000, part.count);
        for (let sent = 0; sent < part.count; sent += perWrite) {
            socket.write(chunk.repeat(Math.min(perWrite, part.count - sent)));
        }
        socket.write("0\r\n\r\n");
        await eventually("the request is answered", () => caller.statuses.length > 0, AFTERWARDS_MS);
        expect(caller.statuses).toEqual([200]);
        socket.destroy();
    });
});
