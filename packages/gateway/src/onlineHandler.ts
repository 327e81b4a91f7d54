import { type Logger, type ResponseEnd, sha256Hex, sleep } from "@heatherline/common";
import {
    getServices,
    getSoftwareVersion,
    type HeldPlace,
    pickService,
    type PlacementClient,
    type RequestEnd,
    type StreamOrigin,
} from "@heatherline/fleet";
import type { Result } from "neverthrow";
import type http from "node:http";
import type { Admission, AdmittedRequest } from "./admission";
import type { AttemptOutcome, FailureResponse } from "./attemptOutcome";
import { discardBody, readFullBody } from "./bodyReader";
import type { CallerResponse } from "./callerResponse";
import { type EndpointResponse, type EndpointSender, isNotSent, type SendFailure } from "./endpointClient";
import type { GatewayMetrics } from "./metrics";
import { releasePlace } from "./placeRelease";
import { newRefusal, type Refusal } from "./refusal";
import { StreamRelay } from "./responseRelay";
import { isRetryable, RetryPolicy } from "./retryPolicy";
import { FIRST_RESPONSE_TIMEOUT_MS, watchForSilence } from "./silenceWatch";
import type { CallerRequestHead, WireCodec } from "./wireCodec";

/** Subtracted from the caller's timeout, so that the response arrives before the caller gives up. */
const DEADLINE_MARGIN_MS = 30;
/** With less time left, no place is requested. */
const MIN_TIME_LEFT_MS = 5;
/** Responses with this status or a higher one count as failed. */
const MIN_FAILURE_STATUS = 500;
/** These tell callers that a request has not run; an endpoint says so with a header of its own. */
const NOT_EXECUTED_STATUSES = new Set([408, 429, 503]);
/** A retry waits this long at most until it is known why the connection broke. */
const MAX_FAULT_CHECK_MS = 300;
/** A request that crashes the endpoint does so as soon as the endpoint begins to respond. */
const MAX_EVENTS_BEFORE_CRASH = 1;

/** Why a request is given up. */
type AbortReason = "caller-gone" | "timeout" | "stopping";

/** An online request with its body read. */
export interface OnlineRequest {
    readonly caller: CallerRequestHead;
    readonly incoming: http.IncomingMessage;
    readonly path: string;
    readonly body: Buffer;
    readonly response: CallerResponse;
    readonly arrivedAtMs: number;
    /** Aborted when the caller disconnects. */
    readonly callerGone: AbortSignal;
    /** Aborted when the process is about to end. */
    readonly giveUp: AbortSignal;
}

/** What an {@link OnlineHandler} depends on. */
export interface OnlineHandlerDependencies {
    readonly admission: Admission;
    readonly placement: PlacementClient;
    readonly endpoints: EndpointSender;
    readonly wire: WireCodec;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
}

/** Handles admitted online requests: gets places, sends the requests to endpoints and retries where that is safe. */
export class OnlineHandler {
    /**
     * @param deps - What the handler depends on.
     */
    constructor(private readonly deps: OnlineHandlerDependencies) {}

    /**
     * Handles one request until a response has been sent or the caller has disconnected.
     *
     * @param request - The request.
     * @param admitted - What the configuration grants it.
     */
    async handle(request: OnlineRequest, admitted: AdmittedRequest): Promise<void> {
        await new OnlineExchange(this.deps, request, admitted).run();
    }
}

/** One request with its attempts. */
class OnlineExchange {
    private readonly retryPolicy: RetryPolicy;
    private readonly relay: StreamRelay;
    private readonly deadlineAtMs: number;
    private readonly fingerprint: string;
    private readonly abortController = new AbortController();
    private readonly excluded: string[] = [];
    private attempts = 0;
    private wasUnreachable = false;
    /** Where the stream began, of which the caller has received a part. */
    private origin: StreamOrigin | undefined;
    private lastFailure: FailureResponse | undefined;
    private isRateCharged = false;
    /** When the response of the current attempt began to arrive. */
    private firstResponseAtMs: number | undefined;
    /** Time from arrival to the first decision about a place. */
    private placedAfterMs: number | undefined;
    /** How the latest response that was no stream ended, for the log. */
    private bodyEnd: ResponseEnd | undefined;
    /** Why this instance aborted the latest attempt; `undefined` if it didn't. */
    private abortedFor: AbortReason | "silence" | undefined;
    private lastEndpoint = "";
    private lastSoftwareVersion: string | undefined;
    private lastPlace: { readonly givenBy: string; readonly expectedWaitMs: number; } | undefined;

    constructor(
        private readonly deps: OnlineHandlerDependencies,
        private readonly request: OnlineRequest,
        private admitted: AdmittedRequest,
    ) {
        const { caller, arrivedAtMs, body, path } = request;
        const { route, organisation } = admitted;
        this.retryPolicy = new RetryPolicy(route);
        this.relay = new StreamRelay(request.response, caller.lastEventId, () => {
            this.firstResponseAtMs ??= performance.now();
        });
        const callerMs = caller.timeLeftMs === undefined ? Infinity : caller.timeLeftMs - DEADLINE_MARGIN_MS;
        this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, callerMs);
        this.fingerprint = sha256Hex(`${organisation?.name ?? ""}\0${path}\0${body.toString("latin1")}`);
    }

    async run(): Promise<void> {
        const { callerGone, giveUp } = this.request;
        const onGone = () => this.abort("caller-gone");
        const onGiveUp = () => this.abort("stopping");
        callerGone.addEventListener("abort", onGone, { once: true });
        giveUp.addEventListener("abort", onGiveUp, { once: true });
        const timer = setTimeout(
            () => this.abort("timeout"),
            Math.max(0, this.deadlineAtMs - performance.now()),
        );
        try {
            const finalRefusal = await this.runAttempts();
            if (finalRefusal !== undefined) {
                this.finishWithRefusal(finalRefusal);
            }
        }
        finally {
            clearTimeout(timer);
            callerGone.removeEventListener("abort", onGone);
            giveUp.removeEventListener("abort", onGiveUp);
        }
    }

    private abort(reason: AbortReason): void {
        this.abortController.abort(reason);
    }

    /** @returns The refusal to send, or `undefined` if an endpoint's response was delivered. */
    private async runAttempts(): Promise<Refusal | undefined> {
        for (;;) {
            const refusal = this.recheckAdmission();
            if (refusal !== undefined) {
                return refusal;
            }
            const place = await this.requestPlace();
            if (!("endpoint" in place)) {
                return place;
            }
            const refusalAfterWait = this.recheckAdmission();
            if (refusalAfterWait !== undefined) {
                place.release("lost");
                return refusalAfterWait;
            }
            this.attempts += 1;
            this.lastEndpoint = place.endpoint.endpointId;
            this.lastSoftwareVersion = place.endpoint.softwareVersion;
            if (this.isTakingUp) {
                this.pinOrigin(place);
            }
            const outcome = await this.runAttempt(place);
            if (this.request.response.hasStarted) {
                this.pinOrigin(place);
            }
            if (outcome.kind === "answered") {
                this.log("answered", outcome.status, "", "");
                return undefined;
            }
            this.lastFailure = outcome.failure ?? this.lastFailure;
            this.excluded.push(place.endpoint.endpointId);
            this.wasUnreachable ||= outcome.end === "unreachable";
            const mayRetry = this.retryPolicy.recordAttempt(outcome.end);
            const mayResume = isRetryable(this.admitted.route) && this.relay.isResumable;
            const isResponseCommitted = this.request.response.hasStarted && !mayResume;
            this.deps.logger.info({
                event: "attempt-ended",
                requestId: this.request.caller.requestId,
                endpoint: this.lastEndpoint,
                softwareVersion: this.lastSoftwareVersion,
                end: outcome.end,
                reason: outcome.reason,
                abortedFor: this.abortedFor,
                events: this.relay.eventCount,
                ...this.relay.responseEnd ?? this.bodyEnd,
                quietMs: Math.round(this.relay.quietMs),
                mayRepeat: mayRetry,
                promptParts: this.request.caller.sharedPromptParts.join(),
            });
            if (this.mayHaveCrashedEndpoint(outcome)) {
                void this.reportIfCrashed(place);
            }
            if (this.abortController.signal.aborted || !mayRetry || isResponseCommitted) {
                return this.newFinalRefusal(outcome);
            }
        }
    }

    /** Whether a part of the prompt may be to blame for how the attempt ended. */
    private mayHaveCrashedEndpoint(outcome: Extract<AttemptOutcome, { kind: "ended"; }>): boolean {
        return outcome.end === "broken" &&
            this.request.caller.sharedPromptParts.length > 0 &&
            !this.hasResponded(outcome) &&
            !this.abortController.signal.aborted;
    }

    /** An endpoint that crashed accepts no connections; one that only lost this one does. */
    private async reportIfCrashed(place: HeldPlace): Promise<void> {
        const { endpoint } = place;
        const fault = await this.deps.endpoints.findFault(endpoint);
        if (fault === "endpoint") {
            place.reportCrash();
        }
        this.deps.logger.info({
            event: "endpoint-checked",
            endpoint: endpoint.endpointId,
            requestId: this.request.caller.requestId,
            isListening: fault === "none",
            fault,
        });
    }

    /** Checks again whether the request may run, because the configuration may have changed while it waited. */
    private recheckAdmission(): Refusal | undefined {
        const { caller, path } = this.request;
        const readmitted = this.deps.admission.admit({ host: caller.host, path, apiKey: caller.apiKey });
        if (readmitted.isErr()) {
            return this.retryPolicy.correctRefusal(readmitted.error);
        }
        this.admitted = readmitted.value;
        return undefined;
    }

    private async requestPlace(): Promise<HeldPlace | Refusal> {
        const { route, organisation, allowedRegions, priority } = this.admitted;
        const { origin } = this;
        const services = getServices(route);
        const service = origin === undefined ? pickService(route, Math.random()) : origin.service;
        const nowMs = performance.now();
        const leftMs = this.deadlineAtMs - nowMs;
        if (service === undefined || leftMs < MIN_TIME_LEFT_MS) {
            return this.retryPolicy.correctRefusal(newRefusal(service === undefined ? "no-endpoint" : "timeout"));
        }
        if (origin !== undefined && !services.includes(origin.service)) {
            const detail = `the route no longer leads to ${origin.service}, which began the stream`;
            return this.retryPolicy.correctRefusal(newRefusal("version-gone", detail));
        }
        const mustTakeToken = organisation !== undefined && organisation.ratePerS > 0 && !this.isRateCharged;
        this.isRateCharged = true;
        const outcome = await this.deps.placement.requestPlace({
            service,
            workClass: "online",
            organisation: organisation?.name ?? "",
            priority,
            usefulForMs: this.request.arrivedAtMs + route.targetLatencyMs - nowMs,
            targetLatencyMs: route.targetLatencyMs,
            giveUpAfterMs: leftMs,
            dueInMs: leftMs,
            remainingMs: 0,
            allowedRegions,
            fingerprint: this.fingerprint,
            promptParts: this.request.caller.sharedPromptParts,
            softwareVersion: origin?.softwareVersion,
            streamId: route.kind === "streaming" && route.isResumable ? this.request.caller.requestId : undefined,
            resumedStream: this.isTakingUp && origin === undefined
                ? { requestId: this.request.caller.resumedRequestId ?? "", services }
                : undefined,
            rate: mustTakeToken ? { ratePerS: organisation.ratePerS, burst: organisation.burst } : undefined,
            excluded: this.excluded,
            wasUnreachable: this.wasUnreachable,
            signal: this.abortController.signal,
        });
        const waitedMs = performance.now() - nowMs;
        this.placedAfterMs ??= performance.now() - this.request.arrivedAtMs;
        if (outcome.kind === "placed") {
            const { givenBy, expectedWaitMs } = outcome.place;
            this.lastPlace = { givenBy, expectedWaitMs: Math.round(expectedWaitMs) };
            this.deps.metrics.recordPlacementWait(waitedMs, expectedWaitMs);
            return outcome.place;
        }
        const detail = `${outcome.detail}; decided by ${outcome.decidedBy}`;
        const reason = this.abortController.signal.reason === "timeout" ? "timeout" : outcome.reason;
        const refusal = newRefusal(reason, detail, outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined);
        return this.retryPolicy.correctRefusal(refusal);
    }

    /** Whether the caller goes on with a stream that another request began. */
    private get isTakingUp(): boolean {
        return this.admitted.route.kind === "streaming" && this.request.caller.lastEventId !== undefined;
    }

    /** From now on, only endpoints like the one that began the stream may go on with it. */
    private pinOrigin({ endpoint }: HeldPlace): void {
        this.origin ??= { service: endpoint.service, softwareVersion: getSoftwareVersion(endpoint) };
    }

    private async runAttempt(place: HeldPlace): Promise<AttemptOutcome> {
        const { caller, incoming, body } = this.request;
        const { route } = this.admitted;
        const isNothingRelayed = this.relay.resumeAfterEventId === caller.lastEventId;
        const attemptController = new AbortController();
        const onAbort = () => attemptController.abort("ended");
        this.abortController.signal.addEventListener("abort", onAbort, { once: true });
        const startedAtMs = performance.now();
        this.firstResponseAtMs = undefined;
        const stopWatching = this.watchForSilence(place, attemptController, startedAtMs);
        const newHeaders = () =>
            this.deps.wire.toEndpointHeaders(incoming.rawHeaders, {
                endpointId: place.endpoint.endpointId,
                organisation: this.admitted.organisation?.name,
                timeLeftMs: this.deadlineAtMs - performance.now(),
                lastEventId: isNothingRelayed ? caller.lastEventId : this.relay.resumeAfterEventId,
                bodyBytes: body.length,
            });
        const response = await this.deps.endpoints.send({
            requestId: caller.requestId ?? "",
            endpoint: place.endpoint,
            method: incoming.method ?? "GET",
            path: incoming.url ?? "/",
            headers: newHeaders(),
            renewHeaders: () => this.mayStillBeSent(place) ? newHeaders() : undefined,
            body,
            mayReuseConnection: isRetryable(route),
            signal: attemptController.signal,
        });
        const outcome = await this.deliver(response);
        stopWatching();
        const { signal } = this.abortController;
        const isSilent = attemptController.signal.reason === "silent";
        this.abortedFor = isSilent ? "silence" : signal.aborted ? signal.reason as AbortReason : undefined;
        this.abortController.signal.removeEventListener("abort", onAbort);
        const firstResponseMs = this.firstResponseAtMs === undefined ? undefined : this.firstResponseAtMs - startedAtMs;
        const end = attemptController.signal.reason === "silent" ? "silent" : this.toRequestEnd(outcome, startedAtMs);
        // What ended while the endpoint was silent is released as failed, although the endpoint has not answered.
        const wasSilent = end === "silent" ||
            (end === "failed" && outcome.kind === "ended" && outcome.end !== "failed");
        const placeEnd = { end, wasSilent, firstResponseMs, hasResponded: this.hasResponded(outcome) };
        const released = releasePlace(place, placeEnd, this.deps.endpoints);
        if (end === "broken") {
            // Whether the request crashes endpoints is known before it is sent to the next one.
            await Promise.race([released, sleep(MAX_FAULT_CHECK_MS)]);
        }
        return outcome;
    }

    /** Whether the request may still be sent to the endpoint of its place, after time has passed. */
    private mayStillBeSent({ endpoint }: HeldPlace): boolean {
        return this.deadlineAtMs - performance.now() >= MIN_TIME_LEFT_MS && this.recheckAdmission() === undefined
            && getServices(this.admitted.route).includes(endpoint.service);
    }

    private watchForSilence(place: HeldPlace, attemptController: AbortController, startedAtMs: number): () => void {
        const { endpointId } = place.endpoint;
        return watchForSilence({
            hasResponded: () => this.firstResponseAtMs !== undefined,
            getQuietMs: () => this.relay.quietMs,
            isEndpointSilent: () => this.deps.endpoints.getLastResponseAtMs(endpointId) < startedAtMs,
            mayResume: this.admitted.route.kind === "streaming" && this.retryPolicy.mayRetryOnSilence(),
            reportSilence: () => void this.reportSilence(place),
            abort: () => {
                if (this.retryPolicy.mayRetryOnSilence()) {
                    attemptController.abort("silent");
                }
            },
        });
    }

    private async reportSilence(place: HeldPlace): Promise<void> {
        if (await this.deps.endpoints.findFault(place.endpoint) !== "link") {
            place.reportSilence();
        }
    }

    private async deliver(result: Result<EndpointResponse, SendFailure>): Promise<AttemptOutcome> {
        if (result.isErr()) {
            const { kind, reason } = result.error;
            return { kind: "ended", end: isNotSent(kind) ? kind : "broken", reason };
        }
        const { status, head, rawHeaders, incoming } = result.value;
        if (head.isNotExecuted || status === 421) {
            discardBody(incoming);
            return { kind: "ended", end: "rejected", reason: `status ${status}` };
        }
        if (this.admitted.route.kind === "streaming" && status === 200) {
            if (!head.isSigned) {
                incoming.destroy();
                return { kind: "ended", end: "broken", reason: "the response is not signed" };
            }
            const end = await this.relay.relay(result.value);
            return end.kind === "complete"
                ? { kind: "answered", status }
                : { kind: "ended", end: "broken", reason: end.reason };
        }
        this.firstResponseAtMs = performance.now();
        const fullBody = await readFullBody(result.value);
        this.bodyEnd = result.value.endObserver.responseEnd;
        if (fullBody === undefined || (status < 300 && !head.isSigned)) {
            return {
                kind: "ended",
                end: "broken",
                reason: fullBody === undefined ? "the body is incomplete or too large" : "the response is not signed",
            };
        }
        if (NOT_EXECUTED_STATUSES.has(status)) {
            return { kind: "ended", end: "failed", reason: `status ${status}, though it may have run` };
        }
        if (status >= MIN_FAILURE_STATUS || this.request.response.hasStarted) {
            const failure = { status, rawHeaders, body: fullBody };
            return { kind: "ended", end: "failed", reason: `status ${status}`, failure };
        }
        this.request.response.sendFull(status, rawHeaders, fullBody);
        return { kind: "answered", status };
    }

    /**
     * Translates the outcome of an attempt for the release of its place. A request that ended because the caller left or
     * the deadline passed says nothing about the endpoint, unless the endpoint was silent for too long. A stream that
     * broke after more than one event is not reported as `broken`, since it is not suspected of having crashed the
     * endpoint.
     */
    private toRequestEnd(outcome: AttemptOutcome, startedAtMs: number): RequestEnd {
        if (outcome.kind === "answered" || this.abortController.signal.aborted) {
            const wasSilent = this.firstResponseAtMs === undefined &&
                performance.now() - startedAtMs > FIRST_RESPONSE_TIMEOUT_MS;
            return outcome.kind === "ended" && wasSilent ? "failed" : "done";
        }
        if (outcome.end === "no-path" || outcome.end === "unsendable") {
            return "lost";
        }
        return outcome.end === "broken" && this.relay.eventCount > MAX_EVENTS_BEFORE_CRASH ? "lost" : outcome.end;
    }

    /** Whether the endpoint produced enough to show that the request doesn't crash it as soon as it responds. */
    private hasResponded(outcome: AttemptOutcome): boolean {
        return this.relay.eventCount > MAX_EVENTS_BEFORE_CRASH || outcome.kind === "answered";
    }

    private newFinalRefusal({ end, reason }: Extract<AttemptOutcome, { kind: "ended"; }>): Refusal {
        if (end === "unsendable" && !this.retryPolicy.mayHaveRun) {
            return newRefusal("bad-request", reason);
        }
        if (this.abortController.signal.reason === "timeout") {
            return this.retryPolicy.mayHaveRun ? newRefusal("timeout", reason) : newRefusal("unavailable", reason);
        }
        return this.retryPolicy.correctRefusal(newRefusal("unavailable", reason));
    }

    private finishWithRefusal(refusal: Refusal): void {
        const { response, callerGone } = this.request;
        if (callerGone.aborted) {
            this.log("caller-gone", 0, refusal.reason, refusal.detail);
            response.abort();
            return;
        }
        const { lastFailure } = this;
        if (lastFailure !== undefined && !response.hasStarted) {
            response.sendFull(lastFailure.status, lastFailure.rawHeaders, lastFailure.body);
            this.log("failed", lastFailure.status, "endpoint-answered", refusal.detail);
            return;
        }
        const wasStarted = response.hasStarted;
        response.sendRefusal(refusal);
        this.log(wasStarted ? "broken-off" : "refused", refusal.status, refusal.reason, refusal.detail);
    }

    private log(outcome: string, status: number, reason: string, detail: string): void {
        const { caller, arrivedAtMs } = this.request;
        const { route, organisation, configVersion } = this.admitted;
        const durationMs = Math.round(performance.now() - arrivedAtMs);
        this.deps.metrics.recordRequest(route.kind, outcome, reason, durationMs);
        this.deps.logger.info({
            event: "request",
            requestId: caller.requestId,
            route: route.name,
            kind: route.kind,
            organisation: organisation?.name,
            configVersion,
            outcome,
            status,
            reason,
            detail,
            attempts: this.attempts,
            endpoint: this.lastEndpoint,
            softwareVersion: this.lastSoftwareVersion,
            resumes: caller.resumedRequestId,
            resumedAfter: caller.lastEventId,
            ...this.lastPlace,
            events: this.relay.eventCount,
            ...this.relay.responseEnd ?? this.bodyEnd,
            placedAfterMs: this.placedAfterMs === undefined ? undefined : Math.round(this.placedAfterMs),
            durationMs,
        });
    }
}
