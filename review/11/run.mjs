import {
    checkRepeatedPart,
    HAS_TROUBLE,
    KEY,
    newConfig,
    newWindow,
    readResults,
    runCase,
    sendStreams,
    sleep,
    submitJob,
} from "../common-3/harness.mjs";

const FINISH_MS = 30_000;
const PAUSE_MS = 3_000;
const ROUNDS = 9;
const TENANTS = [{ name: "alpha", key: KEY }, { name: "beta", key: "beta-key" }];
/** Both clients number the items of their batch jobs. */
const ITEM_IDS = Array.from({ length: 10 }, (_, index) => String(index + 1));
const EVENTS = 237;
const EVENT_GAP_MS = 8;
const STREAM = { events: 34, gapMs: 15 };
const REPLICAS = 6;
const MAX_COPIES = 2;

/** The disruption: `garble`, "extra late", at one of the two replicas, for 5 s. */
const MAX_REPEATED_PART = 0.03;
const WINDOW_MS = 5_000;
/** No answer is chosen later than this before the end of a window, so that its copy is sent within the window, too. */
const COPY_MARGIN_MS = 1_000;
const STREAM_INTERVAL_MS = 34;

/** MIXED: a result is `completed` and its text isn't the item's output, but that of another tenant's item. */
await runCase(import.meta.url, async deployment => {
    const tenants = TENANTS.map(({ name, key }) => ({ name, apiKeys: [key], priority: 0, ratePerS: 0, burst: 0 }));
    const newText = ({ headers, requestId }) => `${headers.tenant}-${requestId}`;
    await deployment.start({
        config: newConfig({ tenants }),
        zones: ["east", "west"],
        replicas: Array.from({ length: REPLICAS }, (_, index) => (
            { zone: index % 2 === 0 ? "east" : "west", newText, ...STREAM }
        )),
    });
    const faulty = deployment.replicas.filter((_, index) => index % 2 === 0);
    const isItem = requestId => ITEM_IDS.includes(requestId);
    let copies = 0;
    let copiedUntilMs = 0;
    for (const replica of deployment.replicas) {
        replica.behave = ({ requestId }) => isItem(requestId) ? { events: EVENTS, gapMs: EVENT_GAP_MS } : {};
        replica.isRepeated = ({ requestId }) => {
            const isCopied = HAS_TROUBLE && faulty.includes(replica) && isItem(requestId) && copies < MAX_COPIES && Date.now() < copiedUntilMs;
            copies += isCopied ? 1 : 0;
            return isCopied;
        };
    }
    const breaches = [];
    for (let round = 1; round <= ROUNDS; round += 1) {
        copies = 0;
        copiedUntilMs = Date.now() + WINDOW_MS - COPY_MARGIN_MS;
        const window = newWindow(faulty);
        const online = sendStreams(deployment, { durationMs: WINDOW_MS, intervalMs: STREAM_INTERVAL_MS });
        await sleep(200);
        for (const tenant of TENANTS) {
            breaches.push(...await playJob(deployment, tenant, round));
        }
        await online;
        checkRepeatedPart(deployment, window, MAX_REPEATED_PART);
        await sleep(PAUSE_MS);
    }
    return breaches;
});

async function playJob(deployment, { name, key }, round) {
    const [gateway] = deployment.gateways;
    const jobId = `job-${name}-${round}`;
    if (await submitJob(deployment, gateway, { jobId, itemIds: ITEM_IDS, key }) !== 202) {
        throw new Error(`${jobId} was not accepted`);
    }
    const endAtMs = Date.now() + FINISH_MS;
    while (Date.now() < endAtMs) {
        const results = await readResults(gateway, jobId, key);
        if (results.length === ITEM_IDS.length) {
            return results.flatMap(result => judge(deployment, name, jobId, result));
        }
        await sleep(200);
    }
    return [`LOST: not all items of ${jobId} are listed`];
}

function judge(deployment, name, jobId, { id, state, output }) {
    const expected = Array.from({ length: EVENTS }, (_, index) => `${name}-${id}-${index + 1}`).join("\n");
    const isOwn = output === expected;
    deployment.note(`client of ${name}: item ${id} of ${jobId} is ${state}, ${isOwn ? "" : "not "}with its own output`);
    return state === "completed" && !isOwn
        ? [`MIXED: item ${id} of ${jobId}, of tenant ${name}, is completed with "${output.slice(0, 20)}..."`]
        : [];
}
