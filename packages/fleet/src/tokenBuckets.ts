import { RetryReservations } from "./retryReservations";
import type { PlaceRequest, RateBounds } from "./types";

const MS_PER_S = 1_000;
/** Callers wait for a retry no longer than this fraction of the time that they have left. */
const MAX_RETRY_FRACTION = 1 / 3;
/** A caller that comes back within this fraction of its latency objective can still be answered in time. */
const IN_TIME_RETRY_FRACTION = 2 / 3;

interface Bucket {
    tokens: number;
    refilledAtMs: number;
    bounds: RateBounds;
    readonly reservations: RetryReservations;
}

/** The request that takes a token. */
export interface RateRequest {
    /** Identifies the request across its attempts; empty if attempts can't be recognised. */
    readonly fingerprint: string;
    /** Time that its caller has left, in milliseconds. */
    readonly timeLeftMs: number;
}

/**
 * Tokens are reserved only for callers that can still be answered in time: each token that a late caller gets is missing
 * for one that arrives meanwhile, and under lasting overload every caller would then be late.
 *
 * @param request - A place request that takes a token.
 * @returns What its rate limit needs to know of it.
 */
export function newRateRequest(
    { fingerprint, usefulForMs, giveUpAfterMs }: Pick<PlaceRequest, "fingerprint" | "usefulForMs" | "giveUpAfterMs">,
): RateRequest {
    const inTimeMs = Math.max(0, usefulForMs) * IN_TIME_RETRY_FRACTION;
    return { fingerprint, timeLeftMs: Math.min(giveUpAfterMs, inTimeMs / MAX_RETRY_FRACTION) };
}

/** For requests whose attempts can't be recognised. */
const UNKNOWN_REQUEST: RateRequest = { fingerprint: "", timeLeftMs: 0 };

/** Whether a token was taken, and if not, when one is available that no other caller has been asked to come back for. */
export type RateDecision = { readonly isTaken: true; } | { readonly isTaken: false; readonly retryAfterMs: number; };

/** A rate limit as it is enforced, and what it would decide now. */
export interface RateState extends RateBounds {
    readonly tokens: number;
    readonly decision: RateDecision;
}

/** Token buckets for the rate limits of organisations. */
export class TokenBuckets {
    private readonly buckets = new Map<string, Bucket>();
    /** Tokens of buckets that were not used yet accrue since then. */
    private startedAtMs = performance.now();

    /**
     * @param scaleBounds - Maps a fleet-wide rate limit to the one that these buckets enforce.
     * @param getInitialTokens - Tokens that a new bucket starts with, given its rate limit.
     */
    constructor(
        private readonly scaleBounds: (bounds: RateBounds) => RateBounds,
        private readonly getInitialTokens: (bounds: RateBounds) => number,
    ) {}

    /**
     * Takes one token.
     *
     * @param organisation - Organisation whose bucket is used.
     * @param fleetBounds - Rate and burst over the whole fleet.
     * @param request - The request that takes it. If there is no token for it, one is reserved for its retry.
     * @returns Whether a token was taken.
     */
    take(organisation: string, fleetBounds: RateBounds, request = UNKNOWN_REQUEST): RateDecision {
        const bucket = this.refill(organisation, this.scaleBounds(fleetBounds));
        const { reservations } = bucket;
        const hasReservation = request.fingerprint !== "" && reservations.claim(request.fingerprint);
        const decision = decide(bucket, hasReservation);
        if (decision.isTaken) {
            bucket.tokens -= 1;
        }
        else if (request.fingerprint !== "" && decision.retryAfterMs <= request.timeLeftMs * MAX_RETRY_FRACTION) {
            reservations.reserve(request.fingerprint, performance.now() + decision.retryAfterMs);
        }
        return decision;
    }

    /**
     * Tells what {@link take} would decide for a request whose attempts can't be recognised, without taking a token.
     *
     * @param organisation - Organisation whose bucket is used.
     * @param fleetBounds - Rate and burst over the whole fleet.
     * @returns The decision, and what it is based on. An unused bucket of an instance that is alone starts with tokens
     * chosen at random, so that the decision may differ for the first request.
     */
    peek(organisation: string, fleetBounds: RateBounds): RateState {
        const bounds = this.scaleBounds(fleetBounds);
        const known = this.buckets.get(organisation) ?? this.newBucket(bounds);
        const bucket = { ...known, bounds, tokens: getTokens(known, bounds) };
        return { tokens: bucket.tokens, ...bounds, decision: decide(bucket, false) };
    }

    /**
     * @param organisation - Organisation whose bucket is used.
     * @param fleetBounds - Rate and burst over the whole fleet.
     * @returns Which fraction of its burst is left.
     */
    getFraction(organisation: string, fleetBounds: RateBounds): number {
        const { tokens, bounds } = this.refill(organisation, this.scaleBounds(fleetBounds));
        return tokens / bounds.burst;
    }

    /**
     * Returns the token of a request that certainly did not run.
     *
     * @param organisation - Organisation whose bucket is used.
     */
    refund(organisation: string): void {
        const bucket = this.buckets.get(organisation);
        if (bucket !== undefined) {
            bucket.tokens = Math.min(bucket.bounds.burst, bucket.tokens + 1);
        }
    }

    /** Limits all buckets to the tokens that new ones start with, after a time in which others admitted requests. */
    restart(): void {
        this.startedAtMs = performance.now();
        for (const bucket of this.buckets.values()) {
            bucket.tokens = Math.min(
                this.refillBucket(bucket, bucket.bounds).tokens,
                this.getInitialTokens(bucket.bounds),
            );
        }
    }

    private refill(organisation: string, bounds: RateBounds): Bucket {
        let bucket = this.buckets.get(organisation);
        if (bucket === undefined) {
            bucket = this.newBucket(bounds);
            this.buckets.set(organisation, bucket);
        }
        return this.refillBucket(bucket, bounds);
    }

    private newBucket(bounds: RateBounds): Bucket {
        return {
            tokens: this.getInitialTokens(bounds),
            refilledAtMs: this.startedAtMs,
            bounds,
            reservations: new RetryReservations(),
        };
    }

    private refillBucket(bucket: Bucket, bounds: RateBounds): Bucket {
        bucket.tokens = getTokens(bucket, bounds);
        bucket.refilledAtMs = performance.now();
        bucket.bounds = bounds;
        return bucket;
    }
}

/** @returns The tokens that the bucket has now, with bounds that are in force from now on. */
function getTokens(bucket: Bucket, bounds: RateBounds): number {
    const gained = (performance.now() - bucket.refilledAtMs) / MS_PER_S * bucket.bounds.ratePerS;
    return Math.min(bounds.burst, bucket.tokens + gained);
}

function decide({ tokens, bounds, reservations }: Bucket, hasReservation: boolean): RateDecision {
    const reserved = hasReservation ? 0 : reservations.countDue();
    if (tokens - reserved >= 1) {
        return { isTaken: true };
    }
    const missing = 1 + reservations.count - tokens;
    return { isTaken: false, retryAfterMs: Math.max(0, missing) / bounds.ratePerS * MS_PER_S };
}
