import { type ChildProcess, spawn } from "node:child_process";
import net from "node:net";
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { call, eventually, newRequestId } from "../../platform/tests/callerClient";
import { OperatorsFleet, STRAND_MODES } from "./fleet";
import type { GatewayProcess } from "./gatewayProcess";

const CUT_FILE = new URL("strandedSockets.cjs", import.meta.url).pathname;
const CUT_MS = 300;
/** Prints what its connections do: one that it keeps and numbers its messages on, and one new one after the other. */
const PROGRAM = `
const net = require("node:net");
const port = Number(process.argv[1]);
const print = text => process.stdout.write(text + "\\n");
const kept = net.connect({ host: "127.0.0.1", port });
let count = 0;
const timer = setInterval(() => kept.write("<" + count++ + ">"), 10);
kept.on("data", () => print("received"));
kept.on("error", ({ code }) => print("kept " + code));
kept.on("close", () => clearInterval(timer));
setInterval(() => {
    const socket = net.connect(port, "127.0.0.1", () => {
        print("established");
        socket.destroy();
    });
    socket.on("error", ({ code }) => print("new " + code));
    process.nextTick(() => socket.connecting || print("failed before its user has it"));
    setTimeout(() => socket.destroy(), 100);
}, 20);
`;

describe("the file that cuts connections", () => {
    let server: net.Server;
    let child: ChildProcess;
    let port = 0;
    let printed: string[] = [];
    /** What arrived on the first connection. */
    let arrived = "";
    let errors: string[] = [];

    beforeEach(async () => {
        [printed, arrived, errors] = [[], "", []];
        let connections = 0;
        server = net.createServer(socket => {
            connections += 1;
            const isKept = connections === 1;
            socket.on("error", error => errors.push((error as NodeJS.ErrnoException).code ?? ""));
            socket.on("data", chunk => {
                arrived += isKept ? chunk.toString("utf8") : "";
                socket.write("x");
            });
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        ({ port } = server.address() as net.AddressInfo);
        child = spawn(process.execPath, ["--require", CUT_FILE, "-e", PROGRAM, String(port)], {
            stdio: ["ignore", "pipe", "inherit", "ipc"],
        });
        child.stdout?.on("data", (chunk: Buffer) => printed.push(...chunk.toString("utf8").trim().split("\n")));
        await eventually("it is connected", () => printed.includes("established") && printed.includes("received"));
    });

    afterEach(async () => {
        child.kill("SIGKILL");
        await new Promise(resolve => server.close(resolve));
    });

    async function applyCut(mode: string, ports: readonly number[]): Promise<void> {
        child.send({ mode, ports, number: 1 });
        await new Promise(resolve => child.once("message", resolve));
        // What was printed and sent before.
        await new Promise(resolve => setTimeout(resolve, 30));
    }

    async function getPrintedDuring(durationMs: number): Promise<string[]> {
        printed = [];
        await new Promise(resolve => setTimeout(resolve, durationMs));
        return [...new Set(printed)].sort();
    }

    it.each([
        { mode: "hang", seen: [], isKept: false },
        { mode: "reset", seen: [], isKept: false },
        { mode: "refuse", seen: ["new ECONNREFUSED", "received"], isKept: true },
    ])("$mode: the process sees $seen", async ({ mode, seen, isKept }) => {
        await applyCut(mode, [port]);
        const arrivedBefore = arrived;
        expect(await getPrintedDuring(CUT_MS)).toEqual(seen);
        expect(arrived !== arrivedBefore).toBe(isKept);
        expect(errors).toEqual(mode === "reset" ? ["ECONNRESET"] : []);
        await applyCut("none", []);
        const isGone = mode === "reset";
        expect(await getPrintedDuring(CUT_MS)).toEqual(isGone ? ["established"] : ["established", "received"]);
        const numbers = [...arrived.matchAll(/<(\d+)>/g)].map(([, number]) => Number(number));
        expect(numbers).toEqual(numbers.map((_, index) => index));
    });

    it("leaves other ports alone", async () => {
        await applyCut("hang", [port + 1]);
        expect(await getPrintedDuring(CUT_MS)).toEqual(["established", "received"]);
    });
});

describe("a gateway that is stranded", () => {
    const fleet = new OperatorsFleet();
    let east: GatewayProcess;

    beforeAll(async () => {
        ({ east } = await fleet.startPair());
    });

    afterAll(() => fleet.stop());

    it.each(STRAND_MODES)("by %s reaches the store, and engines again when it is healed", async mode => {
        await fleet.strand(east, mode);
        fleet.writeConfig({ routes: [] });
        const getStatus = async () =>
            (await call(east.port, { path: "/lookup/a", headers: { Deadline: "500" } })).status;
        await eventually("the routes are gone", async () => await getStatus() === 404);
        fleet.writeConfig();
        await eventually("the routes are back", async () => await getStatus() !== 404);
        await fleet.heal(east);
        await eventually("requests are served", async () => await getStatus() === 200);
    });

    it("exits as ever, and is served again after a restart and its healing", async () => {
        await fleet.strand(east, "refuse");
        east.child.kill("SIGTERM");
        await eventually("the process exits", () => east.child.exitCode !== null);
        expect(east.child.exitCode).toBe(0);
        await fleet.restart(east);
        await fleet.heal(east);
        const requestId = newRequestId();
        await eventually(
            "requests are served",
            async () => (await call(east.port, { path: "/lookup/a", requestId })).status === 200,
        );
        const runs = fleet.engines.flatMap(({ seen }) => seen).filter(run => run.requestId === requestId);
        expect(runs.at(-1)?.sourceAddress).toBe(east.sourceAddress);
    });
});

describe("an engine that is silent for a while", () => {
    it("answers what it received meanwhile after that", async () => {
        const fleet = new OperatorsFleet();
        await fleet.start();
        const engine = await fleet.addEngine({ service: "plain", dataCentre: "east" });
        engine.silence(CUT_MS);
        const reply = await call(engine.port, { path: "/a" });
        expect(reply.status).toBe(200);
        expect(reply.durationMs).toBeGreaterThanOrEqual(CUT_MS - 20);
        expect(engine.seen).toHaveLength(1);
        await fleet.stop();
    });
});
