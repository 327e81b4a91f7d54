// Batch jobs of two services, of which one loses its only replica: see claim.txt.
import { writeFileSync } from "node:fs";
import { Fleet, sleep } from "../common/fleet.mjs";
import { newConfig, newJob, readAll, SERVICE, submit } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
const HEARTBEAT_MS = 1_200;
/** `finishS` of the sheet. */
const FINISH_MS = 18_000;
/** Calm time at the end of which the rule looks, and some seconds more. */
const CALM_MS = 8_000;
const ITEMS = 10;
const LOST_SERVICE = "archiv-lm";
const LOST_PREFIX = "/puxa403/";
/** Jobs of the service that loses its replica, and of the other one. */
const LOST_JOBS = 9;
const SOUND_JOBS = 6;
const REPLICAS = 6;
const EVENTS = 237;
const zones = ["at-east-a", "at-east-b", "at-east-c"];

const lines = [];
const startedAtMs = Date.now();
const note = text => lines.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

function newBothRoutes() {
    const config = newConfig();
    const [sound] = config.routes;
    const lost = { ...sound, name: "archive-digest", pathPrefix: LOST_PREFIX, service: LOST_SERVICE };
    const [service] = config.services;
    return { ...config, routes: [sound, lost], services: [service, { ...service, name: LOST_SERVICE }] };
}

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    const runs = [];
    const addReplica = async (id, service, zone) => {
        const newEvents = () => Array(EVENTS).fill("x".repeat(40));
        const replica = new Replica(id, { service, zone, newEvents, onRun: (where, run) => runs.push({ where, run }) });
        await replica.start(store, HEARTBEAT_MS);
        replicas.push(replica);
        return replica;
    };
    try {
        store.write("config", "main", newBothRoutes());
        for (let index = 0; index < REPLICAS; index += 1) {
            await addReplica(`i-${index + 1}`, SERVICE, zones[index % zones.length]);
        }
        const only = await addReplica("a-1", LOST_SERVICE, zones[0]);
        await fleet.start(["front-a-1", "front-b-1", "front-c-1"]);
        await sleep(3_000);
        const { gateways } = fleet;
        const handIn = async (count, prefix) => {
            const jobs = Array.from({ length: count }, () => newJob(ITEMS, { prefix }));
            await Promise.all(jobs.map(async (job, index) => {
                const order = gateways.map((_, step) => gateways[(index + step) % gateways.length]);
                const statuses = await submit(order, job);
                job.isAccepted = statuses.at(-1) === 202;
                note(`job ${job.jobId} under ${prefix} answered ${statuses.join(", ")}`);
            }));
            return jobs;
        };
        const lostJobs = await handIn(LOST_JOBS, LOST_PREFIX);
        await sleep(300);
        if (IS_TROUBLE) {
            only.crash(HEARTBEAT_MS);
            note(`the only replica of ${LOST_SERVICE} has crashed and doesn't come back`);
        }
        await sleep(1_000);
        const soundJobs = await handIn(SOUND_JOBS, "/pule252/");
        if ([...lostJobs, ...soundJobs].some(({ isAccepted }) => !isAccepted)) {
            return 2;
        }
        const endAtMs = Date.now() + FINISH_MS + CALM_MS;
        let missing = 0;
        await Promise.all(soundJobs.map(async ({ jobId, items }) => {
            const { results, statuses } = await readAll(gateways, jobId, items.length, endAtMs);
            missing += items.length - results.length;
            const ran = new Set(runs.map(({ run }) => run.requestId));
            const unrun = items.filter(({ id }) => !ran.has(id)).length;
            note(`job ${jobId}: ${results.length} of ${items.length} listed, ${unrun} reached no replica; reads ${
                JSON.stringify(statuses)
            }`);
        }));
        const soundRuns = runs.filter(({ where }) => where.service === SERVICE);
        const lastAtMs = Math.max(startedAtMs, ...soundRuns.map(({ run }) => run.atMs));
        const running = replicas.filter(({ service }) => service === SERVICE).map(({ running: count }) => count);
        note(`replicas of ${SERVICE} run ${running.join(", ")} requests now, with 8 slots each; the last run began ${
            ((Date.now() - lastAtMs) / 1_000).toFixed(1)
        } s ago`);
        return missing > 0 ? 1 : 0;
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
note(code === 1 ? "LOST: accepted items of the sound service are not listed" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
