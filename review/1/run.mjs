// Lookups at gateways while and after the replicas of another service crash again and again: see claim.txt.
import http from "node:http";
import { readFileSync, writeFileSync } from "node:fs";
import { call, Fleet, sleep } from "../common/fleet.mjs";
import { HOST, KEY, newConfig, newId, SERVICE } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
const HEARTBEAT_MS = 1_200;
/** Replicas crash under each request for this long, at most so often, after some calm each time. */
const CRASHING_MS = 13_000;
const CALM_MS = 9_000;
const ROUNDS = 4;
/** `contactMs` of the sheet, and `timeoutMs` of the lookups' route; the rule looks half a second later. */
const CONTACT_MS = 3_000;
const TIMEOUT_MS = 2_500;
const LATE_MS = 500;
const REPLICAS = 9;
const LOOKUP_REPLICAS = 3;
const LOOKUP_SERVICE = "kalender";
/** First parts of prompts, such as those of tenants or of kinds of requests; each has some clients. */
const PARTS = 12;
const CLIENTS = 48;
const zones = ["at-east-a", "at-east-b", "at-east-c"];
const names = ["front-a-1", "front-b-1", "front-c-1", "front-a-2", "front-b-2", "front-c-2", "front-a-3"];

const lines = [];
const startedAtMs = Date.now();
const since = atMs => ((atMs - startedAtMs) / 1_000).toFixed(3);
const note = text => lines.push(`${since(Date.now())} s  ${text}`);

function newRoutes() {
    const config = newConfig();
    const common = { host: HOST, maxAttempts: 2, public: false };
    const stream = {
        ...common,
        name: "rebook-note",
        pathPrefix: "/again/",
        kind: "streaming",
        service: SERVICE,
        timeoutMs: 5_000,
        targetLatencyMs: 300,
        priority: 0,
        resumable: true,
        sessionAffinity: true,
        gapAimMs: 300,
    };
    const lookup = {
        ...common,
        name: "slot-lookup",
        pathPrefix: "/look/",
        kind: "idempotent",
        service: LOOKUP_SERVICE,
        timeoutMs: TIMEOUT_MS,
        targetLatencyMs: 193,
        priority: 2,
    };
    const service = { name: LOOKUP_SERVICE, healthPath: "/healthz", maxConns: 100, warmupS: 0, warmupPerS: 0 };
    return { ...config, routes: [...config.routes, stream, lookup], services: [...config.services, service] };
}

/** Sends streams one after the other; after a failure it goes on at another gateway. */
async function runStreams(fleet, index, isOver, counts) {
    let at = index % fleet.gateways.length;
    while (!isOver()) {
        const requestId = newId();
        const { status } = await call(fleet.gateways[at].port, {
            path: "/again/2f",
            headers: {
                Host: HOST,
                "Request-Id": requestId,
                Model: "m",
                "Token-Count": "300,40",
                "Prompt-Prefix": `5c1e${(0x1000 + index % PARTS).toString(16)}:200,${requestId}:100`,
                Deadline: "4000",
                Authorization: `Token ${KEY}`,
            },
            body: `note ${requestId}`,
            timeoutMs: 4_000,
        });
        counts[status] = (counts[status] ?? 0) + 1;
        if (status !== 200) {
            at = (at + 1 + Math.floor(Math.random() * (fleet.gateways.length - 1))) % fleet.gateways.length;
        }
        await sleep(200 * (0.5 + Math.random()));
    }
}

/** Sends lookups over a kept channel of one gateway, and waits longer than the route's time for each. */
async function runLookups(gateway, isOver, lookups) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver()) {
        const lookup = { gateway: gateway.name, requestId: newId(), atMs: Date.now(), end: "no answer" };
        lookups.push(lookup);
        await new Promise(resolve => {
            const headers = {
                Host: HOST,
                "Request-Id": lookup.requestId,
                Deadline: "5000",
                Authorization: `Token ${KEY}`,
            };
            const options = { host: "127.0.0.1", port: gateway.port, method: "POST", path: "/look/2f", agent, headers };
            const request = http.request(options, incoming => {
                incoming.resume();
                incoming.on("error", () => undefined);
                incoming.on("close", () => {
                    lookup.tookMs = Date.now() - lookup.atMs;
                    lookup.end = String(incoming.statusCode);
                    resolve();
                });
            });
            const timer = setTimeout(() => request.destroy(), TIMEOUT_MS + LATE_MS + 500);
            request.on("close", () => {
                clearTimeout(timer);
                resolve();
            });
            request.on("error", () => undefined);
            request.end("x".repeat(600));
        });
        await sleep(250);
    }
    agent.destroy();
}

/** @returns Gateways that don't answer the platform's question whether they are ready. */
async function findMute(fleet) {
    const path = "/-/readyz";
    const replies = await Promise.all(
        fleet.gateways.map(({ readyPort }) => call(readyPort, { method: "GET", path, timeoutMs: 1_500 })),
    );
    return fleet.gateways.filter((_, index) => replies[index].status === 0);
}

/** @returns Processor time of a gateway in clock ticks, a hundred a second. */
function getTicks({ child }) {
    const fields = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(" ");
    return Number(fields[13]) + Number(fields[14]);
}

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    const others = [];
    try {
        store.write("config", "main", newRoutes());
        for (let index = 0; index < REPLICAS; index += 1) {
            const newEvents = () => Array(20).fill("x".repeat(40));
            const zone = zones[index % zones.length];
            replicas.push(new Replica(`i-${index + 1}`, { service: SERVICE, zone, gapMs: 10, newEvents }));
        }
        for (let index = 0; index < LOOKUP_REPLICAS; index += 1) {
            const options = { service: LOOKUP_SERVICE, zone: zones[index], slots: 6, workMs: 40 };
            others.push(new Replica(`k-${index + 1}`, options));
        }
        for (const replica of [...replicas, ...others]) {
            await replica.start(store, HEARTBEAT_MS);
        }
        await fleet.start(names);
        await sleep(2_000);
        let isEnding = false;
        const isOver = () => isEnding;
        const counts = {};
        const lookups = [];
        const clients = Array.from({ length: CLIENTS }, (_, index) => runStreams(fleet, index, isOver, counts));
        clients.push(...fleet.gateways.map(gateway => runLookups(gateway, isOver, lookups)));
        for (let round = 0; round < ROUNDS && (await findMute(fleet)).length === 0; round += 1) {
            await sleep(CALM_MS);
            const crashesBefore = replicas.reduce((sum, { crashes }) => sum + crashes, 0);
            replicas.forEach(replica => {
                replica.crashesUnderRequests = IS_TROUBLE;
            });
            await sleep(CRASHING_MS);
            replicas.forEach(replica => {
                replica.crashesUnderRequests = false;
            });
            const crashes = replicas.reduce((sum, replica) => sum + replica.crashes, 0) - crashesBefore;
            note(`the replicas of ${SERVICE} crashed ${crashes} times in ${CRASHING_MS / 1_000} s, and are sound again`);
        }
        await sleep(CONTACT_MS + 500);
        const calmSinceMs = Date.now();
        await sleep(7_000);
        const mute = await findMute(fleet);
        isEnding = true;
        const before = mute.map(getTicks);
        await sleep(1_000);
        mute.forEach((gateway, index) => note(`${gateway.name} uses ${getTicks(gateway) - before[index]}% of a core`));
        await Promise.all(clients);
        note(`gateways that don't say whether they are ready: ${mute.map(({ name }) => name).join(", ") || "none"}`);
        const late = lookups.filter(({ atMs, tookMs = Infinity }) => atMs >= calmSinceMs && tookMs > TIMEOUT_MS);
        const unanswered = late.filter(({ tookMs = Infinity }) => tookMs > TIMEOUT_MS + LATE_MS);
        for (const { requestId, gateway, atMs, end } of unanswered) {
            note(`lookup ${requestId} sent to ${gateway} at ${since(atMs)} s: ${end} in ${TIMEOUT_MS + LATE_MS} ms`);
        }
        const calm = lookups.filter(({ atMs }) => atMs >= calmSinceMs).length;
        note(`${calm} lookups since ${since(calmSinceMs)} s, ${late.length} of them not answered within timeoutMs, ${
            unanswered.length
        } not half a second later`);
        note(`all streams: ${JSON.stringify(counts)}`);
        return late.length > 0 && unanswered.length > late.length / 2 ? 1 : 0;
    }
    finally {
        await fleet.stop();
        [...replicas, ...others].forEach(replica => replica.stop());
        store.close();
    }
}

const code = await main().catch(error => {
    note(`could not run: ${error.stack}`);
    return 2;
});
note(code === 1 ? "CONFIG: a gateway hangs and answers nothing" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
