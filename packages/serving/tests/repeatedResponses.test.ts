import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { AnswerRepeater } from "../../../standins/operators/answerRepeater";
import { type EndpointSlot, HttpDispatcher } from "../src";
import { newResolvedExchange } from "./testExchange";

/** The connection is idle then, and can be used for the next request. */
const IDLE_MS = 20;

let server: http.Server;
let statuses: number[];

beforeEach(async () => {
    server = http.createServer();
    new AnswerRepeater(server).begin(1);
    server.on("request", (request, response) => {
        const status = statuses.shift() ?? 200;
        response.writeHead(status, { "X-Request-Id": request.headers["x-request-id"] });
        response.end();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
    server.closeAllConnections();
    server.close();
});

describe("a retry at an endpoint that sends its response to the first attempt once more", () => {
    // Guards against a retry that is taken as refused while the endpoint runs it.
    it.each(
        [
            { workClass: "online", status: 503 },
            { workClass: "batch", status: 503 },
            { workClass: "online", status: 429 },
        ] as const,
    )("gets its own response: $workClass, $status", async ({ workClass, status }) => {
        statuses = [status];
        const dispatcher = new HttpDispatcher({ recordResponse: () => undefined } as never);
        const exchange = newResolvedExchange(workClass, "");
        exchange.upstreamPath = "/";
        const { port } = server.address() as AddressInfo;
        const slot = { endpoint: "e", spec: { address: "127.0.0.1", port } } as unknown as EndpointSlot;
        const first = await dispatcher.dispatch(exchange, slot);
        expect(first._unsafeUnwrapErr().kind).toBe("overloaded");
        await new Promise(resolve => setTimeout(resolve, IDLE_MS));
        const second = await dispatcher.dispatch(exchange, slot);
        expect(second.isOk() ? second.value.status : second.error.kind).toBe(200);
    });
});
