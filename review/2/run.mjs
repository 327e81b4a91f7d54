// A batch job whose results wait while the platform's store is down: see claim.txt.
import { writeFileSync } from "node:fs";
import { Fleet, sleep } from "../common/fleet.mjs";
import { newConfig, newJob, readAll, SERVICE, submit } from "../common/jobs.mjs";
import { Replica } from "../common/replica.mjs";
import { Store } from "../common/store.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
/** How long the store is down; the site's days have up to 6.1 s. */
const DOWN_MS = 4_500;
/** `finishS` of the sheet: batch jobs have this long after traffic has ended. */
const FINISH_MS = 18_000;
const ITEMS = 200;
const REPLICAS = 6;
const EVENTS = 240;
/** 20 characters of three bytes each: the 60 bytes of an event on the sheet. */
const TEXT = "録音ブースの予約を確認しました。明日十時";
const zones = ["at-east-a", "at-east-b", "at-east-c"];

const lines = [];
const startedAtMs = Date.now();
const note = text => lines.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);

async function main() {
    const store = new Store();
    const fleet = new Fleet(await store.listen(), zones);
    const replicas = [];
    const runs = [];
    try {
        store.write("config", "main", newConfig());
        for (let index = 0; index < REPLICAS; index += 1) {
            const replica = new Replica(`i-${index + 1}`, {
                service: SERVICE,
                zone: zones[index % zones.length],
                newEvents: () => Array.from({ length: EVENTS }, () => TEXT),
                onRun: (where, run) => runs.push({ where: where.id, run }),
            });
            await replica.start(store, 1_200);
            replicas.push(replica);
        }
        await fleet.start(["front-a-1", "front-b-1", "front-c-1"]);
        await sleep(3_000);
        const job = newJob(ITEMS);
        const [first, ...others] = fleet.gateways;
        const statuses = await submit([first, ...others], job);
        note(`job ${job.jobId} of ${ITEMS} items answered ${statuses.join(", ")}`);
        if (statuses.at(-1) !== 202) {
            return 2;
        }
        await sleep(500);
        if (IS_TROUBLE) {
            store.setMode("busy");
            note("the store is down (503)");
        }
        await sleep(DOWN_MS);
        store.setMode("up");
        note("the store is up");
        const endAtMs = Date.now() + FINISH_MS + 8_000;
        const { results, statuses: reads } = await readAll(fleet.gateways, job.jobId, ITEMS, endAtMs);
        const listed = new Set(results.map(({ id }) => id));
        const whole = new Set(runs.filter(({ run }) => run.isWhole).map(({ run }) => run.requestId));
        const missing = job.items.filter(({ id }) => !listed.has(id));
        const lastRunAtMs = Math.max(...runs.map(({ run }) => run.atMs));
        note(`reads were answered ${JSON.stringify(reads)}`);
        note(`${results.length} of ${ITEMS} items are listed; replicas have wholly run ${whole.size}`);
        note(`the last run began ${((lastRunAtMs - startedAtMs) / 1_000).toFixed(3)} s after the start`);
        const missingIds = missing.map(({ id }) => id);
        const runOfMissing = missingIds.filter(id => whole.has(id)).length;
        if (missing.length > 0) {
            note(`${missing.length} items are not listed, of which replicas have wholly run ${runOfMissing}:`);
            note(missingIds.join(" "));
        }
        const counts = new Map();
        store.tooLarge.forEach(text => counts.set(text, (counts.get(text) ?? 0) + 1));
        counts.forEach((times, text) => note(`the store refused ${times} times: ${text} (valueBytes 1048576)`));
        for (const { id } of replicas) {
            note(`${id} was sent ${runs.filter(({ where }) => where === id).length} runs of items`);
        }
        // The rule looks only where nothing was going on: no run in the last 5 s, and so none that was finished in 3 s.
        const calmSinceMs = Date.now() - 5_000;
        const isCalm = runs.every(({ run }) => (run.endedAtMs ?? Infinity) < calmSinceMs);
        const running = replicas.map(({ running: count }) => count);
        note(`replicas run ${running.join(", ")} requests now; a run in the last 5 s: ${isCalm ? "none" : "yes"}`);
        return missing.length > 0 && isCalm ? 1 : 0;
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
note(code === 1 ? "LOST: accepted items are not listed" : code === 0 ? "the rule held" : "not run");
writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
