import http from "node:http";
import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EndpointAgent } from "../src/endpoints/endpointAgent";

const STRAY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: other\r\n\r\nother";
/** Delay of the stray response after the proper one, and of the second request after the first response. */
const STRAY_AFTER_MS = 20;
const PAUSE_MS = 60;

let server: net.Server;
let connections = 0;
let sendsStrayResponse = true;

beforeEach(async () => {
    connections = 0;
    server = net.createServer(socket => {
        connections += 1;
        const name = `own-${connections}`;
        socket.on("error", () => socket.destroy());
        socket.on("data", () => {
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${name.length}\r\nRequest-Id: own\r\n\r\n${name}`);
            if (sendsStrayResponse) {
                setTimeout(() => socket.write(STRAY_RESPONSE), STRAY_AFTER_MS);
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

describe("an idle connection to an endpoint", () => {
    it("is reused for the next request", async () => {
        sendsStrayResponse = false;
        expect(await getTwice(new EndpointAgent())).toEqual(["own-1", "own-1"]);
    });

    it("is closed when it receives data, which belongs to no request", async () => {
        sendsStrayResponse = true;
        expect(await getTwice(new EndpointAgent())).toEqual(["own-1", "own-2"]);
    });
});
