import { describe, expect, it } from "vitest";
import { type EndpointSlot, HttpDispatcher, newExchange, type ResponseSink } from "../src";

// A thrown error ended the process when the request was one of a batch item.
describe("a request that can't be sent is reported as not sent", () => {
    it.each([
        { what: "a space in the path", path: "/a b", port: 1, headers: {} },
        { what: "a letter that no path holds", path: "/\u4e00", port: 1, headers: {} },
        { what: "a port above 65535", path: "/", port: 99_999, headers: {} },
        { what: "a line feed in a header", path: "/", port: 1, headers: { "x-a": "a\nb" } },
    ])("$what", async ({ path, port, headers }) => {
        const exchange = newExchange({
            requestId: "r1",
            workClass: "batch",
            method: "POST",
            path,
            headers,
            body: Buffer.alloc(0),
            sink: {} as ResponseSink,
            abortController: new AbortController(),
            deadlineAtMs: Infinity,
        });
        exchange.upstreamPath = path;
        const slot = { endpoint: "e", spec: { address: "127.0.0.1", port } } as unknown as EndpointSlot;
        const sent = await new HttpDispatcher({} as never).dispatch(exchange, slot);
        expect(sent._unsafeUnwrapErr()).toMatchObject({ kind: "refused", isSent: false });
    });
});
