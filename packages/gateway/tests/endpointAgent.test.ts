import http from "node:http";
import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EndpointAgent } from "../src/endpointAgent";

const STRAY_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: other\r\n\r\nother";
/** When the stray bytes come after the answer, and when the next request goes out. */
const STRAY_AFTER_MS = 20;
const PAUSE_MS = 60;

let server: net.Server;
let connections = 0;
let isStraying = true;

beforeEach(async () => {
    connections = 0;
    server = net.createServer(socket => {
        connections += 1;
        const name = `own-${connections}`;
        socket.on("error", () => socket.destroy());
        socket.on("data", () => {
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${name.length}\r\nRequest-Id: own\r\n\r\n${name}`);
            if (isStraying) {
                setTimeout(() => socket.write(STRAY_ANSWER), STRAY_AFTER_MS);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => new Promise<void>(resolve => server.close(() => resolve())));

function get(agent: http.Agent): Promise<string> {
    const { port } = server.address() as net.AddressInfo;
    return new Promise((resolve, reject) => {
        http.get({ host: "127.0.0.1", port, agent }, incoming => {
            let body = "";
            incoming.on("data", chunk => {
                body += String(chunk);
            });
            incoming.on("end", () => resolve(body));
        }).on("error", reject);
    });
}

async function getTwice(agent: http.Agent): Promise<string[]> {
    const first = await get(agent);
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    const second = await get(agent);
    agent.destroy();
    return [first, second];
}

describe("connections to endpoints that are kept", () => {
    it("are used again", async () => {
        isStraying = false;
        expect(await getTwice(new EndpointAgent())).toEqual(["own-1", "own-1"]);
    });

    it("are closed when bytes come while they are idle, which belong to no request", async () => {
        isStraying = true;
        expect(await getTwice(new EndpointAgent())).toEqual(["own-1", "own-2"]);
    });
});
