// A batch job whose items wait while a config adds a route: see claim.txt.
import { writeFileSync } from "node:fs";
import { call, Fleet, sleep } from "../common/fleet.mjs";
import { HOST, KEY, newConfig, newId, newJob, readAll, SERVICE, submit } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
/** `retentionS` of the batch route. */
const RETENTION_S = 90;
const FINISH_MS = 18_000;
const ITEMS = 100;
const REPLICAS = 2;
const EVENTS = 237;
const ONLINE_EVENTS = 34;
/** Streams come in steps, as in the site's traffic; they go before items and take their places. */
const STREAMS_AT_ONCE = 14;
const STREAMS_GAP_MS = 600;
const STREAMS_MS = 10_000;
const zones = ["at-east-a", "at-east-b", "at-east-c"];

const lines = [];
const startedAtMs = Date.now();
const note = text => lines.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

function newRoutes(hasNewRoute) {
    const config = newConfig({ retentionS: RETENTION_S });
    const [jobs] = config.routes;
    const online = {
        host: HOST,
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
    const first = { ...online, name: "slot-confirm", pathPrefix: "/lohu930/" };
    const added = { ...online, name: "slot-confirm-3", pathPrefix: "/pule252/3/" };
    return { ...config, version: hasNewRoute ? 5 : 3, routes: [jobs, first, ...hasNewRoute ? [added] : []] };
}

async function stream(gateway) {
    const id = newId();
    const reply = await call(gateway.port, {
        path: "/lohu930/2f",
        headers: {
            Host: HOST,
            "Request-Id": id,
            Model: "m",
            "Token-Count": "450,40",
            "Prompt-Prefix": `5c1e07a2:200,${id}:250`,
            Deadline: "5000",
            Authorization: `Token ${KEY}`,
        },
        body: "x".repeat(1_500),
    });
    return reply.status;
}

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    try {
        store.write("config", "main", newRoutes(false));
        for (let index = 0; index < REPLICAS; index += 1) {
            const newEvents = ({ path }) => Array(path.startsWith("/pule252/") ? EVENTS : ONLINE_EVENTS).fill("x".repeat(40));
            const onRun = (where, { path }) => {
                where.runs = (where.runs ?? 0) + (path.startsWith("/pule252/") ? 1 : 0);
            };
            const replica = new Replica(`i-${index + 1}`, { service: SERVICE, zone: zones[index], newEvents, onRun });
            await replica.start(store, 1_200);
            replicas.push(replica);
        }
        await fleet.start(["front-a-1", "front-b-1", "front-c-1"]);
        await sleep(3_000);
        const { gateways } = fleet;
        const job = newJob(ITEMS);
        const statuses = await submit(gateways, job);
        const acceptedAtMs = Date.now();
        note(`job ${job.jobId} of ${ITEMS} items answered ${statuses.join(", ")}`);
        if (statuses.at(-1) !== 202) {
            return 2;
        }
        const streams = [];
        for (let round = 0; Date.now() - acceptedAtMs < STREAMS_MS; round += 1) {
            if (round === 1 && IS_TROUBLE) {
                store.write("config", "main", newRoutes(true));
                note("config version 5 adds the route /pule252/3/; the batch route /pule252/ stays as it is");
            }
            for (let index = 0; index < STREAMS_AT_ONCE; index += 1) {
                streams.push(stream(gateways[index % gateways.length]));
            }
            await sleep(STREAMS_GAP_MS);
        }
        const answers = {};
        for (const status of await Promise.all(streams)) {
            answers[status] = (answers[status] ?? 0) + 1;
        }
        note(`streams were answered ${JSON.stringify(answers)}`);
        const { results } = await readAll(gateways, job.jobId, ITEMS, Date.now() + FINISH_MS);
        const dead = results.filter(({ state }) => state === "dead_letter");
        const ageS = ((Date.now() - acceptedAtMs) / 1_000).toFixed(1);
        note(`${results.length} of ${ITEMS} items are listed ${ageS} s after the 202, ${dead.length} as dead_letter`);
        note(`retentionS of the batch route is ${RETENTION_S}; the replicas answer no request with 422 or 500`);
        if (dead.length > 0) {
            note(`given up: ${dead.map(({ id }) => id).join(" ")}`);
        }
        replicas.forEach(({ id, runs }) => note(`${id} was sent ${runs} runs of items`));
        // The job hasn't been ended, its route is in every config, and no run was answered 422 or 500.
        const isBeforeRetention = Date.now() - acceptedAtMs < RETENTION_S * 1_000;
        return dead.length > 0 && isBeforeRetention ? 1 : 0;
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
note(code === 1 ? "MIXED: items are given up that have to be run" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
