import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Numbers to discard at the start: with a small seed the generator's first numbers are far from random. */
const DISCARDED_COUNT = 64;

/**
 * @param seed - Seed; the same seed repeats the same numbers.
 * @returns A generator of random numbers from 0 up to 1.
 */
export function newSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    for (let index = 0; index < DISCARDED_COUNT; index += 1) {
        generator.next();
    }
    return () => (generator.next() >>> 0) / 2 ** 32;
}
