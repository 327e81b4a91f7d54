import { describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { EndpointClient } from "../src/endpoints/endpointClient";
import type { WireCodec } from "../src/wireCodec";

// A thrown error ended the process when the request was one of a batch item. What can't be sent to any endpoint must not
// be taken for a fault of the one that it was to be sent to.
describe("a request that can't be sent is reported as not sent", () => {
    it.each([
        { what: "a port above 65535", endpoint: { port: 99_999 }, request: {}, kind: "unreachable" },
        { what: "a port that is a fraction", endpoint: { port: 1.5 }, request: {}, kind: "unreachable" },
        { what: "a negative port", endpoint: { port: -1 }, request: {}, kind: "unreachable" },
        {
            what: "a line feed in a header",
            endpoint: {},
            request: { headers: ["Host", "h", "Target-Instance", "i\nx"] },
        },
        { what: "a letter that no header holds", endpoint: {}, request: { headers: ["Host", "h", "X", "\u4e00"] } },
        { what: "an odd name of a header", endpoint: {}, request: { headers: ["Host", "h", "a b", "x"] } },
        { what: "a space in the path", endpoint: {}, request: { path: "/a b" } },
        { what: "a tab in the path", endpoint: {}, request: { path: "/a\tb" } },
    ].flatMap(entry =>
        [true, false].map(mayReuseConnection => ({ kind: "unsendable", ...entry, mayReuseConnection }))
    ))(
        "$what; reuse of connections: $mayReuseConnection",
        async ({ endpoint, request, kind, mayReuseConnection }) => {
            const sent = await new EndpointClient({} as WireCodec).send({
                requestId: "r",
                endpoint: newTestEndpoint(endpoint),
                method: "POST",
                path: "/a",
                headers: ["Host", "h"],
                body: Buffer.from("body"),
                mayReuseConnection,
                signal: new AbortController().signal,
                ...request,
            });
            expect(sent._unsafeUnwrapErr().kind).toBe(kind);
        },
    );
});
