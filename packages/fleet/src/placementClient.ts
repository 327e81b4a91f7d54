import { type EndpointCrash, type Logger, newRequestId, sleep } from "@heatherline/common";
import { newBlockedPromptRefusal, ORIGIN_RETRY_MS } from "./coordinator";
import { Dispatcher } from "./dispatcher";
import { EndpointStatements } from "./endpointStatements";
import { scaleRateBounds } from "./fallbackShares";
import type { FleetView } from "./fleetView";
import { GranterReports } from "./granterReports";
import type { PlaceDecision, PlaceReply } from "./messages";
import type { PlaceDecider, PlaceGranter } from "./placeGranter";
import { PromptEvidence } from "./promptEvidence";
import { findOrigin, type LocatedRequest, locateRequest, recordStream } from "./resumption";
import { getSoftwareVersion } from "./softwareVersions";
import { StreamOrigins } from "./streamOrigins";
import { TokenBuckets } from "./tokenBuckets";
import type {
    EndpointEntry,
    MemberEntry,
    PlaceOutcome,
    PlaceRequest,
    PlaceSummary,
    RequestEnd,
    StreamOriginReport,
} from "./types";

/** A decision is awaited this much longer than the request may wait for a place at the coordinator, in milliseconds. */
const DECISION_GRACE_MS = 400;
/** Timeout of a call that requests a place; the coordinator replies at once, if only `queued`. In milliseconds. */
const REQUEST_TIMEOUT_MS = 500;
/** An endpoint that this instance can't reach is excluded from its requests for this long, in milliseconds. */
const UNREACHABLE_EXCLUSION_MS = 1_500;
/** The coordinator's endpoint list may be outdated, but hardly for this many free endpoints at once. */
const MAX_UNKNOWN_ENDPOINTS = 3;
/** Time after which the coordinator and this instance know the same endpoints again, in milliseconds. */
const UNKNOWN_ENDPOINT_RETRY_MS = 500;

/** A request that goes on with a stream waits this long for a coordinator if no one else can serve it. */
const RESUMPTION_WAIT_MS = 800;
const COORDINATOR_POLL_MS = 20;

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
    /** What endpoints have said of themselves. */
    readonly statements: EndpointStatements;
    private readonly heldPlaces = new Map<string, HeldPlaceRecord>();
    private readonly fallbackDispatcher: Dispatcher;
    private readonly fallbackTokenBuckets: TokenBuckets;
    private readonly unreachableUntilMs = new Map<string, number>();
    private readonly pendingDecisions = new Map<string, (outcome: PlaceOutcome) => void>();
    private readonly reports: GranterReports;
    private readonly streams: StreamOrigins;
    private readonly promptEvidence = new PromptEvidence();

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
        this.reports = new GranterReports([coordinator, deputy]);
        this.statements = new EndpointStatements(this.reports, logger);
        this.streams = new StreamOrigins(() => view.softwareVersions.retentionMs);
        this.fallbackDispatcher = new Dispatcher({
            getCapacity: entry => this.getFallbackCapacity(entry),
            getColdRatePerS: entry => this.getFallbackColdRatePerS(entry),
            getLimitPerS: entry => this.getFallbackLimitPerS(entry),
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
        const located = this.locateOwn({
            ...rest,
            askId: newRequestId(),
            instanceId: this.self.instanceId,
            dataCentre: this.self.dataCentre,
            excluded: [
                ...options.excluded ?? [],
                ...this.getUnreachable(),
                ...this.statements.getLeavingIds(endpointId => this.view.getEndpoint(endpointId)),
            ],
        });
        if (located.kind === "refused") {
            return { ...located.outcome, decidedBy: "alone" };
        }
        const { request } = located;
        const startedAtMs = performance.now();
        const getRemaining = () => subtractElapsed(request, performance.now() - startedAtMs);
        const outcome = await this.requestFromAny(request, getRemaining, signal);
        const isWorthWaiting = isResumption(request) && outcome.kind === "refused"
            && outcome.decidedBy !== "coordinator";
        return isWorthWaiting && await this.waitForCoordinator(signal)
            ? this.requestFromAny(request, getRemaining, signal)
            : outcome;
    }

    private async requestFromAny(
        request: PlaceRequest,
        getRemaining: () => PlaceRequest,
        signal: AbortSignal,
    ): Promise<PlacementOutcome | UnknownEndpoint> {
        // The deputy decides nothing once it knows a coordinator, which is then asked again.
        for (const granter of [this.coordinator, this.deputy, this.coordinator]) {
            const decision = await this.requestFrom(granter, getRemaining(), signal);
            if (decision !== undefined) {
                return this.toOutcome(request, decision, granter.decider, signal);
            }
        }
        return this.toOutcome(request, await this.requestAlone(getRemaining(), signal), "alone", signal);
    }

    /**
     * Waits for a coordinator, which knows more streams and more endpoints than a deputy or this instance alone.
     *
     * @param signal - Ends the wait.
     * @returns Whether one can be asked.
     */
    private async waitForCoordinator(signal: AbortSignal): Promise<boolean> {
        const untilMs = performance.now() + RESUMPTION_WAIT_MS;
        while (this.isInFallbackMode && performance.now() < untilMs && !signal.aborted) {
            await sleep(COORDINATOR_POLL_MS, signal);
        }
        return !this.isInFallbackMode && !signal.aborted;
    }

    /** Locates a stream that the request goes on with by this instance's own record, which needs no other. */
    private locateOwn(request: PlaceRequest): LocatedRequest {
        const { resumedStream } = request;
        const origin = resumedStream && this.streams.get(resumedStream.requestId);
        if (origin === undefined) {
            return { kind: "located", request };
        }
        const located = locateRequest(request, origin);
        return located.kind === "refused"
            ? located
            : { kind: "located", request: { ...located.request, resumedStream: undefined } };
    }

    /** @returns Where recent streams of this instance began, for a coordinator that may not know of them. */
    getStreams(): StreamOriginReport[] {
        return this.streams.getReports();
    }

    /** Applies a change of the fleet view. */
    onViewChanged(): void {
        this.promptEvidence.adopt(this.view.blockedPrompts);
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
        return this.promptEvidence.getRecentCrashes();
    }

    /** Whether no coordinator is reachable. */
    get isInFallbackMode(): boolean {
        return this.coordinator.getLocal() === undefined && this.coordinator.link.coordinator === undefined;
    }

    /** Begins fallback mode: what accrued for this instance alone while a coordinator decided doesn't count. */
    enterFallbackMode(): void {
        this.fallbackDispatcher.restartLimits();
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
            this.reports.addRelease({ placeId, end: "lost", fingerprint: "", firstAnswerMs: undefined });
        }
    }

    /** @returns The decision of the coordinator or deputy, or `undefined` if there is none. */
    private async requestFrom(
        granter: PlaceGranter,
        request: PlaceRequest,
        signal: AbortSignal,
    ): Promise<PlaceOutcome | undefined> {
        const local = granter.getLocal();
        const withdraw = () => this.reports.addWithdrawal(request.askId);
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
            this.reports.addWithdrawal(request.askId);
        }
        return outcome;
    }

    private async requestAlone(asked: PlaceRequest, signal: AbortSignal): Promise<PlaceOutcome> {
        const { resumedStream } = asked;
        const origin = resumedStream && findOrigin(resumedStream, this.streams, this.view.softwareVersions);
        const located = locateRequest(asked, origin, ORIGIN_RETRY_MS);
        if (located.kind === "refused") {
            return located.outcome;
        }
        const { request } = located;
        const parts = request.promptParts ?? [];
        if (this.promptEvidence.isBlocked(parts)) {
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
        return outcome.kind === "placed" && origin !== undefined ? { ...outcome, origin } : outcome;
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
        const { placeId, endpointId, expectedWaitMs, limit } = outcome;
        if (limit !== undefined) {
            this.statements.adoptLimit(limit);
        }
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
        const softwareVersion = request.softwareVersion ?? outcome.origin?.softwareVersion;
        const isVersionWrong = endpoint !== undefined && softwareVersion !== undefined
            && getSoftwareVersion(endpoint) !== softwareVersion;
        if (endpoint === undefined || isVersionWrong) {
            this.release(placeId, "lost");
            return { kind: "unknown-endpoint", endpointId, decidedBy };
        }
        recordStream(this.streams, request, {
            service: endpoint.service,
            softwareVersion: getSoftwareVersion(endpoint),
        });
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
        const { fingerprint, promptParts = [] } = held.request;
        const succeededParts = hasResponded ? this.promptEvidence.recordSuccess(promptParts) : [];
        // A coordinator may have adopted places that this instance granted in fallback mode; it ignores unknown ones.
        this.reports.addRelease({
            placeId,
            end,
            fingerprint,
            firstAnswerMs,
            ...succeededParts.length > 0 ? { succeededParts } : {},
        });
    }

    private reportCrash(placeId: string, endpointId: string, { fingerprint, promptParts = [] }: PlaceRequest): void {
        const report = this.promptEvidence.recordCrash({ reportId: placeId, endpointId, fingerprint, promptParts });
        if (report !== undefined) {
            this.reports.addCrash(report);
        }
    }

    private reportSilence(placeId: string): void {
        this.fallbackDispatcher.recordSilence(placeId);
        this.reports.addSilentPlace(placeId);
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

    private getFallbackLimitPerS(entry: EndpointEntry): number | undefined {
        const limitPerS = this.statements.getLimitPerS(entry);
        const slots = this.view.fallbackShares.getSlots(entry, this.self.instanceId);
        return limitPerS === undefined ? undefined : limitPerS * slots / entry.slots;
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

/** Whether the request goes on with a stream, of which the caller would lose what it has received. */
function isResumption({ workClass, resumedStream, softwareVersion }: PlaceRequest): boolean {
    return workClass === "online" && (resumedStream !== undefined || softwareVersion !== undefined);
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
