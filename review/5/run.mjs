// Streams at a replica that falls silent for a second or so: see claim.txt.
import { writeFileSync } from "node:fs";
import { call, Fleet, sleep } from "../common/fleet.mjs";
import { HOST, KEY, newConfig, newId, SERVICE } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
/** "A sound replica may fall silent for a second or so and go on". */
const SILENCE_MS = 1_300;
const SILENCES = 6;
const SILENCE_GAP_MS = 6_000;
/** The rule allows a replica this long to end its work at a request that goes on elsewhere. */
const OVERLAP_MS = 400;
const REPLICAS = 3;
const EVENTS = 55;
const GAP_MS = 40;
const CLIENTS = 12;
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

async function runClient(gateway, isOver, answers) {
    while (!isOver()) {
        const requestId = newId();
        const reply = await call(gateway.port, {
            path: "/lohu930/2f",
            headers: {
                Host: HOST,
                "Request-Id": requestId,
                Model: "m",
                "Token-Count": "450,60",
                "Prompt-Prefix": `5c1e07a2:200,${requestId}:250`,
                Deadline: "5000",
                Authorization: `Token ${KEY}`,
            },
            body: "x".repeat(1_500),
        });
        answers.set(requestId, reply);
        await sleep(100);
    }
}

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    const runs = new Map();
    const answers = new Map();
    try {
        store.write("config", "main", newStreamRoute());
        for (let index = 0; index < REPLICAS; index += 1) {
            const replica = new Replica(`i-${index + 1}`, {
                service: SERVICE,
                zone: zones[index],
                gapMs: GAP_MS,
                newEvents: () => Array(EVENTS).fill("x".repeat(40)),
                onRun: (where, run) => runs.set(run.requestId, [...runs.get(run.requestId) ?? [], { where, run }]),
            });
            await replica.start(store, 1_200);
            replicas.push(replica);
        }
        await fleet.start(["front-a-1", "front-b-1", "front-c-1"]);
        await sleep(3_000);
        const beganAtMs = Date.now();
        const isOver = () => Date.now() - beganAtMs > SILENCES * SILENCE_GAP_MS;
        const clients = Array.from({ length: CLIENTS }, (_, index) =>
            runClient(fleet.gateways[index % fleet.gateways.length], isOver, answers)
        );
        for (let index = 0; index < SILENCES; index += 1) {
            await sleep(SILENCE_GAP_MS / 2);
            if (IS_TROUBLE) {
                const replica = replicas[index % replicas.length];
                replica.silence(SILENCE_MS);
                note(`${replica.id} is silent for ${SILENCE_MS} ms and runs ${replica.running} requests`);
            }
            await sleep(SILENCE_GAP_MS / 2);
        }
        await Promise.all(clients);
        await sleep(500);
        let broken = 0;
        for (const [requestId, [first, second]] of runs) {
            if (second === undefined || first.where === second.where) {
                continue;
            }
            const overlapMs = (first.run.endedAtMs ?? Infinity) - second.run.atMs;
            broken += overlapMs > OVERLAP_MS ? 1 : 0;
            note(`${requestId} goes on at ${second.where.id} at ${since(second.run.atMs)} s with Last-Event-Id ${
                second.run.headers["last-event-id"]
            }; ${first.where.id} worked on it for ${overlapMs} ms more`);
        }
        const statuses = {};
        for (const { status } of answers.values()) {
            statuses[status] = (statuses[status] ?? 0) + 1;
        }
        note(`${answers.size} streams were answered ${JSON.stringify(statuses)}; ${broken} ran at two replicas for more than ${
            OVERLAP_MS
        } ms`);
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
note(code === 1 ? "TWICE: requests go on while the replica before still works on them" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
