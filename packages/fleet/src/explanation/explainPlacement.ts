import type { AloneGranter } from "../aloneGranter";
import { METHODS } from "../messages";
import type { PlaceDecider, PlaceGranter } from "../placeGranter";
import type { ExplainReply, ExplainRequest, PlaceExplanation } from "./types";

const TIMEOUT_MS = 1_500;
const EXPLAIN_METHODS = { coordinator: METHODS.explain, deputy: METHODS.deputyExplain } as const;

/** What would be decided on a request, and by whom; `unanswered` if the one that would decide doesn't tell. */
export type PlacementExplanation =
    | { readonly kind: "explained"; readonly decider: PlaceDecider; readonly explanation: PlaceExplanation; }
    | { readonly kind: "unanswered"; readonly decider: PlaceGranter["decider"]; };

/**
 * Asks whoever would decide on a request now what the decision would be.
 *
 * @param request - The request.
 * @param granters - The coordinator and the deputy, in the order in which they are asked for places.
 * @param aloneGranter - Decides if neither can be reached.
 * @returns The decision and what it depends on. A granter that is reachable but of an earlier release doesn't tell.
 */
export async function explainPlacement(
    request: ExplainRequest,
    granters: readonly PlaceGranter[],
    aloneGranter: Pick<AloneGranter, "explain">,
): Promise<PlacementExplanation> {
    for (const { decider, link, getLocal } of granters) {
        const local = getLocal();
        if (local !== undefined) {
            return { kind: "explained", decider, explanation: local.explain(request) };
        }
        if (link.coordinator === undefined) {
            continue;
        }
        const reply = await link.call<ExplainReply>(EXPLAIN_METHODS[decider], request, TIMEOUT_MS);
        if (reply?.kind === "explained") {
            return { kind: "explained", decider, explanation: reply.explanation };
        }
        if (reply === undefined && link.coordinator !== undefined) {
            return { kind: "unanswered", decider };
        }
    }
    return { kind: "explained", decider: "alone", explanation: aloneGranter.explain(request.ask) };
}
