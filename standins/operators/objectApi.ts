import { randomUUID } from "node:crypto";
import http from "node:http";
import { closeServer, listenOnLoopback, readBody, sendJson } from "./httpServer";

/** An object in the platform's store, in the store's wire format. */
interface StoredObject {
    metadata: { name: string; revision: number; created: number; finalizers: string[]; deleting: boolean; };
    spec: unknown;
    status: unknown;
}

/** An entry of the change history that watches read. */
interface Change {
    readonly kind: string;
    readonly revision: number;
    readonly deleted: boolean;
    readonly object: StoredObject;
}

/** Faults that a test can switch on. */
export interface ObjectApiFaults {
    /** Refuses every call of every instance; the port that a call comes from doesn't tell which instance made it. */
    isDown: boolean;
    /** Delay of each response in milliseconds. */
    delayMs: number;
    /** Fraction of the writes that take effect but get no response. */
    lostPart: number;
    /** Prefixes of the kinds whose calls are refused. */
    refusedKinds: readonly string[];
    /** Kinds whose watches get no response, whatever changes. */
    forgottenKinds: readonly string[];
}

const PAGE_SIZE = 500;
const MAX_WAIT_MS = 30_000;
/** Largest content of an object, as the platform's settings have it. */
const MAX_VALUE_BYTES = 1_048_576;

const NO_FAULTS: Readonly<ObjectApiFaults> = {
    isDown: false,
    delayMs: 0,
    lostPart: 0,
    refusedKinds: [],
    forgottenKinds: [],
};

/** An additional address of the store, for some of the instances. */
export interface StoreAddress {
    port: number;
    /** Whether calls to this address are refused. */
    isRefusing: boolean;
    server: http.Server;
}

/**
 * Stand-in for the object store of the operators' platform: objects with revisions, watches over a change history that
 * can be compacted, and faults.
 */
export class ObjectApi {
    readonly faults: ObjectApiFaults = { ...NO_FAULTS };
    /** Number of calls by method and kind, such as `GET config`. */
    readonly calls = new Map<string, number>();
    /** All statuses that were written, in order. */
    readonly statusWrites: { readonly kind: string; readonly name: string; readonly status: unknown; }[] = [];
    private readonly objects = new Map<string, Map<string, StoredObject>>();
    private readonly changes: Change[] = [];
    private readonly pendingWatches = new Set<() => void>();
    private revision = 1;
    private oldestRevision = 0;
    private readonly server = http.createServer((request, response) => void this.handle(request, response));
    private readonly addresses: StoreAddress[] = [];
    /** Contents that were written as bytes, by the text that stands for them. */
    private readonly contents = new Map<string, string>();

    /** @returns The port on which it listens. */
    listen(): Promise<number> {
        return listenOnLoopback(this.server);
    }

    /** Ends all faults. */
    clearFaults(): void {
        Object.assign(this.faults, NO_FAULTS);
    }

    /** @returns An additional address of the store, which can fail independently of the others. */
    async addAddress(): Promise<StoreAddress> {
        const address: StoreAddress = { port: 0, isRefusing: false, server: this.server };
        address.server = http.createServer((request, response) => {
            if (address.isRefusing) {
                sendJson(response, 503, { error: "unavailable" });
                return;
            }
            void this.handle(request, response);
        });
        address.port = await listenOnLoopback(address.server);
        this.addresses.push(address);
        return address;
    }

    /** Stops listening on all addresses and closes all connections. */
    async close(): Promise<void> {
        this.wakeWatches();
        await Promise.all([this.server, ...this.addresses.map(({ server }) => server)].map(closeServer));
    }

    /**
     * Writes an object as the operator or an endpoint would; faults don't apply.
     *
     * @param kind - Kind of the object.
     * @param name - Its name.
     * @param spec - Its content; undefined deletes the object.
     */
    write(kind: string, name: string, spec?: unknown): void {
        const object = this.getObjects(kind).get(name);
        if (spec === undefined) {
            if (object !== undefined) {
                this.getObjects(kind).delete(name);
                this.recordChange(kind, object, true);
            }
            return;
        }
        const next = object ?? newObject(name, this.revision);
        next.spec = spec;
        this.getObjects(kind).set(name, next);
        this.recordChange(kind, next, false);
    }

    /**
     * @param kind - Kind of the object.
     * @param name - Its name.
     * @returns The object; undefined if there is none.
     */
    read(kind: string, name: string): StoredObject | undefined {
        return this.getObjects(kind).get(name);
    }

    /**
     * @param kind - A kind.
     * @returns Names of the objects of this kind.
     */
    getNames(kind: string): string[] {
        return [...this.getObjects(kind).keys()];
    }

    /**
     * Writes an object whose content need not be what a JSON library writes.
     *
     * @param kind - Kind of the object.
     * @param name - Its name.
     * @param content - Bytes that are sent as its content.
     */
    writeBytes(kind: string, name: string, content: Buffer): void {
        const token = `content-${this.contents.size}-${randomUUID()}`;
        this.contents.set(token, content.toString("latin1"));
        this.write(kind, name, token);
    }

    /** Drops the change history, so that pending watches fail with 410 and the watchers must list again. */
    compact(): void {
        this.oldestRevision = this.revision;
        this.changes.length = 0;
        this.wakeWatches();
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const body = await readBody(request);
        const url = new URL(request.url ?? "/", "http://store");
        const [, , , kind = "", name, subresource] = url.pathname.split("/").map(decodeURIComponent);
        const method = request.method ?? "GET";
        this.calls.set(`${method} ${kind}`, (this.calls.get(`${method} ${kind}`) ?? 0) + 1);
        const isRefused = this.faults.isDown || this.faults.refusedKinds.some(refused => kind.startsWith(refused));
        if (isRefused) {
            sendJson(response, 503, { error: "unavailable" });
            return;
        }
        await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
        if (method === "GET") {
            await this.get(url, kind, name, response);
            return;
        }
        if (body.length > MAX_VALUE_BYTES && Buffer.byteLength(getSpecText(body)) > MAX_VALUE_BYTES) {
            sendJson(response, 413, { error: "the object is too large" });
            return;
        }
        const [status, responseBody] = this.applyWrite(method, url, kind, name, subresource, body);
        if (Math.random() < this.faults.lostPart) {
            // The write took effect; the connection stays open without a response.
            return;
        }
        sendJson(response, status, responseBody);
    }

    private async get(url: URL, kind: string, name: string | undefined, response: http.ServerResponse): Promise<void> {
        if (name !== undefined) {
            const object = this.getObjects(kind).get(name);
            this.send(response, object === undefined ? 404 : 200, object ?? { error: "no such object" });
            return;
        }
        const watch = url.searchParams.get("watch");
        if (watch !== null) {
            await this.watch(kind, Number(watch), Number(url.searchParams.get("waitMs") ?? 0), response);
            return;
        }
        const after = url.searchParams.get("after") ?? "";
        const names = [...this.getObjects(kind).keys()].sort().filter(other => other > after);
        const items = names.slice(0, PAGE_SIZE).map(other => this.getObjects(kind).get(other));
        this.send(response, 200, { items, hasMore: names.length > PAGE_SIZE, storeRevision: this.revision });
    }

    private async watch(kind: string, after: number, waitMs: number, response: http.ServerResponse): Promise<void> {
        const endAtMs = Date.now() + Math.min(waitMs, MAX_WAIT_MS);
        for (;;) {
            if (this.faults.forgottenKinds.includes(kind)) {
                return;
            }
            if (after < this.oldestRevision) {
                sendJson(response, 410, { error: "history is gone" });
                return;
            }
            const events = this.changes.filter(change => change.kind === kind && change.revision > after);
            if (events.length > 0 || Date.now() >= endAtMs || response.destroyed || this.faults.isDown) {
                const reported = events.map(({ object, deleted }) => ({ object, deleted }));
                this.send(response, this.faults.isDown ? 503 : 200, { events: reported, storeRevision: this.revision });
                return;
            }
            await this.waitForChange(endAtMs - Date.now());
        }
    }

    private waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.pendingWatches.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, waitMs));
            this.pendingWatches.add(wake);
        });
    }

    private applyWrite(
        method: string,
        url: URL,
        kind: string,
        name: string | undefined,
        subresource: string | undefined,
        body: Buffer,
    ): [number, unknown] {
        const received = body.length === 0 ? {} : JSON.parse(body.toString("utf8")) as Partial<StoredObject>;
        const target = name ?? received.metadata?.name ?? "";
        const object = this.getObjects(kind).get(target);
        if (method === "POST") {
            return this.create(kind, target, object, received);
        }
        if (object === undefined) {
            return [404, { error: "no such object" }];
        }
        const expected = received.metadata?.revision ?? Number(url.searchParams.get("revision") ?? 0);
        if (expected > 0 && expected !== object.metadata.revision) {
            return [409, object];
        }
        if (method === "DELETE") {
            this.getObjects(kind).delete(target);
            this.recordChange(kind, object, true);
            return [200, object];
        }
        if (subresource === "status") {
            object.status = received.status;
            this.statusWrites.push({ kind, name: target, status: received.status });
        }
        else {
            object.spec = received.spec;
        }
        this.recordChange(kind, object, false);
        return [200, object];
    }

    private create(
        kind: string,
        name: string,
        existing: StoredObject | undefined,
        received: Partial<StoredObject>,
    ): [number, unknown] {
        if (existing !== undefined) {
            return [409, existing];
        }
        const object = newObject(name, this.revision);
        object.spec = received.spec;
        this.getObjects(kind).set(name, object);
        this.recordChange(kind, object, false);
        return [200, object];
    }

    private send(response: http.ServerResponse, status: number, body: unknown): void {
        let text = Buffer.from(JSON.stringify(body)).toString("latin1");
        for (const [token, content] of this.contents) {
            text = text.replaceAll(`"${token}"`, () => content);
        }
        const bytes = Buffer.from(text, "latin1");
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
        response.end(bytes);
    }

    private recordChange(kind: string, object: StoredObject, deleted: boolean): void {
        this.revision += 1;
        object.metadata.revision = this.revision;
        this.changes.push({ kind, revision: this.revision, deleted, object: structuredClone(object) });
        this.wakeWatches();
    }

    private wakeWatches(): void {
        for (const wake of [...this.pendingWatches]) {
            wake();
        }
    }

    private getObjects(kind: string): Map<string, StoredObject> {
        let objects = this.objects.get(kind);
        if (objects === undefined) {
            objects = new Map();
            this.objects.set(kind, objects);
        }
        return objects;
    }
}

function newObject(name: string, revision: number): StoredObject {
    return {
        metadata: { name, revision, created: revision, finalizers: [], deleting: false },
        spec: undefined,
        status: undefined,
    };
}

function getSpecText(body: Buffer): string {
    return JSON.stringify((JSON.parse(body.toString("utf8")) as Partial<StoredObject>).spec ?? "");
}
