import { createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { reserveFreePorts } from "./freePorts";

type ReserveFreePorts = typeof reserveFreePorts;

const RANGES = [{ minPort: 9_000, portCount: 8 }, { minPort: 9_100, portCount: 40 }];

/** A copy of the module that shares no memory with others, as in another process. */
async function importCopy(): Promise<ReserveFreePorts> {
    vi.resetModules();
    return (await import("./freePorts")).reserveFreePorts;
}

// Guards against set-ups that two test processes give the same port, so that a gateway of one of them can't start.
describe("reserved ports", () => {
    const servers: Server[] = [];
    let reserve: ReserveFreePorts;

    beforeEach(async () => {
        reserve = await importCopy();
    });

    afterEach(async () => {
        await Promise.all(servers.splice(0).map(server => new Promise(resolve => server.close(resolve))));
    });

    it.each<{ callers: string; getSecond: () => Promise<ReserveFreePorts>; offset: number; }>([
        { callers: "one process", getSecond: () => Promise.resolve(reserve), offset: 0 },
        { callers: "two processes", getSecond: importCopy, offset: 200 },
    ])("are given once by $callers", async ({ getSecond, offset }) => {
        for (const { minPort, portCount } of RANGES) {
            const range = { minPort: minPort + offset, portCount };
            const second = await getSecond();
            const ports = (await Promise.all([reserve(2, range), second(2, range), reserve(2, range)])).flat();
            expect(new Set(ports).size).toBe(6);
        }
    });

    it("are ones on which nothing listens", async () => {
        const range = { minPort: 9_400, portCount: 4 };
        for (const port of [9_400, 9_402, 9_403]) {
            const server = createServer();
            await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
            servers.push(server);
        }
        expect(await reserve(1, range)).toEqual([9_401]);
    });

    it("can be listened on by the one who asked", async () => {
        const [port = 0] = await reserve(1, { minPort: 9_500, portCount: 100 });
        const server = createServer();
        servers.push(server);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", resolve);
        });
    });

    it("are refused with an error where too few are free", async () => {
        await expect(reserve(4, { minPort: 9_700, portCount: 3 })).rejects.toThrow("only 3 of 4 free ports were found");
    });
});
