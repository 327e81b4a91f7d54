// Starts a small deployment on loopback: the project's stand-ins of the store and of the servers in this process, and
// gateways as separate processes with the command of the deploy file. Writes down what was sent, answered and run.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const { Engine } = await import(join(ROOT, "dist", "review-2", "engine.mjs"));
const { ObjectApi } = await import(join(ROOT, "dist", "review-2", "objectApi.mjs"));

export const HOST = "api.example";
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
const READY_MS = 15_000;

export const hasTrouble = process.env.TROUBLE !== "0";

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}

export function newId() {
    return randomBytes(8).toString("hex");
}

const MAX_PAGE_BYTES = 1_000_000;
const MAX_PAGE_ITEMS = 500;

/** The project's stand-in of the store, with lists of about 500 objects or 1 MB at most, as the pages say. */
class PagedObjectApi extends ObjectApi {
    async get(url, kind, name, response) {
        if (name !== undefined || url.searchParams.has("watch")) {
            return super.get(url, kind, name, response);
        }
        const after = url.searchParams.get("after") ?? "";
        const names = this.getNames(kind).sort().filter(other => other > after);
        const items = [];
        let sizeBytes = 0;
        for (const other of names.slice(0, MAX_PAGE_ITEMS)) {
            const item = this.read(kind, other);
            sizeBytes += JSON.stringify(item).length;
            if (items.length > 0 && sizeBytes > MAX_PAGE_BYTES) {
                break;
            }
            items.push(item);
        }
        this.send(response, 200, { items, hasMore: names.length > items.length, storeRevision: this.revision });
    }
}

/** Lines of record.txt, with the time since the start. */
export class Record {
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.startedAtMs = Date.now();
        writeFileSync(this.path, "");
        this.write(`TROUBLE=${hasTrouble ? 1 : 0}`);
    }

    write(line, atMs = Date.now()) {
        appendFileSync(this.path, `${((atMs - this.startedAtMs) / 1_000).toFixed(3)} ${line}\n`);
    }
}

/** The deployment; all zones are in one geo unless `regions` says otherwise. */
export class Deployment {
    constructor(record, { regions = { east: "middle", west: "middle" }, contracts = [] } = {}) {
        this.record = record;
        this.regions = regions;
        this.contracts = contracts;
        this.store = new PagedObjectApi();
        this.engines = [];
        this.gateways = [];
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.configVersion = 0;
        this.isStopped = false;
        this.runLine = /^run = "(.*gateway.*)"$/m.exec(readFileSync(join(ROOT, "deploy", "system.toml"), "utf8"))[1];
    }

    async start() {
        this.storePort = await this.store.listen();
    }

    writeConfig(config) {
        this.configVersion += 3;
        this.store.write("config", "main", { version: this.configVersion, ...config });
        this.record.write(`operator: config ${this.configVersion} acknowledged`);
    }

    async addEngine(options) {
        const engine = new Engine(`i-${this.engines.length + 1}`, options);
        await engine.start();
        this.engines.push(engine);
        this.store.write("servers", engine.id, engine.getRegistration());
        this.record.write(`server ${engine.id} of ${options.service} registered in ${options.dataCentre}`);
        return engine;
    }

    async addGateway(name, zone, { storePort = this.storePort, cpuShare = 0.675 } = {}) {
        const [front, ready, control, metrics] = await findFreePorts(4);
        const gateway = { name, zone, front, ready, control, metrics, storePort, cpuShare, lines: [] };
        this.gateways.push(gateway);
        gateway.settingsPath = join(this.folder, `${name}.toml`);
        writeFileSync(gateway.settingsPath, this.newSettings(gateway, true));
        this.spawn(gateway);
        await this.waitReady(gateway);
        return gateway;
    }

    spawn(gateway) {
        const [program, ...words] = this.runLine.split(" ");
        const { PATH, HOME } = process.env;
        gateway.child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: ROOT,
            env: { PATH, HOME, HEATHERLINE_CONFIG: gateway.settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        let rest = "";
        gateway.child.stdout.on("data", chunk => {
            const parts = (rest + chunk.toString("utf8")).split("\n");
            rest = parts.pop();
            gateway.lines.push(...parts);
        });
        gateway.child.stderr.on("data", chunk => gateway.lines.push(chunk.toString("utf8")));
    }

    newSettings({ name, zone, front, ready, control, metrics, storePort, cpuShare }, isFirstStart) {
        const seeds = this.gateways.slice(0, 3).map(other => `"127.0.0.1:${other.control}"`).join(",");
        const zones = Object.entries(this.regions).map(([key, region]) => `${key} = "${region}"`).join("\n");
        return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "${this.regions[zone]}"
portRange = [${metrics},${metrics}]
seeds = [${seeds}]
bootstrap = ${isFirstStart}
lossEligible = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ${JSON.stringify(this.contracts)}
[zones]
${zones}
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cpuShare = ${cpuShare}
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4.4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
coldOver = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
[platform]
address = "127.0.0.1:${storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
    }

    async waitReady({ name, ready }) {
        const endAtMs = Date.now() + READY_MS;
        while (Date.now() < endAtMs) {
            const reply = await call(ready, { method: "GET", path: "/-/readyz", headers: {} });
            if (reply.status === 200) {
                return;
            }
            await sleep(25);
        }
        throw new Error(`${name} was not ready in time`);
    }

    /** The gateway that wrote to the store last under the condition of the lease, as an operator sees it there. */
    getLeader() {
        const holder = this.store.read("heatherline-leases", "coordinator")?.spec?.holder?.instanceId;
        return this.gateways.find(({ name }) => name === holder);
    }

    async waitForLeader() {
        const endAtMs = Date.now() + READY_MS;
        while (this.getLeader() === undefined && Date.now() < endAtMs) {
            await sleep(50);
        }
        return this.getLeader();
    }

    signal(gateway, name) {
        this.record.write(`disruption: ${name} to ${gateway.name}`);
        gateway.child.kill(name);
    }

    /** Starts a process that has ended again, as the platform does after a short delay. */
    async restartAfter(gateway, delayMs) {
        if (gateway.child.exitCode === null && gateway.child.signalCode === null) {
            await new Promise(resolve => gateway.child.once("exit", resolve));
        }
        await sleep(delayMs);
        if (this.isStopped) {
            return;
        }
        writeFileSync(gateway.settingsPath, this.newSettings(gateway, false));
        this.spawn(gateway);
        this.record.write(`platform: ${gateway.name} started again`);
    }

    async stop() {
        this.isStopped = true;
        for (const { child } of this.gateways) {
            child?.kill("SIGCONT");
            child?.kill("SIGKILL");
        }
        await Promise.all(this.engines.map(engine => engine.stop()));
        await this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** One request on a new channel. */
export function call(port, { method = "POST", path, headers, body = "", timeoutMs = 6_000 }) {
    return new Promise(resolve => {
        let response;
        let text = "";
        const sentAtMs = Date.now();
        const finish = () => {
            clearTimeout(timer);
            resolve({
                status: response?.statusCode ?? 0,
                headers: response?.headers ?? {},
                body: text,
                isComplete: response?.complete ?? false,
                sentAtMs,
                endedAtMs: Date.now(),
            });
        };
        const request = http.request({ host: "127.0.0.1", port, method, path, headers, agent: false }, incoming => {
            response = incoming;
            incoming.on("data", chunk => {
                text += chunk.toString("utf8");
            });
            incoming.on("error", () => undefined);
            incoming.on("close", finish);
        });
        const timer = setTimeout(() => request.destroy(new Error("given up")), timeoutMs);
        request.on("error", finish);
        request.end(body);
    });
}

/** Runs a case and ends all that it started; the exit code says whether the rule held. */
export async function runCase(folder, run) {
    const record = new Record(folder);
    const deadline = setTimeout(() => finish(NOT_RUN, "it took too long"), 110_000);
    let deployment;
    const finish = async (code, reason) => {
        clearTimeout(deadline);
        for (const { id, seen } of deployment?.engines ?? []) {
            const requests = new Set(seen.map(({ requestId }) => requestId)).size;
            record.write(`server ${id} has begun ${seen.length} runs of ${requests} requests or items`);
        }
        record.write(`result ${code}: ${reason}`);
        process.stdout.write(`result ${code}: ${reason}\n`);
        await deployment?.stop().catch(() => undefined);
        process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => finish(NOT_RUN, `ended by ${signal}`));
    }
    try {
        const { code, reason } = await run(record, options => {
            deployment = new Deployment(record, options);
            return deployment;
        });
        await finish(code, reason);
    }
    catch (error) {
        await finish(NOT_RUN, error instanceof Error ? error.stack : String(error));
    }
}

async function findFreePorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = 11_000 + Math.floor(Math.random() * 18_000);
        if (!ports.includes(port) && await isPortFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

function isPortFree(port) {
    return new Promise(resolve => {
        const probe = net.createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
    });
}

/** Routes and services like those of a small installation. */
export function newConfig({ routes = {}, tenants, services = {} } = {}) {
    const common = { host: HOST, priority: 0, maxAttempts: 2, public: false, timeoutMs: 5_000, targetLatencyMs: 300 };
    const stream = { ...common, kind: "streaming", service: "lm", sessionAffinity: true, gapAimMs: 300 };
    return {
        routes: [
            { ...stream, name: "again", pathPrefix: "/again/", resumable: true, ...routes.again },
            { ...common, name: "lookup", pathPrefix: "/lookup/", kind: "idempotent", service: "plain", ...routes.lookup },
            {
                ...common,
                name: "jobs",
                pathPrefix: "/jobs/",
                kind: "batch",
                service: "lm",
                priority: 2,
                timeoutMs: 15_000,
                completionTargetMs: 18_000,
                retentionS: 60,
                maxCount: 0,
                maxAttempts: 3,
                ...routes.jobs,
            },
        ],
        services: [
            {
                name: "lm",
                healthPath: "/healthz",
                maxConns: 360,
                warmupS: 3,
                warmupPerS: 20,
                engine: { slots: 8 },
                ...services.lm,
            },
            { name: "plain", healthPath: "/healthz", maxConns: 100, warmupS: 0, warmupPerS: 0, ...services.plain },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: tenants ?? [{ name: "alpha", apiKeys: ["alpha-key"], priority: 0, ratePerS: 0, burst: 0 }],
    };
}

export const GENERATION_HEADERS = { Model: "m", "Token-Count": "100,60", "Prompt-Prefix": "a1:50,b2:50" };

/** A request of a client for a stream. */
export function newStreamRequest(requestId, key = "alpha-key", body = "hello events=2") {
    return {
        path: `/again/${requestId}`,
        headers: {
            Host: HOST,
            "Request-Id": requestId,
            Deadline: "5000",
            Authorization: `Token ${key}`,
            ...GENERATION_HEADERS,
        },
        body,
    };
}
