/** Items with less remaining time go before others due at the same time, so that started items get finished. */
const REMAINING_WEIGHT = 2;

/**
 * Ranks a batch item among others that wait for a place.
 *
 * @param dueAtMs - When the item is due, on the monotonic clock.
 * @param remainingMs - Time at an endpoint that it still needs.
 * @returns The rank; the lowest is first.
 */
export function getItemRank(dueAtMs: number, remainingMs: number): number {
    return dueAtMs + REMAINING_WEIGHT * remainingMs;
}

/**
 * @param dueAtMs - When the item is due, on the monotonic clock.
 * @param remainingMs - Time at an endpoint that it still needs.
 * @returns Whether it will be late even if it gets a place now.
 */
export function isItemLate(dueAtMs: number, remainingMs: number): boolean {
    return performance.now() + remainingMs > dueAtMs;
}
