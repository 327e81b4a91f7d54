const MS_PER_S = 1_000;
/** Requests of this time may be sent at once, since callers come together; in seconds. */
const BURST_S = 1;

/**
 * Spaces the requests to one endpoint so that they stay within the limit that it has named (token bucket). It starts
 * empty, because others may have sent requests just before.
 */
export class RequestRateLimiter {
    private tokens = 0;
    private refilledAtMs = performance.now();
    private ratePerS = 0;

    /**
     * @param ratePerS - Requests per second from now on.
     * @returns Number of requests that may be sent now.
     */
    countAvailable(ratePerS: number): number {
        this.refill(ratePerS);
        return Math.floor(this.tokens);
    }

    /**
     * @param ratePerS - Requests per second from now on.
     * @returns Milliseconds until a request may be sent; 0 if one may be sent now, infinite with a rate of 0.
     */
    getWaitMs(ratePerS: number): number {
        if (this.countAvailable(ratePerS) >= 1) {
            return 0;
        }
        return Math.ceil((1 - this.tokens) / ratePerS * MS_PER_S);
    }

    /** Records that a request is sent now. */
    recordSend(): void {
        this.tokens -= 1;
    }

    /**
     * Forgets what has accrued, after a time in which others sent the requests.
     *
     * @param tokens - Part of a request that counts as accrued, below 1.
     */
    restart(tokens: number): void {
        this.tokens = tokens;
        this.refilledAtMs = performance.now();
    }

    private refill(ratePerS: number): void {
        const nowMs = performance.now();
        const gained = (nowMs - this.refilledAtMs) / MS_PER_S * this.ratePerS;
        this.tokens = Math.min(Math.max(1, ratePerS * BURST_S), this.tokens + gained);
        this.ratePerS = ratePerS;
        this.refilledAtMs = nowMs;
    }
}
