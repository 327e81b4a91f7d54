import { sleep } from "@heatherline/common";
import type { ListedInstance } from "@heatherline/store";
import { mkdirSync } from "node:fs";
import { parseArgs } from "node:util";
import { callJson, Cluster, type DaemonChild, waitFor } from "./cluster";
import { applyDocuments, issueKey, newModelService, newPlainService } from "./documents";
import { reserveFreePort } from "./freePorts";
import { Relay } from "./relay";
import { SoakChecks } from "./soakChecks";
import { SeededRandom, SoakLoad } from "./soakLoad";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: String(Date.now() % 1_000_000) },
        minutes: { type: "string", default: "2" },
        logs: { type: "string" },
        faults: {
            type: "string",
            default: "kill,freeze,cut-pair,cut-data-centre,store-down,store-cut,lost-answers,crash",
        },
    },
});

const DATA_CENTRES = ["east", "mid", "west"];
const DAEMONS_PER_DATA_CENTRE = 2;
const ORGANISATIONS = [
    { organisation: "alpha", ratePerS: 20, burst: 30 },
    { organisation: "beta", ratePerS: 8, burst: 10 },
    { organisation: "gamma", ratePerS: 2, burst: 2 },
];
/** Load that each organisation sends, as a multiple of its rate limit. */
const LOAD_FACTORS = [0.6, 3, 0.6];
const POSTS_PER_S = 2;
const JOB_INTERVAL_MS = 6_000;
const CANCEL_INTERVAL_MS = 15_000;
const FAULT_PAUSE_MS = 4_000;
const SETTLE_TIMEOUT_MS = 150_000;

const seed = Number(values.seed);
const random = new SeededRandom(seed);
const cluster = new Cluster(values.logs);
const relays = new Map<string, Relay>();
const addresses = new Map<string, { dataCentre: string; port: number; peerPort: number; }>();
const killedInstances = new Set<string>();
const faultCounts = new Map<string, number>();

function print(text: string): void {
    process.stdout.write(`${new Date().toISOString().slice(11, 23)} ${text}\n`);
}

async function startInstances(): Promise<void> {
    for (const dataCentre of DATA_CENTRES) {
        for (let index = 0; index < DAEMONS_PER_DATA_CENTRE; index += 1) {
            addresses.set(`${dataCentre}-${index}`, {
                dataCentre,
                port: await reserveFreePort(),
                peerPort: await reserveFreePort(),
            });
        }
    }
    const instancesFor: Record<string, ListedInstance[]> = {};
    for (const from of addresses.keys()) {
        instancesFor[from] = [];
        for (const [to, { dataCentre, peerPort }] of addresses) {
            const relay = new Relay(() => peerPort);
            relays.set(`${from}|${to}`, relay);
            instancesFor[from].push({
                instanceId: to,
                dataCentre,
                address: "127.0.0.1",
                peerPort: await relay.listen(),
                state: "live",
            });
        }
    }
    cluster.isInstanceListManual = true;
    await cluster.setFaults({ instancesFor });
    await Promise.all([...addresses.keys()].map(startInstance));
}

async function startInstance(instance: string): Promise<void> {
    const address = addresses.get(instance);
    if (address !== undefined) {
        await cluster.startDaemonAt(instance, address.dataCentre, address, []);
        killedInstances.delete(instance);
    }
}

function setLinksCut(isCut: boolean, matches: (from: string, to: string) => boolean): void {
    for (const [key, relay] of relays) {
        const [from = "", to = ""] = key.split("|");
        if (matches(from, to) || matches(to, from)) {
            relay.isCut = isCut;
        }
    }
}

/** Injects one fault and returns when it is over. */
async function injectFault(kind: string): Promise<void> {
    const lengthMs = 1_000 + random.next() * 8_000;
    const daemon = random.pick(cluster.daemons.filter(({ instance }) => !killedInstances.has(instance)));
    const instance = daemon?.instance ?? "";
    const dataCentre = random.pick(DATA_CENTRES) ?? "";
    print(`fault ${kind} ${kind.endsWith("data-centre") ? dataCentre : instance} for ${Math.round(lengthMs)} ms`);
    faultCounts.set(kind, (faultCounts.get(kind) ?? 0) + 1);
    switch (kind) {
        case "kill":
            killedInstances.add(instance);
            await cluster.killDaemon(daemon as DaemonChild);
            await sleep(lengthMs);
            await startInstance(instance);
            return;
        case "freeze":
            daemon?.process.kill("SIGSTOP");
            await sleep(lengthMs);
            daemon?.process.kill("SIGCONT");
            return;
        case "cut-pair": {
            const other = random.pick([...addresses.keys()].filter(name => name !== instance));
            setLinksCut(true, (from, to) => from === instance && to === other);
            await sleep(lengthMs);
            setLinksCut(false, (from, to) => from === instance && to === other);
            return;
        }
        case "cut-data-centre": {
            const isAcross = (from: string, to: string) => from.startsWith(dataCentre) && !to.startsWith(dataCentre);
            setLinksCut(true, isAcross);
            await cluster.setFaults({
                cutInstances: [...addresses.keys()].filter(name => name.startsWith(dataCentre)),
            });
            await sleep(lengthMs);
            setLinksCut(false, isAcross);
            await cluster.setFaults({ cutInstances: [] });
            return;
        }
        case "store-down":
            await cluster.setFaults({ isDown: true });
            await sleep(lengthMs);
            await cluster.setFaults({ isDown: false });
            return;
        case "store-cut":
            await cluster.setFaults({ cutInstances: [instance] });
            await sleep(lengthMs);
            await cluster.setFaults({ cutInstances: [] });
            return;
        case "lost-answers":
            await cluster.setFaults({ lostAnswerFraction: 0.5 });
            await sleep(lengthMs);
            await cluster.setFaults({ lostAnswerFraction: 0 });
            return;
        case "crash":
            await callJson(random.pick(cluster.endpoints)?.controlPort ?? 0, "/control", { body: "crash" });
            await sleep(lengthMs);
    }
}

async function injectFaults(untilMs: number): Promise<void> {
    const kinds = values.faults.split(",").filter(kind => kind !== "");
    while (performance.now() < untilMs && kinds.length > 0) {
        const first = random.pick(kinds) ?? "";
        const isPair = random.next() < 0.4;
        const second = random.pick(kinds.filter(kind => kind !== first)) ?? "";
        await Promise.all([injectFault(first), isPair && second !== "" ? injectFault(second) : undefined]);
        await sleep(FAULT_PAUSE_MS);
    }
}

/** Starts a task at random intervals with the given mean until `untilMs`; returns when all tasks have ended. */
async function repeatAtRandomIntervals(untilMs: number, meanMs: number, task: () => Promise<void>): Promise<void> {
    const tasks: Promise<void>[] = [];
    while (performance.now() < untilMs) {
        tasks.push(task());
        await sleep(random.next() * 2 * meanMs);
    }
    await Promise.all(tasks);
}

async function main(): Promise<number> {
    print(`seed ${seed}, ${values.minutes} minutes, faults ${values.faults}`);
    if (values.logs !== undefined) {
        mkdirSync(values.logs, { recursive: true });
    }
    await cluster.startPlatform();
    const endpoints = [];
    for (const dataCentre of [...DATA_CENTRES, ...DATA_CENTRES]) {
        const child = await cluster.startEndpoint("--coldMs", "1500", "--coldSlots", "2", "--restartMs", "2500");
        endpoints.push({ child, dataCentre, coldConcurrency: 2, warmUpMs: 1_600 });
    }
    await startInstances();
    const first = cluster.daemons[0] as DaemonChild;
    await applyDocuments(
        first,
        ...DATA_CENTRES.map(dataCentre => ({ kind: "data-centre", dataCentre, state: "in" })),
        newModelService("lm", endpoints.slice(0, DATA_CENTRES.length), ORGANISATIONS),
        newPlainService("post", endpoints.slice(DATA_CENTRES.length), ORGANISATIONS),
    );
    const keys = new Map<string, string>();
    for (const { organisation } of ORGANISATIONS) {
        keys.set(organisation, (await issueKey(first, organisation)).secretKey);
    }
    const load = new SoakLoad(
        random,
        () => cluster.daemons.filter(({ instance }) => !killedInstances.has(instance)),
        keys,
    );
    await sleep(6_000);
    const untilMs = performance.now() + Number(values.minutes) * 60_000;
    await Promise.all([
        ...ORGANISATIONS.map(({ organisation, ratePerS }, index) =>
            repeatAtRandomIntervals(
                untilMs,
                1_000 / ratePerS / (LOAD_FACTORS[index] ?? 1),
                () => load.sendChat(organisation),
            )
        ),
        repeatAtRandomIntervals(untilMs, 1_000 / POSTS_PER_S, () => load.sendPost("alpha")),
        repeatAtRandomIntervals(
            untilMs,
            JOB_INTERVAL_MS,
            () => load.submitJob(random.pick(ORGANISATIONS)?.organisation ?? ""),
        ),
        repeatAtRandomIntervals(
            untilMs,
            CANCEL_INTERVAL_MS,
            () => load.cancelJob(random.pick(ORGANISATIONS)?.organisation ?? ""),
        ),
        injectFaults(untilMs),
    ]);
    print("load and faults are over; waiting for the jobs to end");
    const isSettled = await waitFor("the jobs to end", async () => {
        const states = await Promise.all(
            load.jobs.map(async job =>
                (await callJson(cluster.daemons[0]?.port ?? 0, `/v1/batches/${job.jobId}`, {
                    headers: load.getHeaders(job.organisation),
                })).json.state
            ),
        );
        return states.every(state => state !== "open");
    }, SETTLE_TIMEOUT_MS).then(() => true, () => false);
    return report(load, isSettled);
}

async function report(load: SoakLoad, isSettled: boolean): Promise<number> {
    const checks = new SoakChecks(load, cluster.endpoints, cluster.daemons, ORGANISATIONS);
    await checks.run();
    print(`faults injected: ${[...faultCounts].map(([kind, count]) => `${kind} ${count}`).join(", ")}`);
    for (const kind of ["chat", "post"]) {
        const calls = load.calls.filter(call => call.kind === kind);
        const counts = new Map<string, number>();
        for (const { status, code } of calls) {
            const key = code ?? (status === 200 ? "answered" : `status ${status}`);
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
        print(`${kind} calls ${calls.length}: ${[...counts].map(([key, count]) => `${key} ${count}`).join(", ")}`);
    }
    print(
        `jobs ${load.jobs.length}, cancelled ${
            load.jobs.filter(({ cancelledAt }) => cancelledAt !== undefined).length
        }, all ended: ${isSettled}`,
    );
    let violations = isSettled ? 0 : 1;
    for (const { name, checked, violations: found } of checks.results) {
        print(`${found.length === 0 ? "ok  " : "FAIL"} ${name}: ${checked} checked, ${found.length} violated`);
        for (const violation of found.slice(0, 5)) {
            print(`     ${violation}`);
        }
        violations += found.length;
    }
    return violations === 0 ? 0 : 1;
}

main().then(async code => {
    await cluster.stop();
    process.exit(code);
}, async (error: unknown) => {
    print(`run failed: ${String(error)}`);
    await cluster.stop();
    process.exit(1);
});
