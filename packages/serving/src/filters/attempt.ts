import { type EndpointCrash, monotonicMs, newRequestId } from "@heatherline/common";
import type { ConfigReplica } from "@heatherline/config";
import { err, ok, type Result } from "neverthrow";
import type { CrashSuspectRegistry } from "../crashSuspects";
import type { EndpointSlot } from "../endpoints/creditPool";
import { probeEndpoint } from "../endpoints/probe";
import type { HealthEvent } from "../endpoints/warmUpLimiter";
import { DispatchError, Refusal, type RoutingError } from "../errors";
import { type DeliveredResponse, type Exchange, type Filter, getEndReason, type Next, type Outcome } from "../exchange";
import type { RetryBudget } from "../retryBudget";
import type { Scheduler } from "../scheduler";

/** Sends a request to one endpoint and relays its response. */
export interface Dispatcher {
    /**
     * @param exchange - The request.
     * @param slot - The slot at the endpoint.
     * @returns The delivered response, or why the attempt failed.
     */
    dispatch(exchange: Exchange, slot: EndpointSlot): Promise<Result<DeliveredResponse, DispatchError>>;
}

const MAX_ATTEMPTS = 3;
const QUARANTINE_RETRY_MS = 3_600_000;
const FAILED_RETRY_MS = 1_000;

/** Waits for a slot at an endpoint, runs the request there, and retries it elsewhere where that is allowed. */
export class AttemptFilter implements Filter {
    readonly name = "attempt";

    /**
     * @param scheduler - Assigns slots.
     * @param dispatcher - Runs one attempt.
     * @param retryBudget - Limits the retries of each service.
     * @param suspects - Requests that may crash endpoints.
     * @param replica - The current configuration.
     */
    constructor(
        private readonly scheduler: Scheduler,
        private readonly dispatcher: Dispatcher,
        private readonly retryBudget: RetryBudget,
        private readonly suspects: CrashSuspectRegistry,
        private readonly replica: ConfigReplica,
    ) {}

    async handle(exchange: Exchange, unusedNext: Next): Promise<Outcome> {
        const { service } = exchange;
        if (service === undefined) {
            return err(new Refusal("internal", 500, "the request has no service", true));
        }
        this.retryBudget.recordRequest(service.service);
        const excluded = new Set<string>();
        for (;;) {
            if (this.isQuarantined(exchange)) {
                return err(newQuarantineRefusal(exchange, "this request"));
            }
            if (this.isPromptBlocked(exchange)) {
                return err(newQuarantineRefusal(exchange, "a message of this request"));
            }
            const slot = await this.scheduler.acquire(service.service, {
                exchange,
                excluded,
                isExclusive: this.suspects.isSuspect(exchange.getFingerprint),
                preempt: isPreemptible(exchange) ? () => exchange.abortController.abort("preempted") : undefined,
            });
            if (slot.isErr()) {
                return err(toRoutingRefusal(slot.error, exchange));
            }
            const outcome = await this.attempt(exchange, slot.value);
            if (outcome.isOk()) {
                return ok(outcome.value);
            }
            if (!this.mayRetry(exchange, outcome.error, service.service)) {
                return err(toRefusal(outcome.error, exchange));
            }
            excluded.add(slot.value.endpoint);
        }
    }

    /** Items are owed: one under which endpoints crashed runs again, alone. */
    private isQuarantined({ getFingerprint, workClass }: Exchange): boolean {
        if (workClass === "batch") {
            return false;
        }
        return this.suspects.isQuarantined(getFingerprint) ||
            (this.replica.hasQuarantinedRequests() && this.replica.isQuarantined(getFingerprint()));
    }

    /** Whether parts of its prompt are known to crash endpoints. Items are owed, as above. */
    private isPromptBlocked({ promptParts = [], workClass }: Exchange): boolean {
        if (workClass === "batch") {
            return false;
        }
        const isListed = this.replica.hasQuarantinedRequests() &&
            promptParts.some(part => this.replica.isQuarantined(part));
        return isListed || this.suspects.partTracker.admit(promptParts) === "blocked";
    }

    private async attempt(exchange: Exchange, slot: EndpointSlot): Promise<Result<DeliveredResponse, DispatchError>> {
        exchange.attempts += 1;
        exchange.endpoint = slot.endpoint;
        const mayBeCulprit = slot.isExclusive && exchange.workClass === "online";
        const endAttempt = this.suspects.beginAttempt(slot.endpoint, exchange.getFingerprint, mayBeCulprit);
        const bytesBefore = exchange.answerBytes;
        let event: HealthEvent | undefined;
        let promptCrash: EndpointCrash | undefined;
        try {
            // A suspect must not be quarantined for a crash that happened before it ran.
            const isReachable = !slot.isExclusive || await probeEndpoint(slot.spec);
            const outcome = isReachable ? await this.dispatcher.dispatch(exchange, slot) : err(newEndpointDownError());
            event = outcome.isOk() ? "success" : getHealthEvent(outcome.error.kind);
            if (event === "crashed" && await probeEndpoint(slot.spec)) {
                // The endpoint only lost this connection: the requests that run there must not become suspects, and the
                // owner of the endpoint only halves its limit, as for an overload.
                event = "overloaded";
            }
            if (event === "success") {
                this.suspects.partTracker.recordSuccess(exchange.promptParts ?? []);
            }
            if (event === "crashed" && exchange.answerBytes === bytesBefore) {
                promptCrash = this.recordPromptCrash(exchange, slot.endpoint);
            }
            return outcome;
        }
        finally {
            endAttempt(event, promptCrash);
            slot.release(event);
        }
    }

    /** @returns The crash, for other instances; `undefined` if no part of the prompt can be to blame. */
    private recordPromptCrash(exchange: Exchange, endpointId: string): EndpointCrash | undefined {
        const { promptParts = [], workClass, getFingerprint } = exchange;
        return workClass === "batch" || promptParts.length === 0
            ? undefined
            : this.suspects.partTracker.recordOwnCrash({
                reportId: newRequestId(),
                endpointId,
                fingerprint: getFingerprint(),
                promptParts,
            });
    }

    private mayRetry(exchange: Exchange, error: DispatchError, service: string): boolean {
        const isRetryable = exchange.route?.idempotent === true || !error.isSent;
        return isRetryable &&
            error.kind !== "aborted" &&
            !exchange.abortController.signal.aborted &&
            !exchange.sink.hasBegun &&
            exchange.attempts < MAX_ATTEMPTS &&
            monotonicMs() < exchange.deadlineAtMs &&
            this.retryBudget.tryTake(service);
    }
}

/** A non-idempotent item is never preempted, as it must not run again. */
function isPreemptible(exchange: Exchange): boolean {
    return exchange.workClass === "batch" && exchange.route?.idempotent === true;
}

function getHealthEvent(kind: DispatchError["kind"]): HealthEvent | undefined {
    switch (kind) {
        case "refused":
            return "refused";
        case "reset":
        case "truncated":
            return "crashed";
        case "overloaded":
            return "overloaded";
        case "timeout":
            return "slow";
        case "stray":
        case "aborted":
            return undefined;
    }
}

function newEndpointDownError(): DispatchError {
    return new DispatchError("refused", "the endpoint does not accept connections", false);
}

function toRoutingRefusal(error: RoutingError, exchange: Exchange): Refusal {
    const notRun = exchange.isSent ? "unknown" : true;
    switch (error.kind) {
        case "no-endpoint":
            return new Refusal("no-endpoint", 503, error.message, notRun, error.retryAfterMs, error);
        case "queue-full":
            return new Refusal("queue-full", 503, error.message, notRun, error.retryAfterMs, error);
        case "unreachable-deadline":
            return new Refusal("deadline-unreachable", 503, error.message, notRun, error.retryAfterMs, error);
        case "aborted":
            return newAbortedRefusal(exchange, error);
    }
}

function toRefusal(error: DispatchError, exchange: Exchange): Refusal {
    if (error.kind === "aborted") {
        return newAbortedRefusal(exchange, error);
    }
    if (error.kind === "overloaded") {
        return new Refusal("endpoint-failed", 503, "the endpoint is overloaded", "unknown", FAILED_RETRY_MS, error);
    }
    const notRun = exchange.isSent ? "unknown" : true;
    const message = exchange.isSent
        ? "the endpoint failed while it had the request"
        : "no endpoint could be reached; the request was not run";
    const code = exchange.isSent && exchange.route?.idempotent !== true ? "outcome-unknown" : "endpoint-failed";
    return new Refusal(code, 502, message, notRun, FAILED_RETRY_MS, error);
}

function newAbortedRefusal(exchange: Exchange, cause: unknown): Refusal {
    const notRun = exchange.isSent ? "unknown" : true;
    switch (getEndReason(exchange)) {
        case "deadline":
            return new Refusal("deadline-passed", 504, "the deadline passed", notRun, 0, cause);
        case "shutdown":
            return new Refusal("shutting-down", 503, "the instance is shutting down", notRun, 0, cause);
        default:
            return new Refusal("caller-gone", 499, "the request was aborted", notRun, undefined, cause);
    }
}

function newQuarantineRefusal(exchange: Exchange, culprit: string): Refusal {
    const notRun = exchange.isSent ? "unknown" : true;
    const message = `${culprit} has crashed the endpoints that ran it and is not run again`;
    return new Refusal("quarantined", 422, message, notRun, QUARANTINE_RETRY_MS);
}
