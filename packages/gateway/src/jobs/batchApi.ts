import { type Logger, sleep } from "@heatherline/common";
import {
    type AdmitJobReply,
    type AdmitJobRequest,
    type Coordinator,
    type CoordinatorLink,
    type FleetView,
    type MemberEntry,
    METHODS,
    newTimestamp,
    type RpcCaller,
} from "@heatherline/fleet";
import type { Result } from "neverthrow";
import type { Admission, AdmittedRequest } from "../callers/admission";
import type { CallerResponse } from "../callers/callerResponse";
import { newRefusal, type Refusal } from "../callers/refusal";
import type { GatewayMetrics } from "../metrics";
import type { CallerBuffers } from "../online/callerBuffer";
import type { CallerRequestHead, WireCodec } from "../wireCodec";
import type { JobReader } from "./jobReader";
import type { JobRunner } from "./jobRunner";
import type { JobManifest, JobStore } from "./jobStore";
import { newJob } from "./newJob";
import { StoredJobsReader } from "./storedJobs";

/** Subtracted from the caller's timeout for a submission, so that the response arrives in time. */
const SUBMIT_MARGIN_MS = 250;
/** Timeout of submissions whose callers set none. */
const DEFAULT_SUBMIT_TIMEOUT_MS = 3_500;
/** Delay before a job that exists is read once more. */
const READ_RETRY_DELAY_MS = 200;
const ADMIT_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 500;
/** Retry delay for jobs refused because of the backlog limit: about the time that an item takes. */
export const JOB_RETRY_AFTER_MS = 900;
/** Retry delay for jobs that some instances can't run; the next release takes their place one after the other. */
const EARLIER_RELEASE_RETRY_AFTER_MS = 2_000;
/** Limit of the long polling of results. */
const MAX_READ_WAIT_MS = 1_000;
/** Size of a page of results with its framing. */
const MAX_PAGE_BYTES = 1_000_000;
/** Callers of the batch API wait some seconds for a response. */
const MAX_ROOM_WAIT_MS = 1_500;

/** A request to the batch API with its body read. */
export interface BatchApiRequest {
    readonly caller: CallerRequestHead;
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly body: Buffer;
    readonly response: CallerResponse;
    readonly arrivedAtMs: number;
}

/** What a {@link BatchApi} depends on. */
export interface BatchApiDependencies {
    readonly admission: Admission;
    readonly view: FleetView;
    readonly wire: WireCodec;
    readonly store: JobStore;
    readonly runner: JobRunner;
    readonly reader: JobReader;
    readonly link: CoordinatorLink;
    readonly rpc: RpcCaller;
    readonly getCoordinator: () => Coordinator | undefined;
    readonly getMembers: () => readonly MemberEntry[];
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    /** Holds pages and bodies for callers that read slowly. */
    readonly callerBuffers?: CallerBuffers | undefined;
}

/** Handles requests to the batch API: submissions, reads of results and bodies, and cancellations. */
export class BatchApi {
    private readonly storedJobs: StoredJobsReader;

    /**
     * @param deps - What the API depends on.
     */
    constructor(private readonly deps: BatchApiDependencies) {
        this.storedJobs = new StoredJobsReader(deps.store);
    }

    /**
     * Accepts a job; the response confirms it only once the store has it.
     *
     * @param request - The request.
     * @param admitted - What the configuration grants it.
     */
    async submit(request: BatchApiRequest, admitted: AdmittedRequest): Promise<void> {
        const refusal = await this.trySubmit(request, admitted);
        const { response, caller, arrivedAtMs } = request;
        if (refusal === undefined) {
            response.sendLocal(202, "{}", "application/json");
        }
        else {
            response.sendRefusal(refusal);
        }
        const durationMs = Math.round(performance.now() - arrivedAtMs);
        const outcome = refusal === undefined ? "accepted" : "refused";
        this.deps.metrics.recordRequest("batch", outcome, refusal?.reason ?? "", durationMs);
        this.deps.logger.info({
            event: "job-submitted",
            requestId: caller.requestId,
            organisation: admitted.organisation?.name,
            outcome,
            status: refusal?.status,
            reason: refusal?.reason,
            detail: refusal?.detail,
            durationMs,
        });
    }

    /**
     * Handles reads of results and bodies, and cancellations.
     *
     * @param request - The request.
     * @param target - What the path names.
     */
    async handle(
        request: BatchApiRequest,
        target: { readonly resource: "results" | "body"; readonly jobId: string; },
    ): Promise<void> {
        const { jobId } = target;
        const organisation = await this.authorise(request, jobId);
        const refusal = typeof organisation !== "string"
            ? organisation
            : request.method === "DELETE"
            ? await this.cancel(request, jobId, organisation)
            : target.resource === "results"
            ? await this.readResults(request, jobId, organisation)
            : await this.readBody(request, jobId, organisation);
        if (refusal !== undefined) {
            request.response.sendRefusal(refusal);
            this.deps.logger.info({
                event: "job-call-refused",
                job: jobId,
                call: `${request.method} ${target.resource}`,
                status: refusal.status,
                reason: refusal.reason,
                detail: refusal.detail,
            });
        }
    }

    private async trySubmit(request: BatchApiRequest, admitted: AdmittedRequest): Promise<Refusal | undefined> {
        const { caller, arrivedAtMs } = request;
        const submission = this.deps.wire.parseSubmission(request.body);
        if (submission.isErr() || caller.requestId === undefined) {
            return newRefusal("bad-request", submission.isErr() ? submission.error : "the request has no id");
        }
        const untilMs = arrivedAtMs + (caller.timeLeftMs ?? DEFAULT_SUBMIT_TIMEOUT_MS) - SUBMIT_MARGIN_MS;
        const job = newJob(
            {
                jobId: caller.requestId,
                organisation: admitted.organisation?.name ?? "",
                route: admitted.route.name,
                host: caller.host,
                path: request.path,
            },
            submission.value.items,
            {
                maxObjectBytes: this.deps.store.maxObjectBytes,
                canSplitItems: this.deps.getMembers().every(({ canRunSplitItems }) => canRunSplitItems),
            },
        );
        if (job.isErr()) {
            const { kind, detail } = job.error;
            return kind === "too-large"
                ? newRefusal("body-too-large", detail)
                : newRefusal("unavailable", detail, EARLIER_RELEASE_RETRY_AFTER_MS);
        }
        const { manifest, parts } = job.value;
        const refusal = await this.admitTokens(manifest, admitted);
        if (refusal !== undefined) {
            return refusal;
        }
        const startedAt = newTimestamp();
        const created = await this.deps.store.create(manifest, parts, untilMs);
        if (created.isErr()) {
            const reason = created.error.kind === "unknown" ? "outcome-unknown" : "store-unavailable";
            return newRefusal(reason, created.error.toString());
        }
        if (created.value === "created") {
            this.deps.runner.add(manifest, parts, undefined, startedAt);
            return undefined;
        }
        const existing = await this.readExisting(manifest.jobId, untilMs);
        if (existing.isErr()) {
            // The job is in the store and will run, so that nothing may promise that it doesn't.
            return newRefusal("outcome-unknown", existing.error.detail);
        }
        if (existing.value.organisation !== manifest.organisation) {
            return newRefusal("job-id-taken", "the job belongs to another organisation");
        }
        // A job that existed already runs at another instance, or the coordinator notices that none runs it.
        return undefined;
    }

    /** Reads a job that exists, again and again until a time if it can't be read. */
    private async readExisting(jobId: string, untilMs: number): Promise<Result<JobManifest, Refusal>> {
        let existing = await this.deps.reader.readManifest(jobId);
        const isUnreadable = () => existing.isErr() && existing.error.reason === "store-unavailable";
        while (isUnreadable() && performance.now() + READ_RETRY_DELAY_MS < untilMs) {
            await sleep(READ_RETRY_DELAY_MS);
            existing = await this.deps.reader.readManifest(jobId);
        }
        return existing;
    }

    private async admitTokens(
        manifest: JobManifest,
        { route }: AdmittedRequest,
    ): Promise<Refusal | undefined> {
        const tokens = manifest.itemTokens.reduce((total, count) => total + count, 0);
        const request: AdmitJobRequest = {
            jobId: manifest.jobId,
            organisation: manifest.organisation,
            route: route.name,
            tokens,
            maxWaitingTokens: route.maxWaitingTokens,
        };
        const localCoordinator = this.deps.getCoordinator();
        const reply = localCoordinator === undefined
            ? await this.deps.link.call<AdmitJobReply>(METHODS.admitJob, request, ADMIT_TIMEOUT_MS)
            : localCoordinator.jobs.isLoaded
            ? localCoordinator.jobs.admit(request)
            : undefined;
        if (reply?.kind === "admitted") {
            return undefined;
        }
        if (reply?.kind === "full") {
            const existing = await this.deps.reader.readManifest(manifest.jobId);
            return existing.isErr() && existing.error.reason === "not-found"
                ? newFullRefusal(request, reply.waitingTokens)
                : existing.match(() => undefined, error => error);
        }
        const storedJobs = await this.storedJobs.read();
        if (storedJobs.isErr()) {
            return newRefusal("store-unavailable", storedJobs.error.toString());
        }
        if (storedJobs.value.has(manifest.jobId)) {
            return undefined;
        }
        // Without a reply from the coordinator it is unknown what is finished, so all items of open jobs count as
        // waiting.
        const waitingTokens = storedJobs.value.sumOpenTokens(request.organisation, request.route);
        const isOverLimit = request.maxWaitingTokens > 0 && waitingTokens + tokens > request.maxWaitingTokens;
        return isOverLimit ? newFullRefusal(request, waitingTokens) : undefined;
    }

    /** Jobs of public routes belong to no organisation; whoever knows the id of one may read and end it. */
    private async authorise(request: BatchApiRequest, jobId: string): Promise<string | Refusal> {
        const identity = this.authenticate(request);
        if (identity === "" || !this.hasPublicBatchRoute) {
            return identity;
        }
        const manifest = await this.deps.reader.readManifest(jobId);
        if (manifest.isErr()) {
            // Whether the job needs a key can't be told then.
            return typeof identity !== "string" && manifest.error.status === 503 ? manifest.error : identity;
        }
        return manifest.value.organisation === "" ? "" : identity;
    }

    private get hasPublicBatchRoute(): boolean {
        const routes = this.deps.view.routes?.config.routes ?? [];
        return routes.some(({ kind, isPublic }) => kind === "batch" && isPublic);
    }

    private authenticate({ caller }: BatchApiRequest): string | Refusal {
        const { routes } = this.deps.view;
        if (routes === undefined) {
            return newRefusal("config-unknown");
        }
        if (!routes.hasKeys) {
            return "";
        }
        if (!this.deps.admission.isConfigFresh) {
            return newRefusal("config-stale", `age ${Math.round(this.deps.view.getConfigAgeMs())} ms`);
        }
        if (caller.apiKey === undefined) {
            return newRefusal("key-missing");
        }
        return routes.findOrganisation(caller.apiKey)?.name ?? newRefusal("key-unknown");
    }

    private async readResults(
        request: BatchApiRequest,
        jobId: string,
        organisation: string,
    ): Promise<Refusal | undefined> {
        const after = Number(request.query.get("after") ?? 0);
        if (!Number.isSafeInteger(after) || after < 0) {
            return newRefusal("bad-request", `after: ${request.query.get("after") ?? ""}`);
        }
        const waitMs = Math.min(request.caller.pollWaitMs, MAX_READ_WAIT_MS);
        await this.waitForTurn(request);
        const read = await this.deps.reader.read({ jobId, after, waitMs });
        if (read.isErr()) {
            return read.error;
        }
        if (read.value.organisation !== organisation) {
            return newRefusal("not-found", "the job belongs to another organisation");
        }
        const { page } = read.value;
        return this.send(request, "application/json", () => Buffer.from(this.deps.wire.formatResults(page)));
    }

    private async readBody(
        request: BatchApiRequest,
        jobId: string,
        organisation: string,
    ): Promise<Refusal | undefined> {
        const itemId = request.query.get("id") ?? "";
        const manifest = await this.deps.reader.readManifest(jobId);
        if (manifest.isErr()) {
            return manifest.error;
        }
        const item = manifest.value.items.find(other => other.itemId === itemId);
        if (manifest.value.organisation !== organisation || item === undefined) {
            return newRefusal("not-found", "there is no such item");
        }
        await this.waitForTurn(request);
        const content = await this.deps.runner.bodies.getContent(manifest.value, item, false);
        if (content.isErr() || content.value === undefined) {
            const reason = content.isErr() ? content.error.toString() : "the body is not in the store";
            return newRefusal("store-unavailable", reason);
        }
        const { bodyBase64 } = content.value;
        return this.send(request, "application/octet-stream", () => Buffer.from(bodyBase64, "base64"));
    }

    /** Nothing is read for a caller before it has been sent the earlier responses on its connection. */
    private async waitForTurn({ response }: BatchApiRequest): Promise<void> {
        if (this.deps.callerBuffers !== undefined) {
            await response.waitForTurn();
        }
    }

    /** A page or body is built only when there is memory for it. */
    private async send(
        { response, caller }: BatchApiRequest,
        contentType: string,
        build: () => Buffer,
    ): Promise<Refusal | undefined> {
        const { callerBuffers } = this.deps;
        if (callerBuffers === undefined) {
            response.sendLocal(200, build(), contentType);
            return undefined;
        }
        // Another response may take the room before this one does.
        while (!callerBuffers.budget.hasRoom(MAX_PAGE_BYTES)) {
            if (!await callerBuffers.budget.waitForRoom(MAX_PAGE_BYTES, MAX_ROOM_WAIT_MS)) {
                return newRefusal("overloaded", "callers are yet to read other responses");
            }
        }
        if (response.hasEnded) {
            return undefined;
        }
        const body = build();
        response.startLocal(200, contentType, body.length);
        callerBuffers.open(response, caller.requestId).sendWhole(body);
        return undefined;
    }

    private async cancel(request: BatchApiRequest, jobId: string, organisation: string): Promise<Refusal | undefined> {
        const manifest = await this.deps.reader.readManifest(jobId);
        if (manifest.isErr()) {
            return manifest.error;
        }
        if (manifest.value.organisation !== organisation) {
            return newRefusal("not-found", "the job belongs to another organisation");
        }
        const closed = await this.deps.store.close(jobId, true);
        if (closed.isErr()) {
            return newRefusal("outcome-unknown", closed.error.toString());
        }
        if (!closed.value) {
            return newRefusal("not-found", "there is no such job");
        }
        this.deps.runner.cancel(jobId);
        this.broadcastCancellation(jobId);
        this.deps.logger.info({ event: "job-ended", job: jobId, organisation });
        request.response.sendLocal(200, "{}", "application/json");
        return undefined;
    }

    /** The instance that runs the job also hears of its end from the coordinator; this is faster. */
    private broadcastCancellation(jobId: string): void {
        for (const { host, rpcPort } of this.deps.getMembers()) {
            void this.deps.rpc.callAddress(host, rpcPort, METHODS.endJob, { jobId }, CANCEL_TIMEOUT_MS);
        }
    }
}

function newFullRefusal({ tokens, maxWaitingTokens }: AdmitJobRequest, waitingTokens: number): Refusal {
    const detail = `${waitingTokens} tokens waiting, ${tokens} submitted, limit ${maxWaitingTokens}`;
    return newRefusal("job-too-large", detail, JOB_RETRY_AFTER_MS);
}
