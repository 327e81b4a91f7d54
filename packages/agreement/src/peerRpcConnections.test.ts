import { sleep } from "@heatherline/common";
import net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RpcPeerServer, RpcPeerTransport } from "./peerRpc";

const HOST = "127.0.0.1";
const CALL_TIMEOUT_MS = 40;
const LATE_REPLY_AFTER_MS = 80;

let server: RpcPeerServer;
let transport: RpcPeerTransport;
/** Forwards to the server and counts the connections that are opened to it. */
let counter: net.Server;
let port = 0;
let connections = 0;

beforeEach(async () => {
    connections = 0;
    server = new RpcPeerServer("");
    transport = new RpcPeerTransport(() => undefined, "", ["heartbeat"]);
    const serverPort = await server.listen(HOST, 0);
    counter = net.createServer(client => {
        connections += 1;
        const upstream = net.connect(serverPort, HOST);
        client.on("error", () => undefined).on("close", () => upstream.destroy());
        upstream.on("error", () => undefined).on("close", () => client.destroy());
        client.pipe(upstream).pipe(client);
    });
    await new Promise<void>(resolve => counter.listen(0, HOST, resolve));
    port = (counter.address() as net.AddressInfo).port;
});

afterEach(() => {
    server.close();
    counter.close();
});

describe("calls to a peer that replies late", () => {
    it.each([{ calls: 2 }, { calls: 6 }])("open one connection for $calls calls that time out", async ({ calls }) => {
        server.addMethod("slow", async () => {
            await sleep(LATE_REPLY_AFTER_MS);
            return "late";
        });
        server.addMethod("quick", () => "reply");
        for (let call = 0; call < calls; call++) {
            const late = await transport.callAddress(HOST, port, "slow", {}, CALL_TIMEOUT_MS);
            expect(late._unsafeUnwrapErr().kind).toBe("lost");
            await sleep(2 * LATE_REPLY_AFTER_MS);
        }
        const reply = await transport.callAddress(HOST, port, "quick", {}, 1_000);
        expect(reply._unsafeUnwrap()).toBe("reply");
        expect(connections).toBe(1);
    });
});

describe("the caller of a peer", () => {
    it.each([
        { reply: "late", replyAfterMs: LATE_REPLY_AFTER_MS, lateReplies: 1 },
        { reply: "in time", replyAfterMs: 0, lateReplies: 0 },
    ])("is told once that a reply has come late, if it is $reply", async ({ replyAfterMs, lateReplies }) => {
        server.addMethod("call", () => sleep(replyAfterMs));
        let calls = 0;
        await transport.callAddress(HOST, port, "call", {}, CALL_TIMEOUT_MS, () => calls += 1);
        await sleep(2 * LATE_REPLY_AFTER_MS);
        expect(calls).toBe(lateReplies);
    });
});

describe("heartbeats to a peer", () => {
    it.each([
        { others: "that are under way", timeoutMs: 2_000 },
        { others: "that have timed out", timeoutMs: CALL_TIMEOUT_MS },
    ])("wait for no other calls, $others", async ({ timeoutMs }) => {
        server.addMethod("hang", () => sleep(1_000));
        server.addMethod("heartbeat", () => "reply");
        const hangingCalls = Array.from(
            { length: 100 },
            () => transport.callAddress(HOST, port, "hang", {}, timeoutMs),
        );
        await sleep(2 * CALL_TIMEOUT_MS);
        const reply = await transport.callAddress(HOST, port, "heartbeat", {}, 300);
        expect(reply._unsafeUnwrap()).toBe("reply");
        server.close();
        await Promise.all(hangingCalls);
    });
});
