import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** First numbers of a generator with a small seed are far from random. */
const DISCARDED = 64;

/**
 * @param seed - Repeats the numbers.
 * @returns Gives numbers from 0 up to 1.
 */
export function newSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    for (let index = 0; index < DISCARDED; index += 1) {
        generator.next();
    }
    return () => (generator.next() >>> 0) / 2 ** 32;
}
