// Starts gateways with the command of the deploy file against stand-ins of the platform's store and the replicas.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Replica } from "./replica.mjs";
import { Store } from "./store.mjs";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "api.example";
export const KEY = "alpha-key";
/** Whether the disruption is to take place. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const READY_TIMEOUT_MS = 15_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** A small deployment on loopback addresses, with the record of what was sent, answered and run. */
export class Deployment {
    store = new Store(text => this.note(text));
    replicas = [];
    gateways = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));
    startedAtMs = Date.now();

    constructor(recordPath) {
        this.record = createWriteStream(recordPath);
        this.note(`trouble: ${HAS_TROUBLE ? "yes" : "no"}`);
    }

    /** Writes a line to the record. */
    note(text) {
        this.record.write(`${((Date.now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8)} ${text}\n`);
    }

    async start({ config, zones, replicas }) {
        await this.store.listen();
        this.store.write("config", "main", config);
        for (const options of replicas) {
            await this.addReplica(options);
        }
        const ports = await findFreePorts(zones.length * 4);
        const plans = zones.map((zone, index) => ({ zone, ports: ports.slice(index * 4, index * 4 + 4) }));
        const seeds = plans.slice(0, 3).map(({ ports: [, , control] }) => `127.0.0.1:${control}`);
        for (const [index, { zone, ports: own }] of plans.entries()) {
            this.startGateway(`front-${zone}-${index + 1}`, zone, own, seeds);
        }
        await Promise.all(this.gateways.map(gateway => this.waitReady(gateway)));
        this.note("all gateways are ready");
    }

    async addReplica(options) {
        const replica = new Replica(`i-${this.replicas.length + 1}`, options, text => this.note(text));
        await replica.listen();
        this.replicas.push(replica);
        this.store.write("servers", replica.id, replica.getEntry());
        return replica;
    }

    startGateway(name, zone, [front, ready, control, metrics], seeds) {
        const path = join(this.folder, `${name}.toml`);
        writeFileSync(path, newSettings({ name, zone, front, ready, control, metrics, seeds, store: this.store.port }));
        const gateway = { name, front, ready, control, path, lines: [], hasExited: false };
        this.gateways.push(gateway);
        this.launch(gateway);
        return gateway;
    }

    launch(gateway) {
        const [program, ...args] = readCommand();
        const { PATH, HOME } = process.env;
        const child = spawn(program, args, {
            cwd: ROOT,
            env: { PATH, HOME, HEATHERLINE_CONFIG: gateway.path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        gateway.child = child;
        gateway.hasExited = false;
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", data => gateway.lines.push(data.toString()));
        }
        gateway.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                gateway.hasExited = true;
                this.note(`${gateway.name} has ended, code ${code}, signal ${signal}`);
                resolve();
            });
        });
    }

    signal(gateway, name) {
        this.note(`${name} to ${gateway.name}`);
        gateway.child.kill(name);
    }

    async waitReady({ name, ready }) {
        const endAtMs = Date.now() + READY_TIMEOUT_MS;
        while (Date.now() < endAtMs) {
            const { status } = await send({ port: ready, method: "GET", path: "/-/readyz" });
            if (status === 200) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`${name} was not ready in time`);
    }

    /** The gateway that holds the lease in the store. */
    getCoordinator() {
        const lease = this.store.read("heatherline-leases", "coordinator");
        return this.gateways.find(({ name }) => name === lease?.spec.holder.instanceId);
    }

    async stop() {
        for (const gateway of this.gateways) {
            if (!gateway.hasExited) {
                gateway.child.kill("SIGCONT");
                gateway.child.kill("SIGKILL");
            }
            await gateway.exited;
        }
        this.replicas.forEach(replica => replica.close());
        this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
        await new Promise(resolve => this.record.end(resolve));
    }
}

/**
 * Runs a case: `play` returns the ways in which the rule was broken, one line each.
 */
export async function runCase(folderUrl, play) {
    const deployment = new Deployment(fileURLToPath(new URL("record.txt", folderUrl)));
    let code = EXIT_NOT_RUN;
    try {
        const breaches = await play(deployment);
        breaches.forEach(breach => deployment.note(`BROKEN ${breach}`));
        deployment.note(breaches.length === 0 ? "the rule held" : `the rule was broken, ${breaches.length} times`);
        process.stdout.write(breaches.length === 0 ? "held\n" : `broken: ${breaches[0]}\n`);
        code = breaches.length === 0 ? EXIT_HELD : EXIT_BROKEN;
    }
    catch (error) {
        deployment.note(`not run: ${error.stack}`);
        process.stdout.write(`not run: ${error.message}\n`);
    }
    finally {
        await deployment.stop();
    }
    process.exit(code);
}

/**
 * Sends a request on a channel of its own.
 *
 * @returns Status (0 without one), whether the answer is complete, its body and its headers.
 */
export function send({ port, method = "POST", path, headers = {}, body = "", timeoutMs = 10_000 }) {
    return new Promise(resolve => {
        const answer = { status: 0, isComplete: false, body: "", headers: {}, error: "" };
        const request = http.request({ host: "127.0.0.1", port, method, path, agent: false, headers: {
            Host: HOST,
            "Content-Length": Buffer.byteLength(body),
            ...headers,
        } });
        const timer = setTimeout(() => request.destroy(new Error("the client has left")), timeoutMs);
        const finish = () => {
            clearTimeout(timer);
            resolve(answer);
        };
        request.on("error", error => {
            answer.error ||= error.code ?? error.message;
            finish();
        });
        request.on("response", response => {
            answer.status = response.statusCode;
            answer.headers = response.headers;
            response.setEncoding("utf8");
            response.on("data", text => {
                answer.body += text;
            });
            response.on("error", error => {
                answer.error ||= error.code ?? error.message;
            });
            response.on("close", () => {
                answer.isComplete = response.complete;
                finish();
            });
        });
        request.end(body);
    });
}

/** Sends a request for a stream that can't be resumed, and reads the stream to its end. */
export async function openStream(deployment, gateway, requestId) {
    deployment.note(`client sends ${requestId} to ${gateway.name}`);
    const answer = await send({
        port: gateway.front,
        path: `/once/${requestId}`,
        headers: {
            "Request-Id": requestId,
            Authorization: `Token ${KEY}`,
            Deadline: "5000",
            Model: "m",
            "Token-Count": "250,400",
            "Prompt-Prefix": "5c1e07a2:100,91bd3f06:150",
        },
        body: "prompt",
    });
    const { status, isComplete, error } = answer;
    const events = answer.body.split("\n\n").length - 1;
    const end = isComplete ? "complete" : `cut (${error})`;
    deployment.note(`client has the answer to ${requestId}: ${status}, ${events} events, ${end}`);
    return { requestId, status, isComplete, events, error };
}

/** Sends streams to all gateways in turn, as usual load; each has a channel of its own to its replica. */
export async function sendStreams(deployment, { durationMs, intervalMs }) {
    const startedAtMs = Date.now();
    const untilMs = startedAtMs + durationMs;
    const streams = [];
    for (let index = 0; Date.now() < untilMs; index += 1) {
        const gateway = deployment.gateways[index % deployment.gateways.length];
        streams.push(openStream(deployment, gateway, `stream-${startedAtMs}-${index + 1}`));
        await sleep(intervalMs);
    }
    await Promise.all(streams);
}

/** Remembers what faulty replicas have sent before a window of the disruption begins. */
export function newWindow(replicas) {
    return { replicas, before: countAnswers(replicas) };
}

/** The case doesn't count if faulty replicas have sent more of their answers a second time than the pages allow. */
export function checkRepeatedPart(deployment, { replicas, before }, maxPart) {
    const after = countAnswers(replicas);
    const sent = after.sent - before.sent;
    const repeated = after.repeated - before.repeated;
    deployment.note(`${replicas.map(({ id }) => id).join(", ")} sent ${sent} answers in this window, ${repeated} twice`);
    if (repeated > maxPart * sent) {
        throw new Error("the replicas repeated more answers than the pages allow");
    }
}

function countAnswers(replicas) {
    const sent = replicas.reduce((sum, { runs }) => sum + runs.filter(({ end }) => end === "sent").length, 0);
    return { sent, repeated: replicas.reduce((sum, { repeatedCount }) => sum + repeatedCount, 0) };
}

/** @returns The status that the submission of a batch job is answered with. */
export async function submitJob(deployment, gateway, { jobId, itemIds, key = KEY }) {
    const headers = { Model: "m", "Token-Count": "250,400", "Prompt-Prefix": "5c1e07a2:100,91bd3f06:150" };
    const items = itemIds.map(id => ({ id, path: `/jobs/${id}`, headers, body: "cHJvbXB0", tokens: 650 }));
    const { status, error } = await send({
        port: gateway.front,
        path: `/jobs/${jobId}`,
        headers: {
            "Request-Id": jobId,
            Authorization: `Token ${key}`,
            Deadline: "4000",
            "Content-Type": "application/json",
        },
        body: JSON.stringify({ items }),
        timeoutMs: 5_500,
    });
    deployment.note(`client: ${jobId} at ${gateway.name} is answered ${status} ${error}`);
    return status;
}

/** @returns The results of a batch job so far; none if they can't be read now. */
export async function readResults(gateway, jobId, key = KEY) {
    const { status, body } = await send({
        port: gateway.front,
        method: "GET",
        path: `/-/lots/${jobId}?after=0`,
        headers: { Authorization: `Token ${key}`, "Poll-Wait": "1000" },
    });
    return status === 200 ? JSON.parse(body).results : [];
}

/** A configuration with one tenant, a streaming route, an idempotent route and a batch route. */
export function newConfig(changes = {}) {
    const common = { host: HOST, priority: 0, public: false, timeoutMs: 5_000, targetLatencyMs: 300 };
    const stream = { ...common, kind: "streaming", service: "lm", sessionAffinity: true, gapAimMs: 300 };
    const batch = { ...common, kind: "batch", service: "lm", timeoutMs: 15_000, targetLatencyMs: 400 };
    return {
        version: 3,
        routes: [
            { ...stream, name: "once", pathPrefix: "/once/", resumable: false, maxAttempts: 1 },
            { ...stream, name: "again", pathPrefix: "/again/", resumable: true, maxAttempts: 2 },
            { ...common, name: "lookup", pathPrefix: "/lookup/", kind: "idempotent", service: "plain", maxAttempts: 2 },
            { ...common, name: "write", pathPrefix: "/write/", kind: "non_idempotent", service: "plain", maxAttempts: 1 },
            {
                ...batch,
                name: "jobs",
                pathPrefix: "/jobs/",
                completionTargetMs: 18_000,
                retentionS: 60,
                maxCount: 890_000,
                maxAttempts: 3,
            },
        ],
        services: [
            { name: "lm", healthPath: "/healthz", maxConns: 360, warmupS: 0, warmupPerS: 0, engine: { slots: 8 } },
            { name: "plain", healthPath: "/healthz", maxConns: 100, warmupS: 0, warmupPerS: 0 },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "alpha", apiKeys: [KEY], priority: 0, ratePerS: 0, burst: 0 }],
        ...changes,
    };
}

/** The command of the role that serves clients, from the deploy file. */
function readCommand() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [, run] = /\[roles\.gateway\]\nrun = "([^"]+)"/.exec(text);
    return run.split(" ");
}

function newSettings({ name, zone, front, ready, control, metrics, seeds, store }) {
    return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "middle"
portRange = [${metrics},${metrics}]
seeds = [${seeds.map(seed => `"${seed}"`).join(",")}]
bootstrap = true
lossEligible = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","places","platform"]
[zones]
east = "middle"
west = "middle"
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cpuShare = 0.675
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
address = "127.0.0.1:${store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/** Free ports below the ephemeral range, so that no outgoing connection takes them before they are used. */
async function findFreePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = 11_000 + Math.floor(Math.random() * 18_000);
        if (await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

function isFree(port) {
    return new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
    });
}
