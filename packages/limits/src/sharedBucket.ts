import { invariant, monotonicMs } from "@heatherline/common";
import type { LimitBounds, TokenRequest, TokenResponse } from "./types";
import { TOKEN_TTL_MS } from "./types";

interface Account {
    readonly accountId: string;
    sequence: number;
    prefetchGrantedTotal: number;
    lastReturnedTotal: number;
    lastRefundedTotal: number;
    /** Prefetched tokens that the instance may still spend. */
    prefetched: number;
    /** Immediate tokens, for requests that waited: in transit or just spent. */
    immediate: number;
    immediateUntilMs: number;
    immediateGrantedTotal: number;
    expiresAtMs: number;
}

/** Tolerated rounding error of sums of fractional tokens. */
const EPSILON = 1e-6;
/** Largest fraction of the remaining level that one token request may prefetch. */
const PREFETCH_FRACTION = 0.25;
/** Tokens that are never prefetched, so that the few tokens of a small organisation don't sit unused at an instance. */
const OWNER_RESERVE_TOKENS = 4;

/**
 * The owner's token bucket. Tokens granted to instances and possibly unspent still count as part of the bucket: level
 * and outstanding tokens together never exceed the burst, so the requests admitted in any window of time never exceed
 * the burst plus the rate times the length of the window.
 */
export class SharedBucket {
    private level: number;
    private updatedAtMs = monotonicMs();
    private readonly accounts = new Map<string, Account>();

    /**
     * @param bounds - Rate and burst that this owner may grant.
     * @param level - Initial number of tokens.
     */
    constructor(private bounds: LimitBounds, level: number) {
        this.level = Math.min(level, bounds.burst);
    }

    /**
     * Applies changed bounds. Tokens above a lower burst are dropped; a higher burst fills at the rate.
     *
     * @param bounds - The new bounds.
     */
    setBounds(bounds: LimitBounds): void {
        if (bounds.ratePerS === this.bounds.ratePerS && bounds.burst === this.bounds.burst) {
            return;
        }
        this.refill();
        this.bounds = bounds;
        this.level = Math.max(0, Math.min(this.level, bounds.burst - this.countOutstanding()));
    }

    /** Grants nothing until it is opened again, because its share may not be used. */
    close(): void {
        this.setBounds({ ratePerS: 0, burst: 0 });
    }

    /** Whether the bucket is closed. */
    get isClosed(): boolean {
        return this.bounds.burst === 0;
    }

    /**
     * Opens a closed bucket. It granted nothing while it was closed, so it starts with the tokens accrued since.
     *
     * @param bounds - The bounds from now on.
     * @param level - Tokens that have accrued since the share may be used again.
     */
    open(bounds: LimitBounds, level: number): void {
        this.setBounds(bounds);
        this.level = Math.max(0, Math.min(level, bounds.burst - this.countOutstanding()));
    }

    /**
     * @param request - An instance's request for tokens.
     * @returns The granted tokens; `undefined` for a request that arrives after a newer one of the same account.
     */
    grantTokens(request: TokenRequest): Extract<TokenResponse, { kind: "granted"; }> | undefined {
        this.refill();
        const account = this.getAccount(request);
        if (account === undefined) {
            return undefined;
        }
        this.reconcile(account, request);
        const prompt = Math.min(request.needed, Math.floor(this.level + EPSILON));
        const prefetchable = Math.max(0, Math.floor((this.level - prompt - OWNER_RESERVE_TOKENS) * PREFETCH_FRACTION));
        const ahead = Math.max(0, Math.min(request.ahead - account.prefetched, prefetchable));
        const nowMs = monotonicMs();
        this.level = Math.max(0, this.level - prompt - ahead);
        account.prefetched += ahead;
        account.prefetchGrantedTotal += ahead;
        account.expiresAtMs = nowMs + TOKEN_TTL_MS;
        if (prompt > 0) {
            account.immediate += prompt;
            account.immediateGrantedTotal += prompt;
            account.immediateUntilMs = nowMs + request.promptTtlMs;
        }
        this.checkBurstInvariant();
        const missing = Math.max(0, 1 - this.level);
        const retryAfterMs = this.bounds.ratePerS > 0 ? Math.ceil(missing / this.bounds.ratePerS * 1_000) : Infinity;
        return { kind: "granted", prompt, ahead, ttlMs: TOKEN_TTL_MS, retryAfterMs };
    }

    /** @returns Tokens that can be granted now. */
    getLevel(): number {
        this.refill();
        return this.level;
    }

    /** @returns Whether the bucket is full and has no accounts, like a new one. */
    isIdle(): boolean {
        this.refill();
        return this.accounts.size === 0 && this.level >= this.bounds.burst;
    }

    private getAccount(request: TokenRequest): Account | undefined {
        const account = this.accounts.get(request.instanceId);
        if (account?.accountId === request.accountId) {
            if (request.sequence <= account.sequence) {
                return undefined;
            }
            account.sequence = request.sequence;
            return account;
        }
        if (account !== undefined && account.prefetched + account.immediate > 0) {
            // The instance has opened a new account; tokens of the old one count as spent when they expire.
            this.accounts.set(`${request.instanceId}/${account.accountId}`, account);
        }
        const opened: Account = {
            accountId: request.accountId,
            sequence: request.sequence,
            // Tokens received so far came from an earlier owner and expired before this owner began to grant.
            prefetchGrantedTotal: request.receivedTotal,
            lastReturnedTotal: request.returnedTotal,
            lastRefundedTotal: request.refundedTotal,
            prefetched: 0,
            immediate: 0,
            immediateUntilMs: 0,
            immediateGrantedTotal: request.promptUsedTotal,
            expiresAtMs: Infinity,
        };
        this.accounts.set(request.instanceId, opened);
        return opened;
    }

    /** Applies the totals that the instance reports. Grants not received are void: late responses are ignored. */
    private reconcile(account: Account, request: TokenRequest): void {
        const undelivered = Math.max(0, account.prefetchGrantedTotal - request.receivedTotal);
        const returned = Math.max(0, request.returnedTotal - account.lastReturnedTotal);
        // An instance sends its next token request only when all earlier responses have been used or have timed out.
        const unusedImmediate = Math.max(0, account.immediateGrantedTotal - request.promptUsedTotal);
        const refunded = Math.max(0, request.refundedTotal - account.lastRefundedTotal) + unusedImmediate;
        account.immediate = Math.max(0, account.immediate - unusedImmediate);
        account.immediateGrantedTotal = request.promptUsedTotal;
        const prefetchedBefore = account.prefetched;
        account.prefetched = Math.max(
            0,
            Math.min(prefetchedBefore, request.receivedTotal - request.spentTotal - request.returnedTotal),
        );
        // Unspent tokens move back from the instance to the owner; refunds only fill free capacity.
        this.level += Math.min(undelivered + returned, prefetchedBefore - account.prefetched);
        const room = Math.max(0, this.bounds.burst - this.countOutstanding() - this.level);
        this.level += Math.min(refunded, room);
        account.prefetchGrantedTotal = request.receivedTotal;
        account.lastReturnedTotal = request.returnedTotal;
        account.lastRefundedTotal = request.refundedTotal;
    }

    /** Refills the bucket up to now. Capacity taken by outstanding tokens only refills after they have expired. */
    private refill(): void {
        const nowMs = monotonicMs();
        for (;;) {
            const nextMs = this.findNextExpiry();
            if (nextMs > nowMs) {
                break;
            }
            this.refillUntil(nextMs);
            this.dropExpired(nextMs);
        }
        this.refillUntil(nowMs);
    }

    private refillUntil(timeMs: number): void {
        if (timeMs <= this.updatedAtMs) {
            return;
        }
        const room = Math.max(0, this.bounds.burst - this.countOutstanding() - this.level);
        this.level += Math.min(room, (timeMs - this.updatedAtMs) / 1_000 * this.bounds.ratePerS);
        this.updatedAtMs = timeMs;
    }

    private findNextExpiry(): number {
        let nextMs = Infinity;
        for (const account of this.accounts.values()) {
            nextMs = Math.min(nextMs, account.expiresAtMs, account.immediate > 0 ? account.immediateUntilMs : Infinity);
        }
        return nextMs;
    }

    private dropExpired(timeMs: number): void {
        for (const [instanceId, account] of this.accounts) {
            if (account.immediateUntilMs <= timeMs) {
                account.immediate = 0;
            }
            if (account.expiresAtMs <= timeMs) {
                // It is unknown whether its tokens were spent, so they count as spent.
                this.accounts.delete(instanceId);
            }
        }
    }

    private checkBurstInvariant(): void {
        const outstanding = this.countOutstanding();
        invariant(
            "tokens-within-burst",
            this.level + outstanding <= Math.max(this.bounds.burst, outstanding) + EPSILON,
            () => `level ${this.level} and ${outstanding} outstanding tokens exceed burst ${this.bounds.burst}`,
        );
    }

    private countOutstanding(): number {
        return [...this.accounts.values()].reduce(
            (total, { prefetched, immediate }) => total + prefetched + immediate,
            0,
        );
    }
}
