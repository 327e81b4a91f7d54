import { newKey } from "@heatherline/config";
import { callJson, type DaemonChild } from "./cluster";
import { newSeededRandom } from "./random";

/** Random numbers of a run; the same seed repeats them. */
export class SeededRandom {
    /** Returns a random number from 0 up to 1. */
    readonly next: () => number;

    /**
     * @param seed - Seed of the generator.
     */
    constructor(seed: number) {
        this.next = newSeededRandom(seed);
    }

    /**
     * @param items - The items to choose from.
     * @returns A random one; undefined if there are none.
     */
    pick<T>(items: readonly T[]): T | undefined {
        return items[Math.floor(this.next() * items.length)];
    }
}

/** A request and its response, as recorded by the caller. */
export interface CallRecord {
    readonly kind: "chat" | "post";
    readonly mark: string;
    readonly organisation: string;
    readonly sentAt: number;
    /** HTTP status; 0 if no complete response came. */
    readonly status: number;
    readonly code: string | undefined;
    readonly notRun: boolean | "unknown" | undefined;
    /** Whether a successful response is complete (a stream) or carries the request's own mark (any other). */
    readonly isOwnResponse: boolean;
}

/** A job and its items, as recorded by the caller. */
export interface JobRecord {
    readonly jobId: string;
    readonly organisation: string;
    readonly key: string;
    /** Marks of the items, which are also their custom ids. */
    readonly marks: readonly string[];
    /** Whether its items may run more than once. */
    readonly isIdempotent: boolean;
    /** When a cancellation was confirmed, as wall-clock time in milliseconds. */
    cancelledAt?: number;
}

const ITEMS_PER_JOB = 40;

/** Sends online requests and jobs to random daemons, and records the responses. */
export class SoakLoad {
    readonly calls: CallRecord[] = [];
    readonly jobs: JobRecord[] = [];
    private counter = 0;

    /**
     * @param random - Random numbers of the run.
     * @param getDaemons - Returns the daemons that may be called now.
     * @param keys - API keys by organisation.
     */
    constructor(
        private readonly random: SeededRandom,
        private readonly getDaemons: () => readonly DaemonChild[],
        private readonly keys: ReadonlyMap<string, string>,
    ) {}

    /**
     * Sends a chat request; every fifth or so asks for a stream.
     *
     * @param organisation - The organisation that sends it.
     */
    async sendChat(organisation: string): Promise<void> {
        const mark = this.newMark("chat");
        const body = {
            model: "lm-model",
            messages: [{ role: "user", content: `mark:${mark}` }],
            stream: this.random.next() < 0.2,
        };
        await this.send("chat", mark, organisation, "/v1/chat/completions", body, {});
    }

    /**
     * Sends a non-idempotent request one to three times with the same idempotency key, through random instances, partly
     * at the same time.
     *
     * @param organisation - The organisation that sends it.
     */
    async sendPost(organisation: string): Promise<void> {
        const mark = this.newMark("post");
        const copies = 1 + Math.floor(this.random.next() * 3);
        const sends = [];
        for (let copy = 0; copy < copies; copy += 1) {
            sends.push(
                this.send("post", mark, organisation, "/services/post/post", { text: `mark:${mark}` }, {
                    "idempotency-key": mark,
                }),
            );
            if (this.random.next() < 0.5) {
                await Promise.all(sends);
            }
        }
        await Promise.all(sends);
    }

    /**
     * Submits a job, and retries with the same idempotency key until it is accepted, 40 attempts at most.
     *
     * @param organisation - The organisation that submits it.
     */
    async submitJob(organisation: string): Promise<void> {
        const key = this.newMark("job");
        const isIdempotent = this.random.next() < 0.7;
        const marks = Array.from({ length: ITEMS_PER_JOB }, (_, index) => `${key}-${index}`);
        const lines = marks.map(mark => JSON.stringify(newItem(mark, isIdempotent)));
        for (let attempt = 0; attempt < 40; attempt += 1) {
            const daemon = this.random.pick(this.getDaemons());
            const response = await callJson(daemon?.port ?? 0, "/v1/batches", {
                headers: { ...this.getHeaders(organisation), "idempotency-key": key },
                body: lines.join("\n"),
                timeoutMs: 8_000,
            }).catch(() => undefined);
            if (response?.status === 201 || response?.status === 200) {
                this.jobs.push({ jobId: response.json.id, organisation, key, marks, isIdempotent });
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 500));
        }
    }

    /**
     * Submits a job and at once cancels the newest job that isn't cancelled yet, while it runs.
     *
     * @param organisation - The organisation that submits it.
     */
    async cancelJob(organisation: string): Promise<void> {
        await this.submitJob(organisation);
        const job = this.jobs.findLast(({ cancelledAt }) => cancelledAt === undefined);
        const daemon = this.random.pick(this.getDaemons());
        if (job === undefined || daemon === undefined) {
            return;
        }
        const response = await callJson(daemon.port, `/v1/batches/${job.jobId}/cancel`, {
            method: "POST",
            headers: this.getHeaders(job.organisation),
            timeoutMs: 8_000,
        }).catch(() => undefined);
        if (response?.status === 200 && response.json.state === "cancelled") {
            job.cancelledAt = Date.now();
        }
    }

    /**
     * @param organisation - An organisation.
     * @returns Headers with its API key, or with an unknown key if it has none.
     */
    getHeaders(organisation: string): Record<string, string> {
        return { authorization: `Bearer ${this.keys.get(organisation) ?? newKey("nobody").secretKey}` };
    }

    private async send(
        kind: CallRecord["kind"],
        mark: string,
        organisation: string,
        path: string,
        body: object,
        headers: Record<string, string>,
    ): Promise<void> {
        const sentAt = Date.now();
        const daemon = this.random.pick(this.getDaemons());
        const response = await callJson(daemon?.port ?? 0, path, {
            headers: { ...this.getHeaders(organisation), ...headers },
            body,
            timeoutMs: 20_000,
        }).catch(() => undefined);
        const isStream = String(response?.headers["content-type"] ?? "").startsWith("text/event-stream");
        this.calls.push({
            kind,
            mark,
            organisation,
            sentAt,
            status: response?.status ?? 0,
            code: response?.json?.code,
            notRun: response?.json?.notRun,
            isOwnResponse: isStream ? response?.text.includes("[DONE]") === true : response?.json?.mark === mark,
        });
    }

    private newMark(kind: string): string {
        this.counter += 1;
        return `${kind}-${this.counter}`;
    }
}

function newItem(mark: string, isIdempotent: boolean): object {
    return isIdempotent
        ? {
            custom_id: mark,
            url: "/v1/chat/completions",
            body: { model: "lm-model", messages: [{ role: "user", content: `mark:${mark}` }] },
        }
        : { custom_id: mark, url: "/services/post/post", body: { text: `mark:${mark}` } };
}
