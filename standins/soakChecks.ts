import { callJson, type Child, type DaemonChild } from "./cluster";
import type { JobRecord, SoakLoad } from "./soakLoad";

/** A request as an endpoint received it. */
interface SeenRequest {
    readonly mark?: string;
    readonly hasKey: boolean;
    readonly startedAt: number;
}

/** Result of a check: how many cases were checked, and each violation. */
export interface CheckResult {
    readonly name: string;
    checked: number;
    readonly violations: string[];
}

/** Rate limit of an organisation in a run. */
export interface SoakOrganisation {
    readonly organisation: string;
    readonly ratePerS: number;
    readonly burst: number;
}

/** Time after the confirmation of a job's cancellation in which its items may still start, in milliseconds. */
const CANCEL_GRACE_MS = 12_000;
/** Longest time between admission and arrival at an endpoint, spent in queues and retries, in milliseconds. */
const MAX_ARRIVAL_DELAY_MS = 3_000;
/** Window in which arrivals at endpoints are counted against rate and burst, in milliseconds. */
const WINDOW_MS = 15_000;

/** Checks a finished run from outside the daemons, by the records of endpoints and callers. */
export class SoakChecks {
    readonly results: CheckResult[] = [];
    private seen: SeenRequest[] = [];
    private requestsByMark = new Map<string, SeenRequest[]>();

    /**
     * @param load - The load, with the records of its callers.
     * @param endpoints - The endpoints' stand-ins.
     * @param daemons - The daemons that run at the end.
     * @param organisations - Rate limits of the organisations.
     */
    constructor(
        private readonly load: SoakLoad,
        private readonly endpoints: readonly Child[],
        private readonly daemons: readonly DaemonChild[],
        private readonly organisations: readonly SoakOrganisation[],
    ) {}

    /** Runs all checks. */
    async run(): Promise<void> {
        const lists = await Promise.all(
            this.endpoints.map(async ({ controlPort = 0 }) =>
                (await callJson(controlPort, "/seen")).json as SeenRequest[]
            ),
        );
        this.seen = lists.flat();
        for (const entry of this.seen) {
            if (entry.mark !== undefined) {
                this.requestsByMark.set(entry.mark, [...this.requestsByMark.get(entry.mark) ?? [], entry]);
            }
        }
        this.checkResponses();
        this.checkRates();
        await this.checkJobs();
        await this.checkEndpoints();
        await this.checkInvariants();
    }

    private checkResponses(): void {
        const ownResponse = this.addCheck("a caller gets the complete response to its own request");
        const notRunIsTrue = this.addCheck("a request that was refused as not run did not run");
        const atMostOnce = this.addCheck("a non-idempotent request runs at most once");
        const successes = new Set(this.load.calls.filter(({ status }) => status === 200).map(({ mark }) => mark));
        for (const call of this.load.calls) {
            if (call.status === 200) {
                recordCheck(
                    ownResponse,
                    call.isOwnResponse,
                    `${call.mark} got an incomplete response or that of another request`,
                );
            }
            // Another attempt with the same mark may have run, so that only marks without a success are checked.
            if (call.notRun === true && call.kind === "chat" && !successes.has(call.mark)) {
                recordCheck(
                    notRunIsTrue,
                    !this.requestsByMark.has(call.mark),
                    `${call.mark} was refused as not run (${call.code}) but ran`,
                );
            }
        }
        for (const mark of new Set(this.load.calls.filter(({ kind }) => kind === "post").map(call => call.mark))) {
            const runs = this.requestsByMark.get(mark)?.length ?? 0;
            recordCheck(atMostOnce, runs <= 1, `${mark} ran ${runs} times`);
        }
        const noKey = this.addCheck("no endpoint receives an API key");
        for (const entry of this.seen) {
            recordCheck(noKey, !entry.hasKey, `${entry.mark} came with an API key`);
        }
    }

    private checkRates(): void {
        const result = this.addCheck("no organisation gets more than its rate and burst");
        const organisationOf = new Map(this.load.calls.map(({ mark, organisation }) => [mark, organisation]));
        for (const { organisation, ratePerS, burst } of this.organisations) {
            for (const kind of ["chat", "post"]) {
                const times = [...this.requestsByMark]
                    .filter(([mark]) => mark.startsWith(kind) && organisationOf.get(mark) === organisation)
                    .map(([, entries]) => entries[0]?.startedAt ?? 0)
                    .sort((left, right) => left - right);
                const maxInWindow = burst + ratePerS * (WINDOW_MS + MAX_ARRIVAL_DELAY_MS) / 1_000;
                for (const [index, startedAt] of times.entries()) {
                    const count = times.slice(index).findIndex(time => time > startedAt + WINDOW_MS);
                    const inWindow = count < 0 ? times.length - index : count;
                    recordCheck(
                        result,
                        inWindow <= maxInWindow,
                        `${organisation} had ${inWindow} ${kind} requests in ${WINDOW_MS} ms, at most ${maxInWindow}`,
                    );
                }
            }
        }
    }

    private async checkJobs(): Promise<void> {
        const complete = this.addCheck("an accepted item completes exactly once and its result stays readable");
        const once = this.addCheck("a non-idempotent batch item runs at most once");
        const stopped = this.addCheck("a cancelled job stops");
        for (const job of this.load.jobs) {
            const results = await this.readResults(job);
            for (const mark of job.marks) {
                const count = results.get(mark) ?? 0;
                recordCheck(
                    complete,
                    job.cancelledAt === undefined ? count === 1 : count <= 1,
                    `${mark} of ${job.jobId} has ${count} results`,
                );
                const runs = this.requestsByMark.get(mark) ?? [];
                if (!job.isIdempotent) {
                    recordCheck(once, runs.length <= 1, `${mark} ran ${runs.length} times`);
                }
                if (job.cancelledAt !== undefined) {
                    const late = runs.filter(({ startedAt }) => startedAt > (job.cancelledAt ?? 0) + CANCEL_GRACE_MS);
                    recordCheck(
                        stopped,
                        late.length === 0,
                        `${mark} started ${late.length} times after its job was cancelled`,
                    );
                }
            }
        }
    }

    private async readResults(job: JobRecord): Promise<Map<string, number>> {
        const counts = new Map<string, number>();
        const headers = this.load.getHeaders(job.organisation);
        const port = this.daemons[0]?.port ?? 0;
        for (let chunk: number | undefined = 0; chunk !== undefined;) {
            const page: { results: { custom_id: string; }[]; next_chunk?: number; } =
                (await callJson(port, `/v1/batches/${job.jobId}/results?chunk=${chunk}`, { headers })).json;
            for (const { custom_id: customId } of page.results) {
                counts.set(customId, (counts.get(customId) ?? 0) + 1);
            }
            chunk = page.next_chunk;
        }
        return counts;
    }

    private async checkEndpoints(): Promise<void> {
        const cold = this.addCheck("a cold endpoint gets no more load than it can carry");
        for (const { controlPort = 0, port } of this.endpoints) {
            const { coldOverloads } = (await callJson(controlPort, "/stats")).json;
            recordCheck(cold, coldOverloads === 0, `endpoint ${port} was overloaded ${coldOverloads} times while cold`);
        }
    }

    private async checkInvariants(): Promise<void> {
        const result = this.addCheck("invariants inside the daemons hold");
        for (const { port, instance } of this.daemons) {
            const text = (await callJson(port, "/metrics")).text;
            for (const [, labels = "", value = ""] of text.matchAll(/heatherline_invariant_checks\{(.*)\} (\d+)/g)) {
                if (labels.includes("violated")) {
                    recordCheck(result, value === "0", `${instance}: ${labels}`);
                }
                else {
                    result.checked += Number(value);
                }
            }
        }
    }

    private addCheck(name: string): CheckResult {
        const result = { name, checked: 0, violations: [] };
        this.results.push(result);
        return result;
    }
}

function recordCheck(result: CheckResult, holds: boolean, violation: string): void {
    result.checked += 1;
    if (!holds) {
        result.violations.push(violation);
    }
}
