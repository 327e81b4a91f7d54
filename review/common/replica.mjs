// Stand-in for a replica (PROTOCOL.md, "Replicas"): runs `slots` requests at once, those for tokens as streams of events,
// and writes itself into the store.
import http from "node:http";

/** The 800 bytes that the sheet has for an answer without tokens. */
const PLAIN_ANSWER = "x".repeat(800);

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class Replica {
    /**
     * @param options - `newEvents(request)` returns the data of a request's events, `gapMs` is the time between two;
     * without `newEvents`, an answer takes `workMs`.
     */
    constructor(id, { service, zone, slots = 8, gapMs = 3, workMs = 40, newEvents, onRun = () => undefined }) {
        Object.assign(this, { id, service, zone, slots, gapMs, workMs, newEvents, onRun });
        this.running = 0;
        this.born = Date.now();
        this.sequence = 0;
        this.silentUntilMs = 0;
        /** Time until the first event of a request, in milliseconds. */
        this.getFirstEventMs = () => 0;
        this.server = http.createServer((request, response) => void this.handle(request, response));
    }

    /** Reads and sends nothing for a while, and goes on then; what it runs goes on meanwhile. */
    silence(durationMs) {
        this.silentUntilMs = performance.now() + durationMs;
    }

    async waitWhileSilent() {
        while (performance.now() < this.silentUntilMs) {
            await sleep(Math.max(1, this.silentUntilMs - performance.now()));
        }
    }

    async start(store, heartbeatMs) {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = this.server.address().port;
        this.store = store;
        this.register();
        this.timer = setInterval(() => this.register(), heartbeatMs);
    }

    register() {
        if (this.store.mode !== "up") {
            return;
        }
        const { id, service, zone, slots, port, born } = this;
        const address = `127.0.0.1:${port}`;
        const entry = { service, address, zone, version: "v1", slots, state: "ready", warmupLeftMs: 0, sequence: 1 };
        this.store.write("servers", id, { ...entry, born });
    }

    stop() {
        clearInterval(this.timer);
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Crashes: all channels end, and nothing listens until it has started again, under its id and at its address. */
    crashFor(downMs) {
        this.server.close();
        this.server.closeAllConnections();
        setTimeout(() => {
            this.born = Date.now();
            this.running = 0;
            this.server.listen(this.port, "127.0.0.1", () => this.register());
        }, downMs).unref();
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
        await this.waitWhileSilent();
        if (response.destroyed) {
            return;
        }
        const requestId = request.headers["request-id"] ?? "";
        const target = request.headers["target-instance"];
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { "Instance-Id": this.id, "Request-Id": requestId }).end();
            return;
        }
        if (this.running >= this.slots) {
            response.writeHead(503, { "Not-Executed": "1", "Request-Id": requestId }).end();
            return;
        }
        this.running += 1;
        const body = Buffer.concat(chunks);
        const run = { requestId, path: request.url, body, headers: request.headers, atMs: Date.now(), events: 0 };
        this.onRun(this, run);
        // While it is silent, it doesn't notice that a channel has been closed.
        response.on("close", () =>
            void this.waitWhileSilent().then(() => {
                this.running -= 1;
                run.endedAtMs = Date.now();
            }));
        if (this.newEvents === undefined) {
            await sleep(this.workMs);
            const answer = { "Content-Length": PLAIN_ANSWER.length, "Response-Signature": `sig.${requestId}` };
            response.writeHead(200, { "Request-Id": requestId, ...answer }).end(PLAIN_ANSWER);
            return;
        }
        const events = this.newEvents(run);
        await sleep(this.getFirstEventMs(run));
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        response.writeHead(200, {
            "Content-Type": "text/event-stream",
            "Request-Id": requestId,
            "Response-Signature": `sig.${requestId}`,
            "Weight-Versions": "1",
        });
        const startedAtMs = performance.now();
        let unsent = "";
        for (let id = first; id < events.length && run.endedAtMs === undefined; id += 1) {
            unsent += `id: ${id}\ndata: ${events[id]}\n\n`;
            run.events += 1;
            if (performance.now() >= this.silentUntilMs) {
                response.write(unsent);
                unsent = "";
            }
            await sleep(Math.max(0, startedAtMs + (id - first + 1) * this.gapMs - performance.now()));
        }
        await this.waitWhileSilent();
        response.write(unsent);
        run.isWhole = !response.destroyed;
        response.end();
    }
}
