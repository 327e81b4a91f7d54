/** Number of checks and violations of one invariant since the process started. */
export interface InvariantCount {
    readonly name: string;
    checked: number;
    violated: number;
}

/** Thrown when an invariant does not hold. The process must not act on the state that broke it. */
export class InvariantViolation extends Error {}

const counts = new Map<string, InvariantCount>();
const listeners = new Set<(name: string, detail: string) => void>();

/**
 * Asserts an invariant and counts the check, so that metrics show which invariants have actually been checked.
 *
 * @param name - Stable name of the invariant, as docs/PROOF.md lists it.
 * @param holds - Whether it holds.
 * @param detail - Returns the explanation; only called on a violation.
 */
export function invariant(name: string, holds: boolean, detail: () => string): void {
    let count = counts.get(name);
    if (count === undefined) {
        count = { name, checked: 0, violated: 0 };
        counts.set(name, count);
    }
    count.checked += 1;
    if (holds) {
        return;
    }
    count.violated += 1;
    const text = detail();
    for (const listener of listeners) {
        listener(name, text);
    }
    throw new InvariantViolation(`invariant ${name} violated: ${text}`);
}

/** @returns The counts of all invariants checked so far. */
export function getInvariantCounts(): readonly InvariantCount[] {
    return [...counts.values()];
}

/**
 * @param listener - Called with the name and the explanation of each violation.
 * @returns A function that removes the listener.
 */
export function onInvariantViolation(listener: (name: string, detail: string) => void): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
}
