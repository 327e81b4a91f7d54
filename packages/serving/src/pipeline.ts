import type { Exchange, Filter, Next, Outcome } from "./exchange";

/**
 * Composes filters into one function; each filter decides whether and how the rest runs.
 *
 * @param filters - The filters in order.
 * @param last - Runs after the last filter.
 * @returns The pipeline.
 */
export function newPipeline(filters: readonly Filter[], last: Next): Next {
    return filters.reduceRight<Next>((next, filter) => exchange => filter.handle(exchange, next), last);
}

/** A composed pipeline. */
export type Pipeline = (exchange: Exchange) => Promise<Outcome>;
