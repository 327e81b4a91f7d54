import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointClient, type EndpointRequest } from "../src/endpoints/endpointClient";
import type { WireCodec } from "../src/wireCodec";
import { IngressHarness, pause } from "./ingressHarness";

const SHORT_MS = 100;
const SEND_TIMEOUT_MS = 2_000;

const wire = {
    parseResponseHead: () => ({
        requestId: undefined,
        isSigned: true,
        isNotExecuted: false,
        requestLimit: { kind: "none" },
    }),
} as unknown as WireCodec;

describe("an endpoint's response with a status that no response may have", () => {
    let server: net.Server;
    let head: string;

    beforeEach(async () => {
        server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(head));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => server.close());

    it.each([
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
    ])("ends the attempt: %j", async text => {
        head = text;
        const { port } = server.address() as net.AddressInfo;
        const sent = new EndpointClient(wire).send({
            requestId: "r1",
            endpoint: newTestEndpoint({ port }),
            method: "POST",
            path: "/a",
            headers: ["Host", "h", "Content-Length", "0"],
            body: Buffer.alloc(0),
            mayReuseConnection: false,
            signal: new AbortController().signal,
        } as unknown as EndpointRequest);
        const result = await Promise.race([sent, pause(SEND_TIMEOUT_MS)]);
        expect(result?.isErr()).toBe(true);
    });
});

describe("a response that can't be written", () => {
    it.each([
        { what: "a status that is none", status: 99, rawHeaders: [] },
        { what: "a header with a line break", status: 200, rawHeaders: ["X-A", "a\nb"] },
    ])("leaves no request without an answer: $what", async ({ status, rawHeaders }) => {
        const harness = new IngressHarness((path, response) => {
            if (path === "/stream") {
                response.startStream(status, rawHeaders);
            }
            response.sendFull(status, rawHeaders, Buffer.from("ok"));
        });
        await harness.listen();
        for (const path of ["/full", "/stream"]) {
            const caller = await harness.connect();
            caller.send(path);
            await pause(SHORT_MS);
            expect(caller.statuses).toEqual([502]);
        }
        harness.ingress.close();
    });
});
