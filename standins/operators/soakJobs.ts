import { KEYS } from "./fleet";
import { EVENT_COUNT, type SoakChecks, toEventData } from "./soakChecks";
import type { SoakClient } from "./soakClient";
import { GENERATION_HEADERS, newBody } from "./soakLoad";
import { pick, type Random } from "./soakRandom";
import type { LoadTraits } from "./soakVariants";

const FAULT_WORDS = ["", "", "BREAK", "BREAK UNFRAMED", "CRASH", "FAIL"];
/** Words of variants in which items fail or are refused in more than one run; the route allows two failures. */
const REPEATED_FAULT_WORDS = ["", "", "", "", "", "FAIL runs=1,3", "FAIL runs=1,2", "FULL runs=1,3"];
const API_KEYS = [KEYS.alpha, KEYS.beta];
const SUBMIT_ATTEMPTS = 6;
const JOBS_PER_BURST = 5;
const READ_INTERVAL_MS = 50;
/** Retention of the route of batch jobs, in milliseconds. */
const RETENTION_MS = 60_000;

/** A page of results. */
interface ResultPage {
    readonly results: readonly { readonly id: string; readonly state: string; readonly output: string; }[];
}

/** A job that was accepted, with the results that have been read by position. */
interface AcceptedJob {
    readonly apiKey: string;
    readonly itemIds: readonly string[];
    readonly acceptedAtMs: number;
    readonly results: Map<number, string>;
}

/** Submits batch jobs of two organisations, whose items have the same ids in all jobs, and checks their results. */
export class SoakJobs {
    readonly counts = { jobs: 0, items: 0, notAccepted: 0 };
    private readonly jobs = new Map<string, AcceptedJob>();

    /**
     * @param random - Random numbers.
     * @param client - Sends the requests.
     * @param checks - Records violations.
     * @param traits - Sizes and numbers.
     */
    constructor(
        private readonly random: Random,
        private readonly client: SoakClient,
        private readonly checks: SoakChecks,
        private readonly traits: LoadTraits,
    ) {}

    /** Submits a job, with up to six attempts until it is accepted. */
    async submitJob(): Promise<void> {
        const { itemEventFillers, itemBodyBytes, itemsPerJob, hasRepeatedFailures } = this.traits;
        const faultWords = hasRepeatedFailures ? REPEATED_FAULT_WORDS : FAULT_WORDS;
        const jobId = this.client.newId();
        const apiKey = API_KEYS[this.counts.jobs % API_KEYS.length] ?? "";
        const itemIds = Array.from({ length: itemsPerJob }, (_, index) => String(index));
        const items = itemIds.map(id => {
            const words = `${pick(this.random, faultWords)} of=${toItemName(jobId, id)}`;
            const body = newBody(words, itemEventFillers, itemBodyBytes);
            return {
                id,
                path: `/jobs/${jobId}/${id}`,
                headers: GENERATION_HEADERS,
                body: Buffer.from(body).toString("base64"),
                tokens: 10,
            };
        });
        const text = JSON.stringify({ items });
        for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
            const { status } = await this.client.request("POST", "/jobs/x", jobId, text, toKeyHeaders(apiKey));
            if (status === 202) {
                this.jobs.set(jobId, { apiKey, itemIds, acceptedAtMs: Date.now(), results: new Map() });
                this.counts.jobs += 1;
                return;
            }
            if ([400, 401, 403, 404, 413].includes(status)) {
                this.checks.record(`job ${jobId}: a valid job was rejected with status ${status}`);
            }
        }
        this.counts.notAccepted += 1;
    }

    /** Submits several jobs at once. */
    async submitBurst(): Promise<void> {
        await Promise.all(Array.from({ length: JOBS_PER_BURST }, () => this.submitJob()));
    }

    /** Reads a random job through a random gateway; a result that has been read must keep its position and content. */
    async readJob(): Promise<void> {
        const jobIds = [...this.jobs.keys()];
        const jobId = jobIds[Math.floor(this.random() * jobIds.length)];
        if (jobId !== undefined) {
            await this.readAndCheckJob(jobId, 0);
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
            await this.readAndCheckJob(jobId, results.size);
            while (results.size < itemIds.length && Date.now() < endAtMs) {
                await new Promise(resolve => setTimeout(resolve, READ_INTERVAL_MS));
                await this.readAndCheckJob(jobId, results.size);
            }
            if (results.size < itemIds.length) {
                this.checks.record(`job ${jobId}: ${results.size} of ${itemIds.length} items have results`);
            }
            this.counts.items += results.size;
        }
    }

    private async readAndCheckJob(jobId: string, after: number): Promise<void> {
        const job = this.jobs.get(jobId);
        const path = `/-/lots/${jobId}?after=${after}`;
        if (job === undefined) {
            return;
        }
        const response = await this.client.request("GET", path, this.client.newId(), "", toKeyHeaders(job.apiKey));
        const isCut = response.status === 200 && !response.isComplete;
        if (response.status === 503 || response.status === 0 || isCut) {
            return;
        }
        if (response.status !== 200) {
            this.checks.record(`job ${jobId}: reading it returned status ${response.status}`);
            return;
        }
        const { results } = JSON.parse(response.body) as ResultPage;
        for (const [index, result] of results.entries()) {
            this.checkResult(jobId, job, after + index, result);
        }
    }

    private checkResult(
        jobId: string,
        { acceptedAtMs, results }: AcceptedJob,
        position: number,
        { id, state, output }: ResultPage["results"][number],
    ): void {
        const text = `${id} ${state} ${output}`;
        const name = toItemName(jobId, id);
        const previousText = results.get(position);
        const expectedOutput = Array.from(
            { length: EVENT_COUNT },
            (_, event) => toEventData(event, name, this.traits.itemEventFillers),
        ).join("\n");
        if (previousText !== undefined && previousText !== text) {
            this.checks.record(`job ${jobId}: the result at position ${position} has changed`);
        }
        if (state === "completed" && output !== expectedOutput) {
            this.checks.record(`item ${name}: its output is incomplete or wrong`);
        }
        // No item fails as often as its route allows.
        if (previousText === undefined && state !== "completed" && Date.now() - acceptedAtMs < RETENTION_MS) {
            this.checks.record(`item ${name}: given up as ${state} ${Date.now() - acceptedAtMs} ms after its job came`);
        }
        if (previousText === undefined && [...results.values()].some(other => other.startsWith(`${id} `))) {
            this.checks.record(`item ${name} has results at two positions`);
        }
        results.set(position, text);
    }
}

/** @returns What the events of an item name. */
function toItemName(jobId: string, itemId: string): string {
    return `${jobId}-${itemId}`;
}

function toKeyHeaders(apiKey: string): Record<string, string> {
    return { Authorization: `Token ${apiKey}` };
}
