/** Random numbers from 0 up to 1. */
export type Random = () => number;

/**
 * A linear congruential generator; its quality doesn't matter as long as a seed repeats the same sequence.
 *
 * @param seed - The seed.
 * @returns Its sequence.
 */
export function newRandom(seed: number): Random {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/**
 * @param random - Random numbers.
 * @param values - At least one value.
 * @returns One of them.
 */
export function pick<Value>(random: Random, values: readonly Value[]): Value {
    return values[Math.floor(random() * values.length)] as Value;
}
