import { type EndpointCrash, type Logger, newRequestId, PromptPartTracker } from "@heatherline/common";
import { LRUCache } from "lru-cache";
import { type Coordinator, newBlockedPromptRefusal } from "./coordinator";
import type { CoordinatorLink } from "./coordinatorLink";
import { Dispatcher } from "./dispatcher";
import { scaleRateBounds } from "./fallbackShares";
import type { FleetView } from "./fleetView";
import { LeavingEndpoints } from "./leavingEndpoints";
import type { PlaceDecision, PlaceReply, ReleaseRequest } from "./messages";
import { TokenBuckets } from "./tokenBuckets";
import type {
    EndpointEntry,
    LeavingEndpoint,
    MemberEntry,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
    PlaceSummary,
    RequestEnd,
} from "./types";

/** A decision is awaited this much longer than the request may wait for a place at the coordinator, in milliseconds. */
const DECISION_GRACE_MS = 400;
/** Timeout of a call that requests a place; the coordinator replies at once, if only `queued`. In milliseconds. */
const REQUEST_TIMEOUT_MS = 500;
const RELEASE_TIMEOUT_MS = 500;
/** An endpoint that this instance can't reach is excluded from its requests for this long, in milliseconds. */
const UNREACHABLE_EXCLUSION_MS = 1_500;
/** The coordinator's endpoint list may be outdated, but hardly for this many free endpoints at once. */
const MAX_UNKNOWN_ENDPOINTS = 3;
/** Time after which the coordinator and this instance know the same endpoints again, in milliseconds. */
const UNKNOWN_ENDPOINT_RETRY_MS = 500;
/** How long this instance reports a crash to each new coordinator, in milliseconds. */
const CRASH_REPORT_TTL_MS = 120_000;
/** Maximum number of remembered crash reports. */
const MAX_CRASH_REPORTS = 64;
/** A part of prompts that succeeds often is reported once in this time, in milliseconds. */
const SUCCESS_REPORT_INTERVAL_MS = 500;
const MAX_REPORTED_PARTS = 4_096;

/** A place that this instance holds. */
export interface HeldPlace {
    readonly placeId: string;
    readonly endpoint: EndpointEntry;
    /** Who granted the place. */
    readonly givenBy: PlaceDecider;
    /** The wait that was forecast when the place was requested, in milliseconds. */
    readonly expectedWaitMs: number;
    /** Aborted when the place is preempted and must be released at once. */
    readonly preemptSignal: AbortSignal;
    /** Reports that the endpoint has sent nothing for too long; the request goes on. */
    reportSilence(): void;
    /**
     * Releases the place; later calls do nothing.
     *
     * @param end - How the request ended.
     * @param firstAnswerMs - Time from the grant of the place to the first part of the response.
     * @param hasResponded - Whether the endpoint produced enough to show that the request doesn't crash it.
     */
    release(end: RequestEnd, firstAnswerMs?: number, hasResponded?: boolean): void;
    /** Reports, also after the release, that the endpoint crashed while nothing of the response had arrived. */
    reportCrash(): void;
}

/**
 * Who decides on a place request: the coordinator, or in fallback mode the deputy of the data centre, or this instance
 * alone.
 */
export type PlaceDecider = "coordinator" | "deputy" | "alone";

/** A coordinator or deputy, in this process or reached over a link. */
export interface PlaceGranter {
    readonly decider: "coordinator" | "deputy";
    readonly link: CoordinatorLink;
    /** @returns The coordinator or deputy, if it is this instance. */
    readonly getLocal: () => Coordinator | undefined;
    readonly placeMethod: string;
    readonly releaseMethod: string;
}

/** Result of a place request. */
export type PlacementOutcome =
    | { readonly kind: "placed"; readonly place: HeldPlace; }
    | (Extract<PlaceOutcome, { kind: "refused"; }> & { readonly decidedBy: PlaceDecider; });

/** A place request without the fields that {@link PlacementClient} fills in. */
export type PlaceRequestOptions = Omit<PlaceRequest, "askId" | "instanceId" | "dataCentre" | "excluded"> & {
    readonly excluded?: readonly string[];
    /** Aborted when the caller disconnects; withdraws the request. */
    readonly signal: AbortSignal;
};

/** A place was granted at an endpoint that this instance's view doesn't list (any more). */
interface UnknownEndpoint {
    readonly kind: "unknown-endpoint";
    readonly endpointId: string;
    readonly decidedBy: PlaceDecider;
}

interface HeldPlaceRecord {
    readonly request: PlaceRequest;
    readonly endpointId: string;
    readonly givenBy: PlaceDecider;
    readonly preemptController: AbortController;
    readonly placedAtMs: number;
}

/**
 * Gets places for the requests of this instance: from the coordinator while one is reachable, otherwise, in fallback
 * mode, from the deputy of the data centre, or else from this instance's static share of each endpoint and each rate
 * limit.
 */
export class PlacementClient {
    private readonly heldPlaces = new Map<string, HeldPlaceRecord>();
    private readonly fallbackDispatcher: Dispatcher;
    private readonly fallbackTokenBuckets: TokenBuckets;
    private readonly unreachableUntilMs = new Map<string, number>();
    private readonly pendingDecisions = new Map<string, (outcome: PlaceOutcome) => void>();
    private pendingReleases: PlaceRelease[] = [];
    private pendingWithdrawals: string[] = [];
    private silentPlaces: string[] = [];
    private flushTimer: NodeJS.Immediate | undefined;
    private pendingCrashes: EndpointCrash[] = [];
    private pendingLeaving: LeavingEndpoint[] = [];
    private readonly leavingEndpoints = new LeavingEndpoints();
    /** What this instance itself has seen of parts of prompts; decides only while nobody else does. */
    private readonly promptParts = new PromptPartTracker(() => undefined);
    private readonly successReportedAtMs = new LRUCache<string, number>({ max: MAX_REPORTED_PARTS });
    private recentCrashes: { readonly report: EndpointCrash; readonly atMs: number; }[] = [];

    /**
     * @param self - This instance.
     * @param view - Fleet view.
     * @param coordinator - The coordinator, which is asked first.
     * @param deputy - The deputy, which is asked while no coordinator is reachable.
     * @param getRegion - Returns the region of a data centre.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly self: MemberEntry,
        private readonly view: FleetView,
        private readonly coordinator: PlaceGranter,
        private readonly deputy: PlaceGranter,
        getRegion: (dataCentre: string) => string,
        private readonly logger: Logger,
    ) {
        this.fallbackDispatcher = new Dispatcher({
            getCapacity: entry => this.getFallbackCapacity(entry),
            getColdRatePerS: entry => this.getFallbackColdRatePerS(entry),
            getRegion,
            preempt: ({ placeId }) => this.preempt(placeId),
        });
        this.fallbackTokenBuckets = new TokenBuckets(
            bounds => scaleRateBounds(bounds, view.fallbackShares.getAloneFraction(self.instanceId), 1),
            () => view.fallbackShares.getAloneStartTokens(Math.random()),
        );
    }

    /**
     * Requests a place.
     *
     * @param options - The request.
     * @returns A place, which the caller must release, or a refusal.
     */
    async requestPlace(options: PlaceRequestOptions): Promise<PlacementOutcome> {
        const startedAtMs = performance.now();
        const unknownEndpoints: string[] = [];
        for (;;) {
            const excluded = [...options.excluded ?? [], ...unknownEndpoints];
            const elapsedMs = performance.now() - startedAtMs;
            // The first request has already taken the token.
            const rate = unknownEndpoints.length === 0 ? options.rate : undefined;
            const outcome = await this.requestOnce({ ...subtractElapsed(options, elapsedMs), excluded, rate });
            if (outcome.kind !== "unknown-endpoint") {
                return outcome;
            }
            unknownEndpoints.push(outcome.endpointId);
            this.logger.info({ event: "place-unusable", endpoint: outcome.endpointId, decidedBy: outcome.decidedBy });
            if (unknownEndpoints.length === MAX_UNKNOWN_ENDPOINTS) {
                const detail = `endpoints ${unknownEndpoints.join()} are unknown to this instance`;
                return {
                    ...outcome,
                    kind: "refused",
                    reason: "unavailable",
                    retryAfterMs: UNKNOWN_ENDPOINT_RETRY_MS,
                    detail,
                };
            }
        }
    }

    private async requestOnce(options: PlaceRequestOptions): Promise<PlacementOutcome | UnknownEndpoint> {
        const { signal, ...rest } = options;
        const request: PlaceRequest = {
            ...rest,
            askId: newRequestId(),
            instanceId: this.self.instanceId,
            dataCentre: this.self.dataCentre,
            excluded: [
                ...options.excluded ?? [],
                ...this.getUnreachable(),
                ...this.leavingEndpoints.getIds(endpointId => this.view.getEndpoint(endpointId)),
            ],
        };
        const startedAtMs = performance.now();
        const getRemaining = () => subtractElapsed(request, performance.now() - startedAtMs);
        // The deputy decides nothing once it knows a coordinator, which is then asked again.
        for (const granter of [this.coordinator, this.deputy, this.coordinator]) {
            const decision = await this.requestFrom(granter, getRemaining(), signal);
            if (decision !== undefined) {
                return this.toOutcome(request, decision, granter.decider, signal);
            }
        }
        return this.toOutcome(request, await this.requestAlone(getRemaining(), signal), "alone", signal);
    }

    /** Applies a change of the fleet view. */
    onViewChanged(): void {
        this.promptParts.adopt(this.view.blockedPrompts);
        this.fallbackDispatcher.setEndpoints(this.view.getEndpoints());
    }

    /**
     * Preempts a place of this instance.
     *
     * @param placeId - The place.
     */
    preempt(placeId: string): void {
        this.heldPlaces.get(placeId)?.preemptController.abort();
    }

    /**
     * Sends no more requests to an endpoint, and tells whoever grants places.
     *
     * @param entry - An endpoint that has said in a response that it leaves.
     */
    markLeaving({ endpointId, startedAt }: EndpointEntry): void {
        if (this.leavingEndpoints.mark({ endpointId, startedAt })) {
            this.logger.info({ event: "endpoint-leaving", endpoint: endpointId, startedAt });
            this.pendingLeaving.push({ endpointId, startedAt });
            this.scheduleFlush();
        }
    }

    /** @returns All places in use, for a coordinator that may not know of them. */
    getPlaces(): PlaceSummary[] {
        const nowMs = performance.now();
        return [...this.heldPlaces].map(([placeId, { request, endpointId, placedAtMs }]) => ({
            placeId,
            endpointId,
            service: request.service,
            workClass: request.workClass,
            organisation: request.organisation,
            dueInMs: placedAtMs + request.dueInMs - nowMs,
            remainingMs: Math.max(0, placedAtMs + request.remainingMs - nowMs),
        }));
    }

    /** @returns Crashes that this instance has seen recently, for a coordinator that may not know of them. */
    getRecentCrashes(): EndpointCrash[] {
        const nowMs = performance.now();
        this.recentCrashes = this.recentCrashes.filter(({ atMs }) => nowMs - atMs < CRASH_REPORT_TTL_MS);
        return this.recentCrashes.map(({ report, atMs }) => ({ ...report, ageMs: nowMs - atMs }));
    }

    /** Whether no coordinator is reachable. */
    get isInFallbackMode(): boolean {
        return this.coordinator.getLocal() === undefined && this.coordinator.link.coordinator === undefined;
    }

    /** Begins fallback mode: tokens that accrued for this instance alone while a coordinator decided don't count. */
    enterFallbackMode(): void {
        this.fallbackTokenBuckets.restart();
    }

    /**
     * Handles the decision of the coordinator or the deputy on a queued place request.
     *
     * @param decision - The decision.
     */
    handleDecision({ askId, outcome }: PlaceDecision): void {
        const resolve = this.pendingDecisions.get(askId);
        if (resolve !== undefined) {
            resolve(outcome);
        }
        else if (outcome.kind === "placed") {
            const { placeId } = outcome;
            this.queueRelease({ placeId, end: "lost", fingerprint: "", firstAnswerMs: undefined });
        }
    }

    /** @returns The decision of the coordinator or deputy, or `undefined` if there is none. */
    private async requestFrom(
        granter: PlaceGranter,
        request: PlaceRequest,
        signal: AbortSignal,
    ): Promise<PlaceOutcome | undefined> {
        const local = granter.getLocal();
        const withdraw = () => this.withdraw(request.askId);
        signal.addEventListener("abort", withdraw, { once: true });
        const outcome = local === undefined
            ? await this.requestFromRemote(granter, request)
            : await local.place(request);
        signal.removeEventListener("abort", withdraw);
        const isUndecided = outcome?.kind === "refused" && outcome.reason === "unavailable" && !signal.aborted;
        return isUndecided ? undefined : outcome;
    }

    private async requestFromRemote(
        { link, placeMethod }: PlaceGranter,
        request: PlaceRequest,
    ): Promise<PlaceOutcome | undefined> {
        if (link.coordinator === undefined) {
            return undefined;
        }
        const { disconnectSignal } = link;
        let onDisconnect: (() => void) | undefined;
        const decision = new Promise<PlaceOutcome | undefined>(resolve => {
            this.pendingDecisions.set(request.askId, resolve);
            onDisconnect = () => resolve(undefined);
            disconnectSignal.addEventListener("abort", onDisconnect, { once: true });
        });
        const timer = setTimeout(() => onDisconnect?.(), request.giveUpAfterMs + DECISION_GRACE_MS);
        const reply = await link.call<PlaceReply>(placeMethod, { ask: request }, REQUEST_TIMEOUT_MS);
        const outcome = reply?.kind === "outcome"
            ? reply.outcome
            : reply?.kind === "queued"
            ? await decision
            : undefined;
        clearTimeout(timer);
        this.pendingDecisions.delete(request.askId);
        if (onDisconnect !== undefined) {
            disconnectSignal.removeEventListener("abort", onDisconnect);
        }
        if (outcome === undefined) {
            this.withdraw(request.askId);
        }
        return outcome;
    }

    private async requestAlone(request: PlaceRequest, signal: AbortSignal): Promise<PlaceOutcome> {
        const parts = request.promptParts ?? [];
        if (this.promptParts.decide(parts, false) === "blocked") {
            return newBlockedPromptRefusal(parts);
        }
        if (request.rate !== undefined) {
            const decision = this.fallbackTokenBuckets.take(request.organisation, request.rate);
            if (!decision.isTaken) {
                const detail = `own part of rate ${request.rate.ratePerS}/s, instances ${this.view.members.length}`;
                return { kind: "refused", reason: "rate-limited", retryAfterMs: decision.retryAfterMs, detail };
            }
        }
        const withdraw = () => this.fallbackDispatcher.withdraw(request.askId);
        signal.addEventListener("abort", withdraw, { once: true });
        const outcome = await this.fallbackDispatcher.place(request);
        signal.removeEventListener("abort", withdraw);
        if (outcome.kind === "refused" && request.rate !== undefined) {
            this.fallbackTokenBuckets.refund(request.organisation);
        }
        return outcome;
    }

    private toOutcome(
        request: PlaceRequest,
        outcome: PlaceOutcome,
        decidedBy: PlaceDecider,
        signal: AbortSignal,
    ): PlacementOutcome | UnknownEndpoint {
        if (outcome.kind === "refused") {
            return { ...outcome, decidedBy };
        }
        const { placeId, endpointId, expectedWaitMs } = outcome;
        const endpoint = this.view.getEndpoint(endpointId);
        const preemptController = new AbortController();
        this.heldPlaces.set(placeId, {
            request,
            endpointId,
            givenBy: decidedBy,
            preemptController,
            placedAtMs: performance.now(),
        });
        if (signal.aborted) {
            this.release(placeId, "lost");
            return {
                kind: "refused",
                reason: "unavailable",
                retryAfterMs: 0,
                detail: "the caller has disconnected",
                decidedBy,
            };
        }
        if (endpoint === undefined) {
            this.release(placeId, "lost");
            return { kind: "unknown-endpoint", endpointId, decidedBy };
        }
        const release = (end: RequestEnd, firstAnswerMs?: number, hasResponded = false) =>
            this.release(placeId, end, firstAnswerMs, hasResponded);
        const reportCrash = () => this.reportCrash(placeId, endpointId, request);
        const reportSilence = () => this.reportSilence(placeId);
        const preemptSignal = preemptController.signal;
        return {
            kind: "placed",
            place: {
                placeId,
                endpoint,
                givenBy: decidedBy,
                expectedWaitMs,
                preemptSignal,
                reportSilence,
                release,
                reportCrash,
            },
        };
    }

    private release(placeId: string, end: RequestEnd, firstAnswerMs?: number, hasResponded = false): void {
        const held = this.heldPlaces.get(placeId);
        if (held === undefined) {
            return;
        }
        this.heldPlaces.delete(placeId);
        if (end === "unreachable") {
            this.unreachableUntilMs.set(held.endpointId, performance.now() + UNREACHABLE_EXCLUSION_MS);
        }
        this.fallbackDispatcher.release(placeId, end, firstAnswerMs);
        // A coordinator may have adopted places that this instance granted in fallback mode; it ignores unknown ones.
        const { fingerprint, promptParts = [] } = held.request;
        const succeededParts = hasResponded ? this.recordSuccess(promptParts) : [];
        this.queueRelease({
            placeId,
            end,
            fingerprint,
            firstAnswerMs,
            ...succeededParts.length > 0 ? { succeededParts } : {},
        });
    }

    /** @returns The parts whose success is to be reported. */
    private recordSuccess(parts: readonly string[]): string[] {
        const nowMs = performance.now();
        this.promptParts.recordSuccess(parts);
        const unreported = parts.filter(part =>
            nowMs - (this.successReportedAtMs.get(part) ?? -Infinity) > SUCCESS_REPORT_INTERVAL_MS
        );
        unreported.forEach(part => this.successReportedAtMs.set(part, nowMs));
        return unreported;
    }

    /** Reports a crash with the parts that are not known to be sound, which a new coordinator doesn't know yet. */
    private reportCrash(placeId: string, endpointId: string, { fingerprint, promptParts = [] }: PlaceRequest): void {
        const suspectParts = promptParts.filter(part => !this.promptParts.hasSucceededRecently(part));
        if (suspectParts.length === 0) {
            return;
        }
        const report = { reportId: placeId, endpointId, fingerprint, promptParts: suspectParts, ageMs: 0 };
        this.promptParts.recordCrash(report);
        this.recentCrashes = [...this.recentCrashes, { report, atMs: performance.now() }].slice(-MAX_CRASH_REPORTS);
        this.pendingCrashes.push(report);
        this.scheduleFlush();
    }

    private reportSilence(placeId: string): void {
        this.fallbackDispatcher.recordSilence(placeId);
        this.silentPlaces.push(placeId);
        this.scheduleFlush();
    }

    private queueRelease(release: PlaceRelease): void {
        this.pendingReleases.push(release);
        this.scheduleFlush();
    }

    private withdraw(askId: string): void {
        this.pendingWithdrawals.push(askId);
        this.scheduleFlush();
    }

    private scheduleFlush(): void {
        this.flushTimer ??= setImmediate(() => this.flush());
    }

    private flush(): void {
        this.flushTimer = undefined;
        const request: ReleaseRequest = {
            releases: this.pendingReleases,
            withdrawnAsks: this.pendingWithdrawals,
            silentPlaces: this.silentPlaces,
            ...this.pendingCrashes.length > 0 ? { crashes: this.pendingCrashes } : {},
            ...this.pendingLeaving.length > 0 ? { leavingEndpoints: this.pendingLeaving } : {},
        };
        this.pendingLeaving = [];
        this.pendingCrashes = [];
        this.silentPlaces = [];
        this.pendingReleases = [];
        this.pendingWithdrawals = [];
        for (const { getLocal, link, releaseMethod } of [this.coordinator, this.deputy]) {
            const local = getLocal();
            if (local !== undefined) {
                local.handleRelease(request);
            }
            else {
                // If the call is lost, the next full report of places corrects the count.
                void link.call(releaseMethod, request, RELEASE_TIMEOUT_MS);
            }
        }
    }

    /** Places granted by others count against the share, so that the endpoint is not overloaded. */
    private getFallbackCapacity(entry: EndpointEntry): number {
        if (this.view.evacuated.has(entry.dataCentre)) {
            return 0;
        }
        let grantedPlaces = 0;
        for (const { endpointId, givenBy } of this.heldPlaces.values()) {
            grantedPlaces += endpointId === entry.endpointId && givenBy !== "alone" ? 1 : 0;
        }
        return Math.max(0, this.view.fallbackShares.getSlots(entry, this.self.instanceId) - grantedPlaces);
    }

    private getFallbackColdRatePerS(entry: EndpointEntry): number {
        const ratePerS = this.view.routes?.getColdRatePerS(entry.service) ?? 0;
        return ratePerS * this.view.fallbackShares.getSlots(entry, this.self.instanceId) / entry.slots;
    }

    private getUnreachable(): string[] {
        const nowMs = performance.now();
        for (const [endpointId, untilMs] of this.unreachableUntilMs) {
            if (untilMs <= nowMs) {
                this.unreachableUntilMs.delete(endpointId);
                this.logger.info({ event: "endpoint-tried-again", endpoint: endpointId });
            }
        }
        return [...this.unreachableUntilMs.keys()];
    }
}

/** Reduces the times that a place request may still wait by the elapsed time. */
function subtractElapsed<Request extends Pick<PlaceRequest, "usefulForMs" | "giveUpAfterMs">>(
    request: Request,
    elapsedMs: number,
): Request {
    return {
        ...request,
        usefulForMs: request.usefulForMs - elapsedMs,
        giveUpAfterMs: request.giveUpAfterMs - elapsedMs,
    };
}
