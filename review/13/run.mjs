import http from "node:http";
import { HAS_TROUBLE, HOST, newConfig, runCase, send, sleep } from "../common-3/harness.mjs";

const TENANTS = 8;
const MAX_WAITING_TOKENS = 890_000;
const ITEMS = 200;
const ITEM_TOKENS = 150;
const BODY_BYTES = 300;
/** As many jobs as the tenants' limits let wait. */
const JOBS = TENANTS * Math.floor(MAX_WAITING_TOKENS / (ITEMS * ITEM_TOKENS));
const JOB_INTERVAL_MS = 165;
const SETTLE_MS = 6_000;
/** The disruption: `node_kill`, the process that holds the lease, once. */
const DOWN_MS = 3_500;
const RESTART_MS = 500;
const WATCHED_MS = 15_000;

const LOOKUPS = 16;
const LOOKUP_MS = 600;
const MAX_CUT = 3;

/** LOST: a machine in touch closes kept channels whose requests it has passed on, without an answer. */
await runCase(import.meta.url, async deployment => {
    const tenants = Array.from({ length: TENANTS }, (_, index) => (
        { name: `tenant-${index}`, apiKeys: [`key-${index}`], priority: 0, ratePerS: 0, burst: 0 }
    ));
    const lm = { events: 20, gapMs: 150 };
    const plain = { service: "plain", events: 1, gapMs: LOOKUP_MS };
    await deployment.start({
        config: newConfig({ tenants }),
        zones: ["east", "west"],
        replicas: ["east", "west"].flatMap(zone => [{ zone, ...lm }, { zone, ...plain }, { zone, ...plain }]),
    });
    await sleep(1_500);
    const ends = { killed: undefined, own: [], isOver: false };
    deployment.gateways.forEach(gateway => void restartAfterEnds(deployment, gateway, ends));
    const statuses = await submitJobs(deployment);
    deployment.note(`client: ${JOBS} batch jobs were answered ${JSON.stringify(statuses)}`);
    await sleep(SETTLE_MS);
    const lookups = deployment.gateways.flatMap(gateway =>
        Array.from({ length: LOOKUPS }, (_, index) => sendLookups(deployment, gateway, index, ends))
    );
    await sleep(1_000);
    if (HAS_TROUBLE) {
        ends.killed = deployment.getCoordinator();
        deployment.signal(ends.killed, "SIGKILL");
    }
    await sleep(WATCHED_MS);
    ends.isOver = true;
    const cut = (await Promise.all(lookups)).flat().filter(({ gateway }) => gateway !== ends.killed);
    const passedOn = cut.filter(({ requestId }) =>
        deployment.replicas.some(({ runs }) => runs.some(run => run.requestId === requestId))
    );
    deployment.note(`ended by themselves: ${ends.own.join(", ") || "none"}; lookups passed on and cut: ${passedOn.length}`);
    return passedOn.length > MAX_CUT
        ? [`LOST: ${passedOn.length} lookups on kept channels were passed on and cut; ${ends.own.join(", ")} ended by itself`]
        : [];
});

/** As on the platform, a process that has ended is started again. */
async function restartAfterEnds(deployment, gateway, ends) {
    for (;;) {
        await gateway.exited;
        if (ends.isOver) {
            return;
        }
        const wasKilled = ends.killed === gateway && !ends.own.includes(gateway.name);
        if (!wasKilled) {
            ends.own.push(gateway.name);
            const [reason = "no reason found"] = /FATAL ERROR[^\n]*/.exec(gateway.lines.join("")) ?? [];
            deployment.note(`${gateway.name} has ended by itself: ${reason}`);
        }
        gateway.lines.length = 0;
        await sleep(wasKilled ? DOWN_MS : RESTART_MS);
        deployment.launch(gateway);
    }
}

/** @returns How often each status came. */
async function submitJobs(deployment) {
    const counts = {};
    const submissions = [];
    for (let number = 0; number < JOBS; number += 1) {
        submissions.push(submit(deployment.gateways[number % deployment.gateways.length], number).then(status => {
            counts[status] = (counts[status] ?? 0) + 1;
        }));
        await sleep(JOB_INTERVAL_MS);
    }
    await Promise.all(submissions);
    return counts;
}

async function submit(gateway, number) {
    const items = Array.from({ length: ITEMS }, (_, index) => {
        const id = (number * 1_000 + index).toString(16).padStart(16, "0");
        return {
            id,
            path: `/jobs/${number}/${index}`,
            headers: { Model: "m", "Token-Count": "100,50", "Prompt-Prefix": `9c2e41:60,${id}:40` },
            body: Buffer.alloc(BODY_BYTES, number + index).toString("base64"),
            tokens: ITEM_TOKENS,
        };
    });
    const { status } = await send({
        port: gateway.front,
        path: `/jobs/${number}`,
        headers: {
            "Request-Id": `job-${number}`,
            Authorization: `Token key-${number % TENANTS}`,
            Deadline: "4000",
            "Content-Type": "application/json",
        },
        body: JSON.stringify({ items }),
    });
    return status;
}

/** @returns The lookups whose channel was closed without an answer. */
async function sendLookups(deployment, gateway, index, ends) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const cut = [];
    for (let number = 0; !ends.isOver; number += 1) {
        const requestId = `lookup-${gateway.name}-${index}-${number}`;
        const { status, isReused } = await lookUp(gateway, requestId, agent);
        if (status === 0) {
            deployment.note(`client: ${requestId} got no answer, on a ${isReused ? "kept" : "new"} channel`);
            if (isReused) {
                cut.push({ requestId, gateway });
            }
            await sleep(200);
        }
    }
    agent.destroy();
    return cut;
}

function lookUp(gateway, requestId, agent) {
    return new Promise(resolve => {
        const request = http.request({
            host: "127.0.0.1",
            port: gateway.front,
            method: "POST",
            path: `/lookup/${requestId}`,
            agent,
            headers: {
                Host: HOST,
                "Request-Id": requestId,
                Authorization: "Token key-0",
                Deadline: "5000",
                "Content-Length": 0,
            },
        });
        const finish = status => resolve({ status, isReused: request.reusedSocket });
        request.on("error", () => finish(0));
        request.on("response", response => {
            response.on("error", () => undefined);
            response.on("close", () => finish(response.complete ? response.statusCode : 0));
            response.resume();
        });
        request.end();
    });
}
