import {
    checkRepeatedPart,
    HAS_TROUBLE,
    KEY,
    newConfig,
    readResults,
    runCase,
    sendStreams,
    sleep,
    submitJob,
} from "../common-3/harness.mjs";

const FINISH_MS = 30_000;
const PAUSE_MS = 300;
const TENANTS = [{ name: "alpha", key: KEY }, { name: "beta", key: "beta-key" }];
/** Both clients number the items of their batch jobs. */
const ITEM_IDS = ["1"];

/** The disruption: `garble`, "extra late", at one of the two replicas, for 5 s. */
const MAX_REPEATED_PART = 0.03;
const WINDOW_MS = 5_000;
const STREAM_INTERVAL_MS = 30;

/** MIXED: a result is `completed` and its text isn't the item's output, but that of another tenant's item. */
await runCase(import.meta.url, async deployment => {
    const tenants = TENANTS.map(({ name, key }) => ({ name, apiKeys: [key], priority: 0, ratePerS: 0, burst: 0 }));
    const newText = ({ headers, requestId }) => `${headers.tenant}-${requestId}`;
    await deployment.start({
        config: newConfig({ tenants }),
        zones: ["east", "west"],
        replicas: [{ zone: "east", events: 4, newText }, { zone: "west", service: "plain" }],
    });
    const [replica] = deployment.replicas;
    const isItem = requestId => ITEM_IDS.includes(requestId);
    replica.behave = ({ requestId }) => isItem(requestId) ? { delayMs: 50, gapMs: 10 } : { gapMs: 5 };
    replica.isRepeated = ({ requestId }, number) => HAS_TROUBLE && isItem(requestId) && number === 1;
    const online = sendStreams(deployment, { durationMs: WINDOW_MS, intervalMs: STREAM_INTERVAL_MS });
    await sleep(500);
    const breaches = [];
    for (const tenant of TENANTS) {
        breaches.push(...await playJob(deployment, tenant));
        await sleep(PAUSE_MS);
    }
    await online;
    checkRepeatedPart(deployment, replica, MAX_REPEATED_PART);
    return breaches;
});

async function playJob(deployment, { name, key }) {
    const [gateway] = deployment.gateways;
    const jobId = `job-${name}`;
    if (await submitJob(deployment, gateway, { jobId, itemIds: ITEM_IDS, key }) !== 202) {
        throw new Error(`${jobId} was not accepted`);
    }
    const endAtMs = Date.now() + FINISH_MS;
    while (Date.now() < endAtMs) {
        const [result] = await readResults(gateway, jobId, key);
        if (result !== undefined) {
            const { id, state, output } = result;
            deployment.note(`client of ${name}: item ${id} of ${jobId} is ${state}, ${JSON.stringify(output)}`);
            const expected = [1, 2, 3, 4].map(event => `${name}-${id}-${event}`).join("\n");
            return state === "completed" && output !== expected
                ? [`MIXED: item ${id} of ${jobId}, of tenant ${name}, is completed with ${JSON.stringify(output)}`]
                : [];
        }
        await sleep(500);
    }
    return [`LOST: the item of ${jobId} is not listed`];
}
