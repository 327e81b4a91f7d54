import type { Exchange, Filter, Next, Outcome } from "./exchange";

/**
 * Joins filters into one function; each decides whether and how the rest runs.
 *
 * @param filters - The filters in order.
 * @param last - What runs behind the last filter.
 * @returns The pipeline.
 */
export function newPipeline(filters: readonly Filter[], last: Next): Next {
    return filters.reduceRight<Next>((next, filter) => exchange => filter.handle(exchange, next), last);
}

/** A pipeline ready to run. */
export type Pipeline = (exchange: Exchange) => Promise<Outcome>;
