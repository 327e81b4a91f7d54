// Clients of batch jobs (PROTOCOL.md, "Batch jobs") and the configuration that they use.
import { call, sleep } from "./fleet.mjs";

export const HOST = "digest.example";
export const KEY = "2b9wu3fexd9dnn2ctnfz";
export const TENANT = "huka270";
export const SERVICE = "kabinen-lm";

/** A configuration with one batch route, as on the sheet of the first installation. */
export function newConfig(changes = {}) {
    return {
        version: 3,
        routes: [{
            name: "session-digest",
            host: HOST,
            pathPrefix: "/pule252/",
            kind: "batch",
            service: SERVICE,
            timeoutMs: 15_000,
            targetLatencyMs: 400,
            priority: 2,
            maxAttempts: 3,
            public: false,
            resumable: true,
            sessionAffinity: true,
            gapAimMs: 300,
            completionTargetMs: 18_000,
            retentionS: 90,
            maxCount: 890_000,
            ...changes,
        }],
        services: [{ name: SERVICE, healthPath: "/healthz", maxConns: 360, warmupS: 3, warmupPerS: 20 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: TENANT, apiKeys: [KEY], priority: 0, ratePerS: 0, burst: 0 }],
    };
}

let count = 0;

/** An id that no other request of this run has. */
export function newId() {
    count += 1;
    return `${process.pid.toString(16).padStart(8, "0")}${count.toString(16).padStart(8, "0")}`;
}

export function newJob(itemCount, { bodyBytes = 300, tokens = 587, prefix = "/pule252/" } = {}) {
    const jobId = newId();
    const items = Array.from({ length: itemCount }, () => {
        const id = newId();
        const headers = { Model: "m", "Token-Count": `350,${tokens - 350}`, "Prompt-Prefix": `9c2e41:100,${id}:250` };
        const body = Buffer.alloc(bodyBytes, `${id} `).toString("base64");
        return { id, path: `${prefix}3/${id}`, headers, body, tokens };
    });
    return { jobId, items, prefix };
}

function newHeaders(jobId, more = {}) {
    return { Host: HOST, Authorization: `Token ${KEY}`, "Request-Id": jobId, ...more };
}

/** Hands a job in, again after each answer that leaves it open, at another gateway each time. */
export async function submit(gateways, { jobId, items, prefix }, { tries = 2, deadlineMs = 4_000 } = {}) {
    const body = JSON.stringify({ items });
    const statuses = [];
    for (let index = 0; index < tries; index += 1) {
        const { port } = gateways[index % gateways.length];
        const headers = newHeaders(jobId, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            Deadline: String(deadlineMs),
        });
        const reply = await call(port, { path: `${prefix}7c41e0`, headers, body, timeoutMs: deadlineMs });
        statuses.push(reply.status);
        if (reply.status === 202) {
            break;
        }
        await sleep(200);
    }
    return statuses;
}

/** Reads results from a position on; undefined unless the answer was 200. */
export async function readResults({ port }, jobId, after) {
    const headers = newHeaders(newId(), { "Poll-Wait": "1000" });
    const reply = await call(port, { method: "GET", path: `/-/lots/${jobId}?after=${after}`, headers });
    return { status: reply.status, page: reply.status === 200 ? JSON.parse(reply.body) : undefined };
}

/** Reads a job's results at changing gateways until all are there or the time is over. */
export async function readAll(gateways, jobId, total, untilMs) {
    const results = [];
    const statuses = {};
    for (let index = 0; results.length < total && Date.now() < untilMs; index += 1) {
        const { status, page } = await readResults(gateways[index % gateways.length], jobId, results.length);
        statuses[status] = (statuses[status] ?? 0) + 1;
        results.push(...page?.results ?? []);
        await sleep(300);
    }
    return { results, statuses };
}
