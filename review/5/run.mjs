// Streams at replicas that fall silent for a second or so while a gateway stops as planned: see claim.txt.
import http from "node:http";
import { writeFileSync } from "node:fs";
import { Fleet, sleep } from "../common/fleet.mjs";
import { HOST, KEY, newConfig, newId, SERVICE } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
/** "A sound replica may fall silent for a second or so and go on". */
const SILENCE_MS = 1_200;
const ROUNDS = 3;
const REPLICAS = 2;
const SLOTS = 8;
const EVENTS = 55;
/** The site's `gap_aim_ms` is 300. */
const GAP_MS = 40;
const GRACE_MS = 8_000;
/** `Deadline` and `timeoutMs` of the streams, less what a gateway may take off so that its answer comes in time. */
const DEADLINE_MS = 4_900;
const STREAMS = REPLICAS * SLOTS;
const zones = ["at-east-a", "at-east-b", "at-east-c"];

const lines = [];
const startedAtMs = Date.now();
const since = atMs => ((atMs - startedAtMs) / 1_000).toFixed(3);
const note = text => lines.push(`${since(Date.now())} s  ${text}`);

function newStreamRoute() {
    const config = newConfig();
    const route = {
        name: "rebook-note",
        host: HOST,
        pathPrefix: "/lohu930/",
        kind: "streaming",
        service: SERVICE,
        timeoutMs: 5_000,
        targetLatencyMs: 300,
        priority: 0,
        maxAttempts: 2,
        public: false,
        resumable: true,
        sessionAffinity: true,
        gapAimMs: 300,
    };
    return { ...config, routes: [...config.routes, route] };
}

/** Sends a stream and waits for its end. */
function stream(gateway) {
    const sent = { requestId: newId(), atMs: Date.now(), events: 0, end: "" };
    sent.done = new Promise(resolve => {
        const request = http.request({
            host: "127.0.0.1",
            port: gateway.port,
            method: "POST",
            path: "/lohu930/2f",
            agent: new http.Agent({ keepAlive: true, maxSockets: 1 }),
            headers: {
                Host: HOST,
                "Request-Id": sent.requestId,
                Model: "m",
                "Token-Count": "450,60",
                "Prompt-Prefix": `5c1e07a2:200,${sent.requestId}:250`,
                Deadline: "5000",
                Authorization: `Token ${KEY}`,
            },
        }, incoming => {
            sent.status = incoming.statusCode;
            incoming.on("data", chunk => {
                sent.events += String(chunk).split("id: ").length - 1;
            });
            incoming.on("error", () => undefined);
            incoming.on("close", () => {
                sent.end = incoming.complete ? "whole" : "cut";
                sent.endedAtMs = Date.now();
                resolve();
            });
        });
        request.on("error", error => {
            sent.end = error.code;
            sent.endedAtMs = Date.now();
            resolve();
        });
        request.end("x".repeat(1_500));
    });
    return sent;
}

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    const runs = new Map();
    try {
        store.write("config", "main", newStreamRoute());
        for (let index = 0; index < REPLICAS; index += 1) {
            const replica = new Replica(`i-${index + 1}`, {
                service: SERVICE,
                zone: zones[index],
                slots: SLOTS,
                gapMs: GAP_MS,
                newEvents: () => Array(EVENTS).fill("x".repeat(40)),
                onRun: (where, run) => runs.set(run.requestId, [...runs.get(run.requestId) ?? [], where.id]),
            });
            await replica.start(store, 1_200);
            replicas.push(replica);
        }
        await fleet.start(["front-a-1", "front-b-1", "front-c-1"]);
        let broken = 0;
        for (let round = 0; round < ROUNDS; round += 1) {
            await sleep(4_000);
            const gateway = fleet.gateways[round % fleet.gateways.length];
            const streams = Array.from({ length: STREAMS }, () => stream(gateway));
            await sleep(600);
            fleet.signal(gateway, "SIGTERM");
            const atMs = Date.now();
            note(`SIGTERM to ${gateway.name} with ${STREAMS} streams; replicas run ${replicas.map(({ running }) => running).join(", ")}`);
            await sleep(200);
            if (IS_TROUBLE) {
                replicas.forEach(replica => replica.silence(SILENCE_MS));
                note(`both replicas are silent for ${SILENCE_MS} ms`);
            }
            await Promise.all(streams.map(({ done }) => done));
            for (const { requestId, atMs: sentAtMs, status, events, end, endedAtMs } of streams) {
                const where = runs.get(requestId) ?? [];
                const isExcused = endedAtMs - sentAtMs >= DEADLINE_MS || endedAtMs - atMs >= GRACE_MS * 5 / 6;
                if (where.length > 0 && end !== "whole" && !isExcused) {
                    broken += 1;
                    note(`${requestId} was passed on to ${where.join(" and ")}; ${status}, ${events} of ${EVENTS} events, ${end} ${
                        ((endedAtMs - atMs) / 1_000).toFixed(3)
                    } s after SIGTERM`);
                }
                else {
                    note(`${requestId}: ${status}, ${events} events, ${end}; passed on to ${where.join(" and ") || "none"}`);
                }
            }
            await sleep(6_000);
        }
        note(`${broken} of ${ROUNDS * STREAMS} streams ended without a complete answer`);
        return broken > 0 ? 1 : 0;
    }
    finally {
        await fleet.stop();
        replicas.forEach(replica => replica.stop());
        store.close();
    }
}

const code = await main().catch(error => {
    note(`could not run: ${error.stack}`);
    return 2;
});
note(code === 1 ? "LOST: streams that were passed on were cut" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
