import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { OnlineHarness, ScriptedEndpoint, SlowConnection } from "./onlineHarness";

const BODY_BYTES = 300_000;
const BUDGET_BYTES = 1_000_000;
const REQUESTS = 8;
const WAIT = { timeout: 5_000, interval: 5 };
const FAILURE = `HTTP/1.1 500 Odd\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${"f".repeat(BODY_BYTES)}`;

/** Answers each request with a failure at once. */
let failing: ScriptedEndpoint;
/** Answers when told to. */
let slow: ScriptedEndpoint;

beforeEach(async () => {
    failing = new ScriptedEndpoint(socket => void socket.write(FAILURE));
    slow = new ScriptedEndpoint(() => undefined);
    await failing.start();
    await slow.start();
});

afterEach(() => {
    failing.stop();
    slow.stop();
});

function newHarness(ports: readonly number[]): OnlineHarness {
    const route = { kind: "idempotent", maxAttempts: 2 } as const;
    return new OnlineHarness(ports, { route, budgetBytes: BUDGET_BYTES });
}

// Fails if large error bodies of many requests, kept while these are sent again, take memory that nothing bounds.
describe("the error response of an endpoint", () => {
    it("is kept while the request is sent again only as far as memory has room for it", async () => {
        const harness = newHarness([...Array.from({ length: REQUESTS }, () => failing.port), slow.port]);
        const connections = Array.from({ length: REQUESTS }, () => new SlowConnection());
        connections.forEach(connection => connection.readOn());
        const handled = connections.map(connection => harness.handle(connection));
        await vi.waitFor(() => expect(slow.sockets).toHaveLength(REQUESTS), WAIT);
        expect(harness.budget.usedBytes).toBe(3 * BODY_BYTES);
        slow.sockets.forEach(socket => socket.destroy());
        await Promise.all(handled);
        expect(connections.filter(({ received }) => received.length === BODY_BYTES)).toHaveLength(3);
        expect(harness.requestLines.filter(({ status }) => status === 502)).toHaveLength(REQUESTS - 3);
        expect(harness.budget.usedBytes).toBe(0);
    });

    it("is not kept any more if the request is answered after all", async () => {
        const harness = newHarness([failing.port, slow.port]);
        const connection = new SlowConnection();
        connection.readOn();
        const handled = harness.handle(connection);
        await vi.waitFor(() => expect(slow.sockets).toHaveLength(1), WAIT);
        expect(harness.budget.usedBytes).toBe(BODY_BYTES);
        slow.sockets[0]?.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        await handled;
        expect(connection.received).toBe("ok");
        expect(harness.budget.usedBytes).toBe(0);
    });

    it("counts towards the memory for slow callers until it is read, and is sent whole", async () => {
        const harness = newHarness([failing.port]);
        const connection = new SlowConnection();
        const handled = harness.handle(connection);
        await vi.waitFor(() => expect(harness.budget.callerBytes).toBe(BODY_BYTES), WAIT);
        connection.readOn();
        await handled;
        expect(connection.received).toHaveLength(BODY_BYTES);
        expect(harness.requestLines).toMatchObject([{ outcome: "failed", status: 500 }]);
        expect(harness.budget.usedBytes).toBe(0);
    });
});
