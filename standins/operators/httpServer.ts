import type http from "node:http";

/**
 * @param server - A server.
 * @returns The port on loopback that it listens on.
 */
export function listenOnLoopback(server: http.Server): Promise<number> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            resolve(typeof address === "object" && address !== null ? address.port : 0);
        });
    });
}

/**
 * @param server - A server to close with all its connections.
 */
export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}

/**
 * @param request - A request.
 * @returns Its whole body.
 */
export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * @param response - Where to answer.
 * @param status - HTTP status.
 * @param body - Sent as JSON.
 */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
    const text = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": text.length });
    response.end(text);
}
