import type { Logger } from "@heatherline/common";
import http from "node:http";
import { listen } from "./ingress";

/** Address that a server listens on. */
interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Serves the load balancer's readiness checks: 200 while this instance accepts new callers, otherwise 503.
 *
 * @param address - Address to listen on.
 * @param path - Path of the readiness check.
 * @param isReady - Whether this instance accepts new callers.
 */
export async function serveReadiness(address: ListenAddress, path: string, isReady: () => boolean): Promise<void> {
    const server = http.createServer((request, response) => {
        request.resume();
        const status = request.url !== path ? 404 : isReady() ? 200 : 503;
        response.writeHead(status, { "Content-Length": 0 }).end();
    });
    await listen(server, address.host, address.port);
}

/**
 * Serves metrics. A failure to listen is only logged, since the instance can serve callers without metrics.
 *
 * @param address - Address to listen on.
 * @param render - Renders the metrics as text.
 * @param logger - Log of the instance.
 */
export async function serveMetrics(
    address: ListenAddress,
    render: () => Promise<string>,
    logger: Logger,
): Promise<void> {
    const server = http.createServer((request, response) => {
        request.resume();
        void render().then(text => response.end(text));
    });
    try {
        await listen(server, address.host, address.port);
    }
    catch (error) {
        logger.error({ event: "no-metrics", port: address.port, error: String(error) });
    }
}
