// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects with revisions,
// conditional writes, lists, watches, and objects of `valueBytes` at most.
import http from "node:http";

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_WATCH_MS = 30_000;

export class Store {
    constructor({ valueBytes = 1_048_576 } = {}) {
        this.valueBytes = valueBytes;
        /** `up`, or `busy`: each call is answered 503 and not done. */
        this.mode = "up";
        this.revision = 1;
        this.kinds = new Map();
        this.changes = [];
        this.waiting = new Set();
        /** Writes that were refused because the object was too large, as `METHOD kind bytes`. */
        this.tooLarge = [];
        this.server = http.createServer((request, response) => void this.handle(request, response));
    }

    async listen() {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return this.server.address().port;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    getKind(kind) {
        if (!this.kinds.has(kind)) {
            this.kinds.set(kind, new Map());
        }
        return this.kinds.get(kind);
    }

    /** Writes an object as the operator or a replica does. */
    write(kind, name, spec) {
        const objects = this.getKind(kind);
        const object = objects.get(name) ?? newObject(name, this.revision + 1);
        if (JSON.stringify(object.spec) === JSON.stringify(spec)) {
            return;
        }
        objects.set(name, { ...object, spec });
        this.record(kind, name, false);
    }

    remove(kind, name) {
        if (this.getKind(kind).has(name)) {
            this.record(kind, name, true);
        }
    }

    /** Changes what calls are answered; a watch that is waiting is cut off. */
    setMode(mode) {
        this.mode = mode;
        this.wake();
    }

    record(kind, name, deleted) {
        this.revision += 1;
        const objects = this.getKind(kind);
        const object = objects.get(name);
        const next = { ...object, metadata: { ...object.metadata, revision: this.revision } };
        if (deleted) {
            objects.delete(name);
        }
        else {
            objects.set(name, next);
        }
        this.changes.push({ kind, revision: this.revision, object: next, deleted });
        this.wake();
        return next;
    }

    wake() {
        for (const wake of [...this.waiting]) {
            wake();
        }
    }

    async handle(request, response) {
        response.on("error", () => undefined);
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (this.mode === "busy") {
            send(response, 503, { error: "busy" });
            return;
        }
        const url = new URL(request.url, "http://store");
        const [, , , kind = "", name, part] = url.pathname.split("/").map(decodeURIComponent);
        if (request.method === "GET") {
            await this.get(url, kind, name, response);
            return;
        }
        const body = Buffer.concat(chunks);
        const call = body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
        const [status, reply] = this.change(request.method, url, kind, name ?? call.metadata?.name, part, call);
        send(response, status, reply);
    }

    async get(url, kind, name, response) {
        const objects = this.getKind(kind);
        if (name !== undefined) {
            const object = objects.get(name);
            send(response, object === undefined ? 404 : 200, object ?? { error: "no such object" });
            return;
        }
        const watch = url.searchParams.get("watch");
        if (watch !== null) {
            await this.watch(kind, Number(watch), Number(url.searchParams.get("waitMs") ?? 0), response);
            return;
        }
        const after = url.searchParams.get("after") ?? "";
        const names = [...objects.keys()].filter(other => other > after).sort();
        const items = [];
        let bytes = 0;
        for (const next of names) {
            const object = objects.get(next);
            bytes += JSON.stringify(object).length;
            if (items.length === MAX_PAGE_ITEMS || (items.length > 0 && bytes > MAX_PAGE_BYTES)) {
                break;
            }
            items.push(object);
        }
        send(response, 200, { items, hasMore: items.length < names.length, storeRevision: this.revision });
    }

    async watch(kind, after, waitMs, response) {
        const endAtMs = performance.now() + Math.min(waitMs, MAX_WATCH_MS);
        for (;;) {
            if (this.mode === "busy" || response.destroyed) {
                response.destroy();
                return;
            }
            const events = this.changes.filter(change => change.revision > after && change.kind === kind);
            const leftMs = endAtMs - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                const reported = events.map(({ object, deleted }) => ({ object, deleted }));
                send(response, 200, { events: reported, storeRevision: this.revision });
                return;
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, leftMs);
                this.waiting.add(wake);
            });
        }
    }

    change(method, url, kind, name, part, call) {
        const objects = this.getKind(kind);
        const object = objects.get(name);
        if (method === "POST" && object !== undefined) {
            return [409, object];
        }
        if (method !== "POST" && object === undefined) {
            return [404, { error: "no such object" }];
        }
        const expected = call.metadata?.revision ?? Number(url.searchParams.get("revision") ?? 0);
        if (expected > 0 && expected !== object?.metadata.revision) {
            return [409, object];
        }
        if (method === "DELETE") {
            return [200, this.record(kind, name, true)];
        }
        const base = object ?? newObject(name, this.revision + 1);
        const next = part === "status" ? { ...base, status: call.status } : { ...base, spec: call.spec };
        const bytes = Buffer.byteLength(JSON.stringify(part === "status" ? next.status : next.spec) ?? "");
        if (bytes > this.valueBytes) {
            this.tooLarge.push(`${method} ${kind}/${name} ${bytes} bytes`);
            return [413, { error: "the object is too large" }];
        }
        if (object !== undefined && JSON.stringify(object) === JSON.stringify(next)) {
            return [200, object];
        }
        objects.set(name, next);
        return [200, this.record(kind, name, false)];
    }
}

function newObject(name, created) {
    return { metadata: { name, revision: 0, created, finalizers: [], deleting: false }, spec: null, status: null };
}

function send(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
    response.end(bytes);
}
