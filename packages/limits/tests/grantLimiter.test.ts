import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { monotonicMs } from "../../common/src";
import { GrantLimiter, type TokenRequest, type TokenResponse } from "../src";

const SUBJECT = { service: "chat", organisation: "alpha" };
const BOUNDS = { ratePerS: 500, burst: 500 };

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** An owner whose bucket is empty and gets one token after a while. */
class OwnerWithDueToken {
    readonly requests: TokenRequest[] = [];
    private readonly dueAtMs: number;
    private tokens = 1;

    constructor(dueInMs: number) {
        this.dueAtMs = monotonicMs() + dueInMs;
    }

    resolve(): Promise<string> {
        return Promise.resolve("owner");
    }

    requestTokens(_owner: string, request: TokenRequest): Promise<TokenResponse> {
        this.requests.push(request);
        const nowMs = monotonicMs();
        const prompt = nowMs < this.dueAtMs ? 0 : Math.min(this.tokens, request.needed);
        this.tokens -= prompt;
        const retryAfterMs = nowMs < this.dueAtMs ? this.dueAtMs - nowMs : 1_000;
        return Promise.resolve({ kind: "granted", prompt, ahead: 0, ttlMs: 1_000, retryAfterMs });
    }
}

function acquire(limiter: GrantLimiter): Promise<string> {
    return limiter.acquire(SUBJECT, BOUNDS, new AbortController().signal)
        .then(result => result.match(() => "admitted", ({ kind }) => kind));
}

describe("GrantLimiter when the owner has no token", () => {
    it.each([
        { dueInMs: 2, outcome: "admitted", requests: 2 },
        { dueInMs: 10, outcome: "admitted", requests: 2 },
        { dueInMs: 40, outcome: "exceeded", requests: 1 },
    ])("a request whose token is due in $dueInMs ms is $outcome", async ({ dueInMs, outcome, requests }) => {
        const owner = new OwnerWithDueToken(dueInMs);
        const limiter = new GrantLimiter("east-0", owner);
        const decision = acquire(limiter);
        await vi.advanceTimersByTimeAsync(50);
        expect(await decision).toBe(outcome);
        expect(owner.requests.length).toBe(requests);
    });

    it("requests wait for a due token once, and those that don't get it are refused", async () => {
        const owner = new OwnerWithDueToken(5);
        const limiter = new GrantLimiter("east-0", owner);
        const decisions = [acquire(limiter), acquire(limiter), acquire(limiter)];
        await vi.advanceTimersByTimeAsync(50);
        expect(await Promise.all(decisions)).toEqual(["admitted", "exceeded", "exceeded"]);
        expect(owner.requests.length).toBe(2);
    });

    it("a request that arrives just before the next token is due waits for it without calling the owner", async () => {
        const owner = new OwnerWithDueToken(40);
        const limiter = new GrantLimiter("east-0", owner);
        expect(await acquire(limiter)).toBe("exceeded");
        await vi.advanceTimersByTimeAsync(35);
        const decision = acquire(limiter);
        await vi.advanceTimersByTimeAsync(4);
        expect(owner.requests.length).toBe(1);
        await vi.advanceTimersByTimeAsync(10);
        expect(await decision).toBe("admitted");
        expect(owner.requests.length).toBe(2);
    });
});
