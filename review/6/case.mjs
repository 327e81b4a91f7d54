// For some seconds, several times, half of the servers spoil one in fifty of their answers: bytes that are no answer come
// without end until the caller closes. Batch jobs run meanwhile.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    call,
    GENERATION_HEADERS,
    hasTrouble,
    HELD,
    HOST,
    newConfig,
    newId,
    NOT_RUN,
    runCase,
    sleep,
} from "../common-2/harness.mjs";

const JOBS = 34;
const ITEMS = 200;
const TOKENS_PER_ITEM = 160;
const MAX_TOKENS = 890_000;
const TENANTS = ["alpha", "beta"];
const SPOILED_SHARE = 0.5;
/** One in so many answers of a spoiling server: 0.02 of them. */
const ANSWERS_PER_SPOILED = 50;
/** The servers spoil answers for so long, and then none for a while. */
const SPOILING_MS = 5_000;
const PAUSE_MS = 3_000;
const JUNK = `data: ${"z".repeat(300)}\n\n`.repeat(50);
const RESTART_MS = 500;
const MIN_ENDS = 3;
const MIN_MACHINES = 2;
const LENGTH_MS = 85_000;

/** Sends events without the ids that each event of a stream has, without end; the caller reads as fast as it can. */
function sendJunk(entry, response) {
    response.writeHead(200, {
        "Request-Id": entry.requestId,
        "Response-Signature": `sig.${entry.requestId}`,
        "Content-Type": "text/event-stream",
    });
    const pump = () => {
        while (!response.destroyed) {
            if (!response.write(JUNK)) {
                response.once("drain", pump);
                return;
            }
        }
    };
    pump();
}

function isSpoiling(record) {
    return hasTrouble && (Date.now() - record.startedAtMs) % (SPOILING_MS + PAUSE_MS) < SPOILING_MS;
}

function makeSpoiling(server, record) {
    const respond = server.respond.bind(server);
    let answers = 0;
    server.respond = (entry, response, faultText) => {
        answers += isSpoiling(record) ? 1 : 0;
        if (isSpoiling(record) && answers % ANSWERS_PER_SPOILED === 0) {
            record.write(`disruption: server ${server.id} sends bytes without end for ${entry.requestId}`);
            const sinceMs = Date.now();
            response.once("close", () => {
                const sentMb = Math.round((response.socket?.bytesWritten ?? entry.socket.bytesWritten) / 1_000_000);
                record.write(`server ${server.id}: closed after ${Date.now() - sinceMs} ms and ${sentMb} MB`);
            });
            entry.socket = response.socket;
            sendJunk(entry, response);
            return Promise.resolve();
        }
        return respond(entry, response, faultText);
    };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, newDeployment) => {
    const deployment = newDeployment();
    await deployment.start();
    const tenants = TENANTS.map(name => ({ name, apiKeys: [`${name}-key`], priority: 0, ratePerS: 0, burst: 0 }));
    deployment.writeConfig(newConfig({ routes: { jobs: { maxCount: MAX_TOKENS } }, tenants }));
    const zones = ["east", "west"];
    for (const [index, dataCentre] of [...zones, ...zones].entries()) {
        const server = await deployment.addEngine({ service: "lm", dataCentre, eventGapMs: 20 });
        if (index < zones.length * 2 * SPOILED_SHARE) {
            makeSpoiling(server, record);
        }
    }
    for (const zone of zones) {
        for (let index = 1; index <= 2; index += 1) {
            await deployment.addGateway(`front-${zone}-${index}`, zone);
        }
    }
    if (await deployment.waitForLeader() === undefined) {
        return { code: NOT_RUN, reason: "there is no leader" };
    }
    await sleep(2_000);
    const ends = new Map();
    let isOver = false;
    const watch = gateway =>
        gateway.child.once("exit", (code, signal) => {
            if (isOver) {
                return;
            }
            ends.set(gateway.name, (ends.get(gateway.name) ?? 0) + 1);
            const why = gateway.lines.join("\n").match(/FATAL ERROR: [^\n]*/)?.[0] ?? "";
            record.write(`${gateway.name} has ended by itself: ${signal ?? code} ${why}`);
            gateway.lines.length = 0;
            void deployment.restartAfter(gateway, RESTART_MS).then(() => watch(gateway));
        });
    deployment.gateways.forEach(watch);
    const hasEnoughEnds = () => [...ends.values()].filter(times => times >= MIN_ENDS).length >= MIN_MACHINES;
    const jobs = [];
    for (let index = 0; index < JOBS; index += 1) {
        const jobId = newId();
        const items = Array.from({ length: ITEMS }, () => {
            const id = newId();
            const body = Buffer.from("item events=10").toString("base64");
            return { id, path: `/jobs/${id}`, headers: GENERATION_HEADERS, body, tokens: TOKENS_PER_ITEM };
        });
        const tenant = TENANTS[index % TENANTS.length];
        const headers = { Host: HOST, Authorization: `Token ${tenant}-key`, "Request-Id": jobId, Deadline: "4000" };
        const gateway = deployment.gateways[index % deployment.gateways.length];
        const { status } = await call(gateway.front, {
            path: `/jobs/${jobId}`,
            headers,
            body: JSON.stringify({ items }),
        });
        record.write(`client gets ${status} for job ${jobId} of ${ITEMS} items at ${gateway.name}`);
        if (status === 202) {
            jobs.push({ jobId, headers, results: 0 });
        }
    }
    const startMs = Date.now();
    const isDone = () => jobs.every(({ results }) => results === ITEMS);
    while (Date.now() < startMs + LENGTH_MS && !hasEnoughEnds() && !isDone()) {
        await sleep(1_000);
        for (const [index, job] of jobs.entries()) {
            const gateway = deployment.gateways[index % deployment.gateways.length];
            const path = `/-/lots/${job.jobId}?after=${job.results}`;
            const read = await call(gateway.front, { method: "GET", path, headers: job.headers, timeoutMs: 2_000 });
            if (read.status === 200 && read.isComplete) {
                job.results = JSON.parse(read.body).next;
            }
        }
        record.write(`clients have read ${jobs.map(({ results }) => results).join(", ")} results`);
    }
    isOver = true;
    const list = [...ends].map(([name, times]) => `${name} ${times} times`).join(", ") || "none";
    return { code: hasEnoughEnds() ? BROKEN : HELD, reason: `processes that ended by themselves: ${list}` };
});
