import type { DaemonClient, DaemonResponse } from "../client";
import { CliError } from "../errors";
import type { Printer, Row } from "../output";

const FIRST_ERROR_STATUS = 400;
const STATUS_NOT_FOUND = 404;
/** Invalid query; URL or request head too large. */
const USAGE_STATUSES = [400, 414, 431];

/** Options of the command, as on the command line. */
export interface WhereOptions {
    readonly route?: unknown;
    readonly organisation?: unknown;
    readonly promptParts?: unknown;
    readonly tokens?: unknown;
    readonly items?: unknown;
}

interface Candidate {
    readonly endpointId: string;
    readonly dataCentre: string;
    readonly isRemote: boolean;
    readonly softwareVersion: string;
    readonly cost: number;
    readonly obstacle?: string;
    readonly running: number;
    readonly capacity: number;
    readonly slowness: number;
    readonly failureRate: number;
    readonly pauseLeftMs: number;
    readonly isTriedAgain: boolean;
    readonly coldRatePerS: number;
    readonly limitPerS?: number;
    readonly sendWaitMs: number;
    readonly memoryRoom?: number;
    readonly rolloutCost: number;
}

interface Explanation {
    readonly decision:
        | { readonly kind: "granted"; readonly endpointId: string; }
        | { readonly kind: "waits"; readonly expectedWaitMs: number; }
        | { readonly kind: "refused"; readonly reason: string; };
    readonly queue: {
        readonly waitingOnline: number;
        readonly waitingBatch: number;
        readonly ahead: number;
        readonly free: number;
        readonly capacity: number;
        readonly expectedWaitMs?: number;
    };
    readonly candidates: readonly Candidate[];
    readonly candidateCount: number;
    readonly allowedVersions?: { readonly kind: string; readonly versions?: readonly string[]; };
    readonly rate?: { readonly ratePerS: number; readonly burst: number; readonly tokens: number; };
    readonly prompt: string;
    readonly job?: { readonly kind: string; readonly waitingTokens?: number; };
}

/** The answer of an instance. */
export interface WhereAnswer {
    readonly kind: "request" | "job";
    readonly instance: string;
    readonly dataCentre: string;
    readonly isCutOff: boolean;
    readonly inputs: {
        readonly configVersion?: number;
        readonly configAgeMs?: number;
        readonly endpointsAgeMs?: number;
        readonly replyAgeMs?: number;
    };
    readonly route?: string;
    readonly services?: readonly { readonly service: string; readonly weight: number; }[];
    readonly service?: string;
    readonly organisation?: string;
    readonly isAdmitted: boolean;
    readonly refusal?: {
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs?: number;
        readonly detail: string;
    };
    readonly decider?: string;
    readonly explanation?: Explanation;
    readonly problem?: string;
}

/** Explains where a request or a job would be sent now, without sending it. */
export class WhereCommand {
    /**
     * @param client - Client of the metrics listener of an instance.
     * @param printer - Prints the result.
     */
    constructor(private readonly client: Pick<DaemonClient, "send">, private readonly printer: Printer) {}

    /**
     * Prints the explanation. Throws a {@link CliError} if the options are invalid, or the instance can't explain it.
     *
     * @param kind - `request` or `job`.
     * @param options - What would be sent.
     */
    async run(kind: string, options: WhereOptions): Promise<void> {
        const answer = parseAnswer(await this.client.send("GET", `/where?${newQuery(kind, options).toString()}`));
        if (answer.problem !== undefined) {
            throw new CliError("refused", `${answer.instance}: ${answer.problem}`);
        }
        this.printer.print(answer, toRows(answer));
        const candidates = answer.explanation?.candidates ?? [];
        if (this.printer.format === "table" && candidates.length > 0) {
            process.stdout.write("\n");
            this.printer.print(undefined, candidates.map(toCandidateRow));
        }
    }
}

function newQuery(kind: string, options: WhereOptions): URLSearchParams {
    if (kind !== "request" && kind !== "job") {
        throw new CliError("usage", `${kind} is not one of request, job`);
    }
    const query = new URLSearchParams({
        kind,
        route: requireText("--route", options.route),
        organisation: requireText("--organisation", options.organisation),
    });
    if (options.tokens !== undefined) {
        query.set("tokens", requireCount("--tokens", options.tokens, 0));
    }
    if (kind === "request" && options.items !== undefined) {
        throw new CliError("usage", "--items is for jobs");
    }
    if (kind === "job" && options.promptParts !== undefined) {
        throw new CliError("usage", "--prompt-parts is for requests");
    }
    if (options.items !== undefined) {
        query.set("items", requireCount("--items", options.items, 1));
    }
    if (options.promptParts !== undefined) {
        query.set("promptParts", requireText("--prompt-parts", options.promptParts));
    }
    return query;
}

function requireText(name: string, value: unknown): string {
    if ((typeof value !== "string" && typeof value !== "number") || value === "") {
        throw new CliError("usage", `${name} is required once, with a value`);
    }
    return String(value);
}

function requireCount(name: string, value: unknown, min: number): string {
    const count = typeof value === "number" || typeof value === "string" ? Number(value) : NaN;
    if (value === "" || !Number.isSafeInteger(count) || count < min) {
        throw new CliError("usage", `${name} must be a whole number, at least ${min}`);
    }
    return String(count);
}

/** The metrics listener of an earlier release answers with 404, or with metrics whatever the path is. */
function parseAnswer({ status, text }: DaemonResponse): WhereAnswer {
    const body = parseObject(text);
    if (status < FIRST_ERROR_STATUS && body !== undefined && "isAdmitted" in body) {
        return body as unknown as WhereAnswer;
    }
    if (status === STATUS_NOT_FOUND || status < FIRST_ERROR_STATUS) {
        throw new CliError(
            "refused",
            "the instance doesn't answer this command; it may run an earlier release, or --instance may not be its metrics listener",
        );
    }
    const message = typeof body?.message === "string" ? body.message : `the instance answered with status ${status}`;
    throw new CliError(USAGE_STATUSES.includes(status) ? "usage" : "refused", message);
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value = JSON.parse(text) as unknown;
        return typeof value === "object" && value !== null ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}

function toRows(answer: WhereAnswer): Row[] {
    const { inputs, explanation } = answer;
    const rows: [string, string | undefined][] = [
        ["decision", describeDecision(answer)],
        ["retry after", formatMs(answer.refusal?.retryAfterMs)],
        ["detail", answer.refusal?.detail],
        ["route", answer.route],
        ["service", answer.service],
        ["other services", describeOthers(answer)],
        ["organisation", answer.organisation],
        ["may use the route", answer.isAdmitted ? "yes" : "no"],
        ["rate", describeRate(explanation)],
        ["prompt", explanation?.prompt],
        ["job", describeJob(explanation)],
        ["queue", describeQueue(explanation)],
        ["wait forecast", formatMs(explanation?.queue.expectedWaitMs)],
        ["versions", describeVersions(explanation)],
        ["decided by", answer.decider],
        [
            "instance",
            `${answer.instance}, ${answer.dataCentre}${answer.isCutOff ? ", cut off from the coordinator" : ""}`,
        ],
        [
            "configuration",
            `version ${inputs.configVersion ?? "unknown"}, age ${formatMs(inputs.configAgeMs) ?? "unknown"}`,
        ],
        ["endpoints' age", formatMs(inputs.endpointsAgeMs)],
        ["coordinator's reply", formatMs(inputs.replyAgeMs)],
        ["candidates", describeCandidateCount(explanation)],
    ];
    return rows.filter(([, value]) => value !== undefined && value !== "").map(([what, value]) => ({ what, value }));
}

function describeDecision({ refusal, explanation }: WhereAnswer): string {
    if (refusal !== undefined) {
        return `refused: ${refusal.status} ${refusal.reason}`;
    }
    switch (explanation?.decision.kind) {
        case "granted":
            return `granted at ${explanation.decision.endpointId}`;
        case "waits":
            return "waits for a place";
        case "refused":
            // A job is accepted all the same.
            return `no place for its items: ${explanation.decision.reason}`;
        default:
            return "unknown";
    }
}

function describeOthers({ services = [], service }: WhereAnswer): string {
    return services.filter(other => other.service !== service).map(other => `${other.service} (weight ${other.weight})`)
        .join(", ");
}

function describeRate(explanation: Explanation | undefined): string | undefined {
    const rate = explanation?.rate;
    return rate === undefined
        ? undefined
        : `${round(rate.ratePerS)}/s, burst ${round(rate.burst)}, ${round(rate.tokens)} left`;
}

function describeJob(explanation: Explanation | undefined): string | undefined {
    const job = explanation?.job;
    return job === undefined
        ? undefined
        : job.kind === "full"
        ? `over the limit, ${job.waitingTokens ?? 0} tokens waiting`
        : "within the limit of waiting tokens";
}

function describeQueue(explanation: Explanation | undefined): string | undefined {
    if (explanation === undefined) {
        return undefined;
    }
    const { waitingOnline, waitingBatch, ahead, free, capacity } = explanation.queue;
    return `${waitingOnline} requests and ${waitingBatch} items wait, ${ahead} ahead; ${round(free)} of ${
        round(capacity)
    } places free`;
}

function describeVersions(explanation: Explanation | undefined): string | undefined {
    const { kind = "any", versions = [] } = explanation?.allowedVersions ?? {};
    return kind === "any" || versions.length === 0 ? undefined : `${kind} ${versions.join(", ")}`;
}

function describeCandidateCount(explanation: Explanation | undefined): string | undefined {
    return explanation === undefined
        ? undefined
        : `${explanation.candidates.length} of ${explanation.candidateCount} endpoints`;
}

function toCandidateRow(candidate: Candidate): Row {
    const { capacity, limitPerS, memoryRoom, pauseLeftMs } = candidate;
    return {
        endpoint: candidate.endpointId,
        cost: round(candidate.cost),
        "can't be used": candidate.obstacle,
        running: `${candidate.running}/${capacity}`,
        "data centre": `${candidate.dataCentre}${candidate.isRemote ? " (other)" : ""}`,
        slowness: round(candidate.slowness),
        failures: round(candidate.failureRate),
        "pause ms": candidate.isTriedAgain ? Math.round(pauseLeftMs) : undefined,
        "cold/s": candidate.coldRatePerS > 0 ? round(candidate.coldRatePerS) : undefined,
        "limit/s": limitPerS === undefined ? undefined : round(limitPerS),
        "next in ms": candidate.sendWaitMs > 0 ? Math.ceil(candidate.sendWaitMs) : undefined,
        "memory for": memoryRoom,
        version: candidate.softwareVersion,
        "roll-out": candidate.rolloutCost > 0 ? round(candidate.rolloutCost) : undefined,
    };
}

function formatMs(timeMs: number | undefined): string | undefined {
    return timeMs === undefined ? undefined : `${Math.round(timeMs)} ms`;
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
