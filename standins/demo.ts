import { sleep } from "@heatherline/common";
import { spawn } from "node:child_process";
import { join } from "node:path";
import { callJson, Cluster, waitFor } from "./cluster";
import { applyDocuments, newModelService, newPlainService } from "./documents";

const JOB_TIMEOUT_MS = 20_000;
const ITEM_COUNT = 20;

async function main(): Promise<void> {
    const cluster = new Cluster();
    const print = (text: string) => process.stdout.write(`${text}\n`);
    try {
        print("Starting the platform's stand-in, four endpoints and three daemons in two data centres.");
        await cluster.startPlatform();
        const models = [await cluster.startEndpoint("--coldMs", "500"), await cluster.startEndpoint("--coldMs", "500")];
        const plain = [await cluster.startEndpoint("--warm"), await cluster.startEndpoint("--warm")];
        const east = await cluster.startDaemon("east-1", "east");
        await cluster.startDaemon("east-2", "east");
        const west = await cluster.startDaemon("west-1", "west");
        const organisations = [{ organisation: "studio-alpha", ratePerS: 50, burst: 50 }];
        const dataCentres = ["east", "west"];
        await applyDocuments(
            east,
            ...dataCentres.map(dataCentre => ({ kind: "data-centre", dataCentre, state: "in" })),
            newModelService(
                "assist",
                models.map((child, index) => ({ child, dataCentre: dataCentres[index] ?? "", warmUpMs: 600 })),
                organisations,
            ),
            newPlainService(
                "calendar",
                plain.map((child, index) => ({ child, dataCentre: dataCentres[index] ?? "", warmUpMs: 600 })),
                organisations,
            ),
        );
        const issued = JSON.parse(
            await runCommandLine(east.port, "key", "issue", "studio-alpha", "--output", "json"),
        ) as {
            key: string;
        };
        const headers = { authorization: `Bearer ${issued.key}` };
        await waitFor(
            "the key and the service to be in force at west-1",
            async () =>
                (await callJson(west.port, "/v1/chat/completions", { headers, body: newChat("hello") })).status ===
                    200,
        );
        print("\nOnline request through west-1:");
        const response = await callJson(west.port, "/v1/chat/completions", {
            headers,
            body: newChat("Which booth is free?"),
        });
        print(`${response.status} ${response.text}`);
        print("\nStream through east-1:");
        const streamedResponse = await callJson(east.port, "/v1/chat/completions", {
            headers,
            body: { ...newChat("Confirm the slot."), stream: true, max_tokens: 4 },
        });
        print(`${streamedResponse.status}\n${streamedResponse.text.trim()}`);
        expect(
            response.status === 200 && streamedResponse.text.includes("[DONE]"),
            "the online responses are successful and complete",
        );
        print("\nBatch job through east-1:");
        const lines = Array.from(
            { length: ITEM_COUNT },
            (_, index) =>
                JSON.stringify({
                    custom_id: `item-${index}`,
                    url: "/v1/chat/completions",
                    body: newChat(`Summary ${index}`),
                }),
        );
        const job = await callJson(east.port, "/v1/batches", {
            headers: { ...headers, "idempotency-key": "demo-job" },
            body: lines.join("\n"),
        });
        print(`${job.status} ${job.text}`);
        const jobPath = `/v1/batches/${job.json.id}`;
        await waitFor(
            "the job to be done",
            async () => (await callJson(west.port, jobPath, { headers })).json.state === "done",
            JOB_TIMEOUT_MS,
        );
        const status = await callJson(west.port, jobPath, { headers });
        print(status.text);
        const results = await callJson(west.port, `${jobPath}/results`, { headers });
        print(`first result, read through west-1: ${JSON.stringify(results.json.results[0])}`);
        expect(status.json.request_counts.completed === ITEM_COUNT, "all batch items are completed");
        print("\nStatus:");
        await sleep(500);
        print(await runCommandLine(east.port, "status"));
        print("Done.");
    }
    finally {
        await cluster.stop();
    }
}

function newChat(content: string): object {
    return { model: "assist-model", messages: [{ role: "user", content }] };
}

function expect(condition: boolean, what: string): void {
    if (!condition) {
        throw new Error(`demonstration failed: ${what}`);
    }
}

function runCommandLine(port: number, ...args: string[]): Promise<string> {
    const child = spawn(process.execPath, [join(import.meta.dirname, "heatherline.mjs"), ...args], {
        env: { ...process.env, HEATHERLINE_URL: `http://127.0.0.1:${port}` },
        stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout.on("data", (data: Buffer) => {
        output += data.toString("utf8");
    });
    return new Promise((resolve, reject) => {
        child.on(
            "close",
            code => code === 0 ? resolve(output) : reject(new Error(`heatherline ${args.join(" ")}: exit ${code}`)),
        );
    });
}

main().then(
    () => process.exit(0),
    (error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        process.exit(1);
    },
);
