import {
    BodyMemory,
    ClientConnections,
    type ClientLimitCause,
    describeError,
    getClientLimits,
    IdleConnections,
    type Logger,
    newRequestId,
} from "@heatherline/common";
import type { ConfigReplica } from "@heatherline/config";
import { type NotRun, type Pipeline, Refusal } from "@heatherline/serving";
import { readFileSync } from "node:fs";
import http from "node:http";
import type { Socket } from "node:net";
import { totalmem } from "node:os";
import { AdminApi } from "./adminApi";
import { BatchApi } from "./batchApi";
import { sendJson, sendRefusal } from "./http";
import type { DaemonMetrics } from "./metrics";
import { serveOnline } from "./onlineApi";

const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Added to the time that is announced to callers, so that the connection isn't closed while a request is on its way. */
const IDLE_TIMEOUT_MARGIN_MS = 2_000;
const HEADERS_TIMEOUT_MS = 20_000;
const MAX_HEADER_BYTES = 16_384;

/** Parts of the daemon that the server uses. */
export interface CallerServerDependencies {
    readonly pipeline: Pipeline;
    readonly batch: BatchApi;
    readonly admin: AdminApi;
    readonly metrics: DaemonMetrics;
    readonly replica: ConfigReplica;
    readonly maxBodyBytes: number;
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
    /** @returns Time until open requests are cut, in milliseconds; infinite while connections are accepted. */
    readonly getDrainLeftMs: () => number;
    /**
     * Called with each response that bypassed the request pipeline: responses of the batch API, and refusals of online
     * requests before the pipeline.
     */
    readonly onDirectResponse: (response: DirectResponse) => void;
    /** Called for each caller that is refused or disconnected to bound memory and descriptors. */
    readonly onClientLimit?: (cause: ClientLimitCause) => void;
    readonly logger: Logger;
}

/** A response that bypassed the request pipeline. */
export interface DirectResponse {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly status: number;
    /** Code of the refusal; `undefined` if the request was served. */
    readonly code: string | undefined;
    /** Whether the refused request certainly did not run; `undefined` if the request was served. */
    readonly notRun: NotRun | undefined;
}

/** HTTP server for callers and operators. */
export class CallerServer {
    private readonly server: http.Server;
    private readonly idleConnections: IdleConnections;
    private readonly bodyMemory: BodyMemory;
    private openRequests = 0;
    /** The latest response of each connection that is to be closed after it. */
    private readonly closingResponses = new WeakMap<Socket, http.ServerResponse>();

    /**
     * @param dependencies - Parts of the daemon that the server uses.
     */
    constructor(private readonly dependencies: CallerServerDependencies) {
        this.server = http.createServer({
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            headersTimeout: HEADERS_TIMEOUT_MS,
        });
        this.server.requestTimeout = 0;
        this.idleConnections = new IdleConnections(
            this.server,
            KEEP_ALIVE_TIMEOUT_MS + IDLE_TIMEOUT_MARGIN_MS,
            dependencies.isDraining,
        );
        const limits = getClientLimits({ memoryBytes: getMemoryLimitBytes(), maxDescriptors: getDescriptorLimit() });
        const observe = (cause: ClientLimitCause) => dependencies.onClientLimit?.(cause);
        new ClientConnections(this.server, {
            maxConnections: limits.maxCallerConnections,
            maxHeadBytes: limits.maxHeadBytes,
            getMaxHeaderBytes: () => MAX_HEADER_BYTES,
            getHeaderTimeoutMs: () => HEADERS_TIMEOUT_MS,
        }, observe);
        this.bodyMemory = new BodyMemory(limits.maxBodyBytes, undefined, observe);
        this.server.on("request", (request, response) => this.onRequest(request, response));
        this.server.on("clientError", (error, socket) => {
            if (socket.writable) {
                socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            }
        });
    }

    /**
     * @param address - IP address to listen on.
     * @param port - Port; 0 for any free one.
     * @returns The port that the server listens on.
     */
    listen(address: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, address, () => {
                const bound = this.server.address();
                resolve(typeof bound === "object" && bound !== null ? bound.port : port);
            });
        });
    }

    /** Accepts no more connections, and closes the open ones as soon as they are idle. */
    stopAccepting(): Promise<void> {
        return this.idleConnections.stopAccepting();
    }

    /** @returns Number of open connections, idle or not. */
    countOpenConnections(): number {
        return this.idleConnections.openCount;
    }

    /** @returns Number of requests without a complete response. */
    countOpenRequests(): number {
        return this.openRequests;
    }

    private onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        const isProcessed = !this.dependencies.isDraining() || this.closeAfter(request, response);
        if (!isProcessed) {
            request.resume();
            return;
        }
        this.openRequests += 1;
        response.on("close", () => {
            this.openRequests -= 1;
        });
        const requestId = newRequestId();
        this.route(request, response, requestId).catch((error: unknown) => {
            this.dependencies.logger.error({ requestId, error: describeError(error) }, "request failed");
            sendRefusal(response, new Refusal("internal", 500, "internal error", "unknown"), requestId);
        });
    }

    /**
     * Lets the connection be closed after the response, so that the caller reconnects to another instance.
     *
     * @returns Whether the request may be processed: not if a response before it has announced that it is the last.
     */
    private closeAfter({ socket }: http.IncomingMessage, response: http.ServerResponse): boolean {
        const previous = this.closingResponses.get(socket);
        if (previous?.headersSent === true) {
            return false;
        }
        if (previous !== undefined) {
            previous.shouldKeepAlive = true;
        }
        response.shouldKeepAlive = false;
        this.closingResponses.set(socket, response);
        return true;
    }

    private async route(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        requestId: string,
    ): Promise<void> {
        const path = request.url ?? "/";
        if (path.startsWith("/healthz")) {
            sendJson(response, 200, { status: "ok" });
            return;
        }
        if (path.startsWith("/readyz")) {
            const isReady = this.dependencies.isReady();
            sendJson(response, isReady ? 200 : 503, { ready: isReady });
            return;
        }
        if (path === "/metrics") {
            const { registry } = this.dependencies.metrics;
            response.writeHead(200, { "content-type": registry.contentType }).end(await registry.metrics());
            return;
        }
        if (AdminApi.isAdminPath(path)) {
            return this.dependencies.admin.serve(request, response);
        }
        if (BatchApi.isBatchPath(path)) {
            const refusal = await this.dependencies.batch.serve(request, response, requestId);
            this.reportDirectResponse(request, requestId, refusal?.status ?? response.statusCode, refusal);
            return;
        }
        if (path === "/v1/models" && request.method === "GET") {
            this.sendModels(response);
            return;
        }
        const { pipeline, maxBodyBytes, getDrainLeftMs } = this.dependencies;
        const refusal = await serveOnline(request, response, requestId, pipeline, {
            maxBodyBytes,
            bodyMemory: this.bodyMemory,
            getDrainLeftMs,
        });
        if (refusal !== undefined) {
            this.reportDirectResponse(request, requestId, refusal.status, refusal);
        }
    }

    private reportDirectResponse(
        request: http.IncomingMessage,
        requestId: string,
        status: number,
        refusal: Refusal | undefined,
    ): void {
        const { method = "", url = "/" } = request;
        const path = url.split("?")[0] ?? url;
        this.dependencies.onDirectResponse({
            requestId,
            method,
            path,
            status,
            code: refusal?.kind,
            notRun: refusal?.notRun,
        });
    }

    private sendModels(response: http.ServerResponse): void {
        const data = this.dependencies.replica.getServices().flatMap(({ service, models }) =>
            models.map(({ model, versions }) => ({ id: model, object: "model", owned_by: service, versions }))
        );
        sendJson(response, 200, { object: "list", data });
    }
}

/** @returns Memory that the process may use; `undefined` if it isn't limited. */
export function getMemoryLimitBytes(): number | undefined {
    const limitBytes = process.constrainedMemory();
    return limitBytes > 0 && limitBytes < totalmem() ? limitBytes : undefined;
}

/** @returns File descriptors that the process may use; `undefined` if the operating system doesn't tell. */
export function getDescriptorLimit(): number | undefined {
    try {
        const [, limit] = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8")) ?? [];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        // Only Linux has the file.
        return undefined;
    }
}
