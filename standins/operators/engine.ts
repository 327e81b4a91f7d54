import { sleep } from "@heatherline/common";
import http from "node:http";
import { AnswerRepeater } from "./answerRepeater";
import { closeServer, listenOnLoopback, readBody } from "./httpServer";

/** A fault that an engine simulates, selected by a word in the request's body. */
export type EngineFault =
    /** Runs the request and closes the connection without a response. */
    | "CRASH"
    /** Runs the request and closes the connection inside the head of its response, after as many bytes as `head=N` says. */
    | "CUTHEAD"
    /** Closes the connection in the middle of an event. */
    | "BREAK"
    /** Sends a stream with neither a length nor chunks, so that it ends with its connection; combines with `BREAK`. */
    | "UNFRAMED"
    /** Sends some events, then nothing more, and leaves the connection open. */
    | "STALL"
    /** Sends some events, then a byte of the next one now and then, without end. */
    | "DRIBBLE"
    /** Responds 503 with the header `Not-Executed`: it did not run the request. */
    | "FULL"
    /** Responds 500. */
    | "FAIL"
    /** Responds 422: the request can never succeed. */
    | "NEVER"
    /** Runs the request and responds 503, 429 or 408 without the header `Not-Executed`. */
    | "BUSY"
    | "LIMITED"
    | "LATE"
    /** Responds with the id of another request. */
    | "STRAY"
    /** Sends nothing and leaves the connection open. */
    | "MUTE"
    /** Leaves out the header `Response-Signature`. */
    | "UNSIGNED";

/** A request that the engine accepted. */
export interface SeenRequest {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly atMs: number;
    /** Address of the gateway that sent it. */
    readonly sourceAddress: string;
    /** When the response was closed; undefined while the request runs. */
    endedAtMs: number | undefined;
    /** Events sent so far. */
    events: number;
}

/** How engines of a bad version misbehave; without a condition they do so always. */
export interface BadBehaviour {
    /** Part of the responses that fail with status 500. */
    readonly failurePart?: number;
    /** How many times longer a response takes. */
    readonly slowness?: number;
    /** Time since the engine started from which it misbehaves, in milliseconds. */
    readonly fromMs?: number;
    /** It misbehaves only while it runs at least as many requests. */
    readonly minRunning?: number;
    /** It misbehaves only for paths with this prefix. */
    readonly pathPrefix?: string;
}

/** Configuration of an engine. */
export interface EngineOptions {
    readonly service: string;
    readonly dataCentre: string;
    readonly slots?: number;
    /** Version of its software. */
    readonly version?: string;
    readonly eventGapMs?: number;
    readonly badBehaviour?: BadBehaviour;
    /** How many bytes of a body it reads in a second, if it reads slowly. */
    readonly readBytesPerS?: number;
    /** Tokens of requests that it holds at the same time; a real engine crashes beyond it, and this one counts them. */
    readonly capacityTokens?: number;
}

const FAILURE_STATUSES = { FAIL: 500, NEVER: 422, BUSY: 503, LIMITED: 429, LATE: 408 } as const;
const DEFAULT_EVENT_COUNT = 6;
const DEFAULT_EVENT_GAP_MS = 10;
/** A character of three bytes, which texts consist of. */
export const FILLER = "\u8a9e";
const DRIBBLE_GAP_MS = 100;
/** Time for which an engine that has crashed accepts no connections. */
const RESTART_MS = 600;
/** Time from the start of a request until it crashes the engine. */
const CRASH_DELAY_MS = 30;

/** How often any engine has received a request, by its id and path: items of different jobs may have the same id. */
const receivedCounts = new Map<string, number>();

/**
 * Stand-in for an inference engine, which is an endpoint of the operators' platform. A request's body may contain
 * fault words ({@link EngineFault}), which apply to the first run of its id and path only, to other runs with `runs=N,M`, or
 * to each run with the word `ALWAYS`, and `events=N`, the number of events to stream, `of=NAME`, what they name in place of the
 * request's id, and `fill=N`, the number of characters of three bytes that each event has beside its numbers.
 */
export class Engine {
    readonly seen: SeenRequest[] = [];
    readonly id: string;
    port = 0;
    running = 0;
    private runningTokens = 0;
    /** Most tokens of requests that it ran at the same time. */
    peakTokens = 0;
    /** The requests that it ran then. */
    peakRequestIds: readonly string[] = [];
    /** Whether it accepts requests but sends no responses; connections stay open. */
    isUnresponsive = false;
    /** Part of prompts that crashes it as soon as it begins to respond to a request with it. */
    crashingPromptPart: string | undefined;
    crashes = 0;
    /** Connections that it has accepted. */
    connections = 0;
    /** Crashes under a part of prompts. */
    readonly partCrashes: { readonly part: string; readonly atMs: number; }[] = [];
    /** Called at each of them. */
    onPartCrash = (): void => undefined;
    /** Whether it says in its responses that it leaves. */
    isLeaving = false;
    /** Value of the header that names the limit of requests, if it names one. */
    namedLimit: string | undefined;
    /** Time from a request to the head of its response, in milliseconds. */
    responseDelayMs = 0;
    /** When its process started, in milliseconds since the epoch. */
    startedAt = Date.now();
    private silentUntilMs = 0;
    private readonly unframedResponses = new Set<http.ServerResponse>();
    private restartTimer: NodeJS.Timeout | undefined;
    private readonly server = http.createServer();
    /** Sends answers once more, if a test tells it to. */
    readonly repeater = new AnswerRepeater(this.server);

    /**
     * @param id - The engine's id in the platform's list of servers.
     * @param options - Its configuration.
     */
    constructor(id: string, readonly options: EngineOptions) {
        this.id = id;
        this.server.on("connection", () => {
            this.connections += 1;
        });
        this.server.on("request", (request, response) => void this.handle(request, response));
    }

    /** Starts listening on a free port of the loopback interface. */
    async start(): Promise<void> {
        this.port = await listenOnLoopback(this.server);
    }

    /** Stops listening and closes all connections. */
    stop(): Promise<void> {
        return closeServer(this.server);
    }

    /**
     * Sends nothing for a while, and goes on then; it accepts connections and requests meanwhile.
     *
     * @param durationMs - How long, in milliseconds.
     */
    silence(durationMs: number): void {
        this.silentUntilMs = Math.max(this.silentUntilMs, Date.now() + durationMs);
    }

    private async waitWhileSilent(): Promise<void> {
        while (Date.now() < this.silentUntilMs) {
            await sleep(this.silentUntilMs - Date.now());
        }
    }

    /** While it is silent, it doesn't notice either that a connection has been closed. */
    private async endRun(entry: SeenRequest): Promise<void> {
        await this.waitWhileSilent();
        entry.endedAtMs ??= Date.now();
        this.running -= 1;
        this.runningTokens -= getTokens(entry);
    }

    /** @returns Its entry in the platform's list of servers. */
    getRegistration(state: "ready" | "draining" = "ready"): Record<string, unknown> {
        return {
            service: this.options.service,
            address: `127.0.0.1:${this.port}`,
            zone: this.options.dataCentre,
            version: this.options.version ?? "v1",
            slots: this.options.slots ?? 8,
            state,
            warmupLeftMs: 0,
            sequence: 1,
            born: this.startedAt,
        };
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const body = await this.readText(request);
        if (body === undefined) {
            return;
        }
        const requestId = String(request.headers["request-id"] ?? "");
        const expected = request.headers["target-instance"];
        if (expected !== undefined && expected !== this.id) {
            await this.waitWhileSilent();
            response.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        const faultText = this.shouldSimulateFault(`${requestId} ${request.url}`, body) ? body : "";
        if (this.running >= (this.options.slots ?? 8) || faultText.includes("FULL")) {
            await this.waitWhileSilent();
            response.writeHead(503, { "Not-Executed": "1", "Request-Id": requestId }).end();
            return;
        }
        const entry: SeenRequest = {
            requestId,
            method: request.method ?? "",
            path: request.url ?? "",
            body,
            headers: request.headers,
            atMs: Date.now(),
            sourceAddress: request.socket.remoteAddress ?? "",
            endedAtMs: undefined,
            events: 0,
        };
        this.seen.push(entry);
        if (response.closed) {
            // The gateway cancelled the request while its body was being read; no further event says that it has ended.
            entry.endedAtMs = Date.now();
            return;
        }
        this.running += 1;
        this.runningTokens += getTokens(entry);
        if (this.runningTokens > this.peakTokens) {
            this.peakTokens = this.runningTokens;
            this.peakRequestIds = this.seen.filter(each => each.endedAtMs === undefined).map(each => each.requestId);
        }
        response.on("close", () => void this.endRun(entry));
        const parts = String(request.headers["prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0]);
        if (this.crashingPromptPart !== undefined && parts.includes(this.crashingPromptPart)) {
            const part = this.crashingPromptPart;
            await sleep(CRASH_DELAY_MS);
            this.partCrashes.push({ part, atMs: Date.now() });
            this.onPartCrash();
            this.crash();
            return;
        }
        await this.respond(entry, response, faultText);
    }

    /** @returns The request's body; `undefined` if the gateway closed the connection before its end. */
    private async readText(request: http.IncomingMessage): Promise<string | undefined> {
        try {
            return (await readBody(request, this.options.readBytesPerS)).toString("utf8");
        }
        catch {
            return undefined;
        }
    }

    /** Closes all connections, and accepts new ones only after a restart. */
    private crash(): void {
        this.crashes += 1;
        // Responses without a length or chunks would look complete if their connections were closed.
        this.unframedResponses.forEach(response => response.socket?.resetAndDestroy());
        this.server.close();
        this.server.closeAllConnections();
        clearTimeout(this.restartTimer);
        this.restartTimer = setTimeout(() => this.server.listen(this.port, "127.0.0.1"), RESTART_MS);
    }

    private shouldSimulateFault(request: string, body: string): boolean {
        const number = (receivedCounts.get(request) ?? 0) + 1;
        receivedCounts.set(request, number);
        const faultyRuns = /runs=([\d,]+)/.exec(body)?.[1] ?? "1";
        return faultyRuns.split(",").includes(String(number)) || body.includes("ALWAYS");
    }

    private async respond(entry: SeenRequest, response: http.ServerResponse, faultText: string): Promise<void> {
        if (this.isUnresponsive || faultText.includes("MUTE")) {
            return;
        }
        if (faultText.includes("CRASH")) {
            response.socket?.destroy();
            return;
        }
        await sleep(this.responseDelayMs);
        await this.waitWhileSilent();
        const bad = this.getBadBehaviour(entry);
        const eventGapMs = (this.options.eventGapMs ?? DEFAULT_EVENT_GAP_MS) * (bad?.slowness ?? 1);
        const isFailing = Math.random() < (bad?.failurePart ?? 0);
        const requestId = faultText.includes("STRAY") ? "somebody-else" : entry.requestId;
        const signatureHeaders = faultText.includes("UNSIGNED")
            ? {}
            : { "Response-Signature": `sig.${entry.requestId}` };
        const headers = {
            "Request-Id": requestId,
            ...signatureHeaders,
            ...this.isLeaving ? { "Server-Leaving": "1" } : {},
            ...this.namedLimit === undefined ? {} : { "Server-Limit": this.namedLimit },
        };
        if (faultText.includes("CUTHEAD")) {
            const lines = Object.entries({ ...headers, "Content-Length": "12345" });
            const head = `HTTP/1.1 200 OK\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`;
            const length = Number(/head=(-?\d+)/.exec(entry.body)?.[1] ?? 0);
            response.socket?.end(head.slice(0, length));
            return;
        }
        const failure = Object.entries(FAILURE_STATUSES).find(([word]) =>
            faultText.includes(word) || (isFailing && word === "FAIL")
        );
        if (failure !== undefined) {
            response.writeHead(failure[1], headers).end("failed");
            return;
        }
        if (entry.headers.model === undefined) {
            await sleep(eventGapMs);
            const text = `plain answer to ${entry.requestId}`;
            response.writeHead(200, { ...headers, "Content-Length": text.length }).end(text);
            return;
        }
        // Without chunks, Node.js marks the end of the response by closing the connection.
        response.useChunkedEncodingByDefault = !faultText.includes("UNFRAMED");
        if (!response.useChunkedEncodingByDefault) {
            this.unframedResponses.add(response);
            response.once("close", () => this.unframedResponses.delete(response));
        }
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        await this.stream(entry, response, faultText, eventGapMs);
    }

    private getBadBehaviour({ path }: SeenRequest): BadBehaviour | undefined {
        const { badBehaviour } = this.options;
        const applies = badBehaviour !== undefined
            && Date.now() - this.startedAt >= (badBehaviour.fromMs ?? 0)
            && this.running >= (badBehaviour.minRunning ?? 0)
            && path.startsWith(badBehaviour.pathPrefix ?? "");
        return applies ? badBehaviour : undefined;
    }

    private async stream(
        entry: SeenRequest,
        response: http.ServerResponse,
        faultText: string,
        eventGapMs: number,
    ): Promise<void> {
        const eventCount = Number(/events=(\d+)/.exec(entry.body)?.[1] ?? DEFAULT_EVENT_COUNT);
        const name = /of=(\S+)/.exec(entry.body)?.[1] ?? entry.requestId;
        const filling = FILLER.repeat(Number(/fill=(\d+)/.exec(entry.body)?.[1] ?? 0));
        const firstEventId = Number(entry.headers["last-event-id"] ?? -1) + 1;
        for (let eventId = firstEventId; eventId < eventCount; eventId += 1) {
            await this.waitWhileSilent();
            if (response.destroyed) {
                return;
            }
            if (faultText.includes("BREAK") && eventId === firstEventId + 2) {
                response.write(`id: ${eventId}\ndata: half`, () => response.socket?.end());
                return;
            }
            if (faultText.includes("STALL") && eventId === firstEventId + 2) {
                return;
            }
            if (faultText.includes("DRIBBLE") && eventId === firstEventId + 2) {
                await dribble(response);
                return;
            }
            response.write(`id: ${eventId}\ndata: event ${eventId} of ${name}${filling}\n\n`);
            entry.events += 1;
            await sleep(eventGapMs);
        }
        response.end();
    }
}

/** @returns Prompt tokens and the maximum of output tokens of an online request; items don't name them in their headers. */
function getTokens({ headers, path }: SeenRequest): number {
    const counts = path.startsWith("/jobs/") ? [] : String(headers["token-count"] ?? "").split(",");
    return counts.reduce((sum, count) => sum + Number(count), 0);
}

async function dribble(response: http.ServerResponse): Promise<void> {
    response.write("data: ");
    while (!response.destroyed) {
        await sleep(DRIBBLE_GAP_MS);
        response.write("x");
    }
}
