import {
    checkRepeatedPart,
    HAS_TROUBLE,
    newConfig,
    newWindow,
    readResults,
    runCase,
    sendStreams,
    sleep,
    submitJob,
} from "../common-3/harness.mjs";

const MAX_ATTEMPTS = 3;
const FINISH_MS = 30_000;
const PAUSE_MS = 3_000;
const ROUNDS = 6;
const REPLICAS = 2;
const ITEMS = 10;
const EVENTS = 237;
const EVENT_GAP_MS = 8;
const STREAM = { events: 34, gapMs: 15 };
/** A third of the sheet's rate at its higher steps, for a third of its replicas. */
const STREAM_INTERVAL_MS = 70;

/** The disruption: `garble`, "extra late", at one of two replicas for 5 s at a time. */
const WINDOW_MS = 5_000;
/** No answer is chosen later than this before the end of a window, so that its copy is sent within the window, too. */
const COPY_MARGIN_MS = 1_000;
const MAX_REPEATED_PART = 0.03;
const MAX_COPIES = 1;
/** One item of each job is answered with 500 in these of its runs, wherever it runs; it is completed in any other. */
const FAILED_RUNS = [1, 3];

/** MIXED: an item is a dead letter before a 422 or `maxAttempts` answers of 500. */
await runCase(import.meta.url, async deployment => {
    await deployment.start({
        config: newConfig(),
        zones: ["east", "west"],
        replicas: Array.from({ length: REPLICAS }, (_, index) => ({ zone: index % 2 === 0 ? "east" : "west", ...STREAM })),
    });
    const [faulty] = deployment.replicas;
    let unluckyId;
    let copies = 0;
    let copiedUntilMs = 0;
    for (const replica of deployment.replicas) {
        replica.behave = ({ requestId }) => {
            if (!requestId.startsWith("item")) {
                return {};
            }
            unluckyId ??= replica === faulty ? requestId : undefined;
            const number = findRuns(deployment, requestId).length;
            const hasFailed = requestId === unluckyId && FAILED_RUNS.includes(number);
            return hasFailed ? { status: 500 } : { events: EVENTS, gapMs: EVENT_GAP_MS, delayMs: 20 };
        };
        replica.isRepeated = ({ requestId, status }) => {
            const isCopied = HAS_TROUBLE && replica === faulty && requestId === unluckyId && status === 500
                && copies < MAX_COPIES && Date.now() < copiedUntilMs;
            copies += isCopied ? 1 : 0;
            return isCopied;
        };
    }
    const breaches = [];
    for (let round = 1; round <= ROUNDS; round += 1) {
        unluckyId = undefined;
        copies = 0;
        copiedUntilMs = Date.now() + WINDOW_MS - COPY_MARGIN_MS;
        const window = newWindow([faulty]);
        const online = sendStreams(deployment, { durationMs: WINDOW_MS, intervalMs: STREAM_INTERVAL_MS });
        await sleep(200);
        breaches.push(...await playJob(deployment, round));
        await online;
        checkRepeatedPart(deployment, window, MAX_REPEATED_PART);
        await sleep(PAUSE_MS);
    }
    return breaches;
});

function findRuns(deployment, itemId) {
    return deployment.replicas.flatMap(({ runs }) => runs).filter(({ requestId }) => requestId === itemId);
}

async function playJob(deployment, round) {
    const gateway = deployment.gateways[round % deployment.gateways.length];
    const jobId = `job-${round}`;
    const itemIds = Array.from({ length: ITEMS }, (_, index) => `item-${round}-${index + 1}`);
    if (await submitJob(deployment, gateway, { jobId, itemIds }) !== 202) {
        throw new Error(`${jobId} was not accepted`);
    }
    const endAtMs = Date.now() + FINISH_MS;
    while (Date.now() < endAtMs) {
        const results = await readResults(gateway, jobId);
        if (results.length === ITEMS) {
            return results.flatMap(result => judge(deployment, result));
        }
        await sleep(200);
    }
    return [`LOST: not all items of ${jobId} are listed`];
}

function judge(deployment, { id, state }) {
    const runs = findRuns(deployment, id);
    const answers = runs.map(({ status, end }) => `${status} ${end}`);
    deployment.note(`client: ${id} is ${state}; the replicas' answers: ${answers.join(", ")}`);
    const failures = runs.filter(({ status }) => status === 500).length;
    return state === "dead_letter" && failures < MAX_ATTEMPTS
        ? [`MIXED: ${id} is a dead letter after ${failures} answers of 500, the route's maxAttempts is ${MAX_ATTEMPTS}`]
        : [];
}
