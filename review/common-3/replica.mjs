// Stand-in for a model replica, as PROTOCOL.md describes it.
import http from "node:http";

const REPORT = { stage: "both", models: [], busy: false, sequence: 0, numWaiting: 0, numRunning: 0, kvUsed: 0 };

const getId = ({ requestId }) => requestId;

/**
 * Runs requests: a stream of `events` events, one each `gapMs`. A test may set `behave`, which is told of each run and
 * returns changes for it: `status` (a failure, with its body), `events`, `gapMs`, `delayMs` (before the head).
 */
export class Replica {
    port = 0;
    runs = [];
    behave = () => ({});
    /** Whether the replica sends the answer to a run once more, when the next answer on the channel is due. */
    isRepeated = () => false;
    /** How many answers it has sent once more. */
    repeatedCount = 0;
    lateCopies = new WeakMap();
    server = http.createServer((request, response) => void this.handle(request, response));

    constructor(id, options, note) {
        this.id = id;
        this.options = { service: "lm", zone: "east", slots: 8, events: 20, gapMs: 20, newText: getId, ...options };
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

    /** Its entry in the platform's store. */
    getEntry(state = "ready") {
        const { service, zone, slots } = this.options;
        const address = `127.0.0.1:${this.port}`;
        return { service, address, zone, version: "v1", slots, state, warmupLeftMs: 0, sequence: 1, born: Date.now() };
    }

    async handle(request, response) {
        response.on("error", () => undefined);
        const body = await readText(request).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        if (request.url === "/-/report" || request.url === "/healthz") {
            response.writeHead(200, { "Content-Type": "application/json", "Instance-Id": this.id });
            response.end(JSON.stringify(REPORT));
            return;
        }
        const requestId = String(request.headers["request-id"] ?? "");
        if (request.headers["target-instance"] !== this.id) {
            response.writeHead(421, { "Request-Id": requestId, "Not-Executed": "1" }).end();
            return;
        }
        await this.run(request, response, requestId, body);
    }

    async run(request, response, requestId, body) {
        const { events, gapMs } = this.options;
        const lastEventId = Number(request.headers["last-event-id"] ?? 0);
        const run = { startedAt: Date.now(), requestId, path: request.url, headers: request.headers, body, status: 200, events: 0, end: "" };
        this.runs.push(run);
        const number = this.runs.filter(other => other.requestId === requestId).length;
        const plan = { status: 200, events, gapMs, delayMs: 5, ...this.behave(run, number) };
        run.status = plan.status;
        this.note(`${this.id}: run ${number} of ${requestId} begins, after event ${lastEventId}`);
        response.on("close", () => {
            run.end ||= response.writableFinished ? "sent" : "dropped";
            this.note(`${this.id}: run ${number} of ${requestId}: ${plan.status}, ${run.events} events, ${run.end}`);
        });
        this.sendLateCopy(request.socket);
        await wait(plan.delayMs);
        if (response.destroyed) {
            return;
        }
        const head = { "Request-Id": requestId, "Response-Signature": `${this.id}.${requestId}.${number}` };
        const text = plan.status === 200
            ? await this.sendStream(response, run, { ...plan, head, lastEventId })
            : sendFailure(response, plan.status, head);
        if (response.writableEnded && this.isRepeated(run, number)) {
            const bytes = formatAnswer(plan.status, head, text);
            this.lateCopies.set(request.socket, { bytes, requestId });
        }
    }

    /** @returns The text of the stream. */
    async sendStream(response, run, { events, gapMs, head, lastEventId }) {
        let text = "";
        response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
        response.flushHeaders();
        for (let id = lastEventId + 1; id <= events; id += 1) {
            await wait(gapMs);
            if (response.destroyed) {
                return text;
            }
            const event = `id: ${id}\ndata: ${this.options.newText(run)}-${id}\n\n`;
            response.write(event);
            text += event;
            run.events += 1;
        }
        response.end();
        return text;
    }

    /** An extra answer arrives late, where the next one on the channel is expected. */
    sendLateCopy(socket) {
        const copy = this.lateCopies.get(socket);
        this.lateCopies.delete(socket);
        if (copy !== undefined) {
            this.note(`${this.id}: sends its earlier answer to ${copy.requestId} once more, late, on the same channel`);
            this.repeatedCount += 1;
            socket.write(copy.bytes);
        }
    }
}

/** @returns The text of the answer. */
function sendFailure(response, status, head) {
    const text = `failed with ${status}`;
    response.writeHead(status, { ...head, "Content-Type": "text/plain", "Content-Length": text.length });
    response.end(text);
    return text;
}

function formatAnswer(status, head, text) {
    const type = status === 200 ? "text/event-stream" : "text/plain";
    const headers = { ...head, "Content-Type": type, "Content-Length": Buffer.byteLength(text) };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n${lines}\r\n${text}`;
}

function wait(durationMs) {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function readText(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
