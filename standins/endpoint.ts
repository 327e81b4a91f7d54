import { newId, sleep } from "@heatherline/common";
import { createHash } from "node:crypto";
import http from "node:http";
import type { Socket } from "node:net";
import { parseArgs } from "node:util";

const { values } = parseArgs({
    options: {
        port: { type: "string", default: "0" },
        slots: { type: "string", default: "8" },
        coldSlots: { type: "string", default: "1" },
        coldMs: { type: "string", default: "2000" },
        firstTokenMs: { type: "string", default: "20" },
        tokenMs: { type: "string", default: "5" },
        restartMs: { type: "string", default: "1000" },
        warm: { type: "boolean", default: false },
    },
});

/** Words in a body that make the stand-in misbehave. */
const POISON = "POISON";
const TRUNCATE = "TRUNCATE";
const STRAY = "STRAY";
const FAIL = "ALWAYSFAIL";
const DEFAULT_TOKENS = 5;
const MAX_PREFIXES = 64;
const PREFIX_CHARACTERS = 256;
const CROWDING_FACTOR = 0.05;

/** One request as the endpoint saw it. */
interface SeenRequest {
    readonly requestId: string;
    readonly path: string;
    readonly bodySha256: string;
    /** The caller's mark in the body, by which outside checks find it again. */
    readonly mark: string | undefined;
    readonly hasKey: boolean;
    readonly startedAt: number;
    endedAt?: number;
    isComplete: boolean;
}

const slots = Number(values.slots);
const coldSlots = Number(values.coldSlots);
let startMark = newId();
let warmAt = values.warm ? 0 : Infinity;
let running = 0;
let maxRunning = 0;
let coldOverloads = 0;
let crashes = 0;
let isDown = false;
let prefixHits = 0;
let batchDone = 0;
const seen: SeenRequest[] = [];
const prefixes = new Set<string>();
const sockets = new Set<Socket>();

const server = http.createServer((request, response) => {
    readBody(request).then(body => run(request, response, body)).catch(() => response.destroy());
});
/** Answers the test's own questions, also while the endpoint is down. */
const controlServer = http.createServer((request, response) => {
    readBody(request).then(body => control(request, response, body)).catch(() => response.destroy());
});
server.keepAliveTimeout = 30_000;
server.on("connection", socket => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    if (isDown) {
        socket.destroy();
    }
});

async function readBody(request: http.IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function control(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    if (request.url === "/stats") {
        response.end(
            JSON.stringify({
                maxRunning,
                coldOverloads,
                crashes,
                prefixHits,
                batchDone,
                running,
                isCold: isCold(),
                startMark,
            }),
        );
        return;
    }
    if (request.url === "/seen") {
        response.end(JSON.stringify(seen));
        return;
    }
    if (request.url === "/control") {
        if (body.includes("cold")) {
            turnCold();
        }
        if (body.includes("crash")) {
            crash();
        }
        response.end("{}");
        return;
    }
    response.writeHead(404).end();
}

async function run(request: http.IncomingMessage, response: http.ServerResponse, body: string): Promise<void> {
    const mark = /mark:([\w-]+)/.exec(body)?.[1];
    const entry: SeenRequest = {
        requestId: String(request.headers["x-request-id"] ?? ""),
        path: request.url ?? "",
        bodySha256: createHash("sha256").update(body).digest("hex"),
        mark,
        hasKey: request.headers.authorization !== undefined || body.includes("hl_"),
        startedAt: Date.now(),
        isComplete: false,
    };
    seen.push(entry);
    running += 1;
    maxRunning = Math.max(maxRunning, running);
    const gone = new AbortController();
    response.on("close", () => gone.abort());
    try {
        if (isCold() && running > coldSlots) {
            coldOverloads += 1;
            crash();
            return;
        }
        // A cold endpoint warms up by the work it does.
        warmAt = Math.min(warmAt, Date.now() + Number(values.coldMs));
        if (body.includes(POISON)) {
            await sleep(10);
            crash();
            return;
        }
        await answer(entry, response, body, gone.signal);
    }
    finally {
        running -= 1;
        entry.endedAt = Date.now();
    }
}

async function answer(
    entry: SeenRequest,
    response: http.ServerResponse,
    body: string,
    gone: AbortSignal,
): Promise<void> {
    const parsed = body === "" ? {} : JSON.parse(body) as { stream?: boolean; max_tokens?: number; };
    const tokens = parsed.max_tokens ?? DEFAULT_TOKENS;
    await sleep(Number(values.firstTokenMs) * (isPrefixCached(body) ? 0.2 : 1), gone);
    const headers = {
        "x-request-id": body.includes(STRAY) ? "somebody-else" : entry.requestId,
        "x-endpoint-start": startMark,
    };
    if (body.includes(FAIL)) {
        response.writeHead(500, { ...headers, "content-type": "application/json" }).end('{"error":"failed"}');
        return;
    }
    if (parsed.stream === true) {
        await stream(response, headers, tokens, body, gone);
    }
    else {
        await sleep(tokenMs() * tokens, gone);
        const text = JSON.stringify({
            id: entry.requestId,
            mark: entry.mark,
            choices: [{ index: 0, message: { role: "assistant", content: "word ".repeat(tokens).trim() } }],
            usage: { completion_tokens: tokens },
        });
        response.writeHead(200, { ...headers, "content-type": "application/json", "content-length": text.length });
        if (body.includes(TRUNCATE)) {
            response.write(text.slice(0, text.length / 2), () => response.destroy());
            return;
        }
        response.end(text);
    }
    entry.isComplete = !gone.aborted;
    batchDone += entry.isComplete && entry.mark?.startsWith("batch-") === true ? 1 : 0;
}

async function stream(
    response: http.ServerResponse,
    headers: Record<string, string>,
    tokens: number,
    body: string,
    gone: AbortSignal,
): Promise<void> {
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    for (let token = 0; token < tokens && !gone.aborted; token += 1) {
        response.write(`data: ${JSON.stringify({ choices: [{ index: 0, delta: { content: `word${token} ` } }] })}\n\n`);
        await sleep(tokenMs(), gone);
        if (body.includes(TRUNCATE) && token > tokens / 2) {
            response.destroy();
            return;
        }
    }
    response.end("data: [DONE]\n\n");
}

function tokenMs(): number {
    const excess = Math.max(0, running - slots);
    return Number(values.tokenMs) * (1 + CROWDING_FACTOR * running + excess);
}

function isPrefixCached(body: string): boolean {
    const prefix = body.slice(0, PREFIX_CHARACTERS);
    const isHit = prefixes.delete(prefix);
    prefixes.add(prefix);
    if (prefixes.size > MAX_PREFIXES) {
        prefixes.delete(prefixes.values().next().value ?? "");
    }
    prefixHits += isHit ? 1 : 0;
    return isHit;
}

function isCold(): boolean {
    return Date.now() < warmAt;
}

function turnCold(): void {
    warmAt = Infinity;
}

/** Breaks all connections and refuses new ones for a while; what comes back is a new, cold start. */
function crash(): void {
    crashes += 1;
    isDown = true;
    for (const socket of sockets) {
        socket.destroy();
    }
    setTimeout(() => {
        isDown = false;
        startMark = newId();
        prefixes.clear();
        turnCold();
    }, Number(values.restartMs));
}

server.listen(Number(values.port), "127.0.0.1", () => {
    controlServer.listen(0, "127.0.0.1", () => {
        const ports = { port: getPort(server), controlPort: getPort(controlServer) };
        process.stdout.write(`${JSON.stringify(ports)}\n`);
    });
});

function getPort(listening: http.Server): number {
    const address = listening.address();
    return typeof address === "object" && address !== null ? address.port : 0;
}
