import type { PromptAdmission } from "@heatherline/common";
import type { Dispatcher } from "../dispatcher";
import { newBlockedPromptRefusal, newRateRefusal } from "../placeRefusals";
import type { TokenBuckets } from "../tokenBuckets";
import type { PlaceRequest, RateBounds } from "../types";
import type { ExplainedDecision, PlaceExplanation } from "./types";

/** What a granter decides by. */
export interface GranterState {
    readonly dispatcher: Dispatcher;
    readonly tokenBuckets: TokenBuckets;
    /** Tells whether a request with these shared parts of a prompt may run, without counting a trial. */
    readonly peekPrompt: (parts: readonly string[]) => PromptAdmission;
    /** Describes a rate limit for the detail of a refusal. */
    readonly describeRate: (rate: RateBounds) => string;
}

/**
 * Tells what a granter would decide on a request that arrives now: the first attempt of a request that no endpoint has
 * crashed on and that goes on with no stream.
 *
 * @param request - The request.
 * @param state - What the granter decides by; it isn't changed.
 * @returns The decision and what it depends on.
 */
export function explainPlace(request: PlaceRequest, state: GranterState): PlaceExplanation {
    const { dispatcher, tokenBuckets, peekPrompt, describeRate } = state;
    const { promptParts = [], rate: bounds } = request;
    const prompt = peekPrompt(promptParts);
    const rate = bounds === undefined ? undefined : tokenBuckets.peek(request.organisation, bounds);
    const explanation = dispatcher.explain(request);
    let decision: ExplainedDecision = explanation.decision;
    if (prompt === "blocked") {
        decision = newBlockedPromptRefusal(promptParts);
    }
    else if (bounds !== undefined && rate?.decision.isTaken === false) {
        decision = newRateRefusal(rate.decision, describeRate(bounds));
    }
    return {
        ...explanation,
        decision,
        prompt,
        rate: rate === undefined ? undefined : { ratePerS: rate.ratePerS, burst: rate.burst, tokens: rate.tokens },
    };
}
