// Starts gateways as the deploy file does, with settings like those of a small installation.
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Root of the repository, in which the programs are started. */
export const ROOT = new URL("../..", import.meta.url).pathname;
const READY_TIMEOUT_MS = 15_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The words of the role's command in the deploy file. */
function readCommand(role) {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    const [, run] = /^run = "(.*)"$/m.exec(section);
    return run.split(" ");
}

export class Fleet {
    constructor(storePort, zones) {
        this.storePort = storePort;
        this.zones = zones;
        this.gateways = [];
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        // Whatever ends this process, the gateways end with it.
        process.on("exit", () => {
            this.gateways.forEach(({ child }) => child.kill("SIGKILL"));
            rmSync(this.folder, { recursive: true, force: true });
        });
        process.on("SIGTERM", () => process.exit(2));
        process.on("SIGINT", () => process.exit(2));
    }

    async start(names) {
        const [program] = readCommand("gateway").slice(-1);
        if (!existsSync(join(ROOT, program))) {
            throw new Error(`${program} isn't built`);
        }
        const ports = await findFreePorts(4 * names.length);
        const seeds = names.slice(0, 3).map((_, index) => ports[4 * index + 2]);
        for (const [index, name] of names.entries()) {
            const [port, readyPort, controlPort, metricsPort] = ports.slice(4 * index);
            const zone = this.zones[index % this.zones.length];
            const settingsPath = join(this.folder, `${name}.toml`);
            const gateway = { name, zone, port, readyPort, controlPort, settingsPath, starts: 0, ends: [], errors: "" };
            writeFileSync(settingsPath, this.newSettings(gateway, metricsPort, seeds, true));
            gateway.restartText = this.newSettings(gateway, metricsPort, seeds, false);
            this.gateways.push(gateway);
            this.launch(gateway);
        }
        await Promise.all(this.gateways.map(gateway => this.waitReady(gateway)));
    }

    launch(gateway) {
        const [program, ...words] = readCommand("gateway");
        const child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", HEATHERLINE_CONFIG: gateway.settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        gateway.child = child;
        gateway.starts += 1;
        gateway.isExpectedToEnd = false;
        gateway.lines = gateway.lines ?? [];
        let rest = "";
        child.stdout.on("data", chunk => {
            const parts = (rest + chunk).split("\n");
            rest = parts.pop();
            gateway.lines.push(...parts);
            if (gateway.lines.length > 50_000) {
                gateway.lines.splice(0, 10_000);
            }
        });
        child.stderr.on("data", chunk => {
            gateway.errors = (gateway.errors + chunk).slice(-20_000);
        });
        child.on("exit", (code, signal) => {
            gateway.ends.push({ atMs: Date.now(), code, signal, isExpected: gateway.isExpectedToEnd });
            writeFileSync(gateway.settingsPath, gateway.restartText);
            if (!this.isStopped && gateway.isRestarted !== false) {
                // The platform restarts a process that has ended after a short delay.
                setTimeout(() => this.isStopped || this.launch(gateway), gateway.restartMs ?? 500);
            }
        });
    }

    /** Sends a signal to a gateway's process; an end that follows is expected. */
    signal(gateway, signal) {
        gateway.isExpectedToEnd = signal === "SIGKILL" || signal === "SIGTERM";
        gateway.child.kill(signal);
    }

    async waitReady(gateway) {
        const endAtMs = Date.now() + READY_TIMEOUT_MS;
        while (Date.now() < endAtMs) {
            const reply = await call(gateway.readyPort, { method: "GET", path: "/-/readyz" });
            if (reply.status === 200) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`${gateway.name} isn't ready`);
    }

    async stop() {
        this.isStopped = true;
        for (const { child } of this.gateways) {
            child.kill("SIGKILL");
        }
        await sleep(200);
        rmSync(this.folder, { recursive: true, force: true });
    }

    newSettings({ name, zone, port, readyPort, controlPort }, metricsPort, seeds, isFirstStart) {
        return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "at-east"
portRange = [${metricsPort},${metricsPort}]
seeds = [${seeds.map(seed => `"127.0.0.1:${seed}"`).join(",")}]
bootstrap = ${isFirstStart}
lossEligible = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","places","platform"]
[zones]
${this.zones.map(other => `${other} = "at-east"`).join("\n")}
[listen]
front = "127.0.0.1:${port}"
ready = "127.0.0.1:${readyPort}"
control = "127.0.0.1:${controlPort}"
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
address = "127.0.0.1:${this.storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
    }
}

/** Sends one request over a channel of its own; the status is 0 if no whole answer came. */
export function call(port, { method = "POST", path, headers = {}, body = "", timeoutMs = 10_000 }) {
    return new Promise(resolve => {
        const request = http.request({ host: "127.0.0.1", port, method, path, headers, agent: false }, incoming => {
            const chunks = [];
            incoming.on("data", chunk => chunks.push(chunk));
            incoming.on("error", () => undefined);
            incoming.on("close", () => {
                clearTimeout(timer);
                const status = incoming.complete ? incoming.statusCode : 0;
                resolve({ status, headers: incoming.headers, body: Buffer.concat(chunks) });
            });
        });
        const timer = setTimeout(() => request.destroy(new Error("timeout")), timeoutMs);
        request.on("error", error => {
            clearTimeout(timer);
            resolve({ status: 0, headers: {}, body: Buffer.alloc(0), error: error.message });
        });
        request.end(body);
    });
}

async function findFreePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = 11_000 + Math.floor(Math.random() * 18_000);
        const isFree = await new Promise(resolve => {
            const probe = net.createServer();
            probe.once("error", () => resolve(false));
            probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
        });
        if (isFree) {
            ports.add(port);
        }
    }
    return [...ports];
}
