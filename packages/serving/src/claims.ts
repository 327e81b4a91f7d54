import { invariant, monotonicMs } from "@heatherline/common";

/** A response that is stored for retries of its request. */
export interface StoredResponse {
    readonly status: number;
    readonly headers: Record<string, string>;
    readonly bodyBase64: string;
}

/**
 * - `running`: the request is running.
 * - `answered`: the request ran and its response is stored.
 * - `unknown`: the request may have run.
 */
export type ClaimState = "running" | "answered" | "unknown";

/**
 * The claim on an idempotency key: of all requests with the same key, only the one that made the claim may run, so that
 * a non-idempotent request never runs twice.
 */
export interface Claim {
    readonly key: string;
    /** Hash of method, path and body; the key must not be used for a request with another hash. */
    readonly bodySha256: string;
    /** Identity of the request that made the claim, the only one that may run. */
    readonly requestId: string;
    readonly state: ClaimState;
    /** Time after which the request has certainly ended, in milliseconds since the claim was made. */
    readonly timeoutMs: number;
    readonly answer?: StoredResponse;
}

/**
 * How a request with an idempotency key is handled:
 *
 * - `run`: it made the claim and runs.
 * - `running`: an earlier request with the key is still running.
 * - `answered`: it gets the stored response.
 * - `unknown`: an earlier request with the key may have run.
 * - `mismatch`: the key was used for a different request.
 * - `unavailable`: the owner of the claim can't decide now.
 */
export type ClaimDecision =
    | { readonly kind: "run"; }
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "unavailable"; };

/** How a claimed request ended. */
export type ClaimOutcome =
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "not-run"; };

interface Entry {
    claim: Claim;
    readonly createdAtMs: number;
}

/** Time for which claims are kept. */
export const CLAIM_TTL_MS = 3_600_000;
const MAX_CLAIMS = 200_000;

/** The claims that one instance stores, as their owner or as the owner's backup. */
export class ClaimTable {
    private readonly entries = new Map<string, Entry>();

    /** Number of claims. */
    get size(): number {
        return this.entries.size;
    }

    /**
     * Decides about a request as the owner of its claim.
     *
     * @param claim - The claim that the request would make.
     * @returns The decision; with `run` the claim has been made.
     */
    begin(claim: Claim): ClaimDecision {
        this.prune();
        const entry = this.entries.get(claim.key);
        if (entry === undefined) {
            this.entries.set(claim.key, { claim, createdAtMs: monotonicMs() });
            return { kind: "run" };
        }
        if (entry.claim.bodySha256 !== claim.bodySha256) {
            return { kind: "mismatch" };
        }
        if (entry.claim.state === "answered" && entry.claim.answer !== undefined) {
            return { kind: "answered", answer: entry.claim.answer };
        }
        const hasTimedOut = monotonicMs() - entry.createdAtMs > entry.claim.timeoutMs;
        return entry.claim.state === "running" && !hasTimedOut ? { kind: "running" } : { kind: "unknown" };
    }

    /**
     * Records how a claimed request ended.
     *
     * @param key - Key of the claim.
     * @param requestId - The request that ran.
     * @param outcome - How it ended.
     * @returns The claim in its new state; `undefined` if there is none any more.
     */
    end(key: string, requestId: string, outcome: ClaimOutcome): Claim | undefined {
        const entry = this.entries.get(key);
        if (entry === undefined || entry.claim.requestId !== requestId) {
            return entry?.claim;
        }
        if (outcome.kind === "not-run") {
            this.entries.delete(key);
            return undefined;
        }
        invariant("claim-answered-once", entry.claim.state !== "answered", () => key);
        entry.claim = {
            ...entry.claim,
            state: outcome.kind,
            answer: outcome.kind === "answered" ? outcome.answer : undefined,
        };
        return entry.claim;
    }

    /**
     * Merges a claim from another instance; an end state replaces `running`, never the other way round.
     *
     * @param claim - The claim.
     */
    merge(claim: Claim): void {
        const known = this.entries.get(claim.key);
        if (known === undefined || (known.claim.state === "running" && claim.state !== "running")) {
            this.entries.set(claim.key, { claim, createdAtMs: known?.createdAtMs ?? monotonicMs() });
        }
    }

    /**
     * Deletes the claim of a request that certainly did not run.
     *
     * @param key - Key of the claim.
     * @param requestId - The request that made it; a later claim on the key by another request stays.
     */
    drop(key: string, requestId: string): void {
        if (this.entries.get(key)?.claim.requestId === requestId) {
            this.entries.delete(key);
        }
    }

    /** @returns All claims. */
    getAll(): Claim[] {
        return [...this.entries.values()].map(({ claim }) => claim);
    }

    private prune(): void {
        const nowMs = monotonicMs();
        for (const [key, { createdAtMs }] of this.entries) {
            if (nowMs - createdAtMs < CLAIM_TTL_MS && this.entries.size <= MAX_CLAIMS) {
                return;
            }
            this.entries.delete(key);
        }
    }
}
