import { sleep } from "@heatherline/common";
import type { ListedInstance } from "@heatherline/store";
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import http from "node:http";
import { join } from "node:path";
import { reserveFreePort } from "./freePorts";
import type { PlatformFaults } from "./platform";

const DIST = join(import.meta.dirname, "..", "dist");
const START_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** A child process of a test or demonstration. */
export interface Child {
    readonly process: ChildProcess;
    readonly port: number;
    /** Port for the test's control and statistics requests, if the child has one. */
    readonly controlPort?: number;
}

/** A daemon process. */
export interface DaemonChild extends Child {
    readonly instance: string;
    readonly dataCentre: string;
    readonly peerPort: number;
}

/** Response to {@link callJson}. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly text: string;
    // eslint-disable-next-line @typescript-eslint/no-explicit-any -- tests read responses of many shapes
    readonly json: any;
}

/** Options of {@link callJson}. */
export interface JsonCallOptions {
    readonly method?: string;
    readonly headers?: Record<string, string>;
    /** A string is sent as it is, anything else as JSON. */
    readonly body?: unknown;
    readonly timeoutMs?: number;
    readonly agent?: http.Agent;
}

const DEFAULT_CALL_TIMEOUT_MS = 30_000;

/**
 * Sends one HTTP request and reads the whole response. Rejects if the connection fails or times out.
 *
 * @param port - Port on the loopback interface.
 * @param path - Path with query.
 * @param call - Method (by default GET, or POST with a body), headers, body and timeout.
 * @returns The response; its `json` is undefined if the body isn't JSON.
 */
export function callJson(port: number, path: string, call: JsonCallOptions = {}): Promise<JsonResponse> {
    const { body } = call;
    const text = body === undefined || typeof body === "string" ? body : JSON.stringify(body);
    return new Promise((resolve, reject) => {
        const request = http.request({
            host: "127.0.0.1",
            port,
            path,
            method: call.method ?? (body === undefined ? "GET" : "POST"),
            headers: { "content-type": "application/json", ...call.headers },
            timeout: call.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS,
            agent: call.agent,
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", reject);
            response.on("end", () => {
                const responseText = Buffer.concat(chunks).toString("utf8");
                const { statusCode = 0, headers } = response;
                resolve({ status: statusCode, headers, text: responseText, json: tryParse(responseText) });
            });
        });
        request.on("timeout", () => request.destroy(new Error(`request to ${path} timed out`)));
        request.on("error", reject);
        request.end(text);
    });
}

/** Starts and stops the processes of a small fleet on the loopback interface. */
export class Cluster {
    readonly daemons: DaemonChild[] = [];
    readonly endpoints: Child[] = [];
    platform: Child | undefined;
    /** Whether the user of the cluster, not the cluster itself, publishes the platform's list of instances. */
    isInstanceListManual = false;
    private readonly children: ChildProcess[] = [];

    /**
     * @param logFolder - Folder for the daemons' log files; without it the logs are discarded.
     */
    constructor(private readonly logFolder?: string) {}

    /** Starts the platform's stand-in. */
    async startPlatform(): Promise<Child> {
        this.platform = await this.startStandIn("platform.mjs", ["--listLagMs", "300"]);
        return this.platform;
    }

    /**
     * Starts an endpoint's stand-in.
     *
     * @param options - Command-line flags of the stand-in.
     */
    async startEndpoint(...options: string[]): Promise<Child> {
        const endpoint = await this.startStandIn("endpoint.mjs", options);
        this.endpoints.push(endpoint);
        return endpoint;
    }

    /**
     * Starts a daemon on free ports and waits until its health check succeeds.
     *
     * @param instance - Its name.
     * @param dataCentre - Its data centre.
     * @param flags - Further flags.
     */
    startDaemon(instance: string, dataCentre: string, ...flags: string[]): Promise<DaemonChild> {
        return this.startDaemonAt(instance, dataCentre, {}, flags);
    }

    /**
     * Starts a daemon on given ports and waits until its health check succeeds.
     *
     * @param instance - Its name.
     * @param dataCentre - Its data centre.
     * @param ports - Its ports; an omitted one is a free port.
     * @param flags - Further flags.
     */
    async startDaemonAt(
        instance: string,
        dataCentre: string,
        ports: { readonly port?: number; readonly peerPort?: number; },
        flags: readonly string[],
    ): Promise<DaemonChild> {
        const port = ports.port ?? await reserveFreePort();
        const peerPort = ports.peerPort ?? await reserveFreePort();
        const store = this.platform === undefined ? [] : ["--store-url", `http://127.0.0.1:${this.platform.port}`];
        const child = spawn(process.execPath, [
            join(DIST, "heatherlined.mjs"),
            ...[
                "--instance",
                instance,
                "--data-centre",
                dataCentre,
                "--port",
                String(port),
                "--peer-port",
                String(peerPort),
            ],
            ...["--drain-delay-ms", "200", ...store, ...flags],
        ], { stdio: ["ignore", "pipe", "pipe"] });
        this.children.push(child);
        if (this.logFolder === undefined) {
            child.stdout.resume();
        }
        else {
            child.stdout.pipe(createWriteStream(join(this.logFolder, `${instance}.log`), { flags: "a" }));
        }
        process.stderr.setMaxListeners(0);
        child.stderr.pipe(process.stderr);
        const daemon = { process: child, port, peerPort, instance, dataCentre };
        this.daemons.push(daemon);
        await this.publishInstances();
        await waitFor(
            `the health check of ${instance} to succeed`,
            async () => (await callJson(port, "/healthz")).status === 200,
        );
        return daemon;
    }

    /**
     * Kills a daemon with SIGKILL and publishes the list of instances without it.
     *
     * @param daemon - The daemon.
     */
    async killDaemon(daemon: DaemonChild): Promise<void> {
        daemon.process.kill("SIGKILL");
        this.daemons.splice(this.daemons.indexOf(daemon), 1);
        await this.publishInstances();
    }

    /** Publishes the running daemons as the platform's list of instances, unless the list is manual. */
    async publishInstances(): Promise<void> {
        if (this.isInstanceListManual) {
            return;
        }
        const instances: ListedInstance[] = this.daemons.map(({ instance, dataCentre, peerPort }) => ({
            instanceId: instance,
            dataCentre,
            address: "127.0.0.1",
            peerPort,
            state: "live",
        }));
        await this.setFaults({ instances });
    }

    /**
     * Changes faults or the list of instances of the platform's stand-in.
     *
     * @param faults - The fields to change.
     */
    async setFaults(faults: PlatformFaults): Promise<void> {
        if (this.platform !== undefined) {
            await callJson(this.platform.port, "/control", { body: faults });
        }
    }

    /** Kills all processes that this cluster started, and waits until they have exited. */
    async stop(): Promise<void> {
        const runningChildren = this.children.filter(child => child.exitCode === null && child.signalCode === null);
        const exits = runningChildren.map(child => new Promise(resolve => child.once("exit", resolve)));
        for (const child of runningChildren) {
            child.kill("SIGKILL");
        }
        await Promise.all(exits);
    }

    private async startStandIn(file: string, options: readonly string[]): Promise<Child> {
        const child = spawn(process.execPath, [join(DIST, file), ...options], { stdio: ["ignore", "pipe", "inherit"] });
        this.children.push(child);
        const line = await new Promise<string>((resolve, reject) => {
            child.stdout.once("data", (data: Buffer) => resolve(data.toString("utf8")));
            child.once("exit", code => reject(new Error(`${file} exited with code ${code} before it was ready`)));
        });
        return { process: child, ...JSON.parse(line) as { port: number; controlPort?: number; } };
    }
}

/**
 * Polls a condition until it holds.
 *
 * @param what - Description of the condition for the error message.
 * @param check - The condition; a rejection counts as false.
 * @param timeoutMs - Longest wait in milliseconds.
 * @throws Error if the condition doesn't hold in time.
 */
export async function waitFor(
    what: string,
    check: () => Promise<boolean>,
    timeoutMs = START_TIMEOUT_MS,
): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    for (;;) {
        if (await check().catch(() => false)) {
            return;
        }
        if (performance.now() > deadlineMs) {
            throw new Error(`timed out waiting for ${what}`);
        }
        await sleep(POLL_MS);
    }
}

function tryParse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
