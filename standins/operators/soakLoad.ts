import http from "node:http";
import type { Engine } from "./engine";
import { HOST, KEYS } from "./fleet";

/** Fault words for request bodies; one is picked at random, so that repeated entries are sent more often. */
const FAULT_WORDS = [
    ...["", "", "", "", "", ""],
    ...["BREAK", "BREAK UNFRAMED", "UNFRAMED", "CRASH", "FULL", "FAIL", "STRAY", "UNSIGNED"],
];
const EVENT_COUNT = 12;
const CALLER_TIMEOUT_MS = 5_500;
const GENERATION_HEADERS = { Model: "m", "Token-Count": "100,60", "Prompt-Prefix": "a1:50" };

/** A request of a caller and its response. */
interface CallResult {
    readonly requestId: string;
    readonly route: "once" | "again" | "lookup" | "write";
    /** HTTP status; 0 without a response. */
    readonly status: number;
    /** Whether the response was received to its end. */
    readonly isComplete: boolean;
    readonly body: string;
    readonly signature: string | undefined;
    readonly retryAfter: string | undefined;
}

/** Description of a violated check, in one line. */
export type Violation = string;

/** Sends requests and jobs to the gateways over keep-alive connections and checks the responses. */
export class SoakLoad {
    readonly violations: Violation[] = [];
    readonly counts = { calls: 0, takenUp: 0, served: 0, refused: 0, failed: 0, jobs: 0, items: 0 };
    private readonly agents = new Map<number, http.Agent>();
    private readonly jobs = new Map<
        string,
        { readonly itemIds: readonly string[]; readonly results: Map<number, string>; }
    >();
    private sequence = 0;

    /**
     * @param random - Returns random numbers from 0 up to 1.
     * @param getPorts - Returns the ports of the gateways to call.
     * @param engines - All engines; the checks read the requests that they recorded.
     * @param takesStreamsUp - Whether callers take up streams that broke off.
     */
    constructor(
        private readonly random: () => number,
        private readonly getPorts: () => readonly number[],
        private readonly engines: readonly Engine[],
        private readonly takesStreamsUp: boolean,
    ) {}

    /** Sends one online request and checks its response. */
    async callOnce(): Promise<void> {
        const route = this.pick(["once", "again", "lookup", "write"] as const);
        const faultWord = this.pick(FAULT_WORDS);
        const requestId = this.newId();
        const isStream = route === "once" || route === "again";
        const call = await this.send(
            requestId,
            route,
            `${faultWord} events=${EVENT_COUNT}`,
            isStream ? GENERATION_HEADERS : {},
        );
        this.counts.calls += 1;
        this.checkCall(call);
        const lastEventId = getLastEventId(call.body);
        if (this.takesStreamsUp && route === "again" && !call.isComplete && lastEventId !== undefined) {
            await this.takeUp(call, lastEventId);
        }
    }

    /** Takes a stream that broke off up, as callers do, and checks that what they have then is one version's stream. */
    private async takeUp({ requestId, route }: CallResult, lastEventId: number): Promise<void> {
        const headers = { ...GENERATION_HEADERS, "Last-Event-Id": String(lastEventId), Resumes: requestId };
        const next = await this.send(this.newId(), route, `events=${EVENT_COUNT}`, headers);
        this.counts.takenUp += 1;
        this.checkVersions([requestId, next.requestId]);
        const events = Array.from(
            { length: EVENT_COUNT - lastEventId - 1 },
            (_, index) => toEvent(lastEventId + 1 + index, next.requestId),
        );
        if (next.status === 200 && next.isComplete && next.body !== events.join("")) {
            this.violations.push(`${next.requestId}: a stream taken up after event ${lastEventId} has other events`);
        }
    }

    /** Engines don't check which version began a stream; a run without a last event begins it. */
    private checkVersions(requestIds: readonly string[]): void {
        const runs = this.engines
            .flatMap(({ seen, options }) => seen.map(run => ({ ...run, version: options.version })))
            .filter(({ requestId, events }) => requestIds.includes(requestId) && events > 0)
            .sort((left, right) => left.atMs - right.atMs);
        let begunBy = runs[0]?.version;
        for (const { version, headers } of runs) {
            if (headers["last-event-id"] === undefined) {
                begunBy = version;
            }
            else if (version !== begunBy) {
                this.violations.push(`${requestIds.join()}: a stream went on at another version`);
            }
        }
    }

    /** Submits a job, with up to six attempts until it is accepted. */
    async submitJob(): Promise<void> {
        const jobId = this.newId();
        const itemIds = Array.from({ length: 4 }, (_, index) => `${jobId}-${index}`);
        const items = itemIds.map(id => ({
            id,
            path: `/jobs/${id}`,
            headers: GENERATION_HEADERS,
            body: Buffer.from(
                `${this.pick(["", "", "BREAK", "BREAK UNFRAMED", "CRASH", "FAIL"])} events=${EVENT_COUNT}`,
            ).toString(
                "base64",
            ),
            tokens: 10,
        }));
        for (let attempt = 0; attempt < 6; attempt += 1) {
            const response = await this.request("POST", "/jobs/x", jobId, JSON.stringify({ items }), {});
            if (response.status === 202) {
                this.jobs.set(jobId, { itemIds, results: new Map() });
                this.counts.jobs += 1;
                return;
            }
        }
    }

    /** Reads a random job through a random gateway; a result that has been read must keep its position and content. */
    async readJob(): Promise<void> {
        const jobIds = [...this.jobs.keys()];
        const jobId = jobIds[Math.floor(this.random() * jobIds.length)];
        if (jobId !== undefined) {
            await this.readAndCheckJob(jobId);
        }
    }

    /**
     * Waits until each item of the accepted jobs has a result, and records a violation for a job that lacks some.
     *
     * @param timeoutMs - Longest wait for all jobs together, in milliseconds.
     */
    async checkJobs(timeoutMs: number): Promise<void> {
        const endAtMs = Date.now() + timeoutMs;
        for (const [jobId, { itemIds, results }] of this.jobs) {
            while (results.size < itemIds.length && Date.now() < endAtMs) {
                await this.readAndCheckJob(jobId);
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            if (results.size < itemIds.length) {
                this.violations.push(`job ${jobId}: ${results.size} of ${itemIds.length} items have results`);
            }
            this.counts.items += results.size;
        }
    }

    private async readAndCheckJob(jobId: string): Promise<void> {
        const job = this.jobs.get(jobId);
        const response = await this.request("GET", `/-/lots/${jobId}?after=0`, this.newId(), "", {});
        if (job === undefined || response.status === 503 || response.status === 0) {
            return;
        }
        if (response.status !== 200) {
            this.violations.push(`job ${jobId}: reading it returned status ${response.status}`);
            return;
        }
        const { results } = JSON.parse(response.body) as { results: { id: string; state: string; output: string; }[]; };
        for (const [position, { id, state, output }] of results.entries()) {
            const text = `${id} ${state} ${output}`;
            const previousText = job.results.get(position);
            const expectedOutput = Array.from({ length: EVENT_COUNT }, (_, event) => `event ${event} of ${id}`).join(
                "\n",
            );
            if (previousText !== undefined && previousText !== text) {
                this.violations.push(`job ${jobId}: the result at position ${position} has changed`);
            }
            if (state === "completed" && output !== expectedOutput) {
                this.violations.push(`item ${id}: its output is incomplete or wrong`);
            }
            if (previousText === undefined && [...job.results.values()].some(other => other.startsWith(`${id} `))) {
                this.violations.push(`item ${id} has results at two positions`);
            }
            job.results.set(position, text);
        }
    }

    private checkCall(call: CallResult): void {
        this.checkVersions([call.requestId]);
        const runs = this.engines.flatMap(({ seen }) => seen).filter(({ requestId }) => requestId === call.requestId);
        const { requestId, route, status } = call;
        if ((route === "once" || route === "write") && runs.length > 1) {
            this.violations.push(`${requestId}: ran ${runs.length} times on /${route}/`);
        }
        if ((status === 503 || status === 429) && runs.length > 0 && (route === "once" || route === "write")) {
            this.violations.push(`${requestId}: ran although it was refused with status ${status}`);
        }
        if (runs.some(({ headers }) => headers.authorization !== undefined || headers.tenant !== "alpha")) {
            this.violations.push(`${requestId}: reached an engine with an API key or under another organisation`);
        }
        if (status === 503 || status === 429) {
            this.counts.refused += 1;
            if (Number(call.retryAfter) >= 0 === false) {
                this.violations.push(`${requestId}: refused without a valid Retry-After header`);
            }
        }
        else if (status === 200 && call.isComplete) {
            this.counts.served += 1;
            this.checkCompleteResponse(call);
        }
        else {
            this.counts.failed += 1;
            if ([401, 403, 404, 400].includes(status)) {
                this.violations.push(`${requestId}: a valid request was rejected with status ${status}`);
            }
        }
    }

    private checkCompleteResponse({ requestId, route, body, signature }: CallResult): void {
        if (signature !== `sig.${requestId}`) {
            this.violations.push(`${requestId}: a successful response without the engine's signature`);
        }
        const events = Array.from(
            { length: EVENT_COUNT },
            (_, event) => toEvent(event, requestId),
        );
        const expected = route === "once" || route === "again" ? events.join("") : `plain answer to ${requestId}`;
        if (body !== expected) {
            this.violations.push(`${requestId}: a successful response whose body differs from the engine's`);
        }
    }

    private async send(
        requestId: string,
        route: CallResult["route"],
        body: string,
        headers: Record<string, string>,
    ): Promise<CallResult> {
        const response = await this.request("POST", `/${route}/a`, requestId, body, headers);
        return { requestId, route, ...response };
    }

    private request(
        method: string,
        path: string,
        requestId: string,
        body: string,
        headers: Record<string, string>,
    ): Promise<Omit<CallResult, "requestId" | "route">> {
        const ports = this.getPorts();
        const port = ports[Math.floor(this.random() * ports.length)] ?? 0;
        return new Promise(resolve => {
            let text = "";
            let response: http.IncomingMessage | undefined;
            const finish = () => {
                clearTimeout(timer);
                resolve({
                    status: response?.statusCode ?? 0,
                    isComplete: response?.complete ?? false,
                    body: text,
                    signature: response?.headers["response-signature"] as string | undefined,
                    retryAfter: response?.headers["retry-after"],
                });
            };
            const request = http.request({
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
                response = incoming;
                incoming.on("data", (chunk: Buffer) => {
                    text += chunk.toString("utf8");
                });
                incoming.on("error", () => undefined);
                incoming.on("close", finish);
            });
            const timer = setTimeout(() => request.destroy(), CALLER_TIMEOUT_MS);
            request.on("error", finish);
            request.end(body);
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

function toEvent(eventId: number, requestId: string): string {
    return `id: ${eventId}\ndata: event ${eventId} of ${requestId}\n\n`;
}

/** @returns Id of the last whole event, if there is one. */
function getLastEventId(body: string): number | undefined {
    const wholeEvents = body.slice(0, body.lastIndexOf("\n\n") + 2);
    const id = [...wholeEvents.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
    return id === undefined ? undefined : Number(id);
}
