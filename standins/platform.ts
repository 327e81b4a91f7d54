import { sleep } from "@heatherline/common";
import { type ListedInstance, MemoryStore, type StoredValue, type StoreError } from "@heatherline/store";
import type { Result } from "neverthrow";
import http from "node:http";
import { parseArgs } from "node:util";

/** Faults and the list of instances, which a test posts as JSON to `/control`; absent fields stay as they are. */
export interface PlatformFaults {
    /** Every call fails. */
    isDown?: boolean;
    /** Delay of each call in milliseconds. */
    delayMs?: number;
    /** Fraction of the writes that take effect but whose response is lost. */
    lostAnswerFraction?: number;
    /** Instances whose calls fail. */
    cutInstances?: string[];
    /** Replaces the list of instances; readers see it after the lag (flag `--listLagMs`). */
    instances?: ListedInstance[];
    /** Lists for individual instances, which they get instead, so that each reaches its peers over its own relays. */
    instancesFor?: Record<string, ListedInstance[]>;
}

const STATUS_BY_ERROR_KIND: Record<StoreError["kind"], number> = {
    conflict: 409,
    unavailable: 503,
    unknown: 500,
    rejected: 413,
    compacted: 410,
};

/**
 * Stand-in for the platform: an object store, a list of instances that is published with a lag, faults on demand, and
 * counts of the calls.
 */
class Platform {
    private readonly store = new MemoryStore();
    private readonly faults: Required<PlatformFaults> = {
        isDown: false,
        delayMs: 0,
        lostAnswerFraction: 0,
        cutInstances: [],
        instances: [],
        instancesFor: {},
    };
    private readonly counts = { reads: 0, writes: 0, watches: 0 };
    private readonly openWatches = new Set<http.ServerResponse>();
    private listedInstances: ListedInstance[] = [];

    constructor(private readonly listLagMs: number) {}

    async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://localhost");
        const body = await readBody(request);
        if (url.pathname === "/control") {
            this.applyFaults(JSON.parse(body) as PlatformFaults);
            response.end("{}");
            return;
        }
        if (url.pathname === "/counts") {
            response.end(JSON.stringify(this.counts));
            return;
        }
        const instance = String(request.headers["x-instance"] ?? "");
        if (this.isCut(instance)) {
            response.destroy();
            return;
        }
        await sleep(this.faults.delayMs);
        const result = await this.call(request, url, body, response, instance);
        const isWrite = request.method === "PUT" || request.method === "DELETE";
        const isLost = isWrite && Math.random() < this.faults.lostAnswerFraction;
        if (isLost || this.isCut(instance)) {
            response.destroy();
            return;
        }
        const status = result.isOk() ? result.value === undefined ? 404 : 200 : STATUS_BY_ERROR_KIND[result.error.kind];
        response.writeHead(status, { "content-type": "application/json" });
        response.end(result.isOk() ? JSON.stringify(result.value ?? {}) : result.error.message);
    }

    private isCut(instance: string): boolean {
        return this.faults.isDown || this.faults.cutInstances.includes(instance);
    }

    private applyFaults(faults: PlatformFaults): void {
        Object.assign(this.faults, faults);
        if (this.faults.isDown) {
            for (const response of this.openWatches) {
                response.destroy();
            }
        }
        const { instances } = faults;
        if (instances !== undefined) {
            setTimeout(() => {
                this.listedInstances = instances;
            }, this.listLagMs);
        }
    }

    private async call(
        request: http.IncomingMessage,
        url: URL,
        body: string,
        response: http.ServerResponse,
        instance: string,
    ): Promise<Result<unknown, StoreError>> {
        const path = decodeURI(url.pathname.slice("/objects/".length));
        const expected = Number(url.searchParams.get("expected") ?? 0);
        const prefix = url.searchParams.get("prefix") ?? "";
        if (request.method === "PUT") {
            this.counts.writes += 1;
            const written = await this.store.put(path, JSON.parse(body) as StoredValue, expected);
            return written.map(version => ({ version }));
        }
        if (request.method === "DELETE") {
            this.counts.writes += 1;
            return (await this.store.delete(path, expected)).map(() => ({}));
        }
        if (url.pathname === "/watch") {
            this.counts.watches += 1;
            this.openWatches.add(response);
            const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
            return this.store.watch(prefix, Number(url.searchParams.get("after") ?? 0), waitMs)
                .finally(() => this.openWatches.delete(response));
        }
        this.counts.reads += 1;
        if (url.pathname === "/instances") {
            return (await this.store.get("")).map(() => this.faults.instancesFor[instance] ?? this.listedInstances);
        }
        return url.pathname === "/objects" ? this.store.list(prefix) : this.store.get(path);
    }
}

async function readBody(request: http.IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

const { values } = parseArgs({ options: { port: { type: "string" }, listLagMs: { type: "string", default: "1000" } } });
const platform = new Platform(Number(values.listLagMs));
const server = http.createServer((request, response) => {
    platform.handle(request, response).catch(() => response.destroy());
});
server.listen(Number(values.port ?? 0), "127.0.0.1", () => {
    const address = server.address();
    process.stdout.write(`${JSON.stringify({ port: typeof address === "object" ? address?.port : 0 })}\n`);
});
