import { ORIGIN_RETRY_MS } from "./coordinator";
import type { CrashTracker } from "./crashTracker";
import { Dispatcher } from "./dispatcher";
import type { EndpointStatements } from "./endpointStatements";
import { explainPlace } from "./explanation/explainPlace";
import type { PlaceExplanation } from "./explanation/types";
import { scaleRateBounds } from "./fallbackShares";
import type { FleetView } from "./fleetView";
import { HedgePlacement } from "./hedging/hedgePlacement";
import { findCrashRefusal, newBlockedPromptRefusal, newRateRefusal } from "./placeRefusals";
import type { PromptEvidence } from "./promptEvidence";
import { newGuardGate, type RolloutGuard } from "./rollouts/rolloutGuard";
import type { StreamLocator } from "./streamLocator";
import { newRateRequest, TokenBuckets } from "./tokenBuckets";
import type {
    EndpointEntry,
    MemberEntry,
    PlaceOutcome,
    PlaceRequest,
    RateBounds,
    RequestEnd,
    ResponseFigures,
} from "./types";

/** What an {@link AloneGranter} needs from the rest of the instance. */
export interface AloneGranterDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly statements: EndpointStatements;
    readonly streams: StreamLocator;
    readonly promptEvidence: PromptEvidence;
    readonly crashTracker: CrashTracker;
    readonly getRegion: (dataCentre: string) => string;
    /** @returns Places at an endpoint that this instance holds and that others have granted. */
    readonly countPlacesOfOthers: (endpointId: string) => number;
    /** @returns Tokens of the requests at an endpoint for which others have granted places to this instance. */
    readonly getTokensOfOthers: (endpointId: string) => number;
    /** Preempts a place of this instance. */
    readonly preempt: (placeId: string) => void;
    /** Which versions may be used by what is known of roll-outs; absent where there are none. */
    readonly getRolloutGuard?: (() => RolloutGuard) | undefined;
    /** Second attempts at slow requests as a fraction of all requests. */
    readonly hedgeExtraFraction: number;
}

/**
 * Grants places to this instance while it reaches neither the coordinator nor a deputy: from its static share of each
 * endpoint and each rate limit.
 */
export class AloneGranter {
    private readonly dispatcher: Dispatcher;
    private readonly tokenBuckets: TokenBuckets;
    private readonly hedges: HedgePlacement;

    /**
     * @param deps - What it needs from the rest of the instance.
     */
    constructor(private readonly deps: AloneGranterDependencies) {
        const { self, view, getRegion, preempt } = deps;
        this.dispatcher = new Dispatcher({
            getCapacity: entry => this.getCapacity(entry),
            getColdRatePerS: entry => this.getColdRatePerS(entry),
            getLimitPerS: entry => this.getLimitPerS(entry),
            getMemoryTokens: service => view.routes?.getMemoryTokens(service) ?? 0,
            getMemoryFraction: entry => Math.min(1, this.getSlots(entry) / entry.slots),
            getOtherTokens: deps.getTokensOfOthers,
            getStreamDelayMs: entry => view.softwareVersions.getStreamDelayMs(entry),
            getRegion,
            versionGate: newGuardGate(deps.getRolloutGuard),
            preempt: ({ placeId }) => preempt(placeId),
        });
        this.tokenBuckets = new TokenBuckets(
            bounds => scaleRateBounds(bounds, view.fallbackShares.getAloneFraction(self.instanceId), 1),
            () => view.fallbackShares.getAloneStartTokens(Math.random()),
        );
        this.hedges = new HedgePlacement({
            extraFraction: deps.hedgeExtraFraction,
            dispatcher: this.dispatcher,
            getTokenBuckets: () => this.tokenBuckets,
            isCrashSuspected: ({ fingerprint, promptParts = [] }) =>
                deps.crashTracker.isSuspected(fingerprint) || deps.promptEvidence.isBlocked(promptParts),
        });
    }

    /** Begins to decide: what accrued while others decided doesn't count. */
    restart(): void {
        this.dispatcher.restartLimits();
        this.tokenBuckets.restart();
    }

    /** Applies a change of the fleet view. */
    onViewChanged(): void {
        this.dispatcher.setEndpoints(this.deps.view.getEndpoints());
    }

    /**
     * @param asked - A request for a place.
     * @param signal - Withdraws it.
     * @returns The decision.
     */
    async place(asked: PlaceRequest, signal: AbortSignal): Promise<PlaceOutcome> {
        if (asked.hedgeOf !== undefined) {
            return this.hedges.place(asked);
        }
        const { streams, promptEvidence, crashTracker } = this.deps;
        const located = streams.locate(asked, ORIGIN_RETRY_MS);
        if (located.kind === "refused") {
            return located.outcome;
        }
        const { request, origin } = located;
        const crashRefusal = findCrashRefusal(request, crashTracker);
        if (crashRefusal !== undefined) {
            return crashRefusal;
        }
        const parts = request.promptParts ?? [];
        if (promptEvidence.isBlocked(parts)) {
            return newBlockedPromptRefusal(parts);
        }
        if (request.rate !== undefined) {
            const decision = this.tokenBuckets.take(request.organisation, request.rate, newRateRequest(request));
            if (!decision.isTaken) {
                return newRateRefusal(decision, this.describeRate(request.rate));
            }
        }
        const withdraw = () => this.dispatcher.withdraw(request.askId);
        signal.addEventListener("abort", withdraw, { once: true });
        const outcome = this.hedges.recordPlaced(request, await this.dispatcher.place(request));
        signal.removeEventListener("abort", withdraw);
        if (outcome.kind === "refused" && request.rate !== undefined) {
            this.tokenBuckets.refund(request.organisation);
        }
        return outcome.kind === "placed" && origin !== undefined ? { ...outcome, origin } : outcome;
    }

    /**
     * Tells what {@link place} would decide, without effect on anything.
     *
     * @param request - A request for a place.
     * @returns The decision and what it depends on.
     */
    explain(request: PlaceRequest): PlaceExplanation {
        return explainPlace(request, {
            dispatcher: this.dispatcher,
            tokenBuckets: this.tokenBuckets,
            peekPrompt: parts => this.deps.promptEvidence.peekIsBlocked(parts) ? "blocked" : "run",
            describeRate: rate => this.describeRate(rate),
        });
    }

    /**
     * @param placeId - A place of this instance; ignored if another has granted it.
     * @param end - How the request there ended.
     * @param firstAnswerMs - Time from the grant of the place to the first part of the response.
     * @param figures - Further figures of the response.
     */
    release(
        placeId: string,
        end: RequestEnd,
        firstAnswerMs: number | undefined,
        figures: ResponseFigures = {},
    ): void {
        this.dispatcher.release(placeId, end, firstAnswerMs, figures);
    }

    /**
     * @param placeId - A place whose endpoint has sent nothing for too long; ignored if another has granted it.
     */
    recordSilence(placeId: string): void {
        this.dispatcher.recordSilence(placeId);
    }

    private describeRate({ ratePerS }: RateBounds): string {
        return `own part of rate ${ratePerS}/s, instances ${this.deps.view.members.length}`;
    }

    /** Places granted by others count against the share, so that the endpoint is not overloaded. */
    private getCapacity(entry: EndpointEntry): number {
        return this.deps.view.evacuated.has(entry.dataCentre)
            ? 0
            : Math.max(0, this.getSlots(entry) - this.deps.countPlacesOfOthers(entry.endpointId));
    }

    private getColdRatePerS(entry: EndpointEntry): number {
        const ratePerS = this.deps.view.routes?.getColdRatePerS(entry.service) ?? 0;
        return ratePerS * this.getSlots(entry) / entry.slots;
    }

    private getLimitPerS(entry: EndpointEntry): number | undefined {
        const limitPerS = this.deps.statements.getLimitPerS(entry);
        return limitPerS === undefined ? undefined : limitPerS * this.getSlots(entry) / entry.slots;
    }

    private getSlots(entry: EndpointEntry): number {
        return this.deps.view.fallbackShares.getSlots(entry, this.deps.self.instanceId);
    }
}
