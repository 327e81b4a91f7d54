import type { Dispatcher } from "../dispatcher";
import type { TokenBuckets } from "../tokenBuckets";
import type { PlaceOutcome, PlaceRequest } from "../types";
import { HedgeGranter, type HedgeRefusal } from "./hedgeGranter";

/** What a {@link HedgePlacement} depends on. */
export interface HedgePlacementDependencies {
    /** Extra requests as a fraction of all requests; 0 for none. */
    readonly extraFraction: number;
    readonly dispatcher: Dispatcher;
    readonly getTokenBuckets: () => TokenBuckets;
    /** @returns Whether the request, or a part of its prompt, may crash endpoints. */
    readonly isCrashSuspected: (request: PlaceRequest) => boolean;
}

/** Grants places for second attempts at slow requests. */
export class HedgePlacement {
    private readonly granter: HedgeGranter;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: HedgePlacementDependencies) {
        this.granter = new HedgeGranter(deps.extraFraction);
    }

    /**
     * Records that a place has been granted.
     *
     * @param request - The request.
     * @param outcome - The place.
     * @returns The place; it says whether a second one may be requested.
     */
    recordPlaced(request: PlaceRequest, outcome: PlaceOutcome): PlaceOutcome {
        if (!this.granter.isOn || request.workClass !== "online" || outcome.kind === "refused") {
            return outcome;
        }
        if (request.isFirstAttempt === true) {
            this.granter.recordFirst(request.service);
        }
        return { ...outcome, mayHedge: true };
    }

    /**
     * @param request - A request for a second place.
     * @returns The place or a refusal, at once.
     */
    place(request: PlaceRequest): PlaceOutcome {
        const { dispatcher, isCrashSuspected, getTokenBuckets } = this.deps;
        const { service, organisation, rate, hedgeOf = "" } = request;
        const refusal = this.granter.check(service, {
            isFirstKnown: dispatcher.hasPlace(hedgeOf),
            isCrashSuspected: isCrashSuspected(request),
            ...dispatcher.getLoad(service),
            rateFraction: rate === undefined ? 1 : getTokenBuckets().getFraction(organisation, rate),
        });
        if (refusal !== undefined) {
            return newHedgeRefusal(refusal);
        }
        if (rate !== undefined && !getTokenBuckets().take(organisation, rate).isTaken) {
            return newHedgeRefusal("rate-near");
        }
        const outcome = dispatcher.placeAtOnce(request);
        if (outcome === undefined) {
            if (rate !== undefined) {
                getTokenBuckets().refund(organisation);
            }
            return newHedgeRefusal("no-endpoint");
        }
        this.granter.recordHedge();
        return outcome;
    }
}

function newHedgeRefusal(cause: HedgeRefusal): PlaceOutcome {
    return { kind: "refused", reason: "no-hedge", retryAfterMs: 0, detail: cause };
}
