// Lookups at gateways while and after single replicas of another service crash seven times: see claim.txt.
import http from "node:http";
import { readFileSync, writeFileSync } from "node:fs";
import { call, Fleet, sleep } from "../common/fleet.mjs";
import { HOST, KEY, newConfig, newId, SERVICE } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
const HEARTBEAT_MS = 1_200;
/** `contactMs` of the sheet, and `timeoutMs` of the lookups' route; the rule looks half a second later. */
const CONTACT_MS = 3_000;
const TIMEOUT_MS = 2_500;
const LATE_MS = 500;
const LOOKUP_REPLICAS = 3;
/** Kept channels of lookups to each gateway. */
const LOOKUP_CHANNELS = 4;
const LOOKUP_SERVICE = "kalender";
const REPLICAS = 6;
/** A crash takes one replica for this long; the site's list has up to 4.5 s. The next one comes when it is back. */
const DOWN_MS = 800;
/** Time until the first event of a long prompt. */
const FIRST_EVENT_MS = 500;
/** When two callers send a long prompt in turn, and how long after it the replica crashes that reads it. */
const FIRST_SENT_AT_MS = [1_000, 4_000, 7_000];
const SECOND_SENT_AT_MS = [2_500, 5_500, 8_500];
const CRASH_DELAY_MS = 300;
/** The same for a third caller. */
const LAST_SENT_AT_MS = 11_300;
const PARTS = { first: "91bd3f06", second: "e4402b7d", third: "2c90a7f1", short: "5c1e07a2" };
const zones = ["at-east-a", "at-east-b", "at-east-c"];
const names = ["front-a-1", "front-b-1", "front-c-1"];

const lines = [];
const startedAtMs = Date.now();
const since = atMs => ((atMs - startedAtMs) / 1_000).toFixed(3);
const note = text => lines.push(`${since(Date.now())} s  ${text}`);

function newRoutes() {
    const config = newConfig();
    const common = { host: HOST, maxAttempts: 2, public: false };
    const stream = {
        ...common,
        name: "slot-confirm",
        pathPrefix: "/once/",
        kind: "streaming",
        service: SERVICE,
        timeoutMs: 5_000,
        targetLatencyMs: 300,
        priority: 0,
        maxAttempts: 1,
        resumable: false,
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

/** Sends a stream with a long prompt or a short one, of which the first part is shared with other prompts. */
async function stream(gateway, part, isLong) {
    const requestId = newId();
    const tokens = isLong ? 30_000 : 300;
    const { status } = await call(gateway.port, {
        path: "/once/2f",
        headers: {
            Host: HOST,
            "Request-Id": requestId,
            Model: "m",
            "Token-Count": `${tokens},40`,
            "Prompt-Prefix": `${part}:200,${requestId}:${tokens - 200}`,
            Deadline: "4000",
            Authorization: `Token ${KEY}`,
        },
        body: `note ${requestId}`,
        timeoutMs: 4_000,
    });
    if (isLong) {
        note(`a long prompt with part ${part} at ${gateway.name}: ${status}`);
    }
    return status;
}

async function runShortStreams(gateways, isOver) {
    for (let index = 0; !isOver(); index += 1) {
        await stream(gateways[index % gateways.length], PARTS.short, false);
        await sleep(100);
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
        const newEvents = () => Array(20).fill("x".repeat(40));
        /** The replica that has been sent the latest long prompt with a part. */
        const readers = new Map();
        const onRun = (where, { headers }) => {
            const [part] = headers["prompt-prefix"].split(":");
            if (part !== PARTS.short) {
                readers.set(part, where);
                note(`${where.id} runs a long prompt with part ${part}`);
            }
        };
        for (let index = 0; index < REPLICAS; index += 1) {
            const zone = zones[index % zones.length];
            const replica = new Replica(`i-${index + 1}`, { service: SERVICE, zone, gapMs: 10, newEvents, onRun });
            replica.getFirstEventMs = ({ headers }) => headers["token-count"].startsWith("30000") ? FIRST_EVENT_MS : 20;
            replicas.push(replica);
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
        const lookups = [];
        const clients = [runShortStreams(fleet.gateways, isOver)];
        clients.push(...fleet.gateways.flatMap(gateway =>
            Array.from({ length: LOOKUP_CHANNELS }, () => runLookups(gateway, isOver, lookups))
        ));
        await sleep(3_000);
        // Each caller has one client at the first gateway and one at another.
        const [first, second, third] = fleet.gateways;
        clients.push(stream(first, PARTS.first, true), stream(first, PARTS.second, true));
        await sleep(FIRST_EVENT_MS + 500);
        const sendAndCrash = (ms, gateway, part) => {
            clients.push(sleep(ms).then(() => stream(gateway, part, true)));
            clients.push(sleep(ms + CRASH_DELAY_MS).then(() => {
                const replica = readers.get(part);
                if (IS_TROUBLE && replica !== undefined) {
                    note(`${replica.id}, one of ${REPLICAS}, crashes and is back ${DOWN_MS} ms later`);
                    replica.crashFor(DOWN_MS);
                }
            }));
        };
        FIRST_SENT_AT_MS.forEach(ms => sendAndCrash(ms, second, PARTS.first));
        SECOND_SENT_AT_MS.forEach(ms => sendAndCrash(ms, third, PARTS.second));
        sendAndCrash(LAST_SENT_AT_MS, second, PARTS.third);
        await sleep(LAST_SENT_AT_MS + CRASH_DELAY_MS + DOWN_MS);
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
        for (const { name } of fleet.gateways) {
            const own = lookups.filter(({ gateway }) => gateway === name);
            note(`${name} was sent ${own.length} lookups; 200: ${own.filter(({ end }) => end === "200").length}`);
        }
        const calm = lookups.filter(({ atMs }) => atMs >= calmSinceMs).length;
        note(`${calm} lookups since ${since(calmSinceMs)} s, ${late.length} of them not answered within timeoutMs, ${
            unanswered.length
        } not half a second later`);
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
