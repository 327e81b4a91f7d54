import { sleep } from "@heatherline/common";
import { callJson, Cluster, type DaemonChild } from "../standins/cluster";
import { applyDocuments, issueKey, newModelService } from "../standins/documents";
import { printTable } from "./output";

const ITEMS = 200_000;
const SAMPLE_MS = 1_000;
const MAX_RUN_MS = 300_000;

/** Items a second of one instance, store calls an item and memory, for one job of 200,000 small items. */
export async function benchBatch(): Promise<void> {
    const cluster = new Cluster();
    try {
        const platform = await cluster.startPlatform();
        const endpoints = [];
        for (let index = 0; index < 2; index += 1) {
            const child = await cluster.startEndpoint(
                "--warm",
                "--slots",
                "64",
                "--firstTokenMs",
                "1",
                "--tokenMs",
                "0",
            );
            endpoints.push({ child, dataCentre: "east", maxConcurrency: 64, coldConcurrency: 64 });
        }
        const daemon = await cluster.startDaemon("alone", "east", "--log-level", "warn");
        const organisation = { organisation: "alpha", ratePerS: 10_000, burst: 10_000 };
        await applyDocuments(daemon, newModelService("lm", endpoints, [organisation]));
        const headers = { authorization: `Bearer ${(await issueKey(daemon, "alpha")).secretKey}` };
        await sleep(4_000);
        const memoryBefore = await readMemoryMb(daemon);
        const callsBefore = (await callJson(platform.port, "/counts")).json;
        const submitMs = performance.now();
        const job = await submit(daemon, headers);
        const submittedMs = performance.now() - submitMs;
        const startMs = performance.now();
        let memoryMax = 0;
        let completed = 0;
        while (completed < ITEMS && performance.now() - startMs < MAX_RUN_MS) {
            await sleep(SAMPLE_MS);
            memoryMax = Math.max(memoryMax, await readMemoryMb(daemon));
            completed =
                (await callJson(daemon.port, `/v1/batches/${job}`, { headers })).json.request_counts?.completed ??
                    completed;
        }
        const elapsedS = (performance.now() - startMs) / 1_000;
        const calls = (await callJson(platform.port, "/counts")).json;
        printTable(`one job of ${ITEMS} small items on one instance`, [{
            completed,
            "stored in s": submittedMs / 1_000,
            "items/s": completed / elapsedS,
            "store writes an item": (calls.writes - callsBefore.writes) / ITEMS,
            "store reads an item": (calls.reads - callsBefore.reads) / ITEMS,
            "memory before MB": memoryBefore,
            "memory most MB": memoryMax,
        }]);
    }
    finally {
        await cluster.stop();
    }
}

async function submit(daemon: DaemonChild, headers: Record<string, string>): Promise<string> {
    const body = { model: "lm-model", max_tokens: 1, messages: [{ role: "user", content: "Summarise" }] };
    const lines = Array.from(
        { length: ITEMS },
        (_, index) => JSON.stringify({ custom_id: `i-${index}`, url: "/v1/chat/completions", body }),
    );
    const reply = await callJson(daemon.port, "/v1/batches", {
        headers: { ...headers, "idempotency-key": "large" },
        body: lines.join("\n"),
        timeoutMs: 120_000,
    });
    if (reply.status !== 201) {
        throw new Error(`job refused: ${reply.status} ${reply.text.slice(0, 300)}`);
    }
    return reply.json.id;
}

async function readMemoryMb(daemon: DaemonChild): Promise<number> {
    const text = (await callJson(daemon.port, "/metrics")).text;
    return Number(/^process_resident_memory_bytes (\S+)/m.exec(text)?.[1] ?? 0) / 1e6;
}
