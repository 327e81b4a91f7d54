import type {
    AdmitJobRequest,
    CoordinatorLink,
    FleetView,
    MemberEntry,
    PlaceExplanation,
    PlacementClient,
    PlacementExplanation,
    WeightedService,
} from "@heatherline/fleet";
import type { Admission, AdmittedRequest } from "../callers/admission";
import { newRefusal, type Refusal } from "../callers/refusal";
import { JOB_RETRY_AFTER_MS } from "../jobs/batchApi";
import { ItemDurationEstimator } from "../jobs/itemDurationEstimator";
import { newItemPlaceOptions } from "../jobs/itemPlaceOptions";
import { getRate, newAdmittedOptions } from "../online/placeOptions";
import { parseWhereQuery, type WhereQuery } from "./whereQuery";

const MAX_QUERY_BYTES = 16_384;
/** Takes the place of the id that a request or a job would have. */
const EXPLAINED_ID = "where";

/** What a {@link WhereExplainer} depends on. */
export interface WhereDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly admission: Admission;
    readonly placement: PlacementClient;
    /** Links to the coordinator and to the deputy. */
    readonly links: readonly Pick<CoordinatorLink, "coordinator" | "lastReplyAgeMs">[];
}

/** Age of what the answer is based on, in milliseconds; absent if unknown. */
export interface WhereInputs {
    readonly configVersion?: number | undefined;
    readonly configAgeMs?: number | undefined;
    readonly endpointsAgeMs?: number | undefined;
    /** Since the last reply of the coordinator or deputy that this instance follows; absent if it follows none. */
    readonly replyAgeMs?: number | undefined;
}

/** Where a request or the items of a job would be sent now, and why. */
export interface WhereAnswer {
    readonly kind: WhereQuery["kind"];
    readonly instance: string;
    readonly dataCentre: string;
    /** Whether no coordinator is reachable. */
    readonly isCutOff: boolean;
    readonly inputs: WhereInputs;
    readonly route?: string | undefined;
    /** Services of the route; the one that the answer is about is the first of those with the highest weight. */
    readonly services?: readonly WeightedService[] | undefined;
    readonly service?: string | undefined;
    /** Absent if requests of the route need no key. */
    readonly organisation?: string | undefined;
    /** Whether the configuration lets the organisation use the route. */
    readonly isAdmitted: boolean;
    /** The refusal that the request or the job would get. */
    readonly refusal?: Refusal | undefined;
    /** Who would decide; absent if the configuration already refuses the request. */
    readonly decider?: PlacementExplanation["decider"] | undefined;
    /** Absent if the configuration already refuses the request, and with `problem`. */
    readonly explanation?: PlaceExplanation | undefined;
    /** Why the decider has not told what it would decide. */
    readonly problem?: string | undefined;
}

/** An HTTP response of the explainer. */
export interface WhereResponse {
    readonly status: number;
    readonly body: WhereAnswer | { readonly error: string; readonly message: string; };
}

/** Explains where a request or a job would be sent now, without sending it; answers one query at a time. */
export class WhereExplainer {
    private isBusy = false;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: WhereDependencies) {}

    /**
     * @param query - Query part of the URL, without the question mark.
     * @returns The answer, or what is wrong with the query.
     */
    async answer(query: string): Promise<WhereResponse> {
        if (Buffer.byteLength(query) > MAX_QUERY_BYTES) {
            return newError(414, "query-too-large", `the query has more than ${MAX_QUERY_BYTES} bytes`);
        }
        const parsed = parseWhereQuery(new URLSearchParams(query));
        if (parsed.isErr()) {
            return newError(400, "bad-query", parsed.error);
        }
        if (this.isBusy) {
            return newError(503, "busy", "the instance is answering another query");
        }
        this.isBusy = true;
        try {
            return await this.explain(parsed.value);
        }
        finally {
            this.isBusy = false;
        }
    }

    private async explain(query: WhereQuery): Promise<WhereResponse> {
        const { kind, organisation } = query;
        const { admission, placement, self } = this.deps;
        const common = {
            kind,
            instance: self.instanceId,
            dataCentre: self.dataCentre,
            isCutOff: placement.isInFallbackMode,
            inputs: this.getInputs(),
        };
        const admitted = admission.admitOrganisation(query, organisation);
        if (admitted.isErr()) {
            const refusal = admitted.error;
            return refusal.reason === "no-route"
                ? newError(400, "no-route", `no route matches ${query.host}${query.path}`)
                : refusal.reason === "key-unknown"
                ? newError(400, "unknown-organisation", `there is no organisation ${organisation} with a key`)
                : { status: 200, body: { ...common, isAdmitted: false, refusal } };
        }
        const { route } = admitted.value;
        if ((route.kind === "batch") !== (kind === "job")) {
            return newError(
                400,
                "wrong-kind",
                `the route ${route.name} is ${route.kind === "batch" ? "" : "not "}for jobs`,
            );
        }
        const service = getMainService(route.targets);
        const answer = {
            ...common,
            route: route.name,
            services: route.targets,
            service,
            organisation: admitted.value.organisation?.name,
            isAdmitted: true,
        };
        if (service === undefined) {
            return { status: 200, body: { ...answer, refusal: newRefusal("no-endpoint") } };
        }
        const explained = kind === "request"
            ? await this.explainRequest(query, admitted.value, service)
            : await this.explainJob(query, admitted.value, service);
        const { decider } = explained;
        if (explained.kind === "unanswered") {
            const problem = `the ${decider} doesn't answer the question; it may run an earlier release`;
            return { status: 200, body: { ...answer, decider, problem } };
        }
        const { explanation } = explained;
        const maxWaitingTokens = route.maxWaitingTokens;
        const refusal = kind === "request"
            ? toRequestRefusal(explanation, decider)
            : toJobRefusal(explanation, query.items * query.tokens, maxWaitingTokens);
        return { status: 200, body: { ...answer, decider, refusal, explanation } };
    }

    private explainRequest(
        { tokens, promptParts }: WhereQuery,
        admitted: AdmittedRequest,
        service: string,
    ): Promise<PlacementExplanation> {
        const { route, organisation } = admitted;
        return this.deps.placement.explain({
            ...newAdmittedOptions(admitted, service, 0, route.timeoutMs),
            giveUpAfterMs: route.timeoutMs,
            fingerprint: "",
            promptParts,
            streamId: route.kind === "streaming" && route.isResumable ? EXPLAINED_ID : undefined,
            promptTokens: tokens,
            rate: getRate(organisation),
        });
    }

    private explainJob(
        { tokens, items }: WhereQuery,
        { route, organisation }: AdmittedRequest,
        service: string,
    ): Promise<PlacementExplanation> {
        const organisationName = organisation?.name ?? "";
        const job: AdmitJobRequest = {
            jobId: EXPLAINED_ID,
            organisation: organisationName,
            route: route.name,
            tokens: items * tokens,
            maxWaitingTokens: route.maxWaitingTokens,
        };
        const item = newItemPlaceOptions(route, service, {
            organisation: organisationName,
            remainingMs: new ItemDurationEstimator().getRemainingMs(0),
            dueInMs: route.completionTargetMs,
            tokens,
        });
        return this.deps.placement.explain({ ...item, fingerprint: "" }, job);
    }

    private getInputs(): WhereInputs {
        const { view, links } = this.deps;
        return {
            configVersion: view.routes?.config.version,
            configAgeMs: toAge(view.getConfigAgeMs()),
            endpointsAgeMs: toAge(view.softwareVersions.listAgeMs),
            replyAgeMs: toAge(links.find(({ coordinator }) => coordinator !== undefined)?.lastReplyAgeMs),
        };
    }
}

/** Requests are distributed at random by weight; the answer is about the service that gets the most. */
function getMainService(targets: readonly WeightedService[]): string | undefined {
    const most = Math.max(0, ...targets.map(({ weight }) => weight));
    return targets.find(({ weight }) => weight > 0 && weight === most)?.service;
}

/** A job is accepted whatever would be decided on its items now. */
function toJobRefusal({ job }: PlaceExplanation, tokens: number, maxWaitingTokens: number): Refusal | undefined {
    if (job?.kind !== "full") {
        return undefined;
    }
    const detail = `${job.waitingTokens} tokens waiting, ${tokens} submitted, limit ${maxWaitingTokens}`;
    return newRefusal("job-too-large", detail, JOB_RETRY_AFTER_MS);
}

function toRequestRefusal({ decision }: PlaceExplanation, decider: string): Refusal | undefined {
    if (decision.kind !== "refused") {
        return undefined;
    }
    const { reason, detail, retryAfterMs } = decision;
    return newRefusal(reason, `${detail}; decided by ${decider}`, retryAfterMs > 0 ? retryAfterMs : undefined);
}

function toAge(ageMs: number | undefined): number | undefined {
    return ageMs === undefined || !Number.isFinite(ageMs) ? undefined : Math.round(ageMs);
}

function newError(status: number, error: string, message: string): WhereResponse {
    return { status, body: { error, message } };
}
