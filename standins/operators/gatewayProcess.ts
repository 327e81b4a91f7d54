import { type ChildProcess, spawn } from "node:child_process";
import { existsSync } from "node:fs";

/** Path of the gateway's bundle, relative to the bundled soak (`dist/`) or to this source file. */
export const GATEWAY_PROGRAM = ["../target/gateway.cjs", "../../target/gateway.cjs"]
    .map(path => new URL(path, import.meta.url).pathname)
    .find(path => existsSync(path)) ?? "";
/** Path of the file through which a test cuts a gateway's connections, relative to the same files. */
const CUT_FILE = ["./strandedSockets.cjs", "../standins/operators/strandedSockets.cjs"]
    .map(path => new URL(path, import.meta.url).pathname)
    .find(path => existsSync(path)) ?? "";
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 25;
/** How many of the last lines of a gateway that isn't ready in time its error shows. */
const LINES_IN_ERROR = 40;

/** Ports on which a gateway listens. */
export interface GatewayPorts {
    readonly port: number;
    readonly readyPort: number;
    readonly controlPort: number;
    readonly metricsPort: number;
}

/** What a gateway process is started with. */
export interface GatewayStart {
    /** Path of the bundle that it runs. */
    readonly program: string;
    readonly settingsPath: string;
    /** Address from which it connects to engines. */
    readonly sourceAddress: string;
    /** Lines that it writes to standard output, and chunks that it writes to standard error, are added here. */
    readonly lines: string[];
    /** Options of Node.js. */
    readonly nodeOptions: readonly string[];
    readonly programArguments: readonly string[];
}

/** A gateway process and its ports. */
export interface GatewayProcess extends GatewayPorts {
    readonly name: string;
    child: ChildProcess;
    /** Lines that it wrote to standard output, and chunks that it wrote to standard error. */
    readonly lines: string[];
    readonly settingsPath: string;
    /** Address from which it connects to engines. */
    readonly sourceAddress: string;
    /** Path of the bundle that it runs, or runs after a restart. */
    program: string;
}

/**
 * Starts a gateway process.
 *
 * @param start - What it is started with.
 * @returns The process.
 */
export function startGatewayProcess(start: GatewayStart): ChildProcess {
    const { program, settingsPath, sourceAddress, lines, nodeOptions, programArguments } = start;
    const child = spawn(process.execPath, [...nodeOptions, "--require", CUT_FILE, program, ...programArguments], {
        env: { PATH: process.env.PATH, HEATHERLINE_CONFIG: settingsPath, SOURCE_ADDRESS: sourceAddress },
        stdio: ["ignore", "pipe", "pipe", "ipc"],
    });
    let partialLine = "";
    child.stdout?.on("data", (chunk: Buffer) => {
        const parts = (partialLine + chunk.toString("utf8")).split("\n");
        partialLine = parts.pop() ?? "";
        lines.push(...parts);
    });
    child.stderr?.on("data", (chunk: Buffer) => lines.push(chunk.toString("utf8")));
    return child;
}

/**
 * Waits until a gateway's readiness check succeeds.
 *
 * @param gateway - The gateway.
 * @throws Error if it isn't ready in time.
 */
export async function waitReady({ name, readyPort, child, lines }: GatewayProcess): Promise<void> {
    const endAtMs = Date.now() + READY_TIMEOUT_MS;
    const firstLine = lines.length;
    while (Date.now() < endAtMs) {
        const status = await fetch(`http://127.0.0.1:${readyPort}/-/readyz`).then(
            response => response.status,
            () => 0,
        );
        if (status === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    const { pid, exitCode, signalCode } = child;
    const exit = exitCode ?? signalCode ?? "none";
    const written = lines.slice(firstLine).slice(-LINES_IN_ERROR).join("\n");
    throw new Error(`gateway ${name} was not ready in time: process ${pid}, exit ${exit}, wrote:\n${written}`);
}

/**
 * Waits until a gateway's process has exited.
 *
 * @param gateway - The gateway.
 */
export async function waitForExit({ child }: Pick<GatewayProcess, "child">): Promise<void> {
    if (child.exitCode === null && child.signalCode === null) {
        await new Promise(resolve => child.once("exit", resolve));
    }
}
