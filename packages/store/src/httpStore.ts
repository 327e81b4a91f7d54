import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import { StoreError } from "./errors";
import { callHttp, type HttpReply } from "./httpCall";
import type {
    ExpectedVersion,
    InstanceDirectory,
    ListedInstance,
    Listing,
    ObjectStore,
    StoredObject,
    StoredValue,
    WatchBatch,
} from "./types";

const CALL_TIMEOUT_MS = 2_000;
const MAX_SOCKETS = 32;

/** Number of calls to the platform since the process started. */
export interface StoreCallCounts {
    reads: number;
    writes: number;
    watches: number;
}

/** Client of the HTTP API of the platform, which runs the instances: its object store and its list of instances. */
export class HttpStore implements ObjectStore, InstanceDirectory {
    readonly counts: StoreCallCounts = { reads: 0, writes: 0, watches: 0 };
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

    /**
     * @param baseUrl - Base URL of the platform's API.
     * @param instanceId - This instance, sent with each call to identify the caller.
     */
    constructor(private readonly baseUrl: string, private readonly instanceId: string) {}

    async get(path: string): Promise<Result<StoredObject | undefined, StoreError>> {
        this.counts.reads += 1;
        const reply = await this.call("GET", `/objects/${encodeURI(path)}`);
        return reply.andThen(({ status, body }) => {
            if (status === 404) {
                return ok(undefined);
            }
            return parseBody<StoredObject>(status, body);
        });
    }

    async list(prefix: string): Promise<Result<Listing, StoreError>> {
        this.counts.reads += 1;
        const reply = await this.call("GET", `/objects?prefix=${encodeURIComponent(prefix)}`);
        return reply.andThen(({ status, body }) => parseBody<Listing>(status, body));
    }

    async put(path: string, value: StoredValue, expected: ExpectedVersion): Promise<Result<number, StoreError>> {
        this.counts.writes += 1;
        const reply = await this.call("PUT", `/objects/${encodeURI(path)}?expected=${expected}`, JSON.stringify(value));
        return reply.andThen(({ status, body }) =>
            parseBody<{ version: number; }>(status, body).map(({ version }) => version)
        );
    }

    async delete(path: string, expected: ExpectedVersion): Promise<Result<void, StoreError>> {
        this.counts.writes += 1;
        const reply = await this.call("DELETE", `/objects/${encodeURI(path)}?expected=${expected}`);
        return reply.andThen(({ status, body }) => parseBody<unknown>(status, body).map(() => undefined));
    }

    async watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
        this.counts.watches += 1;
        const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${waitMs}`;
        const reply = await this.call("GET", `/watch?${query}`, undefined, waitMs + CALL_TIMEOUT_MS);
        return reply.andThen(({ status, body }) => parseBody<WatchBatch>(status, body));
    }

    async listInstances(): Promise<Result<readonly ListedInstance[], StoreError>> {
        this.counts.reads += 1;
        const reply = await this.call("GET", "/instances");
        return reply.andThen(({ status, body }) => parseBody<ListedInstance[]>(status, body));
    }

    private async call(
        method: string,
        path: string,
        body?: string,
        timeoutMs = CALL_TIMEOUT_MS,
    ): Promise<Result<HttpReply, StoreError>> {
        const reply = await callHttp({
            url: new URL(path, this.baseUrl),
            method,
            body,
            timeoutMs,
            agent: this.agent,
            headers: { "x-instance": this.instanceId, "content-type": "application/json" },
        });
        return reply.mapErr(failure =>
            failure.kind === "lost"
                ? new StoreError("unknown", `${method} ${path}: ${failure.message}`)
                : new StoreError("unavailable", `${method} ${path}: ${failure.message}`)
        );
    }
}

function parseBody<Body>(status: number, body: Buffer): Result<Body, StoreError> {
    const text = body.toString("utf8");
    switch (status) {
        case 200:
        case 201:
            return parseJson<Body>(text);
        case 409:
            return err(new StoreError("conflict", text));
        case 410:
            return err(new StoreError("compacted", text));
        case 429:
        case 503:
            return err(new StoreError("unavailable", text));
        case 400:
        case 413:
            return err(new StoreError("rejected", text));
        default:
            return err(new StoreError("unknown", `status ${status}: ${text}`));
    }
}

/** The store has processed the call, but its response doesn't say how. */
function parseJson<Body>(text: string): Result<Body, StoreError> {
    try {
        return ok(JSON.parse(text) as Body);
    }
    catch (error) {
        return err(new StoreError("unknown", "the response is not valid JSON", error));
    }
}
