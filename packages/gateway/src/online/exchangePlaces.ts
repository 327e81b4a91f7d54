import { sleep } from "@heatherline/common";
import {
    type EndpointEntry,
    getServices,
    getSoftwareVersion,
    type HeldPlace,
    pickService,
    type PlacementClient,
    type Route,
    type StreamOrigin,
} from "@heatherline/fleet";
import { createHash } from "node:crypto";
import type { Admission, AdmittedRequest } from "../callers/admission";
import { newRefusal, type Refusal } from "../callers/refusal";
import type { GatewayMetrics } from "../metrics";
import type { OnlineRequest } from "./onlineRequest";
import { getRate, newAdmittedOptions } from "./placeOptions";
import type { AttemptEnd, RetryPolicy } from "./retryPolicy";

/** With less time left, no place is requested. */
export const MIN_TIME_LEFT_MS = 5;
/** Delay between two requests for a place. */
const PLACE_RETRY_MS = 200;
/** A stream that has begun waits this long for a place elsewhere, then for one at any endpoint. */
const MAX_QUEUED_MS = 400;

/** A body is hashed in parts of this size, since each part is copied. */
const HASH_PART_BYTES = 65_536;

/** What {@link ExchangePlaces} depends on. */
export interface ExchangePlacesDependencies {
    readonly admission: Admission;
    readonly placement: PlacementClient;
    readonly metrics: GatewayMetrics;
}

/** The request that needs places. */
export interface ExchangePlacesOptions {
    readonly request: OnlineRequest;
    /** What the configuration grants it. */
    readonly admitted: AdmittedRequest;
    /** Monotonic time at which it must be answered. */
    readonly deadlineAtMs: number;
    readonly retryPolicy: RetryPolicy;
    /** Whether slow requests are sent to a second endpoint. */
    readonly isHedged?: boolean;
}

/** What a place must be like. */
interface PlaceConstraints {
    /** An endpoint that is not to be used, beside those of earlier attempts. */
    readonly excludedId?: string;
    /** The service and version that it must be of; where the stream began, if left out. */
    readonly origin?: { readonly service: string; readonly softwareVersion: string | undefined; } | undefined;
    /** Longest time for which the request waits for a place. */
    readonly maxQueuedMs?: number;
    /** The place of an attempt that goes on and is slow. */
    readonly hedgeOf?: string;
}

/** Who granted a place, and how long the request was expected to wait for it. */
export interface PlaceGrant {
    readonly givenBy: string;
    readonly expectedWaitMs: number;
}

/** Gets the places for the attempts at one request, as the configuration in force allows. */
export class ExchangePlaces {
    private readonly online: OnlineRequest;
    private readonly fingerprint: string;
    private excluded: string[] = [];
    private wasUnreachable = false;
    private isRateCharged = false;
    /** Services whose endpoints hold fewer tokens than the request has. */
    private readonly tooSmallServices = new Set<string>();
    /** Where the stream began, of which the caller has received a part. */
    private origin: StreamOrigin | undefined;
    /** A place that is held beside the one of the current attempt, to move there. */
    private next: HeldPlace | undefined;
    private currentAdmitted: AdmittedRequest;
    private latestGrant: PlaceGrant | undefined;
    private firstDecisionAfterMs: number | undefined;

    /**
     * @param deps - What it depends on.
     * @param options - The request.
     */
    constructor(
        private readonly deps: ExchangePlacesDependencies,
        private readonly options: ExchangePlacesOptions,
    ) {
        const { request, admitted } = options;
        this.online = request;
        this.currentAdmitted = admitted;
        const organisation = admitted.organisation?.name ?? "";
        this.fingerprint = newFingerprint(`${organisation}\0${request.path}\0`, request.body);
    }

    /** What the configuration grants the request, as checked last. */
    get admitted(): AdmittedRequest {
        return this.currentAdmitted;
    }

    /** The latest grant, for the log. */
    get lastPlace(): PlaceGrant | undefined {
        return this.latestGrant;
    }

    /** Time from arrival to the first decision about a place, in milliseconds; `undefined` before it. */
    get placedAfterMs(): number | undefined {
        return this.firstDecisionAfterMs;
    }

    /** Whether the caller goes on with a stream that another request began. */
    get isTakingUp(): boolean {
        return this.admitted.route.kind === "streaming" && this.online.caller.lastEventId !== undefined;
    }

    /**
     * From now on, only endpoints like the one that began the stream may go on with it.
     *
     * @param place - A place at that endpoint.
     */
    pinOrigin({ endpoint }: HeldPlace): void {
        this.origin ??= { service: endpoint.service, softwareVersion: getSoftwareVersion(endpoint) };
    }

    /**
     * Doesn't use the endpoint of an attempt that has ended again.
     *
     * @param place - The place of the attempt.
     * @param end - How it ended.
     */
    exclude({ endpoint }: HeldPlace, end: AttemptEnd): void {
        this.excluded.push(endpoint.endpointId);
        this.wasUnreachable ||= end === "unreachable";
    }

    /**
     * @param endpoint - The endpoint of a place.
     * @returns Whether the configuration in force still lets the request run there.
     */
    mayRunAt(endpoint: EndpointEntry): boolean {
        return this.recheckAdmission() === undefined && getServices(this.admitted.route).includes(endpoint.service);
    }

    /** @returns Whether the configuration in force lets the request run, if it has begun, where it began. */
    mayRequest(): boolean {
        return this.recheckAdmission() === undefined
            && (this.origin === undefined || getServices(this.admitted.route).includes(this.origin.service));
    }

    /**
     * @param place - A place to move to, which is held until it is taken or released.
     */
    setNext(place: HeldPlace): void {
        this.releaseNext();
        this.next = place;
    }

    /** @returns The place to move to, unless the response has begun meanwhile at another version. */
    takeNext(): HeldPlace | undefined {
        const { next, origin } = this;
        if (next === undefined || origin === undefined) {
            this.next = undefined;
            return next;
        }
        const { service, softwareVersion } = origin;
        if (next.endpoint.service !== service || getSoftwareVersion(next.endpoint) !== softwareVersion) {
            this.releaseNext();
            return undefined;
        }
        this.next = undefined;
        return next;
    }

    /** Releases the place to move to, if there is one. */
    releaseNext(): void {
        this.next?.release("lost");
        this.next = undefined;
    }

    /**
     * Requests a place again and again, if the configuration in force still admits the request. Where there is none
     * elsewhere, the endpoints of earlier attempts are used again.
     *
     * @param signal - Withdraws the request for a place.
     * @param mayWait - Whether the request may still wait for a place after there was none.
     * @returns The place, or why there is none.
     */
    async requestRepeatedly(signal: AbortSignal, mayWait: () => boolean): Promise<HeldPlace | Refusal> {
        for (;;) {
            const place = await this.requestAdmitted(signal, mayWait() ? MAX_QUEUED_MS : Infinity);
            if ("endpoint" in place || signal.aborted || !mayWait()) {
                return place;
            }
            this.excluded = [];
            await sleep(PLACE_RETRY_MS, signal);
        }
    }

    /**
     * Requests a place, if the configuration in force still admits the request.
     *
     * @param signal - Withdraws the request for a place.
     * @param maxQueuedMs - Longest time for which it waits for a place.
     * @returns The place, or why there is none.
     */
    private async requestAdmitted(signal: AbortSignal, maxQueuedMs: number): Promise<HeldPlace | Refusal> {
        const refusal = this.recheckAdmission();
        if (refusal !== undefined) {
            return refusal;
        }
        const place = await this.request(signal, { maxQueuedMs });
        if (!("endpoint" in place)) {
            return place;
        }
        const refusalAfterWait = this.recheckAdmission();
        if (refusalAfterWait !== undefined) {
            place.release("lost");
        }
        return refusalAfterWait ?? place;
    }

    /**
     * Requests a place at another endpoint while an attempt goes on. The response may begin meanwhile, so that the place is
     * at an endpoint like that of the attempt.
     *
     * @param current - The place of the attempt.
     * @param signal - Withdraws the request.
     * @returns The place, or why there is none.
     */
    requestBeside({ endpoint }: HeldPlace, signal: AbortSignal): Promise<HeldPlace | Refusal> {
        const isStream = this.admitted.route.kind === "streaming";
        const origin = { service: endpoint.service, softwareVersion: getSoftwareVersion(endpoint) };
        return this.request(signal, { excludedId: endpoint.endpointId, origin: isStream ? origin : undefined });
    }

    /**
     * Requests a place for a second attempt, since the first one is slow. Both count together for all limits, so that it is
     * at the same service.
     *
     * @param current - The place of the first attempt.
     * @param signal - Withdraws the request.
     * @returns The place, or why there is none.
     */
    requestHedge({ endpoint, placeId }: HeldPlace, signal: AbortSignal): Promise<HeldPlace | Refusal> {
        const isStream = this.admitted.route.kind === "streaming";
        const softwareVersion = isStream ? getSoftwareVersion(endpoint) : undefined;
        const origin = { service: endpoint.service, softwareVersion };
        return this.request(signal, { excludedId: endpoint.endpointId, origin, hedgeOf: placeId });
    }

    private async request(
        signal: AbortSignal,
        { excludedId, origin = this.origin, maxQueuedMs = Infinity, hedgeOf }: PlaceConstraints = {},
    ): Promise<HeldPlace | Refusal> {
        const { retryPolicy, deadlineAtMs } = this.options;
        const { caller, arrivedAtMs } = this.online;
        const { route, organisation } = this.admitted;
        const services = getServices(route);
        const service = origin === undefined ? this.pickService(route) : origin.service;
        const nowMs = performance.now();
        const leftMs = deadlineAtMs - nowMs;
        if (service === undefined || leftMs < MIN_TIME_LEFT_MS) {
            return retryPolicy.correctRefusal(newRefusal(service === undefined ? "no-endpoint" : "timeout"));
        }
        if (origin !== undefined && !services.includes(origin.service)) {
            const detail = `the route no longer leads to ${origin.service}, which began the stream`;
            return retryPolicy.correctRefusal(newRefusal("version-gone", detail));
        }
        const isFirstAttempt = !this.isRateCharged;
        const rate = getRate(organisation);
        const mustTakeToken = rate !== undefined && (isFirstAttempt || hedgeOf !== undefined);
        this.isRateCharged = true;
        const outcome = await this.deps.placement.requestPlace({
            ...newAdmittedOptions(this.admitted, service, nowMs - arrivedAtMs, leftMs),
            giveUpAfterMs: Math.min(leftMs, maxQueuedMs),
            fingerprint: this.fingerprint,
            promptParts: caller.sharedPromptParts,
            softwareVersion: origin?.softwareVersion,
            streamId: route.kind === "streaming" && route.isResumable ? caller.requestId : undefined,
            resumedStream: this.isTakingUp && origin === undefined
                ? { requestId: caller.resumedRequestId ?? "", services }
                : undefined,
            work: {
                promptTokens: caller.promptTokens,
                outputTokens: Math.min(caller.expectedOutputTokens ?? caller.maxOutputTokens, caller.maxOutputTokens),
            },
            ...this.options.isHedged === true ? { isFirstAttempt, hedgeOf } : {},
            promptTokens: caller.promptTokens,
            outputTokens: caller.maxOutputTokens,
            rate: mustTakeToken ? rate : undefined,
            excluded: excludedId === undefined ? this.excluded : [...this.excluded, excludedId],
            wasUnreachable: this.wasUnreachable,
            signal,
        });
        const decidedAtMs = performance.now();
        if (hedgeOf !== undefined && outcome.kind === "refused") {
            return newRefusal("no-hedge", outcome.reason === "no-hedge" ? outcome.detail : outcome.reason);
        }
        this.firstDecisionAfterMs ??= Math.round(decidedAtMs - arrivedAtMs);
        if (outcome.kind === "placed") {
            const { givenBy, expectedWaitMs } = outcome.place;
            this.latestGrant = { givenBy, expectedWaitMs: Math.round(expectedWaitMs) };
            this.deps.metrics.recordPlacementWait(decidedAtMs - nowMs, expectedWaitMs);
            return outcome.place;
        }
        if (outcome.reason === "too-many-tokens") {
            this.tooSmallServices.add(service);
            if (origin === undefined && this.pickService(route) !== undefined) {
                // Whoever refused a place has given the rate's token back.
                this.isRateCharged = !mustTakeToken;
                return this.request(signal, { excludedId, origin, maxQueuedMs });
            }
        }
        const detail = `${outcome.detail}; decided by ${outcome.decidedBy}`;
        const reason = signal.reason === "timeout" ? "timeout" : outcome.reason;
        const refusal = newRefusal(reason, detail, outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined);
        return retryPolicy.correctRefusal(refusal);
    }

    /** Endpoints of other services of the route may hold more. */
    private pickService(route: Route): string | undefined {
        const targets = route.targets.filter(target => !this.tooSmallServices.has(target.service));
        return pickService({ ...route, targets }, Math.random());
    }

    /** Checks again whether the request may run, because the configuration may have changed while it waited. */
    private recheckAdmission(): Refusal | undefined {
        const { caller, path } = this.online;
        const readmitted = this.deps.admission.admit({ host: caller.host, path, apiKey: caller.apiKey });
        if (readmitted.isErr()) {
            return this.options.retryPolicy.correctRefusal(readmitted.error);
        }
        this.currentAdmitted = readmitted.value;
        return undefined;
    }
}

/** Instances of all releases must agree on it, so that each byte counts as a character. */
function newFingerprint(prefix: string, body: Buffer): string {
    const hash = createHash("sha256").update(prefix);
    for (let at = 0; at < body.length; at += HASH_PART_BYTES) {
        hash.update(body.toString("latin1", at, Math.min(body.length, at + HASH_PART_BYTES)));
    }
    return hash.digest("hex");
}
