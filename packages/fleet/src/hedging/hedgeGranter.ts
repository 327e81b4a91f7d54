import { SlidingCount } from "./slidingCount";

/** Hedges that may be sent at once after a time with few of them. */
const MAX_SAVED_HEDGES = 20;
/** Below this fraction of free places, places are short. */
const MIN_FREE_FRACTION = 0.2;
/** Below this fraction of its burst, an organisation's rate limit is nearly reached. */
const MIN_RATE_FRACTION = 0.5;
const RECENT_MS = 2_000;
/** One request in twenty is slower than the 95th percentile; if more than this ask for a hedge, all are slow. */
const MAX_ASKING_FRACTION = 0.25;
/** Fewer requests that ask for a hedge show nothing. */
const MIN_ASKS = 5;

/**
 * Why a hedge is refused.
 *
 * - `off`: this granter grants none.
 * - `first-unknown`: the place of the first attempt is not one of this granter's.
 * - `crash-suspected`: the request, or a part of its prompt, may crash endpoints.
 * - `places-short`: requests wait, or few places are free.
 * - `all-slow`: many requests of the service are slow, so that hedges would only add load.
 * - `rate-near`: the organisation's rate limit is nearly reached.
 * - `budget`: the extra requests that the operator allows are used up.
 * - `no-endpoint`: no other endpoint may be used.
 */
export type HedgeRefusal =
    | "off"
    | "first-unknown"
    | "crash-suspected"
    | "places-short"
    | "all-slow"
    | "rate-near"
    | "budget"
    | "no-endpoint";

/** What a decision on a hedge depends on. */
export interface HedgeState {
    readonly isFirstKnown: boolean;
    readonly isCrashSuspected: boolean;
    /** Online requests that wait for a place at the service. */
    readonly waiting: number;
    readonly free: number;
    readonly total: number;
    /** What is left of the organisation's burst, between 0 and 1; 1 without a limit. */
    readonly rateFraction: number;
}

interface ServiceCounts {
    readonly firsts: SlidingCount;
    readonly asks: SlidingCount;
}

/**
 * Decides whether a slow request may be sent to a second endpoint. Extra requests are a fraction of the first attempts that
 * this granter has granted, so that the limit holds over all granters together.
 */
export class HedgeGranter {
    private tokens = 0;
    private readonly services = new Map<string, ServiceCounts>();

    /**
     * @param extraFraction - Extra requests as a fraction of all requests; 0 for none.
     */
    constructor(private readonly extraFraction: number) {}

    /** Whether hedges may be granted at all. */
    get isOn(): boolean {
        return this.extraFraction > 0;
    }

    /**
     * @param service - The service for which the first attempt at a request has been granted a place.
     */
    recordFirst(service: string): void {
        if (this.isOn) {
            this.tokens = Math.min(MAX_SAVED_HEDGES, this.tokens + this.extraFraction);
            this.getCounts(service).firsts.record();
        }
    }

    /**
     * @param service - The service for which a hedge is asked.
     * @param state - What the decision depends on.
     * @returns Why it is refused; `undefined` if it may be granted.
     */
    check(service: string, state: HedgeState): HedgeRefusal | undefined {
        if (!this.isOn) {
            return "off";
        }
        const { asks, firsts } = this.getCounts(service);
        asks.record();
        if (!state.isFirstKnown) {
            return "first-unknown";
        }
        if (state.isCrashSuspected) {
            return "crash-suspected";
        }
        if (state.waiting > 0 || state.free < state.total * MIN_FREE_FRACTION) {
            return "places-short";
        }
        const askCount = asks.getCount();
        if (askCount >= MIN_ASKS && askCount > firsts.getCount() * MAX_ASKING_FRACTION) {
            return "all-slow";
        }
        if (state.rateFraction < MIN_RATE_FRACTION) {
            return "rate-near";
        }
        return this.tokens < 1 ? "budget" : undefined;
    }

    /** Records that a hedge has been granted. */
    recordHedge(): void {
        this.tokens -= 1;
    }

    private getCounts(service: string): ServiceCounts {
        let counts = this.services.get(service);
        if (counts === undefined) {
            counts = { firsts: new SlidingCount(RECENT_MS), asks: new SlidingCount(RECENT_MS) };
            this.services.set(service, counts);
        }
        return counts;
    }
}
