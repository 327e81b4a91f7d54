// Stand-in for the platform's store, as PROTOCOL.md describes it.
import http from "node:http";

const PAGE_SIZE = 500;
const MAX_WAIT_MS = 30_000;

/**
 * Objects by kind and name, with revisions and watches. A test may set `fault`: a function that is told of each call and
 * returns `undefined` for a sound answer, `"lost"` for a call that is done and not answered, or a status (429 or 503) for
 * one of which nothing is done.
 */
export class Store {
    port = 0;
    fault = () => undefined;
    objects = new Map();
    changes = [];
    waiting = new Set();
    revision = 1;
    server = http.createServer((request, response) => void this.handle(request, response));

    constructor(note) {
        this.note = note;
    }

    listen() {
        return new Promise(resolve => {
            this.server.listen(0, "127.0.0.1", () => {
                this.port = this.server.address().port;
                resolve();
            });
        });
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes an object as the operator or a replica does. */
    write(kind, name, spec) {
        const known = this.getKind(kind).get(name);
        const object = known ?? newObject(name, this.revision + 1);
        object.spec = spec;
        this.getKind(kind).set(name, object);
        this.recordChange(kind, object, false);
    }

    remove(kind, name) {
        const object = this.read(kind, name);
        if (object !== undefined) {
            this.getKind(kind).delete(name);
            this.recordChange(kind, object, true);
        }
    }

    read(kind, name) {
        return this.getKind(kind).get(name);
    }

    getKind(kind) {
        const names = this.objects.get(kind) ?? new Map();
        this.objects.set(kind, names);
        return names;
    }

    async handle(request, response) {
        const body = await readText(request);
        const url = new URL(request.url, "http://store");
        const [, , , kind = "", name, subresource] = url.pathname.split("/").map(decodeURIComponent);
        const { method } = request;
        const received = body === "" ? {} : JSON.parse(body);
        const target = name ?? received.metadata?.name;
        const isWatch = url.searchParams.has("watch");
        const fault = this.fault({ method, kind, name: target, isWatch });
        if (typeof fault === "number") {
            this.note(`store: ${method} ${kind}/${target ?? ""}: ${fault}, nothing done`);
            reply(response, fault, { error: "unavailable" });
            return;
        }
        if (method === "GET") {
            await this.get(url, kind, name, response);
            return;
        }
        const [status, answer] = this.apply({ method, url, kind, target, subresource, received });
        if (fault === "lost") {
            this.note(`store: ${method} ${kind}/${target}: done (${status}), the answer is lost`);
            // The channel stays open and returns nothing further.
            return;
        }
        reply(response, status, answer);
    }

    async get(url, kind, name, response) {
        if (name !== undefined) {
            const object = this.read(kind, name);
            reply(response, object === undefined ? 404 : 200, object ?? { error: "no such object" });
            return;
        }
        if (url.searchParams.has("watch")) {
            const after = Number(url.searchParams.get("watch"));
            await this.watch(kind, after, Number(url.searchParams.get("waitMs") ?? 0), response);
            return;
        }
        const after = url.searchParams.get("after") ?? "";
        const names = [...this.getKind(kind).keys()].sort().filter(other => other > after);
        const items = names.slice(0, PAGE_SIZE).map(other => this.read(kind, other));
        reply(response, 200, { items, hasMore: names.length > PAGE_SIZE, storeRevision: this.revision });
    }

    async watch(kind, after, waitMs, response) {
        const endAtMs = Date.now() + Math.min(waitMs, MAX_WAIT_MS);
        for (;;) {
            const events = this.changes.filter(change => change.kind === kind && change.revision > after);
            if (events.length > 0 || Date.now() >= endAtMs || response.destroyed) {
                const reported = events.map(({ object, deleted }) => ({ object, deleted }));
                reply(response, 200, { events: reported, storeRevision: this.revision });
                return;
            }
            await this.waitForChange(endAtMs - Date.now());
        }
    }

    waitForChange(waitMs) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, waitMs));
            this.waiting.add(wake);
        });
    }

    apply({ method, url, kind, target, subresource, received }) {
        const object = this.read(kind, target);
        if (method === "POST") {
            if (object !== undefined) {
                return [409, object];
            }
            this.write(kind, target, received.spec);
            return [201, this.read(kind, target)];
        }
        if (object === undefined) {
            return [404, { error: "no such object" }];
        }
        const expected = received.metadata?.revision ?? Number(url.searchParams.get("revision") ?? 0);
        if (expected > 0 && expected !== object.metadata.revision) {
            return [409, object];
        }
        if (method === "DELETE") {
            this.remove(kind, target);
            return [200, object];
        }
        if (subresource === "status") {
            object.status = received.status;
        }
        else {
            object.spec = received.spec;
        }
        this.recordChange(kind, object, false);
        return [200, object];
    }

    recordChange(kind, object, deleted) {
        this.revision += 1;
        object.metadata.revision = this.revision;
        this.changes.push({ kind, revision: this.revision, deleted, object: structuredClone(object) });
        [...this.waiting].forEach(wake => wake());
    }
}

function newObject(name, revision) {
    const metadata = { name, revision, created: revision, finalizers: [], deleting: false };
    return { metadata, spec: undefined, status: undefined };
}

async function readText(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function reply(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
