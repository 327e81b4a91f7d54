import http from "node:http";
import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
    type ConnectionEvent,
    EndpointAgent,
    type EndpointAgentOptions,
    type EndpointRequestOptions,
    MAX_REQUESTS_PER_CONNECTION,
} from "../src";

const STRAY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: other\r\n\r\nother";
/** Delay of the stray response after the proper one, and of the second request after the first response. */
const STRAY_AFTER_MS = 20;
const PAUSE_MS = 60;
const OPTIONS: EndpointAgentOptions = { idleMs: 2_000, firstReused: "longest-idle" };

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

function get(agent: http.Agent, requestId: string): Promise<string> {
    const { port } = server.address() as net.AddressInfo;
    const options: EndpointRequestOptions = { host: "127.0.0.1", port, agent, requestId };
    return new Promise((resolve, reject) => {
        http.get(options, incoming => {
            let body = "";
            incoming.on("data", chunk => {
                body += String(chunk);
            });
            incoming.on("end", () => resolve(body));
        }).on("error", reject);
    });
}

async function getTwice(agent: http.Agent): Promise<string[]> {
    const first = await get(agent, "first");
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    const second = await get(agent, "second");
    agent.destroy();
    return [first, second];
}

describe("an idle connection to an endpoint", () => {
    it("is reused for the next request", async () => {
        sendsStrayResponse = false;
        expect(await getTwice(new EndpointAgent(OPTIONS))).toEqual(["own-1", "own-1"]);
    });

    it("is closed when it receives data, which belongs to no request", async () => {
        sendsStrayResponse = true;
        expect(await getTwice(new EndpointAgent(OPTIONS))).toEqual(["own-1", "own-2"]);
    });
});

/** Sends requests with these ids one after the other, and returns which connections they got and what happened. */
async function getAll(requestIds: readonly string[], changes: Partial<EndpointAgentOptions> = {}) {
    const events: ConnectionEvent[] = [];
    const agent = new EndpointAgent({ ...OPTIONS, ...changes, onEvent: event => events.push(event) });
    const names: string[] = [];
    for (const requestId of requestIds) {
        names.push(await get(agent, requestId));
        // The connection becomes idle once the response has ended.
        await new Promise(resolve => setImmediate(resolve));
    }
    agent.destroy();
    return { connections: names.map(name => Number(name.split("-")[1])), events };
}

describe("a connection that has carried a request", () => {
    beforeEach(() => {
        sendsStrayResponse = false;
    });

    // Guards against a late copy of the response to the one being taken for the response to the other.
    it.each<{ requestIds: readonly string[]; connections: readonly number[]; events: readonly ConnectionEvent[]; }>([
        { requestIds: ["a", "b", "c"], connections: [1, 1, 1], events: ["opened", "reused", "reused"] },
        { requestIds: ["a", "a"], connections: [1, 2], events: ["opened", "opened-for-id"] },
        { requestIds: ["", ""], connections: [1, 2], events: ["opened", "opened-for-id"] },
        {
            requestIds: ["a", "b", "a", "b", "c"],
            connections: [1, 1, 2, 2, 1],
            events: ["opened", "reused", "opened-for-id", "reused", "reused"],
        },
        {
            requestIds: ["a", "a", "a", "b", "b", "b", "b"],
            connections: [1, 2, 3, 1, 2, 3, 4],
            events: [
                "opened",
                "opened-for-id",
                "opened-for-id",
                "reused",
                "reused",
                "reused",
                "opened-for-id",
            ],
        },
    ])("carries no other with its id: $requestIds", async ({ requestIds, connections, events }) => {
        expect(await getAll(requestIds)).toEqual({ connections, events });
    });

    it.each(
        [
            { firstReused: "longest-idle", connections: [1, 2, 1, 2] },
            { firstReused: "shortest-idle", connections: [1, 2, 2, 2] },
        ] as const,
    )("is used again in the order of idle times: $firstReused", async ({ firstReused, connections }) => {
        expect((await getAll(["a", "a", "b", "c"], { firstReused })).connections).toEqual(connections);
    });

    it("is closed once its history is full, so that it never forgets an id", async () => {
        const ids = Array.from({ length: MAX_REQUESTS_PER_CONNECTION + 1 }, (_, index) => String(index));
        const { connections, events } = await getAll(ids);
        expect(connections.filter(connection => connection === 1)).toHaveLength(MAX_REQUESTS_PER_CONNECTION);
        expect(connections.at(-1)).toBe(2);
        expect(events.slice(-2)).toEqual(["used-up", "opened"]);
    });

    it("isn't used for a request to another address", async () => {
        const events: ConnectionEvent[] = [];
        const agent = new EndpointAgent({ ...OPTIONS, onEvent: event => events.push(event) });
        const { port } = server.address() as net.AddressInfo;
        await get(agent, "a");
        const options: EndpointRequestOptions = { host: "localhost", family: 4, port, agent, requestId: "a" };
        await new Promise(resolve => http.get(options, incoming => incoming.resume().on("end", resolve)));
        expect(events).toEqual(["opened", "opened"]);
        agent.destroy();
    });
});
