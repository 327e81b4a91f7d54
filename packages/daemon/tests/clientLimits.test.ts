import { type ChildProcess, spawn } from "node:child_process";
import { join } from "node:path";
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { callJson, Cluster, type DaemonChild, waitFor } from "../../../standins/cluster";
import { applyDocuments, issueKey, newModelService } from "../../../standins/documents";
import { reserveFreePorts } from "../../../standins/freePorts";
import { CHUNKED_HEAD, Crowd, type CrowdShape, newHead } from "../../../standins/operators/crowd";
import { ProcessWatch } from "../../../standins/operators/processWatch";

const PROGRAM = join(import.meta.dirname, "..", "..", "..", "dist", "heatherlined.mjs");
/** The bounds that each case checks. */
const LIMITS = { memoryMb: 150, maxFds: 1_000 };
const NODE_OPTIONS = ["--max-old-space-size=80", "--max-semi-space-size=4"];
const MAX_BODY_BYTES = 4_194_304;
const BYTES_PER_MB = 1_000_000;
/** How long a crowd stays once it has begun. */
const CROWD_MS = 4_000;
/** Ends the test if no ordinary request is served; no time is checked. */
const AFTERWARDS_MS = 20_000;
const CHAT = "/v1/chat/completions";

interface Case {
    readonly shape: string;
    readonly crowd: CrowdShape;
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
const UNFINISHED_BODY_HEAD = newHead("POST", CHAT) + `Content-Length: ${MAX_BODY_BYTES}\r\n`;
const BODY_PART = Buffer.alloc(65_536, "x");
const LARGE_BODY_PARTS = MAX_BODY_BYTES / BODY_PART.length - 1;
const HEADER_LINES = "a: b\r\n".repeat(170);

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
        crowd: { connections: 900, parts: () => sendHead(newHead("GET", CHAT), repeat(HEADER_LINES, 60)) },
    },
    {
        shape: "heads without end, of which little arrives at a time",
        crowd: {
            connections: 900,
            parts: () => sendHead(newHead("GET", CHAT), repeat("a: b\r\n", 1_000)),
            partGapMs: 100,
        },
    },
    {
        shape: "heads over the limit",
        crowd: {
            connections: 300,
            parts: () => sendHead(newHead("GET", CHAT), [`a: ${"x".repeat(200_000)}\r\n`, "\r\n"]),
        },
    },
    {
        shape: "empty lines without end",
        crowd: { connections: 200, parts: () => repeat("\r\n".repeat(500), 10_000), partGapMs: 10 },
    },
    {
        shape: "many connections of which a third leaves early",
        crowd: { connections: 2_000, parts: () => ["GET /v1"], leavesEvery: 3 },
    },
    {
        shape: "pipelined requests",
        crowd: {
            connections: 100,
            parts: () => repeat(`${newHead("GET", "/v1/models")}\r\n`, 2_000),
            isUnread: true,
        },
    },
    {
        shape: "metrics left unread",
        crowd: { connections: 200, parts: () => repeat(`${newHead("GET", "/metrics")}\r\n`, 200), isUnread: true },
    },
    {
        shape: "HTTP/2 prefaces",
        crowd: { connections: 300, parts: () => repeat("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 100) },
    },
    {
        shape: "upgrades",
        crowd: {
            connections: 300,
            parts: () =>
                sendHead(
                    `${newHead("GET", CHAT)}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`,
                    repeat(BODY_PART, 40),
                ),
        },
    },
];

const cluster = new Cluster();
let daemon: DaemonChild;
let key: string;
let endpoint: Awaited<ReturnType<Cluster["startEndpoint"]>>;

/** Starts a daemon whose heap and descriptors are limited; the shell sets the limit of this one process. */
async function startDaemon(): Promise<DaemonChild> {
    const [port = 0, peerPort = 0] = await reserveFreePorts(2);
    const command = [
        process.execPath,
        ...NODE_OPTIONS,
        PROGRAM,
        "--port",
        String(port),
        "--peer-port",
        String(peerPort),
    ];
    const child: ChildProcess = spawn("sh", ["-c", `ulimit -n ${LIMITS.maxFds} && exec "$@"`, "sh", ...command], {
        stdio: ["ignore", "ignore", "inherit"],
    });
    const isHealthy = async () => (await callJson(port, "/healthz")).status === 200;
    await waitFor("the health check to succeed", isHealthy);
    return { process: child, port, peerPort, instance: "alone", dataCentre: "local" };
}

beforeAll(async () => {
    endpoint = await cluster.startEndpoint("--warm");
});

afterAll(() => cluster.stop());

beforeEach(async () => {
    daemon = await startDaemon();
    const endpoints = [{ child: endpoint, dataCentre: "local", coldConcurrency: 8 }];
    await applyDocuments(
        daemon,
        newModelService("lm", endpoints, [{ organisation: "alpha", ratePerS: 100, burst: 100 }]),
    );
    key = (await issueKey(daemon, "alpha")).secretKey;
});

afterEach(() => {
    daemon.process.kill("SIGKILL");
});

async function isServed(): Promise<boolean> {
    const { status } = await callJson(daemon.port, CHAT, {
        headers: { authorization: `Bearer ${key}` },
        body: { model: "lm-model", messages: [{ role: "user", content: "hello" }] },
    });
    return status === 200;
}

describe("clients of heatherlined outside the limits", () => {
    // Guards against a process that runs out of memory or descriptors, or doesn't serve others any more.
    it.each(CASES)("leave its process within the limits: $shape", async ({ shape, crowd }) => {
        await waitFor("a request to be served before the crowd", isServed);
        const watch = new ProcessWatch(daemon.process.pid ?? 0);
        const clients = new Crowd(daemon.port, crowd);
        clients.start();
        await new Promise(resolve => setTimeout(resolve, CROWD_MS));
        clients.stop();
        watch.stop();
        const { exitCode, signalCode } = daemon.process;
        const megabytes = Math.round(watch.residentBytes / BYTES_PER_MB);
        process.stdout.write(
            `heatherlined, ${shape}: ${megabytes} MB, ${watch.descriptors} descriptors, exit ${
                exitCode ?? signalCode ?? "none"
            }\n`,
        );
        expect({ exitCode, signalCode }).toEqual({ exitCode: null, signalCode: null });
        expect(watch.residentBytes).toBeLessThan(LIMITS.memoryMb * BYTES_PER_MB);
        expect(watch.descriptors).toBeLessThan(LIMITS.maxFds);
        await waitFor("an ordinary request to be served", isServed, AFTERWARDS_MS);
    });
});
