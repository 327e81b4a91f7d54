import type { BatchItem, ItemExecutor, ItemJob, ItemOutcome } from "@heatherline/batch";
import { monotonicMs, newRequestId } from "@heatherline/common";
import type { ConfigReplica } from "@heatherline/config";
import { getEndReason, newExchange, type Pipeline, type Refusal, type ResponseSink } from "@heatherline/serving";

const ITEM_TIMEOUT_MS = 120_000;
const DEFAULT_RETRY_DELAY_MS = 500;
/** Codes of refusals that a retry can't avoid. */
const NON_RETRYABLE_CODES = new Set([
    "bad-request",
    "not-found",
    "method-not-allowed",
    "model-not-found",
    "quarantined",
]);

/** Runs batch items through the request pipeline, in the batch work class. */
export class PipelineItemExecutor implements ItemExecutor {
    /**
     * @param pipeline - The pipeline for batch items.
     * @param replica - The configuration in force.
     */
    constructor(private readonly pipeline: Pipeline, private readonly replica: ConfigReplica) {}

    async execute(item: BatchItem, job: ItemJob, signal: AbortSignal): Promise<ItemOutcome> {
        if (signal.aborted) {
            return { kind: "cancelled" };
        }
        const abortController = new AbortController();
        const onAbort = () => abortController.abort("cancelled");
        signal.addEventListener("abort", onAbort, { once: true });
        const timer = setTimeout(() => abortController.abort("deadline"), ITEM_TIMEOUT_MS);
        const sink = new MemorySink();
        const body = Buffer.from(JSON.stringify(item.body ?? {}));
        const exchange = newExchange({
            requestId: newRequestId(),
            workClass: "batch",
            method: item.method,
            path: item.path,
            headers: { "content-type": "application/json" },
            body,
            sink,
            abortController,
            deadlineAtMs: monotonicMs() + ITEM_TIMEOUT_MS,
        });
        exchange.organisation = this.findOrganisation(job);
        try {
            const outcome = await this.pipeline(exchange);
            if (outcome.isOk()) {
                return { kind: "answered", status: outcome.value.status, body: sink.getBody() };
            }
            return toItemOutcome(outcome.error, getEndReason(exchange));
        }
        finally {
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
        }
    }

    private findOrganisation(job: ItemJob) {
        const service = this.replica.getServices().find(other => other.service === job.service);
        return service?.organisations.find(other => other.organisation === job.organisation);
    }
}

function toItemOutcome(refusal: Refusal, endReason: string | undefined): ItemOutcome {
    if (endReason === "cancelled") {
        return { kind: "cancelled" };
    }
    if (endReason === "preempted") {
        return { kind: "preempted" };
    }
    if (NON_RETRYABLE_CODES.has(refusal.kind)) {
        return { kind: "impossible", reason: `${refusal.kind}: ${refusal.message}` };
    }
    if (refusal.notRun === true) {
        return { kind: "not-run", retryAfterMs: refusal.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS };
    }
    return { kind: "failed", reason: `${refusal.kind}: ${refusal.message}` };
}

/** Collects a response in memory. */
class MemorySink implements ResponseSink {
    hasBegun = false;
    private chunks: Buffer[] = [];

    begin(): void {
        this.hasBegun = true;
    }

    write(chunk: Buffer): undefined {
        this.chunks.push(chunk);
        return undefined;
    }

    end(): void {
        return undefined;
    }

    abort(): void {
        this.chunks = [];
    }

    getBody(): unknown {
        const text = Buffer.concat(this.chunks).toString("utf8");
        try {
            return JSON.parse(text);
        }
        catch {
            return text;
        }
    }
}
