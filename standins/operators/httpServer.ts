import { sleep } from "@heatherline/common";
import type http from "node:http";

const MS_PER_S = 1_000;

/**
 * Starts a server on a free port of the loopback interface.
 *
 * @param server - The server.
 * @returns Its port.
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
 * Closes a server and all its connections.
 *
 * @param server - The server.
 */
export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}

/**
 * @param request - A request.
 * @param bytesPerS - How many bytes are read in a second; as many as arrive if left out.
 * @returns Its complete body.
 */
export async function readBody(request: http.IncomingMessage, bytesPerS = Infinity): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
        if (bytesPerS !== Infinity) {
            await sleep(chunk.length * MS_PER_S / bytesPerS);
        }
    }
    return Buffer.concat(chunks);
}

/**
 * Sends a JSON response.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param body - Value to serialise.
 */
export function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
    const text = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": text.length });
    response.end(text);
}
