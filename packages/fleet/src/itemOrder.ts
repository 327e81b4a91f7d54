/** Items with little left go before others that are due at the same time, so that what was begun gets finished. */
const REMAINING_WEIGHT = 2;

/**
 * Ranks a batch item among others, for who gets a place first and who gives one up last.
 *
 * @param dueAtMs - When the item is due, on the steady clock.
 * @param remainingMs - Time at an endpoint that it still needs.
 * @returns The rank; the lowest goes first.
 */
export function getItemRank(dueAtMs: number, remainingMs: number): number {
    return dueAtMs + REMAINING_WEIGHT * remainingMs;
}

/**
 * @param dueAtMs - When the item is due, on the steady clock.
 * @param remainingMs - Time at an endpoint that it still needs.
 * @returns Whether it can't be in time even if it gets its place now.
 */
export function isItemLate(dueAtMs: number, remainingMs: number): boolean {
    return performance.now() + remainingMs > dueAtMs;
}
