import type { RequestWork } from "../types";

/** Time that a prompt token takes at an endpoint, in output tokens: prompts are processed in parallel. */
const PROMPT_TOKEN_COST = 0.05;
/** Weight of a new value in the moving average. */
const SMOOTHING = 0.02;
/** Bounds of one request's work in mean requests: callers' figures may be far from what they send. */
const MIN_WORK = 0.05;
const MAX_WORK = 20;

/** Expresses the work of requests in mean requests of their service, that is in mean times for which a place is kept. */
export class WorkScale {
    private meanCost: number | undefined;

    /**
     * Measures a request, and counts it towards the mean.
     *
     * @param work - Figures of the request; `undefined` if its instance sends none.
     * @returns Its work; 1 for a mean request, and for one without figures.
     */
    measure(work: RequestWork | undefined): number {
        const cost = work === undefined ? NaN : work.outputTokens + work.promptTokens * PROMPT_TOKEN_COST;
        if (!(cost > 0 && cost < Infinity)) {
            return 1;
        }
        const meanCost = this.meanCost ?? cost;
        const bounded = Math.min(MAX_WORK, Math.max(MIN_WORK, cost / meanCost));
        this.meanCost = meanCost + SMOOTHING * (bounded * meanCost - meanCost);
        return bounded;
    }
}
