import { ClientConnections, type ClientLimitObserver, type ClientLimits, type Logger } from "@heatherline/common";
import http from "node:http";
import { listen } from "./ingress";

/** Address that a server listens on. */
interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

const MAX_HEADER_BYTES = 16_384;
const HEADER_TIMEOUT_MS = 3_000;

/** What bounds the clients of a listener. */
export interface ProbeLimits {
    readonly limits: ClientLimits;
    readonly observe: ClientLimitObserver;
}

/**
 * Serves the load balancer's readiness checks: 200 while this instance accepts new callers, otherwise 503.
 *
 * @param address - Address to listen on.
 * @param path - Path of the readiness check.
 * @param isReady - Whether this instance accepts new callers.
 * @param probeLimits - What bounds the clients.
 */
export async function serveReadiness(
    address: ListenAddress,
    path: string,
    isReady: () => boolean,
    probeLimits: ProbeLimits,
): Promise<void> {
    const server = http.createServer((request, response) => {
        request.resume();
        const status = request.url !== path ? 404 : isReady() ? 200 : 503;
        response.writeHead(status, { "Content-Length": 0 }).end();
    });
    bound(server, probeLimits);
    await listen(server, address.host, address.port);
}

/** What the metrics listener serves. */
export interface MetricsContent {
    /** Renders the metrics as text. */
    readonly render: () => Promise<string>;
    /** Answers a query of where a request would be sent. */
    readonly answerWhere: (query: string) => Promise<{ readonly status: number; readonly body: object; }>;
}

/**
 * Serves metrics, and under `/where` explanations of decisions. A failure to listen is only logged, since the instance can
 * serve callers without metrics.
 *
 * @param address - Address to listen on.
 * @param content - What is served.
 * @param logger - Log of the instance.
 * @param probeLimits - What bounds the clients.
 */
export async function serveMetrics(
    address: ListenAddress,
    { render, answerWhere }: MetricsContent,
    logger: Logger,
    probeLimits: ProbeLimits,
): Promise<void> {
    const server = http.createServer((request, response) => {
        request.resume();
        if (getUnsentBytes() > probeLimits.limits.maxUnsentBytes) {
            probeLimits.observe("unsent-memory");
            response.writeHead(503, { "Content-Length": 0 }).end();
            return;
        }
        openResponses.add(response);
        response.once("close", () => openResponses.delete(response));
        const [path, query = ""] = splitOnce(request.url ?? "", "?");
        if (path === "/where") {
            void answerWhere(query).catch((error: unknown) => {
                logger.error({ event: "where-failed", error: String(error) });
                return { status: 500, body: { error: "internal", message: "the answer failed; see the log" } };
            }).then(({ status, body }) => {
                response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
            });
            return;
        }
        void render().then(text => response.end(text));
    });
    const openResponses = new Set<http.ServerResponse>();
    const getUnsentBytes = () => [...openResponses].reduce((sum, { writableLength }) => sum + writableLength, 0);
    bound(server, probeLimits);
    try {
        await listen(server, address.host, address.port);
    }
    catch (error) {
        logger.error({ event: "no-metrics", port: address.port, error: String(error) });
    }
}

function splitOnce(text: string, separator: string): string[] {
    const position = text.indexOf(separator);
    return position < 0 ? [text] : [text.slice(0, position), text.slice(position + separator.length)];
}

function bound(server: http.Server, { limits, observe }: ProbeLimits): void {
    new ClientConnections(server, {
        maxConnections: limits.maxProbeConnections,
        maxHeadBytes: limits.maxHeadBytes,
        getMaxHeaderBytes: () => MAX_HEADER_BYTES,
        getHeaderTimeoutMs: () => HEADER_TIMEOUT_MS,
    }, observe);
}
