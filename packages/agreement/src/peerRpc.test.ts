import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RpcPeerServer, RpcPeerTransport } from "./peerRpc";

const NESTING_LEVELS = 100_000;
const TIMEOUT_MS = 2_000;

let server: RpcPeerServer;
let port = 0;
const transport = new RpcPeerTransport(() => undefined, "");

function newNested(): unknown {
    return JSON.parse("[".repeat(NESTING_LEVELS) + "]".repeat(NESTING_LEVELS));
}

beforeEach(async () => {
    server = new RpcPeerServer("");
    server.addMethod("nested", newNested);
    server.addMethod("plain", () => "reply");
    port = await server.listen("127.0.0.1", 0);
});

afterEach(() => server.close());

// The error ended the process that was to reply.
describe("what is nested too deeply for JSON", () => {
    it.each([
        { what: "in a reply", method: "nested", getParams: () => ({}) },
        { what: "in a call", method: "plain", getParams: () => ({ value: newNested() }) },
    ])("$what fails the call; the next one is answered", async ({ method, getParams }) => {
        const failed = await transport.callAddress("127.0.0.1", port, method, getParams(), TIMEOUT_MS);
        expect(failed._unsafeUnwrapErr().kind).toBe("refused");
        const next = await transport.callAddress("127.0.0.1", port, "plain", {}, TIMEOUT_MS);
        expect(next._unsafeUnwrap()).toBe("reply");
    });
});
