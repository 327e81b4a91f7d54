import http from "node:http";
import { parseArgs } from "node:util";

/** Floor for comparisons: an endpoint that answers at once, and a hop that does nothing but pass on. */
const { values } = parseArgs({
    options: { mode: { type: "string" }, target: { type: "string" }, tokenMs: { type: "string", default: "10" } },
});
const ANSWER = JSON.stringify({ choices: [{ index: 0, message: { role: "assistant", content: "yes" } }] });
const STREAM_TOKENS = 100;
const agent = new http.Agent({ keepAlive: true });

function answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    let body = "";
    request.on("data", (chunk: Buffer) => {
        body += chunk.toString("latin1");
    });
    request.on("end", () => {
        const headers = { "x-request-id": request.headers["x-request-id"] ?? "" };
        if (!body.includes('"stream":true')) {
            response.writeHead(200, {
                ...headers,
                "content-type": "application/json",
                "content-length": ANSWER.length,
            });
            response.end(ANSWER);
            return;
        }
        response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
        let token = 0;
        const timer = setInterval(() => {
            token += 1;
            response.write(`data: {"n":${token}}\n\n`);
            if (token >= STREAM_TOKENS) {
                clearInterval(timer);
                response.end("data: [DONE]\n\n");
            }
        }, Number(values.tokenMs));
    });
}

function passOn(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { method, url, headers } = request;
    const outgoing = http.request(
        { host: "127.0.0.1", port: Number(values.target), agent, method, path: url, headers },
        incoming => {
            response.writeHead(incoming.statusCode ?? 502, incoming.headers);
            incoming.pipe(response);
        },
    );
    request.pipe(outgoing);
}

const server = http.createServer(values.mode === "hop" ? passOn : answer);
server.keepAliveTimeout = 60_000;
server.listen(0, "127.0.0.1", () => {
    const address = server.address();
    process.stdout.write(`${JSON.stringify({ port: typeof address === "object" ? address?.port : 0 })}\n`);
});
