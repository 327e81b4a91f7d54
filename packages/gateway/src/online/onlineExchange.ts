import { type ResponseEnd, sleep } from "@heatherline/common";
import type { HeldPlace, RequestEnd } from "@heatherline/fleet";
import type { Result } from "neverthrow";
import type { AdmittedRequest } from "../callers/admission";
import { newRefusal, type Refusal } from "../callers/refusal";
import { discardBody, readFullBody } from "../endpoints/bodyReader";
import { type EndpointResponse, isNotSent, type SendFailure } from "../endpoints/endpointClient";
import type { Fault } from "../endpoints/endpointLinks";
import type { AttemptOutcome } from "./attemptOutcome";
import type { CallerBuffer } from "./callerBuffer";
import { reportIfCrashed } from "./crashCheck";
import { ExchangePlaces, MIN_TIME_LEFT_MS } from "./exchangePlaces";
import type { Sent } from "./hedgedSend";
import { Hedging } from "./hedging";
import type { OnlineDependencies } from "./onlineDependencies";
import type { OnlineRequest } from "./onlineRequest";
import { releasePlace } from "./placeRelease";
import { logEndedAttempt, logRequest } from "./requestLog";
import { getResponseFigures } from "./responseFigures";
import { StreamRelay } from "./responseRelay";
import { isRetryable, RetryPolicy } from "./retryPolicy";
import { FIRST_RESPONSE_TIMEOUT_MS, HANG_TIMEOUT_MS, SilenceWatch } from "./silenceWatch";
import { findWholeFault } from "./wholeResponse";
import { WholeResponseSender } from "./wholeResponseSender";

/** Subtracted from the caller's timeout, so that the response arrives before the caller gives up. */
const DEADLINE_MARGIN_MS = 30;
/** A retry waits this long at most until it is known why the connection broke. */
const MAX_FAULT_CHECK_MS = 300;
/** A request that crashes the endpoint does so as soon as the endpoint begins to respond. */
const MAX_EVENTS_BEFORE_CRASH = 1;
/** Callers leave a stream two seconds after its last event, and the endpoint takes a part of that to go on. */
const MAX_PLACE_WAIT_MS = 1_600;

/** Why a request is given up. */
type AbortReason = "caller-gone" | "timeout" | "stopping";

/** One request with its attempts. */
export class OnlineExchange {
    private readonly retryPolicy: RetryPolicy;
    private readonly relay: StreamRelay;
    private readonly buffer: CallerBuffer | undefined;
    private readonly deadlineAtMs: number;
    private readonly abortController = new AbortController();
    private readonly places: ExchangePlaces;
    private attempts = 0;
    private readonly sender: WholeResponseSender;
    private silenceWatch: SilenceWatch | undefined;
    /** When the response of the current attempt began to arrive. */
    private firstResponseAtMs: number | undefined;
    /** How the latest response that was no stream ended, for the log. */
    private bodyEnd: ResponseEnd | undefined;
    /** Why this instance aborted the latest attempt; `undefined` if it didn't. */
    private abortedFor: AbortReason | "silence" | undefined;
    /** The place of the attempt that the request depends on. */
    private current: HeldPlace | undefined;
    private attemptController = new AbortController();
    private readonly hedging: Hedging;

    /**
     * @param deps - What the exchange depends on.
     * @param request - The request.
     * @param admitted - What the configuration grants it.
     */
    constructor(
        private readonly deps: OnlineDependencies,
        private readonly request: OnlineRequest,
        admitted: AdmittedRequest,
    ) {
        const { caller, arrivedAtMs } = request;
        const { route } = admitted;
        this.retryPolicy = new RetryPolicy(route);
        this.hedging = new Hedging(deps, caller.requestId, this.retryPolicy);
        this.buffer = deps.callerBuffers?.open(request.response, caller.requestId);
        this.sender = new WholeResponseSender(request.response, this.buffer, deps.bodies);
        this.relay = new StreamRelay(
            request.response,
            caller.lastEventId,
            () => this.recordResponse(),
            this.buffer ?? request.response,
        );
        const callerMs = caller.timeLeftMs === undefined ? Infinity : caller.timeLeftMs - DEADLINE_MARGIN_MS;
        this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, callerMs);
        const { deadlineAtMs, retryPolicy } = this;
        const isHedged = deps.hedgeDelays !== undefined;
        this.places = new ExchangePlaces(deps, { request, admitted, deadlineAtMs, retryPolicy, isHedged });
    }

    /** Handles the request until a response has been sent or the caller has disconnected. */
    async run(): Promise<void> {
        const { callerGone, giveUp } = this.request;
        const onGone = () => this.abort("caller-gone");
        const onGiveUp = () => this.abort("stopping");
        callerGone.addEventListener("abort", onGone, { once: true });
        giveUp.addEventListener("abort", onGiveUp, { once: true });
        if (callerGone.aborted) {
            onGone();
        }
        const timer = setTimeout(
            () => this.abort("timeout"),
            Math.max(0, this.deadlineAtMs - performance.now()),
        );
        try {
            const end = await this.runAttempts();
            clearTimeout(timer);
            if (typeof end !== "number" && !callerGone.aborted) {
                this.sender.sendFailure();
            }
            // What is ready is delivered, even if late; no place is held meanwhile.
            await this.buffer?.flushUnless(giveUp);
            if (typeof end === "number") {
                this.finishAnswered(end);
            }
            else {
                this.finishWithRefusal(end);
            }
        }
        finally {
            this.places.releaseNext();
            this.sender.forgetFailure();
            clearTimeout(timer);
            callerGone.removeEventListener("abort", onGone);
            giveUp.removeEventListener("abort", onGiveUp);
        }
    }

    private abort(reason: AbortReason): void {
        this.abortController.abort(reason);
    }

    /** @returns The refusal to send, or the status of the endpoint's response that is delivered. */
    private async runAttempts(): Promise<Refusal | number> {
        for (;;) {
            const place = this.places.takeNext()
                ?? await this.places.requestRepeatedly(this.abortController.signal, () => this.mayWaitForPlace());
            if (!("endpoint" in place)) {
                return place;
            }
            this.attempts += 1;
            this.current = place;
            if (this.places.isTakingUp) {
                this.places.pinOrigin(place);
            }
            const outcome = await this.runAttempt(place);
            if (this.request.response.hasStarted) {
                this.places.pinOrigin(this.current ?? place);
            }
            if (outcome.kind === "answered") {
                return outcome.status;
            }
            const mayRetry = this.recordEnded(this.current ?? place, outcome);
            const mayResume = isRetryable(this.places.admitted.route) && this.relay.isResumable;
            const isResponseCommitted = this.request.response.hasStarted && !mayResume;
            if (this.abortController.signal.aborted || !mayRetry || isResponseCommitted) {
                return this.newFinalRefusal(outcome);
            }
        }
    }

    /** @returns Whether the request may be sent again, after an attempt without a response for the caller. */
    private recordEnded(place: HeldPlace, outcome: Extract<AttemptOutcome, { kind: "ended"; }>): boolean {
        if (outcome.failure !== undefined) {
            this.sender.keepFailure(outcome.failure);
        }
        this.places.exclude(place, outcome.end);
        const mayRetry = this.retryPolicy.recordAttempt(outcome.end);
        const { abortedFor, bodyEnd } = this;
        const ended = { ...outcome, place, abortedFor, bodyEnd, mayRetry };
        logEndedAttempt(this.deps.logger, this.request, this.relay, ended);
        if (this.mayHaveCrashedEndpoint(outcome)) {
            void reportIfCrashed(this.deps, place, this.request.caller.requestId);
        }
        return mayRetry;
    }

    /** Without a place, a stream that has begun is cut; its caller waits for the next event a while. */
    private mayWaitForPlace(): boolean {
        return this.request.response.hasStarted && this.relay.quietMs < MAX_PLACE_WAIT_MS;
    }

    /** Whether a part of the prompt may be to blame for how the attempt ended. */
    private mayHaveCrashedEndpoint(outcome: Extract<AttemptOutcome, { kind: "ended"; }>): boolean {
        return outcome.end === "broken" &&
            this.request.caller.sharedPromptParts.length > 0 &&
            !this.hasResponded(outcome) &&
            !this.abortController.signal.aborted;
    }

    private async runAttempt(place: HeldPlace): Promise<AttemptOutcome> {
        const attemptController = new AbortController();
        this.attemptController = attemptController;
        const onAbort = () => attemptController.abort("ended");
        this.abortController.signal.addEventListener("abort", onAbort, { once: true });
        const startedAtMs = performance.now();
        const eventCountBefore = this.relay.eventCount;
        this.firstResponseAtMs = undefined;
        this.silenceWatch = this.watchForSilence(place, startedAtMs);
        const isHedged = this.relay.eventCount === 0 && this.hedging.mayHedge(this.places.admitted.route, place);
        const sent = isHedged
            ? await this.sendHedged(place, attemptController)
            : { place, startedAtMs, result: await this.send(place, attemptController.signal) };
        const outcome = await this.deliver(sent);
        this.silenceWatch.stop();
        const { signal } = this.abortController;
        // The response may have ended just before the attempt was aborted.
        const isSilent = this.attemptController.signal.reason === "silent" && outcome.kind === "ended";
        this.abortedFor = isSilent ? "silence" : signal.aborted ? signal.reason as AbortReason : undefined;
        this.abortController.signal.removeEventListener("abort", onAbort);
        await this.release(sent, outcome, { isSilent, eventCountBefore });
        return outcome;
    }

    private async release(
        { place, startedAtMs }: Pick<Sent, "place" | "startedAtMs">,
        outcome: AttemptOutcome,
        { isSilent, eventCountBefore }: { readonly isSilent: boolean; readonly eventCountBefore: number; },
    ): Promise<void> {
        const isFromStart = eventCountBefore === 0 && this.request.caller.lastEventId === undefined;
        const firstResponseMs = this.firstResponseAtMs === undefined ? undefined : this.firstResponseAtMs - startedAtMs;
        const end = isSilent ? "silent" : this.toRequestEnd(outcome, startedAtMs);
        // What ended while the endpoint was silent is released as failed, although the endpoint has not answered.
        const wasSilent = end === "silent" ||
            (end === "failed" && outcome.kind === "ended" && outcome.end !== "failed");
        const placeEnd = {
            end,
            wasSilent,
            firstResponseMs,
            hasResponded: this.hasResponded(outcome),
            figures: {
                ...getResponseFigures(outcome, {
                    durationMs: performance.now() - startedAtMs,
                    wasAborted: this.abortController.signal.aborted,
                    isFromStart,
                }),
                events: this.relay.eventCount - eventCountBefore,
            },
        };
        const released = releasePlace(place, placeEnd, this.deps.endpoints);
        if (end === "broken") {
            // Whether the request crashes endpoints is known before it is sent to the next one.
            await Promise.race([released, sleep(MAX_FAULT_CHECK_MS)]);
        }
    }

    private send(place: HeldPlace, signal: AbortSignal): Promise<Result<EndpointResponse, SendFailure>> {
        const { caller, incoming, body } = this.request;
        const isNothingRelayed = this.relay.resumeAfterEventId === caller.lastEventId;
        const newHeaders = () =>
            this.deps.wire.toEndpointHeaders(incoming.rawHeaders, {
                endpointId: place.endpoint.endpointId,
                organisation: this.places.admitted.organisation?.name,
                timeLeftMs: this.deadlineAtMs - performance.now(),
                lastEventId: isNothingRelayed ? caller.lastEventId : this.relay.resumeAfterEventId,
                bodyBytes: body.length,
            });
        return this.deps.endpoints.send({
            requestId: caller.requestId ?? "",
            endpoint: place.endpoint,
            method: incoming.method ?? "GET",
            path: incoming.url ?? "/",
            headers: newHeaders(),
            renewHeaders: () => this.mayStillBeSent(place) ? newHeaders() : undefined,
            body,
            mayReuseConnection: isRetryable(this.places.admitted.route),
            signal,
        });
    }

    /** Sends the request, and to a second endpoint if the first one is slow. */
    private async sendHedged(place: HeldPlace, controller: AbortController): Promise<Sent> {
        const sent = await this.hedging.run(this.places.admitted.route, place, controller, {
            signal: this.abortController.signal,
            send: (other, signal) => this.send(other, signal),
            mayHedge: () => this.silenceWatch?.isSearching !== true && this.mayMove(undefined),
            requestPlace: signal => this.places.requestHedge(place, signal),
            onFailed: async ended => {
                const outcome = await this.deliver(ended);
                if (outcome.kind === "ended") {
                    this.recordEnded(ended.place, outcome);
                    await this.release(ended, outcome, { isSilent: false, eventCountBefore: 0 });
                }
            },
            onCurrent: (other, otherController) => {
                this.current = other;
                this.attemptController = otherController;
            },
            onHead: () => this.recordResponse(),
        });
        this.firstResponseAtMs = sent.headAtMs;
        return sent;
    }

    /** Whether the request may still be sent to the endpoint of its place, after time has passed. */
    private mayStillBeSent({ endpoint }: HeldPlace): boolean {
        return this.deadlineAtMs - performance.now() >= MIN_TIME_LEFT_MS && this.places.mayRunAt(endpoint);
    }

    private watchForSilence(place: HeldPlace, startedAtMs: number): SilenceWatch {
        const getPlace = () => this.current ?? place;
        const isStream = this.places.admitted.route.kind === "streaming";
        return new SilenceWatch({
            hasResponded: () => this.firstResponseAtMs !== undefined,
            getQuietMs: () => isStream ? this.relay.quietMs : 0,
            isEndpointSilent: () => {
                const sinceMs = Math.max(startedAtMs, performance.now() - HANG_TIMEOUT_MS);
                return this.deps.endpoints.getLastDataAtMs(getPlace().endpoint.endpointId) < sinceMs;
            },
            isRepeatable: this.retryPolicy.mayRetryOnSilence(),
            isExclusive: isStream,
            mayMove: next => !this.hedging.isActive && this.mayMove(next),
            checkEndpoint: () => this.checkSilentEndpoint(getPlace()),
            requestPlace: async signal => {
                const next = await this.places.requestBeside(getPlace(), signal);
                return "endpoint" in next ? next : undefined;
            },
            move: next => {
                this.places.setNext(next);
                this.attemptController.abort("silent");
            },
        });
    }

    /** Whether the request may go on at another endpoint, by the configuration in force as well. */
    private mayMove(next: HeldPlace | undefined): boolean {
        const mayBeRepeated = this.retryPolicy.mayRetryOnSilence() && this.relay.isResumable
            && !this.abortController.signal.aborted;
        // The check brings what the configuration grants up to date.
        return mayBeRepeated && this.places.mayRequest() && isRetryable(this.places.admitted.route)
            && (next === undefined || this.places.mayRunAt(next.endpoint));
    }

    private async checkSilentEndpoint(place: HeldPlace): Promise<Fault> {
        const fault = await this.deps.endpoints.findFault(place.endpoint);
        if (fault !== "link" && this.firstResponseAtMs === undefined) {
            place.reportSilence();
        }
        return fault;
    }

    /** Records that a part of the endpoint's response has arrived. */
    private recordResponse(): void {
        this.firstResponseAtMs ??= performance.now();
        this.silenceWatch?.recordResponse();
    }

    private async deliver({ result, ...sent }: Pick<Sent, "result"> & Partial<Sent>): Promise<AttemptOutcome> {
        if (result.isErr()) {
            const { kind, reason } = result.error;
            return { kind: "ended", end: isNotSent(kind) ? kind : "broken", reason };
        }
        const { status, head, rawHeaders, incoming } = result.value;
        if (head.isNotExecuted || status === 421) {
            discardBody(incoming);
            return { kind: "ended", end: "rejected", reason: `status ${status}` };
        }
        if (this.places.admitted.route.kind === "streaming" && status === 200) {
            if (!head.isSigned) {
                incoming.destroy();
                return { kind: "ended", end: "broken", reason: "the response is not signed" };
            }
            const end = await this.relay.relay(result.value);
            return end.kind === "complete"
                ? { kind: "answered", status }
                : { kind: "ended", end: "broken", reason: end.reason };
        }
        this.recordResponse();
        const fullBody = sent.isBodyRead === true ? sent.body : await readFullBody(result.value);
        this.bodyEnd = result.value.endObserver.responseEnd;
        const fault = findWholeFault(result.value, fullBody, this.request.response.hasStarted);
        if (fault !== undefined || fullBody === undefined) {
            return fault ?? { kind: "ended", end: "broken", reason: "no body" };
        }
        this.sender.send({ status, rawHeaders, body: fullBody });
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

    private finishAnswered(status: number): void {
        const isUnread = this.buffer?.isComplete === false;
        this.log(isUnread ? "caller-gone" : "answered", isUnread ? 0 : status, isUnread ? "unread" : "", "");
    }

    private finishWithRefusal(refusal: Refusal): void {
        const { response, callerGone } = this.request;
        if (callerGone.aborted) {
            this.log("caller-gone", 0, refusal.reason, refusal.detail);
            response.abort();
            return;
        }
        const { sentFailureStatus } = this.sender;
        if (sentFailureStatus !== undefined) {
            this.log("failed", sentFailureStatus, "endpoint-answered", refusal.detail);
            return;
        }
        const wasStarted = response.hasStarted;
        response.sendRefusal(refusal);
        this.log(wasStarted ? "broken-off" : "refused", refusal.status, refusal.reason, refusal.detail);
    }

    private log(outcome: string, status: number, reason: string, detail: string): void {
        const { bodyEnd, current: place, request, relay, places } = this;
        const { logger, metrics } = this.deps;
        const attempts = this.attempts + this.hedging.attempts;
        const context = { logger, metrics, request, relay, places };
        logRequest(context, { outcome, status, reason, detail, attempts, place, bodyEnd });
    }
}
