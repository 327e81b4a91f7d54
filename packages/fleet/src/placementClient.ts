import { type EndpointCrash, type Logger, newRequestId, sleep } from "@heatherline/common";
import { AloneGranter } from "./aloneGranter";
import { CrashTracker } from "./crashTracker";
import { getTokens } from "./endpointMemory";
import { EndpointStatements } from "./endpointStatements";
import { explainPlacement, type PlacementExplanation } from "./explanation/explainPlacement";
import type { FleetView } from "./fleetView";
import { GranterReports } from "./granterReports";
import type { HeldPlace, PlacementOutcome, PlaceRequestOptions } from "./heldPlace";
import type { AdmitJobRequest, PlaceDecision } from "./messages";
import type { PlaceDecider, PlaceGranter } from "./placeGranter";
import { PromptEvidence } from "./promptEvidence";
import { RemotePlacement } from "./remotePlacement";
import type { RolloutGuard } from "./rollouts/rolloutGuard";
import { getSoftwareVersion } from "./softwareVersions";
import { isResumption, StreamLocator } from "./streamLocator";
import type {
    MemberEntry,
    PlaceOutcome,
    PlaceRequest,
    PlaceSummary,
    RequestEnd,
    ResponseFigures,
    StreamOriginReport,
} from "./types";
import { UnreachableEndpoints } from "./unreachableEndpoints";

/** The coordinator's endpoint list may be outdated, but hardly for this many free endpoints at once. */
const MAX_UNKNOWN_ENDPOINTS = 3;
/** Time after which the coordinator and this instance know the same endpoints again, in milliseconds. */
const UNKNOWN_ENDPOINT_RETRY_MS = 500;

/** A request that goes on with a stream waits this long for a coordinator if no one else can serve it. */
const RESUMPTION_WAIT_MS = 800;
/** Without a coordinator for longer than this, none is expected soon: the next one takes over within 1.8 s. */
const COORDINATOR_EXPECTED_MS = 2_000;
const COORDINATOR_POLL_MS = 20;

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
    /** Requests whose endpoints crashed, here or elsewhere. */
    readonly crashTracker = new CrashTracker();
    private readonly heldPlaces = new Map<string, HeldPlaceRecord>();
    private readonly aloneGranter: AloneGranter;
    private readonly unreachable: UnreachableEndpoints;
    private readonly remotePlacement: RemotePlacement;
    private readonly reports: GranterReports;
    private readonly streams: StreamLocator;
    private readonly promptEvidence = new PromptEvidence();
    /** When the last coordinator was lost, or when this instance started. */
    private coordinatorLostAtMs = performance.now();

    /**
     * @param self - This instance.
     * @param view - Fleet view.
     * @param coordinator - The coordinator, which is asked first.
     * @param deputy - The deputy, which is asked while no coordinator is reachable.
     * @param getRegion - Returns the region of a data centre.
     * @param logger - Log of the instance.
     * @param getRolloutGuard - Returns which versions may be used by what is known of roll-outs; absent without them.
     * @param hedgeExtraFraction - Second attempts at slow requests as a fraction of all requests.
     */
    constructor(
        private readonly self: MemberEntry,
        private readonly view: FleetView,
        private readonly coordinator: PlaceGranter,
        private readonly deputy: PlaceGranter,
        getRegion: (dataCentre: string) => string,
        private readonly logger: Logger,
        getRolloutGuard: (() => RolloutGuard) | undefined = undefined,
        hedgeExtraFraction = 0,
    ) {
        this.unreachable = new UnreachableEndpoints(logger);
        this.reports = new GranterReports([coordinator, deputy]);
        this.remotePlacement = new RemotePlacement(this.reports);
        this.statements = new EndpointStatements(this.reports, logger);
        this.streams = new StreamLocator(view.softwareVersions);
        this.aloneGranter = new AloneGranter({
            self,
            view,
            statements: this.statements,
            streams: this.streams,
            promptEvidence: this.promptEvidence,
            crashTracker: this.crashTracker,
            getRegion,
            countPlacesOfOthers: endpointId => this.countPlacesOfOthers(endpointId),
            getTokensOfOthers: endpointId => this.getTokensOfOthers(endpointId),
            preempt: placeId => this.preempt(placeId),
            getRolloutGuard,
            hedgeExtraFraction,
        });
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
        const located = this.streams.locateByRecord(this.newRequest(rest, this.unreachable.takeIds()));
        if (located.kind === "refused") {
            return { ...located.outcome, decidedBy: "alone" };
        }
        const { request } = located;
        const startedAtMs = performance.now();
        const getRemaining = () => subtractElapsed(request, performance.now() - startedAtMs);
        const outcome = await this.requestFromAny(request, getRemaining, signal);
        const isWorthWaiting = isResumption(request) && outcome.kind === "refused"
            && outcome.decidedBy !== "coordinator" && outcome.reason !== "crashes-endpoints";
        return isWorthWaiting && await this.waitForCoordinator(signal)
            ? this.requestFromAny(request, getRemaining, signal)
            : outcome;
    }

    /**
     * Tells what would be decided on a request now, without effect on anything.
     *
     * @param options - The request.
     * @param job - The job that a batch item belongs to.
     * @returns The decision and what it depends on, from whoever would decide.
     */
    explain(options: Omit<PlaceRequestOptions, "signal">, job?: AdmitJobRequest): Promise<PlacementExplanation> {
        const ask = this.newRequest(options, this.unreachable.getIds());
        return explainPlacement({ ask, job }, [this.coordinator, this.deputy], this.aloneGranter);
    }

    private newRequest(options: Omit<PlaceRequestOptions, "signal">, unreachable: readonly string[]): PlaceRequest {
        return {
            ...options,
            askId: newRequestId(),
            instanceId: this.self.instanceId,
            dataCentre: this.self.dataCentre,
            excluded: [
                ...options.excluded ?? [],
                ...unreachable,
                ...this.statements.getLeavingIds(endpointId => this.view.getEndpoint(endpointId)),
            ],
        };
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
        return this.toOutcome(request, await this.aloneGranter.place(getRemaining(), signal), "alone", signal);
    }

    /**
     * Waits for a coordinator, which knows more streams and more endpoints than a deputy or this instance alone.
     *
     * @param signal - Ends the wait.
     * @returns Whether one can be asked.
     */
    private async waitForCoordinator(signal: AbortSignal): Promise<boolean> {
        const untilMs = Math.min(
            performance.now() + RESUMPTION_WAIT_MS,
            this.coordinatorLostAtMs + COORDINATOR_EXPECTED_MS,
        );
        while (this.isInFallbackMode && performance.now() < untilMs && !signal.aborted) {
            await sleep(COORDINATOR_POLL_MS, signal);
        }
        return !this.isInFallbackMode && !signal.aborted;
    }

    /** @returns Where recent streams of this instance began, for a coordinator that may not know of them. */
    getStreams(): StreamOriginReport[] {
        return this.streams.getReports();
    }

    /** Applies a change of the fleet view. */
    onViewChanged(): void {
        this.promptEvidence.adopt(this.view.blockedPrompts);
        this.aloneGranter.onViewChanged();
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
            route: request.route,
            dueInMs: placedAtMs + request.dueInMs - nowMs,
            remainingMs: Math.max(0, placedAtMs + request.remainingMs - nowMs),
            tokens: getTokens(request),
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
        this.coordinatorLostAtMs = performance.now();
        this.aloneGranter.restart();
    }

    /**
     * @param decision - The decision of the coordinator or the deputy on a queued place request.
     */
    handleDecision(decision: PlaceDecision): void {
        this.remotePlacement.handleDecision(decision);
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
            ? await this.remotePlacement.request(granter, request)
            : await local.place(request);
        signal.removeEventListener("abort", withdraw);
        const isUndecided = outcome?.kind === "refused" && outcome.reason === "unavailable" && !signal.aborted;
        return isUndecided ? undefined : outcome;
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
        this.streams.record(request, endpoint);
        const release: HeldPlace["release"] = (...released) => this.release(placeId, ...released);
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
                mayHedge: outcome.mayHedge,
                preemptSignal,
                reportSilence,
                release,
                reportCrash,
            },
        };
    }

    private release(
        placeId: string,
        end: RequestEnd,
        firstAnswerMs?: number,
        hasResponded = false,
        figures: ResponseFigures = {},
    ): void {
        const held = this.heldPlaces.get(placeId);
        if (held === undefined) {
            return;
        }
        this.heldPlaces.delete(placeId);
        if (end === "unreachable") {
            this.unreachable.add(held.endpointId);
        }
        this.aloneGranter.release(placeId, end, firstAnswerMs, figures);
        const { fingerprint, promptParts = [] } = held.request;
        this.recordEnd(placeId, end, held.request);
        const succeededParts = hasResponded ? this.promptEvidence.recordSuccess(promptParts) : [];
        // A coordinator may have adopted places that this instance granted in fallback mode; it ignores unknown ones.
        this.reports.addRelease({
            placeId,
            end,
            fingerprint,
            firstAnswerMs,
            ...figures,
            ...succeededParts.length > 0 ? { succeededParts } : {},
        });
    }

    private recordEnd(placeId: string, end: RequestEnd, { workClass, fingerprint }: PlaceRequest): void {
        if (end === "broken" && workClass === "online") {
            this.crashTracker.recordCrash(fingerprint, placeId);
        }
        else if (end === "done") {
            this.crashTracker.recordResponse(fingerprint);
        }
    }

    private reportCrash(placeId: string, endpointId: string, { fingerprint, promptParts = [] }: PlaceRequest): void {
        const report = this.promptEvidence.recordCrash({ reportId: placeId, endpointId, fingerprint, promptParts });
        if (report !== undefined) {
            this.reports.addCrash(report);
        }
    }

    private reportSilence(placeId: string): void {
        this.aloneGranter.recordSilence(placeId);
        this.reports.addSilentPlace(placeId);
    }

    private countPlacesOfOthers(endpointId: string): number {
        let count = 0;
        for (const held of this.heldPlaces.values()) {
            count += held.endpointId === endpointId && held.givenBy !== "alone" ? 1 : 0;
        }
        return count;
    }

    private getTokensOfOthers(endpointId: string): number {
        let tokens = 0;
        for (const held of this.heldPlaces.values()) {
            tokens += held.endpointId === endpointId && held.givenBy !== "alone" ? getTokens(held.request) : 0;
        }
        return tokens;
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
