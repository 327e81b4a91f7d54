import {
    type BatchError,
    type BatchItem,
    type JobManifest,
    JobReader,
    type JobStatus,
    JobSubmitter,
} from "@heatherline/batch";
import { sha256Hex } from "@heatherline/common";
import { authenticateKey, type ConfigReplica } from "@heatherline/config";
import { Refusal } from "@heatherline/serving";
import type { ObjectStore } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import type http from "node:http";
import { sendJson, sendRefusal } from "./http";

const PATH_PREFIX = "/v1/batches";
const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const DEFAULT_TIME_UNTIL_DUE_MS = 86_400_000;
const RETRY_AFTER_MS = 2_000;
const OPENAI_PATH_PREFIX = "/v1/";
const PLAIN_SERVICE_PATH_PREFIX = "/services/";

/** Serves the batch API under `/v1/batches`: submits and cancels jobs and returns their status and results. */
export class BatchApi {
    private readonly submitter: JobSubmitter;
    private readonly reader: JobReader;

    /**
     * @param store - The platform's store.
     * @param replica - The configuration in force.
     * @param onSubmitted - Called with the id of each job that has been accepted.
     */
    constructor(
        store: ObjectStore,
        private readonly replica: ConfigReplica,
        private readonly onSubmitted: (jobId: string) => void,
    ) {
        this.submitter = new JobSubmitter(store);
        this.reader = new JobReader(store);
    }

    /**
     * @param path - Path of a request.
     * @returns Whether the path belongs to this API.
     */
    static isBatchPath(path: string): boolean {
        return path === PATH_PREFIX || path.startsWith(`${PATH_PREFIX}/`) || path.startsWith(`${PATH_PREFIX}?`);
    }

    /**
     * Authenticates the caller by its API key and serves the request.
     *
     * @param request - The caller's request.
     * @param response - The response to the caller.
     * @param requestId - Id of the request.
     * @returns The refusal, if the request was refused.
     */
    async serve(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        requestId: string,
    ): Promise<Refusal | undefined> {
        const organisation = this.authenticate(request);
        const refusal = organisation.isErr()
            ? organisation.error
            : await this.route(request, response, organisation.value);
        if (refusal !== undefined) {
            sendRefusal(response, refusal, requestId);
            request.resume();
        }
        return refusal;
    }

    private async route(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        organisation: string,
    ): Promise<Refusal | undefined> {
        const url = new URL(request.url ?? "/", "http://localhost");
        const [jobId, action, ...rest] = url.pathname.slice(PATH_PREFIX.length).split("/").filter(part => part !== "");
        const operation = `${request.method ?? ""} ${jobId === undefined ? "" : "job"}${
            action === undefined ? "" : `/${action}`
        }`;
        if (rest.length > 0) {
            return new Refusal("not-found", 404, `there is no route ${url.pathname}`, true);
        }
        switch (operation) {
            case "POST ":
                return this.submit(request, response, organisation);
            case "GET job":
                return this.sendStatus(response, organisation, jobId ?? "");
            case "GET job/results":
                return this.sendResults(response, organisation, jobId ?? "", url.searchParams.get("chunk"));
            case "POST job/cancel":
                return this.cancel(response, organisation, jobId ?? "");
            default:
                return new Refusal("not-found", 404, `there is no route ${request.method ?? ""} ${url.pathname}`, true);
        }
    }

    private authenticate(request: http.IncomingMessage): Result<string, Refusal> {
        const secretKey = BEARER_PATTERN.exec(request.headers.authorization ?? "")?.[1];
        if (secretKey === undefined) {
            return err(new Refusal("key-missing", 401, "a key is needed: Authorization: Bearer hl_...", true));
        }
        const key = authenticateKey(secretKey, this.replica);
        return key === undefined
            ? err(new Refusal("key-invalid", 401, "the key is not known or has been withdrawn", true))
            : ok(key.organisation);
    }

    private async submit(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        organisation: string,
    ): Promise<Refusal | undefined> {
        const idempotencyKey = request.headers["idempotency-key"];
        if (
            typeof idempotencyKey !== "string" || idempotencyKey === "" ||
            idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH
        ) {
            const message = `a job needs an Idempotency-Key of 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
            return new Refusal("bad-request", 400, message, true);
        }
        const dueAt = readDueAt(request.headers["x-due-at"]);
        if (dueAt === undefined) {
            return new Refusal("bad-deadline", 400, "X-Due-At must be a time in the future, in ISO 8601", true);
        }
        const accepted = await this.submitter.submit({
            organisation,
            idempotencyKey,
            dueAt,
            lines: request,
            resolve: item => this.resolveItem(item, organisation),
        });
        if (accepted.isErr()) {
            return toRefusal(accepted.error);
        }
        this.onSubmitted(accepted.value.manifest.jobId);
        sendJson(response, accepted.value.isRepeated ? 200 : 201, newJobBody(accepted.value.manifest));
        return undefined;
    }

    private resolveItem(
        item: BatchItem,
        organisation: string,
    ): Result<{ service: string; isIdempotent: boolean; }, string> {
        const service = this.replica.getServices().find(other =>
            item.path.startsWith(PLAIN_SERVICE_PATH_PREFIX)
                ? other.interface === "plain" && item.path.startsWith(`${PLAIN_SERVICE_PATH_PREFIX}${other.service}/`)
                : other.interface === "openai" && other.models.some(({ model }) => model === getModel(item))
        );
        if (service === undefined) {
            return err(`no service serves ${item.path} for model ${JSON.stringify(getModel(item))}`);
        }
        if (!service.organisations.some(other => other.organisation === organisation)) {
            return err(`${organisation} may not call ${service.service}`);
        }
        const path = item.path.startsWith(OPENAI_PATH_PREFIX)
            ? item.path
            : item.path.slice(PLAIN_SERVICE_PATH_PREFIX.length + service.service.length);
        const route = service.routes.find(other =>
            other.path === path || (other.path.endsWith("/") && path.startsWith(other.path))
        );
        return route === undefined
            ? err(`${service.service} has no route ${path}`)
            : ok({ service: service.service, isIdempotent: route.idempotent });
    }

    private async sendStatus(
        response: http.ServerResponse,
        organisation: string,
        jobId: string,
    ): Promise<Refusal | undefined> {
        const status = await this.reader.getStatus(organisation, jobId);
        if (status.isErr()) {
            return toRefusal(status.error);
        }
        sendJson(response, 200, newStatusBody(status.value));
        return undefined;
    }

    private async sendResults(
        response: http.ServerResponse,
        organisation: string,
        jobId: string,
        chunk: string | null,
    ): Promise<Refusal | undefined> {
        const fromChunk = Number(chunk ?? 0);
        if (!Number.isInteger(fromChunk) || fromChunk < 0) {
            return new Refusal("bad-request", 400, "chunk must be a whole number from 0", true);
        }
        const page = await this.reader.getResults(organisation, jobId, fromChunk);
        if (page.isErr()) {
            return toRefusal(page.error);
        }
        const results = page.value.results.map(({ customId, ...rest }) => ({ custom_id: customId, ...rest }));
        sendJson(response, 200, { results, next_chunk: page.value.nextChunk });
        return undefined;
    }

    private async cancel(
        response: http.ServerResponse,
        organisation: string,
        jobId: string,
    ): Promise<Refusal | undefined> {
        const cancelled = await this.reader.cancel(organisation, jobId);
        if (cancelled.isErr()) {
            return toRefusal(cancelled.error);
        }
        sendJson(response, 200, newJobBody(cancelled.value));
        return undefined;
    }
}

function getModel(item: BatchItem): unknown {
    return typeof item.body === "object" && item.body !== null && "model" in item.body ? item.body.model : undefined;
}

function readDueAt(header: string | string[] | undefined): Date | undefined {
    const dueAt = header === undefined ? new Date(Date.now() + DEFAULT_TIME_UNTIL_DUE_MS) : new Date(String(header));
    return Number.isNaN(dueAt.getTime()) || dueAt.getTime() <= Date.now() ? undefined : dueAt;
}

function newJobBody(manifest: JobManifest): object {
    const { jobId, state, itemCount, createdAt, dueAt, contentSha256 } = manifest;
    return {
        id: jobId,
        object: "batch",
        state,
        items: itemCount,
        created_at: createdAt,
        due_at: dueAt,
        content_sha256: contentSha256,
    };
}

function newStatusBody(status: JobStatus): object {
    const { jobId, state, service, itemCount, completed, failed, pending, createdAt, dueAt } = status;
    return {
        id: jobId,
        object: "batch",
        state,
        service,
        created_at: createdAt,
        due_at: dueAt,
        request_counts: { total: itemCount, completed, failed, pending },
    };
}

function toRefusal(error: BatchError): Refusal {
    switch (error.kind) {
        case "invalid":
            return new Refusal("bad-request", 400, error.message, true, undefined, error);
        case "conflict":
            return new Refusal("idempotency-mismatch", 422, error.message, true, undefined, error);
        case "not-found":
            return new Refusal("not-found", 404, error.message, true, undefined, error);
        case "unavailable":
            return new Refusal("store-unavailable", 503, error.message, "unknown", RETRY_AFTER_MS, error);
    }
}

/**
 * @param jobId - A job.
 * @returns The subject whose owner runs the job.
 */
export function getJobSubject(jobId: string): string {
    return `job/${sha256Hex(jobId).slice(0, 16)}`;
}
