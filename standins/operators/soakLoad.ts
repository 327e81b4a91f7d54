import http from "node:http";
import type { Engine } from "./engine";
import { HOST, KEYS } from "./fleet";

/** Words in bodies that make an engine misbehave, and how often each is sent. */
const TROUBLES = ["", "", "", "", "", "", "BREAK", "CRASH", "FULL", "FAIL", "STRAY", "UNSIGNED"];
const EVENTS = 12;
const CALLER_PATIENCE_MS = 5_500;
const GENERATION = { Model: "m", "Token-Count": "100,60", "Prompt-Prefix": "a1:50" };

/** What one caller sent and got. */
interface Call {
    readonly requestId: string;
    readonly route: "once" | "again" | "lookup" | "write";
    readonly status: number;
    readonly isWhole: boolean;
    readonly body: string;
    readonly signature: string | undefined;
    readonly retryAfter: string | undefined;
}

/** A violation of a promise, in one line. */
export type Violation = string;

/** Callers of the gateways, on connections that they keep, and what must hold of what they got. */
export class SoakLoad {
    readonly violations: Violation[] = [];
    readonly counts = { calls: 0, served: 0, refused: 0, failed: 0, jobs: 0, items: 0 };
    private readonly agents = new Map<number, http.Agent>();
    private readonly jobs = new Map<
        string,
        { readonly itemIds: readonly string[]; readonly seen: Map<number, string>; }
    >();
    private sequence = 0;

    /**
     * @param random - Between 0 and 1.
     * @param getPorts - Gateways that callers reach.
     * @param engines - All engines, whose records are looked into.
     */
    constructor(
        private readonly random: () => number,
        private readonly getPorts: () => readonly number[],
        private readonly engines: readonly Engine[],
    ) {}

    /** Sends one online request and checks its answer. */
    async callOnce(): Promise<void> {
        const route = this.pick(["once", "again", "lookup", "write"] as const);
        const trouble = this.pick(TROUBLES);
        const requestId = this.newId();
        const isStream = route === "once" || route === "again";
        const call = await this.send(requestId, route, `${trouble} events=${EVENTS}`, isStream ? GENERATION : {});
        this.counts.calls += 1;
        this.check(call);
    }

    /** Submits a job until it is accepted or refused for good. */
    async submitJob(): Promise<void> {
        const jobId = this.newId();
        const itemIds = Array.from({ length: 4 }, (_, index) => `${jobId}-${index}`);
        const items = itemIds.map(id => ({
            id,
            path: `/jobs/${id}`,
            headers: GENERATION,
            body: Buffer.from(`${this.pick(["", "", "BREAK", "CRASH", "FAIL"])} events=${EVENTS}`).toString("base64"),
            tokens: 10,
        }));
        for (let attempt = 0; attempt < 6; attempt += 1) {
            const reply = await this.request("POST", "/jobs/x", jobId, JSON.stringify({ items }), {});
            if (reply.status === 202) {
                this.jobs.set(jobId, { itemIds, seen: new Map() });
                this.counts.jobs += 1;
                return;
            }
        }
    }

    /** Reads a job somewhere; what stands at a position must stay there. */
    async readJob(): Promise<void> {
        const jobIds = [...this.jobs.keys()];
        const jobId = jobIds[Math.floor(this.random() * jobIds.length)];
        if (jobId !== undefined) {
            await this.readAndCheck(jobId);
        }
    }

    /**
     * Checks at the end that each accepted item has its result.
     *
     * @param timeoutMs - Time for what is left to be finished.
     */
    async checkJobs(timeoutMs: number): Promise<void> {
        const endAtMs = Date.now() + timeoutMs;
        for (const [jobId, { itemIds, seen }] of this.jobs) {
            while (seen.size < itemIds.length && Date.now() < endAtMs) {
                await this.readAndCheck(jobId);
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            if (seen.size < itemIds.length) {
                this.violations.push(`job ${jobId}: ${seen.size} of ${itemIds.length} items have results`);
            }
            this.counts.items += seen.size;
        }
    }

    private async readAndCheck(jobId: string): Promise<void> {
        const job = this.jobs.get(jobId);
        const reply = await this.request("GET", `/-/lots/${jobId}?after=0`, this.newId(), "", {});
        if (job === undefined || reply.status === 503 || reply.status === 0) {
            return;
        }
        if (reply.status !== 200) {
            this.violations.push(`job ${jobId}: a read was answered ${reply.status}`);
            return;
        }
        const { results } = JSON.parse(reply.body) as { results: { id: string; state: string; output: string; }[]; };
        for (const [position, { id, state, output }] of results.entries()) {
            const text = `${id} ${state} ${output}`;
            const before = job.seen.get(position);
            const whole = Array.from({ length: EVENTS }, (_, event) => `event ${event} of ${id}`).join("\n");
            if (before !== undefined && before !== text) {
                this.violations.push(`job ${jobId}: position ${position} has changed`);
            }
            if (state === "completed" && output !== whole) {
                this.violations.push(`item ${id}: its text is not whole`);
            }
            if (before === undefined && [...job.seen.values()].some(other => other.startsWith(`${id} `))) {
                this.violations.push(`item ${id} stands at two positions`);
            }
            job.seen.set(position, text);
        }
    }

    private check(call: Call): void {
        const runs = this.engines.flatMap(({ seen }) => seen).filter(({ requestId }) => requestId === call.requestId);
        const { requestId, route, status } = call;
        if ((route === "once" || route === "write") && runs.length > 1) {
            this.violations.push(`${requestId}: ran ${runs.length} times on /${route}/`);
        }
        if ((status === 503 || status === 429) && runs.length > 0 && (route === "once" || route === "write")) {
            this.violations.push(`${requestId}: was answered ${status} and ran`);
        }
        if (runs.some(({ headers }) => headers.authorization !== undefined || headers.tenant !== "alpha")) {
            this.violations.push(`${requestId}: reached an engine with a key, or under another organisation`);
        }
        if (status === 503 || status === 429) {
            this.counts.refused += 1;
            if (Number(call.retryAfter) >= 0 === false) {
                this.violations.push(`${requestId}: refused without the time to come back`);
            }
        }
        else if (status === 200 && call.isWhole) {
            this.counts.served += 1;
            this.checkWhole(call);
        }
        else {
            this.counts.failed += 1;
            if ([401, 403, 404, 400].includes(status)) {
                this.violations.push(`${requestId}: a proper request was answered ${status}`);
            }
        }
    }

    private checkWhole({ requestId, route, body, signature }: Call): void {
        if (signature !== `sig.${requestId}`) {
            this.violations.push(`${requestId}: a success without the engine's signature`);
        }
        const events = Array.from(
            { length: EVENTS },
            (_, event) => `id: ${event}\ndata: event ${event} of ${requestId}\n\n`,
        );
        const expected = route === "once" || route === "again" ? events.join("") : `plain answer to ${requestId}`;
        if (body !== expected) {
            this.violations.push(`${requestId}: a success whose body is not the engine's`);
        }
    }

    private async send(
        requestId: string,
        route: Call["route"],
        body: string,
        headers: Record<string, string>,
    ): Promise<Call> {
        const reply = await this.request("POST", `/${route}/a`, requestId, body, headers);
        return { requestId, route, ...reply };
    }

    private request(
        method: string,
        path: string,
        requestId: string,
        body: string,
        headers: Record<string, string>,
    ): Promise<Omit<Call, "requestId" | "route">> {
        const ports = this.getPorts();
        const port = ports[Math.floor(this.random() * ports.length)] ?? 0;
        return new Promise(resolve => {
            let text = "";
            let answer: http.IncomingMessage | undefined;
            const finish = () => {
                clearTimeout(timer);
                resolve({
                    status: answer?.statusCode ?? 0,
                    isWhole: answer?.complete ?? false,
                    body: text,
                    signature: answer?.headers["response-signature"] as string | undefined,
                    retryAfter: answer?.headers["retry-after"],
                });
            };
            const sent = http.request({
                host: "127.0.0.1",
                port,
                method,
                path,
                agent: this.getAgent(port),
                headers: {
                    Host: HOST,
                    "Request-Id": requestId,
                    Deadline: "5000",
                    Authorization: `Token ${KEYS.alpha}`,
                    ...headers,
                },
            }, incoming => {
                answer = incoming;
                incoming.on("data", (chunk: Buffer) => {
                    text += chunk.toString("utf8");
                });
                incoming.on("error", () => undefined);
                incoming.on("close", finish);
            });
            const timer = setTimeout(() => sent.destroy(), CALLER_PATIENCE_MS);
            sent.on("error", finish);
            sent.end(body);
        });
    }

    private getAgent(port: number): http.Agent {
        let agent = this.agents.get(port);
        if (agent === undefined) {
            agent = new http.Agent({ keepAlive: true });
            this.agents.set(port, agent);
        }
        return agent;
    }

    private newId(): string {
        this.sequence += 1;
        return `s${this.sequence.toString(36).padStart(6, "0")}`;
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[Math.floor(this.random() * values.length)] as Value;
    }
}
