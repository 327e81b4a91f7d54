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

// Words in a request's body that select a fault.
/** Crashes the endpoint while it runs the request. */
const CRASH_WORD = "POISON";
/** Closes the connection in the middle of the response. */
const TRUNCATE_WORD = "TRUNCATE";
/** Responds with the id of another request. */
const STRAY_WORD = "STRAY";
/** Responds 500. */
const FAIL_WORD = "ALWAYSFAIL";
const DEFAULT_TOKEN_COUNT = 5;
const MAX_CACHED_PREFIXES = 64;
/** Requests whose bodies share this many first characters share a cached prefix. */
const PREFIX_CHARACTERS = 256;
/** Fraction by which each running request lengthens the time per token. */
const SLOWDOWN_PER_REQUEST = 0.05;

/** A request as the endpoint received it. */
interface SeenRequest {
    readonly requestId: string;
    readonly path: string;
    readonly bodySha256: string;
    /** The mark that the caller put into the body, by which checks match calls and requests. */
    readonly mark: string | undefined;
    /** Whether it came with an API key, which no endpoint may receive. */
    readonly hasKey: boolean;
    readonly startedAt: number;
    endedAt?: number;
    /** Whether the response was sent to its end. */
    isComplete: boolean;
}

const slots = Number(values.slots);
const coldSlots = Number(values.coldSlots);
/** Identifies the current start of the endpoint; a new one after each crash. */
let startMark = newId();
let warmAtMs = values.warm ? 0 : Infinity;
let running = 0;
let maxRunning = 0;
let coldOverloads = 0;
let crashes = 0;
let isDown = false;
let prefixHits = 0;
let batchDone = 0;
const seen: SeenRequest[] = [];
const cachedPrefixes = new Set<string>();
const sockets = new Set<Socket>();

const server = http.createServer((request, response) => {
    readBody(request).then(body => handleRequest(request, response, body)).catch(() => response.destroy());
});
/** Serves the test's control and statistics requests, also while the endpoint is down. */
const controlServer = http.createServer((request, response) => {
    readBody(request).then(body => handleControl(request, response, body)).catch(() => response.destroy());
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

function handleControl(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
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
            makeCold();
        }
        if (body.includes("crash")) {
            crash();
        }
        response.end("{}");
        return;
    }
    response.writeHead(404).end();
}

async function handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: string,
): Promise<void> {
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
    const callerGone = new AbortController();
    response.on("close", () => callerGone.abort());
    try {
        if (isCold() && running > coldSlots) {
            coldOverloads += 1;
            crash();
            return;
        }
        // A cold endpoint starts to warm up with its first request.
        warmAtMs = Math.min(warmAtMs, Date.now() + Number(values.coldMs));
        if (body.includes(CRASH_WORD)) {
            await sleep(10);
            crash();
            return;
        }
        await respond(entry, response, body, callerGone.signal);
    }
    finally {
        running -= 1;
        entry.endedAt = Date.now();
    }
}

async function respond(
    entry: SeenRequest,
    response: http.ServerResponse,
    body: string,
    callerGone: AbortSignal,
): Promise<void> {
    const parsed = body === "" ? {} : JSON.parse(body) as { stream?: boolean; max_tokens?: number; };
    const tokens = parsed.max_tokens ?? DEFAULT_TOKEN_COUNT;
    await sleep(Number(values.firstTokenMs) * (isPrefixCached(body) ? 0.2 : 1), callerGone);
    const headers = {
        "x-request-id": body.includes(STRAY_WORD) ? "somebody-else" : entry.requestId,
        "x-endpoint-start": startMark,
    };
    if (body.includes(FAIL_WORD)) {
        response.writeHead(500, { ...headers, "content-type": "application/json" }).end('{"error":"failed"}');
        return;
    }
    if (parsed.stream === true) {
        await stream(response, headers, tokens, body, callerGone);
    }
    else {
        await sleep(getTokenMs() * tokens, callerGone);
        const text = JSON.stringify({
            id: entry.requestId,
            mark: entry.mark,
            choices: [{ index: 0, message: { role: "assistant", content: "word ".repeat(tokens).trim() } }],
            usage: { completion_tokens: tokens },
        });
        response.writeHead(200, { ...headers, "content-type": "application/json", "content-length": text.length });
        if (body.includes(TRUNCATE_WORD)) {
            response.write(text.slice(0, text.length / 2), () => response.destroy());
            return;
        }
        response.end(text);
    }
    entry.isComplete = !callerGone.aborted;
    batchDone += entry.isComplete && entry.mark?.startsWith("batch-") === true ? 1 : 0;
}

async function stream(
    response: http.ServerResponse,
    headers: Record<string, string>,
    tokens: number,
    body: string,
    callerGone: AbortSignal,
): Promise<void> {
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    for (let token = 0; token < tokens && !callerGone.aborted; token += 1) {
        response.write(`data: ${JSON.stringify({ choices: [{ index: 0, delta: { content: `word${token} ` } }] })}\n\n`);
        await sleep(getTokenMs(), callerGone);
        if (body.includes(TRUNCATE_WORD) && token > tokens / 2) {
            response.destroy();
            return;
        }
    }
    response.end("data: [DONE]\n\n");
}

function getTokenMs(): number {
    const excess = Math.max(0, running - slots);
    return Number(values.tokenMs) * (1 + SLOWDOWN_PER_REQUEST * running + excess);
}

function isPrefixCached(body: string): boolean {
    const prefix = body.slice(0, PREFIX_CHARACTERS);
    const isHit = cachedPrefixes.delete(prefix);
    cachedPrefixes.add(prefix);
    if (cachedPrefixes.size > MAX_CACHED_PREFIXES) {
        cachedPrefixes.delete(cachedPrefixes.values().next().value ?? "");
    }
    prefixHits += isHit ? 1 : 0;
    return isHit;
}

function isCold(): boolean {
    return Date.now() < warmAtMs;
}

function makeCold(): void {
    warmAtMs = Infinity;
}

/**
 * Closes all connections and refuses new ones for `--restartMs`; then the endpoint is up again with a new start mark, no
 * cached prefixes, and cold.
 */
function crash(): void {
    crashes += 1;
    isDown = true;
    for (const socket of sockets) {
        socket.destroy();
    }
    setTimeout(() => {
        isDown = false;
        startMark = newId();
        cachedPrefixes.clear();
        makeCold();
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
