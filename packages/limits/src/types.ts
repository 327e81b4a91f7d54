import type { Result } from "neverthrow";
import type { LimitError } from "./errors";

/** The subject of a rate limit: an organisation's use of a service. */
export interface LimitSubject {
    readonly service: string;
    readonly organisation: string;
}

/** Rate and burst, either of the whole fleet or of a part of it. */
export interface LimitBounds {
    readonly ratePerS: number;
    readonly burst: number;
}

/** The right to run one request. */
export interface RatePermit {
    /** Returns the token of a request that was admitted but certainly not run. */
    refund(): void;
}

/** Decides whether a request is within its organisation's rate and burst over all instances together. */
export interface RateLimiter {
    readonly name: string;
    /**
     * @param subject - The subject of the request.
     * @param bounds - Rate and burst over the whole fleet.
     * @param signal - Aborts the wait for an owner.
     * @returns A permit for one request, or why there is none.
     */
    acquire(subject: LimitSubject, bounds: LimitBounds, signal: AbortSignal): Promise<Result<RatePermit, LimitError>>;
}

/**
 * @param subject - A subject.
 * @returns Its identity as a string.
 */
export function getSubjectKey(subject: LimitSubject): string {
    return `${subject.service}|${subject.organisation}`;
}

/**
 * An instance's request to an owner for tokens of one subject, with its use of earlier tokens. Immediate tokens are for
 * requests that wait now; prefetched tokens are for later requests, which are then admitted without a call to the owner.
 * In the names of fields, `prompt` stands for immediate tokens and `ahead` for prefetched ones.
 */
export interface TokenRequest {
    readonly subject: string;
    readonly bounds: LimitBounds;
    readonly instanceId: string;
    /**
     * Identifies the account, which is the totals below. New for each owner, each start of the instance and after each
     * expiry, so that old totals are never mixed with new ones.
     */
    readonly accountId: string;
    /** Rises with each token request of an account; older token requests that arrive late are ignored. */
    readonly sequence: number;
    /** Prefetched tokens that the account has received in total. */
    readonly receivedTotal: number;
    /** Prefetched tokens that the account has spent in total. */
    readonly spentTotal: number;
    /** Prefetched tokens that the account has returned unspent in total. */
    readonly returnedTotal: number;
    /** Spent tokens, of either kind, whose requests certainly did not run, in total. */
    readonly refundedTotal: number;
    /** Immediate tokens that the account has used in total, without those of responses that came late or never. */
    readonly promptUsedTotal: number;
    /** Requests that wait for an immediate token now. */
    readonly needed: number;
    /**
     * Validity of the immediate tokens in milliseconds, from when the token request was sent: those of a response that
     * arrives later are not used.
     */
    readonly promptTtlMs: number;
    /** Tokens to prefetch: those that the instance expects to use before its next token request. */
    readonly ahead: number;
}

/** An owner's response to a {@link TokenRequest}. */
export type TokenResponse =
    | {
        readonly kind: "granted";
        /** Immediate tokens, valid for the `promptTtlMs` of the token request. */
        readonly prompt: number;
        /** Prefetched tokens. */
        readonly ahead: number;
        /** Validity of all prefetched tokens of the account in milliseconds, from when the token request was sent. */
        readonly ttlMs: number;
        /** Time until the next token is available, in milliseconds. */
        readonly retryAfterMs: number;
    }
    /** The owner may not decide yet. */
    | { readonly kind: "not-ready"; readonly retryAfterMs: number; }
    /** Another instance is the owner. */
    | { readonly kind: "not-owner"; readonly owner: string | undefined; }
    /** The owner's data centre has lent its share to another one. */
    | { readonly kind: "lent"; readonly borrower: string; };

/** Validity of prefetched tokens; immediate tokens are never valid for longer. */
export const TOKEN_TTL_MS = 1_000;
