import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

const ID_BYTES = 12;

/** @returns A new random identifier, unique across processes. */
export function newId(): string {
    return randomBytes(ID_BYTES).toString("hex");
}

const processPrefix = newId().slice(0, ID_BYTES);
let requestCount = 0;

/** @returns A new identifier for one request; cheaper than {@link newId}. */
export function newRequestId(): string {
    requestCount += 1;
    return `${processPrefix}-${requestCount.toString(36)}`;
}

/**
 * @param text - Any text.
 * @returns Its SHA-256 digest in hex.
 */
export function sha256Hex(text: string | Buffer): string {
    return createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two hex digests in constant time.
 *
 * @param left - One digest.
 * @param right - The other digest.
 * @returns Whether they are equal.
 */
export function isSameDigest(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left, "hex");
    const rightBytes = Buffer.from(right, "hex");
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/**
 * Ranks candidates for a subject by rendezvous (highest random weight) hashing: when a candidate is removed, only its
 * own subjects move, and each moves to the candidate that ranked next.
 *
 * @param subject - Key to place on a candidate.
 * @param candidates - IDs of the candidates.
 * @returns The candidates, best first.
 */
export function rankByRendezvous(subject: string, candidates: readonly string[]): string[] {
    return candidates
        .map(candidate => ({ candidate, weight: getWeight(subject, candidate) }))
        .sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);
}

const WEIGHT_BYTES = 6;

function getWeight(subject: string, candidate: string): number {
    return createHash("sha1").update(subject).update("\0").update(candidate).digest().readUIntBE(0, WEIGHT_BYTES);
}
