import type { Logger } from "@heatherline/common";
import type { HeldPlace, PlacementOutcome, PlaceRequestOptions, RequestEnd, Route } from "@heatherline/fleet";
import { ok } from "neverthrow";
import type http from "node:http";
import net from "node:net";
import { Writable } from "node:stream";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { CallerResponse } from "../src/callers/callerResponse";
import { EndpointClient } from "../src/endpoints/endpointClient";
import { MemoryBudget } from "../src/memoryBudget";
import { CallerBuffers } from "../src/online/callerBuffer";
import type { OnlineDependencies } from "../src/online/onlineDependencies";
import { OnlineHandler } from "../src/online/onlineHandler";
import type { OnlineRequest } from "../src/online/onlineRequest";
import type { WireCodec } from "../src/wireCodec";

const WRITE_BUFFER_BYTES = 16_384;

/** A connection to a caller that takes bytes only when the test says so. */
export class SlowConnection extends Writable {
    received = "";
    /** Whether the caller reads all that arrives. */
    isReading = false;
    readonly req = { socket: { readableEnded: true, errored: null } };
    readonly socket = {};
    private pending: (() => void) | undefined;

    constructor() {
        super({ highWaterMark: WRITE_BUFFER_BYTES });
        this.on("error", () => undefined);
    }

    writeHead(): void {
        // Only the body is looked at.
    }

    override _write(chunk: Buffer, _encoding: string, callback: () => void): void {
        this.pending = () => {
            this.pending = undefined;
            this.received += chunk.toString("latin1");
            callback();
        };
        if (this.isReading) {
            this.pending();
        }
    }

    /** Reads what has been written last. */
    readOnce(): void {
        this.pending?.();
    }

    /** Reads all that arrives from now on. */
    readOn(): void {
        this.isReading = true;
        this.pending?.();
    }
}

/** An endpoint that answers each request as the test says. */
export class ScriptedEndpoint {
    port = 0;
    /** Connections on which a request has arrived, in order. */
    readonly sockets: net.Socket[] = [];
    private readonly server: net.Server;

    /**
     * @param serve - Answers a request.
     */
    constructor(serve: (socket: net.Socket, index: number) => void) {
        this.server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                this.sockets.push(socket);
                serve(socket, this.sockets.length - 1);
            });
        });
    }

    /** Starts to listen. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as net.AddressInfo).port;
    }

    /** Closes all connections. */
    stop(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}

const wire = {
    parseResponseHead: () => ({
        requestId: undefined,
        isSigned: true,
        isNotExecuted: false,
        isLeaving: false,
        requestLimit: { kind: "none" },
    }),
    toEndpointHeaders: (_: unknown, { lastEventId }: { lastEventId: number | undefined; }) => [
        "Host",
        "h",
        ...lastEventId === undefined ? [] : ["Last-Event-Id", String(lastEventId)],
    ],
    toCallerHeaders: () => [],
    toLocalResponseHeaders: () => ({}),
} as unknown as WireCodec;

/** Options of an {@link OnlineHarness}. */
export interface OnlineHarnessOptions {
    readonly route?: Partial<Route>;
    /** Memory for what callers are yet to read; without it, responses are not buffered. */
    readonly budgetBytes?: number | undefined;
    readonly maxUnreadMs?: number;
    readonly changes?: Partial<OnlineDependencies>;
    /** Whether places say that they may be hedged. */
    readonly mayHedge?: boolean;
    /** Why second places are refused; granted if left out. */
    readonly hedgeRefusal?: string;
}

/** An online handler whose places are at the test's own endpoints. */
export class OnlineHarness {
    readonly route: Route;
    /** Lines of the log. */
    readonly logged: Record<string, unknown>[] = [];
    /** How the place of each endpoint's port was released, in order. */
    readonly released: { readonly port: number; readonly end: RequestEnd; }[] = [];
    readonly asked: PlaceRequestOptions[] = [];
    readonly slowCallers: string[] = [];
    readonly hedgeEvents: string[] = [];
    readonly budget: MemoryBudget;
    /** Places that are held now. */
    heldCount = 0;
    private readonly handler: OnlineHandler;

    /**
     * @param ports - Ports of the endpoints that get the places, in order; the last one gets the rest.
     * @param options - What differs from a resumable stream.
     */
    constructor(private readonly ports: readonly number[], private readonly options: OnlineHarnessOptions = {}) {
        const { route, budgetBytes, maxUnreadMs = Infinity, changes } = options;
        this.route = {
            name: "chat",
            host: "h",
            pathPrefix: "/",
            kind: "streaming",
            timeoutMs: 60_000,
            targetLatencyMs: 1_000,
            priority: 0,
            targets: [{ service: "lm", weight: 1 }],
            maxAttempts: 3,
            isPublic: true,
            isResumable: true,
            allowedRegions: [],
            completionTargetMs: 0,
            retentionMs: 0,
            maxWaitingTokens: 0,
            ...route,
        };
        const logger = { info: (line: Record<string, unknown>) => this.logged.push(line) } as unknown as Logger;
        const admitted = { route: this.route, organisation: undefined, allowedRegions: [], priority: 0 };
        const metrics = {
            recordRequest: () => undefined,
            recordPlacementWait: () => undefined,
            recordHedge: (what: string, cause: string) =>
                this.hedgeEvents.push(cause === "" ? what : `${what} ${cause}`),
            recordSlowCaller: (cause: string) => this.slowCallers.push(cause),
        };
        this.budget = new MemoryBudget(budgetBytes ?? 0, maxUnreadMs);
        this.handler = new OnlineHandler({
            admission: { admit: () => ok(admitted) },
            placement: { requestPlace: (request: PlaceRequestOptions) => this.requestPlace(request) },
            endpoints: new EndpointClient(wire),
            wire,
            metrics,
            logger,
            callerBuffers: budgetBytes === undefined
                ? undefined
                : new CallerBuffers({ budget: this.budget, metrics, logger }),
            bodies: budgetBytes === undefined ? undefined : this.budget.bodies,
            ...changes,
        } as unknown as OnlineDependencies);
    }

    /** Lines of the log about whole requests. */
    get requestLines(): Record<string, unknown>[] {
        return this.logged.filter(({ event }) => event === "request");
    }

    /**
     * Handles a request.
     *
     * @param connection - The caller's connection.
     * @param giveUp - Aborted when the process is about to end.
     * @returns Resolves when the request has been handled.
     */
    handle(connection: SlowConnection, giveUp = new AbortController()): Promise<void> {
        const callerGone = new AbortController();
        connection.once("close", () => {
            if (!connection.writableFinished) {
                callerGone.abort();
            }
        });
        const response = new CallerResponse(connection as unknown as http.ServerResponse, wire, "r1", () => false);
        const caller = {
            requestId: "r1",
            host: "h",
            sharedPromptParts: [],
            promptTokens: 10,
            maxOutputTokens: 20,
        };
        const request = {
            caller,
            incoming: { rawHeaders: [], method: "POST", url: "/a" },
            path: "/a",
            body: Buffer.from("x"),
            response,
            arrivedAtMs: performance.now(),
            callerGone: callerGone.signal,
            giveUp: giveUp.signal,
        };
        const admitted = { route: this.route, organisation: undefined, allowedRegions: [], priority: 0 };
        return this.handler.handle(request as unknown as OnlineRequest, admitted as never);
    }

    private async requestPlace(request: PlaceRequestOptions): Promise<PlacementOutcome> {
        await Promise.resolve();
        const { mayHedge, hedgeRefusal: detail } = this.options;
        if (request.hedgeOf !== undefined && detail !== undefined) {
            return { kind: "refused", reason: "no-hedge", retryAfterMs: 0, detail, decidedBy: "coordinator" };
        }
        const index = this.asked.push(request) - 1;
        const port = this.ports[Math.min(index, this.ports.length - 1)] ?? 0;
        this.heldCount += 1;
        let isHeld = true;
        const place = {
            placeId: `p${index}`,
            endpoint: newTestEndpoint({ endpointId: `e${port}`, port }),
            givenBy: "coordinator",
            expectedWaitMs: 0,
            mayHedge,
            preemptSignal: new AbortController().signal,
            reportSilence: () => undefined,
            reportCrash: () => undefined,
            release: (end: RequestEnd) => {
                if (isHeld) {
                    isHeld = false;
                    this.heldCount -= 1;
                    this.released.push({ port, end });
                }
            },
        };
        return { kind: "placed", place: place as unknown as HeldPlace };
    }
}
