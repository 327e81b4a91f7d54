import { afterEach, describe, expect, it } from "vitest";
import type { CallerResponse } from "../src/callers/callerResponse";
import { IngressHarness, pause } from "./ingressHarness";

const WAIT_MS = 200;

let harness: IngressHarness;

afterEach(() => harness.ingress.close());

describe("a request whose connection closes before its response is complete", () => {
    const cases: {
        cutBy: string;
        answer: (response: CallerResponse) => void;
        cut: (connection: Awaited<ReturnType<IngressHarness["connect"]>>) => void;
    }[] = [
        { cutBy: "handler", answer: response => response.abort(), cut: () => undefined },
        { cutBy: "caller", answer: () => undefined, cut: ({ socket }) => socket.destroy() },
        { cutBy: "caller", answer: () => undefined, cut: ({ socket }) => socket.resetAndDestroy() },
        { cutBy: "connection", answer: () => undefined, cut: () => harness.ingress.close() },
    ];

    it.each(cases)("is logged with who cut it: $cutBy", async ({ cutBy, answer, cut }) => {
        harness = new IngressHarness((_, response) => answer(response));
        await harness.listen();
        const connection = await harness.connect();
        harness.setLimits({ idleTimeoutMs: 20_000 });
        connection.send("/a");
        await pause(WAIT_MS);
        cut(connection);
        await pause(WAIT_MS);
        const lines = harness.logged.filter(({ event }) => event === "request-cut");
        expect(lines).toEqual([expect.objectContaining({ requestId: "r1", cutBy, hasStarted: false })]);
        expect(lines[0]?.sinceConfigMs).toBeLessThan(10_000);
    });

    it("is not logged if the response is complete", async () => {
        harness = new IngressHarness((_, response) => response.sendLocal(200, "whole", "text/plain"));
        await harness.listen();
        const connection = await harness.connect();
        connection.send("/a");
        await pause(WAIT_MS);
        connection.socket.destroy();
        await pause(WAIT_MS);
        expect(harness.logged.filter(({ event }) => event === "request-cut")).toEqual([]);
    });
});
