import { invariant, monotonicMs, newId, sleep, startLoop } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import { LimitError } from "./errors";
import {
    getSubjectKey,
    type LimitBounds,
    type LimitSubject,
    type RateLimiter,
    type RatePermit,
    TOKEN_TTL_MS,
    type TokenRequest,
    type TokenResponse,
} from "./types";

/** Finds and calls the owner of a subject: the instance, in any data centre, that decides about its rate. */
export interface LimitOwnerClient {
    /**
     * @param subject - A subject.
     * @returns Identity of the instance to call, or `undefined` if no owner is known.
     */
    resolve(subject: string): Promise<string | undefined>;
    /**
     * @param owner - From {@link LimitOwnerClient.resolve}.
     * @param request - The request for tokens.
     * @returns The owner's response, or `undefined` if it can't be reached.
     */
    requestTokens(owner: string, request: TokenRequest): Promise<TokenResponse | undefined>;
}

interface Waiter {
    readonly sinceMs: number;
    /** Whether it has been kept waiting for a token that was due soon. */
    hasWaitedForToken: boolean;
    readonly settle: (result: Result<RatePermit, LimitError>) => void;
}

interface SubjectAccount {
    readonly subject: string;
    bounds: LimitBounds;
    owner: string | undefined;
    accountId: string;
    sequence: number;
    receivedTotal: number;
    spentTotal: number;
    returnedTotal: number;
    refundedTotal: number;
    promptUsedTotal: number;
    /** Prefetched tokens that are unspent. */
    tokens: number;
    validUntilMs: number;
    /** Until when the owner has no tokens, as its last response said. */
    exhaustedUntilMs: number;
    waiters: Waiter[];
    isRequesting: boolean;
    requestsSinceSample: number;
    requestsPerS: number;
    sampledAtMs: number;
}

/** Longest wait for an owner that can't be reached or may not decide yet. */
const MAX_OWNER_WAIT_MS = 4_500;
const OWNER_RETRY_MS = 100;
/** A token that is due within this time is waited for, since a refused caller would need longer to return. */
const MAX_TOKEN_WAIT_MS = 10;
/** Delay before the next token request after a response that names another owner. */
const REDIRECT_DELAY_MS = 5;
const MAINTENANCE_INTERVAL_MS = 250;
/** Tokens are prefetched for this many seconds at the recent request rate. */
const PREFETCH_S = 0.5;
/** Below this request rate no tokens are prefetched. */
const MIN_PREFETCH_REQUESTS_PER_S = 4;
const REQUEST_RATE_SMOOTHING = 0.4;
const MAX_RETRY_AFTER_MS = 60_000;
/** Validity of immediate tokens, in round trips to the owner. */
const IMMEDIATE_TTL_ROUND_TRIPS = 4;
const MIN_IMMEDIATE_TTL_MS = 4;
const INITIAL_ROUND_TRIP_MS = 3;
const ROUND_TRIP_SMOOTHING_UP = 1;
const ROUND_TRIP_SMOOTHING_DOWN = 0.1;

/**
 * Admits each request with a token granted by the owner of its subject. Requests that wait get immediate tokens, which
 * they use at once. Busy subjects also prefetch tokens, which admit later requests without a call to the owner.
 */
export class GrantLimiter implements RateLimiter {
    readonly name = "grants";
    private readonly accounts = new Map<string, SubjectAccount>();
    private readonly roundTripMs = new Map<string, number>();
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param instanceId - This instance.
     * @param ownerClient - Calls the owners.
     */
    constructor(private readonly instanceId: string, private readonly ownerClient: LimitOwnerClient) {}

    /** Starts renewing the tokens of busy subjects and returning those of idle ones. */
    start(): void {
        this.stopLoop = startLoop(() => MAINTENANCE_INTERVAL_MS, () => this.renewOrReturnTokens());
    }

    /** Stops; unspent tokens expire. */
    stop(): void {
        void this.stopLoop?.();
    }

    async acquire(
        subject: LimitSubject,
        bounds: LimitBounds,
        signal: AbortSignal,
    ): Promise<Result<RatePermit, LimitError>> {
        const account = this.getAccount(getSubjectKey(subject), bounds);
        account.requestsSinceSample += 1;
        if (account.waiters.length === 0 && this.hasToken(account)) {
            return ok(this.spend(account));
        }
        const exhaustedForMs = account.exhaustedUntilMs - monotonicMs();
        if (exhaustedForMs > MAX_TOKEN_WAIT_MS) {
            return err(newExceededError(account, exhaustedForMs));
        }
        return this.wait(account, signal);
    }

    private wait(account: SubjectAccount, signal: AbortSignal): Promise<Result<RatePermit, LimitError>> {
        return new Promise(resolve => {
            const waiter: Waiter = {
                sinceMs: monotonicMs(),
                hasWaitedForToken: false,
                settle: result => {
                    signal.removeEventListener("abort", onAbort);
                    resolve(result);
                },
            };
            const onAbort = () => {
                account.waiters = account.waiters.filter(other => other !== waiter);
                resolve(err(new LimitError("aborted", "aborted while waiting for the owner of the rate", 0)));
            };
            if (signal.aborted) {
                onAbort();
                return;
            }
            signal.addEventListener("abort", onAbort, { once: true });
            account.waiters.push(waiter);
            void this.requestWhileWaiting(account);
        });
    }

    private async requestWhileWaiting(account: SubjectAccount): Promise<void> {
        if (account.isRequesting) {
            return;
        }
        account.isRequesting = true;
        try {
            while (account.waiters.length > 0) {
                const delayMs = await this.requestOnce(account);
                if (delayMs > 0) {
                    await sleep(delayMs);
                }
            }
        }
        finally {
            account.isRequesting = false;
        }
    }

    /** @returns Delay before the next request to the owner, in milliseconds. */
    private async requestOnce(account: SubjectAccount): Promise<number> {
        const exhaustedForMs = account.exhaustedUntilMs - monotonicMs();
        if (account.waiters.length > 0 && exhaustedForMs > 0) {
            return exhaustedForMs;
        }
        const owner = await this.ownerClient.resolve(account.subject);
        if (owner === undefined) {
            this.refuseTimedOutWaiters(account);
            return OWNER_RETRY_MS;
        }
        this.openAccountIfNeeded(account, owner);
        const needed = account.waiters.length;
        const promptTtlMs = this.getImmediateTtlMs(owner);
        account.sequence += 1;
        const { accountId } = account;
        const sentAtMs = monotonicMs();
        const response = await this.ownerClient.requestTokens(owner, {
            subject: account.subject,
            bounds: account.bounds,
            instanceId: this.instanceId,
            accountId,
            sequence: account.sequence,
            receivedTotal: account.receivedTotal,
            spentTotal: account.spentTotal,
            returnedTotal: account.returnedTotal,
            refundedTotal: account.refundedTotal,
            promptUsedTotal: account.promptUsedTotal,
            needed,
            promptTtlMs,
            ahead: account.requestsPerS >= MIN_PREFETCH_REQUESTS_PER_S
                ? Math.ceil(account.requestsPerS * PREFETCH_S)
                : 0,
        });
        if (response?.kind === "granted") {
            const elapsedMs = monotonicMs() - sentAtMs;
            this.recordRoundTrip(owner, elapsedMs);
            this.applyGrant(account, response, sentAtMs, needed, elapsedMs < promptTtlMs);
            return 0;
        }
        const delayMs = response?.kind === "not-ready"
            ? Math.min(response.retryAfterMs, OWNER_RETRY_MS)
            : OWNER_RETRY_MS;
        this.refuseTimedOutWaiters(account);
        return response === undefined || response.kind === "not-ready" ? delayMs : REDIRECT_DELAY_MS;
    }

    private applyGrant(
        account: SubjectAccount,
        grant: Extract<TokenResponse, { kind: "granted"; }>,
        sentAtMs: number,
        needed: number,
        isInTime: boolean,
    ): void {
        account.receivedTotal += grant.ahead;
        account.tokens += grant.ahead;
        account.validUntilMs = sentAtMs + grant.ttlMs;
        // The immediate tokens of a late response have expired; the requests stay in the queue for the next one.
        for (const waiter of account.waiters.splice(0, isInTime ? grant.prompt : 0)) {
            account.promptUsedTotal += 1;
            waiter.settle(ok(newPermit(account)));
        }
        while (account.waiters.length > 0 && this.hasToken(account)) {
            account.waiters.shift()?.settle(ok(this.spend(account)));
        }
        const refusedCount = isInTime ? Math.min(account.waiters.length, needed - grant.prompt) : 0;
        if (refusedCount <= 0) {
            return;
        }
        account.exhaustedUntilMs = sentAtMs + grant.retryAfterMs;
        this.refuseOrKeepWaiting(account, grant.retryAfterMs, refusedCount);
    }

    /** Refuses the first waiters, except those whose token is due soon and that have not been kept waiting before. */
    private refuseOrKeepWaiting(account: SubjectAccount, retryAfterMs: number, count: number): void {
        const perTokenMs = 1_000 / account.bounds.ratePerS;
        const kept: Waiter[] = [];
        for (const [position, waiter] of account.waiters.splice(0, count).entries()) {
            const dueInMs = retryAfterMs + position * perTokenMs;
            if (dueInMs <= MAX_TOKEN_WAIT_MS && !waiter.hasWaitedForToken) {
                waiter.hasWaitedForToken = true;
                kept.push(waiter);
            }
            else {
                waiter.settle(err(newExceededError(account, dueInMs)));
            }
        }
        account.waiters.unshift(...kept);
    }

    private getImmediateTtlMs(owner: string): number {
        const roundTripMs = this.roundTripMs.get(owner) ?? INITIAL_ROUND_TRIP_MS;
        return Math.min(Math.max(roundTripMs * IMMEDIATE_TTL_ROUND_TRIPS, MIN_IMMEDIATE_TTL_MS), TOKEN_TTL_MS);
    }

    private recordRoundTrip(owner: string, elapsedMs: number): void {
        const previousMs = this.roundTripMs.get(owner) ?? elapsedMs;
        const smoothing = elapsedMs > previousMs ? ROUND_TRIP_SMOOTHING_UP : ROUND_TRIP_SMOOTHING_DOWN;
        this.roundTripMs.set(owner, previousMs + smoothing * (elapsedMs - previousMs));
    }

    private refuseTimedOutWaiters(account: SubjectAccount): void {
        const oldestMs = monotonicMs() - MAX_OWNER_WAIT_MS;
        const refused = account.waiters.filter(({ sinceMs }) => sinceMs <= oldestMs);
        account.waiters = account.waiters.filter(({ sinceMs }) => sinceMs > oldestMs);
        for (const waiter of refused) {
            const message = "no owner that may decide about the rate can be reached";
            waiter.settle(err(new LimitError("unavailable", message, MAX_OWNER_WAIT_MS)));
        }
    }

    private spend(account: SubjectAccount): RatePermit {
        invariant("tokens-valid-when-spent", this.hasToken(account), () => account.subject);
        account.tokens -= 1;
        account.spentTotal += 1;
        return newPermit(account);
    }

    private async renewOrReturnTokens(): Promise<void> {
        const nowMs = monotonicMs();
        for (const [subject, account] of this.accounts) {
            this.sampleRequestRate(account, nowMs);
            if (account.isRequesting || account.tokens === 0) {
                if (!account.isRequesting && account.requestsPerS < 0.01 && nowMs > account.validUntilMs) {
                    this.accounts.delete(subject);
                }
                continue;
            }
            if (account.requestsPerS < MIN_PREFETCH_REQUESTS_PER_S) {
                account.returnedTotal += account.tokens;
                account.tokens = 0;
            }
            account.isRequesting = true;
            await this.requestOnce(account).finally(() => {
                account.isRequesting = false;
            });
            void this.requestWhileWaiting(account);
        }
    }

    private sampleRequestRate(account: SubjectAccount, nowMs: number): void {
        const elapsedS = (nowMs - account.sampledAtMs) / 1_000;
        if (elapsedS <= 0) {
            return;
        }
        const sampledPerS = account.requestsSinceSample / elapsedS;
        account.requestsPerS += REQUEST_RATE_SMOOTHING * (sampledPerS - account.requestsPerS);
        account.requestsSinceSample = 0;
        account.sampledAtMs = nowMs;
    }

    private hasToken(account: SubjectAccount): boolean {
        return account.tokens >= 1 && monotonicMs() < account.validUntilMs;
    }

    /**
     * Opens a new account for a new owner, or once the tokens of the account have expired. The totals of an account are
     * only ever reported to one owner, and are not reused after a time without an owner.
     */
    private openAccountIfNeeded(account: SubjectAccount, owner: string): void {
        if (account.owner === owner && monotonicMs() < account.validUntilMs) {
            return;
        }
        account.owner = owner;
        account.accountId = newId();
        account.sequence = 0;
        account.receivedTotal = 0;
        account.spentTotal = 0;
        account.returnedTotal = 0;
        account.refundedTotal = 0;
        account.promptUsedTotal = 0;
        account.tokens = 0;
    }

    private getAccount(subject: string, bounds: LimitBounds): SubjectAccount {
        let account = this.accounts.get(subject);
        if (account === undefined) {
            account = {
                subject,
                bounds,
                owner: undefined,
                accountId: newId(),
                sequence: 0,
                receivedTotal: 0,
                spentTotal: 0,
                returnedTotal: 0,
                refundedTotal: 0,
                promptUsedTotal: 0,
                tokens: 0,
                validUntilMs: 0,
                exhaustedUntilMs: 0,
                waiters: [],
                isRequesting: false,
                requestsSinceSample: 0,
                requestsPerS: 0,
                sampledAtMs: monotonicMs(),
            };
            this.accounts.set(subject, account);
        }
        account.bounds = bounds;
        return account;
    }
}

function newPermit(account: SubjectAccount): RatePermit {
    const { accountId } = account;
    let isRefunded = false;
    return {
        refund: () => {
            if (!isRefunded && account.accountId === accountId) {
                isRefunded = true;
                account.refundedTotal += 1;
            }
        },
    };
}

function newExceededError(account: SubjectAccount, retryAfterMs: number): LimitError {
    const { ratePerS, burst } = account.bounds;
    const message = `the rate of ${ratePerS} a second with a burst of ${burst} is exceeded`;
    return new LimitError("exceeded", message, Math.min(Math.max(1, retryAfterMs), MAX_RETRY_AFTER_MS));
}
