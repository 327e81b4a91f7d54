import { type AnswerCounts, getExcessProbability } from "./fisherTest";
import type { RolloutRouteCounts } from "./types";

/** Side of a roll-out that a response belongs to. */
export type RolloutSide = "candidate" | "baseline";

/** Length of the sliding window, so that a version that turns bad isn't covered by its good past; in milliseconds. */
const WINDOW_MS = 3_000;
const BUCKET_MS = 250;
/** A response that takes this many times the old version's median is bad. */
const SLOW_FACTOR = 2.5;
/** Durations below this differ by chance, such as with a busy event loop; in milliseconds. */
const MIN_SLOW_MS = 50;
/** Durations of the old version that a median is taken of: of the last seconds, or as many as this. */
const MIN_DURATIONS = 16;
const MAX_DURATIONS = 200;
/** The limit of slow responses is computed again after this time, not for each response; in milliseconds. */
const MAX_LIMIT_AGE_MS = 100;
/** A median of fewer durations says little. */
const MIN_MEDIAN_DURATIONS = 5;
/**
 * Error of one test. The tests of a roll-out together (some hundred, most of the same responses) stay below 0.001 for
 * the failures that good versions show.
 */
const BAD_PROBABILITY = 0.000_2;
/** Smallest excess of the share of bad responses that counts. */
const MIN_EXCESS = 0.05;
/** Fewer bad responses, such as of requests that no version can answer, decide nothing. */
const MIN_BAD = 4;
/**
 * With an excess of this probability the share doesn't grow until further responses have decided. Few responses can't show
 * more; with many, or on one of several routes, good versions would be held by chance if both versions fail at times. Where
 * both fail often, a level this low would pass versions that fail much more often; see {@link HARMFUL_EXCESS}.
 */
const DOUBT_PROBABILITY_OF_FEW = 0.1;
const DOUBT_PROBABILITY_OF_ROUTE = 0.02;
const DOUBT_PROBABILITY = 0.002;
const FEW_ANSWERS = 40;
const MIN_BAD_FOR_DOUBT = 2;
/**
 * Excess of the share of bad responses that must not go unnoticed. The level of doubt is where a version with no excess and
 * one with this excess are told apart equally well; the more both versions fail, the higher it is.
 */
const HARMFUL_EXCESS = 0.15;
/** Levels of doubt, by the standard deviations of the normal distribution that they stand for. */
const DOUBT_LEVELS = [
    { deviations: 1.28, probability: 0.1 },
    { deviations: 1.64, probability: 0.05 },
    { deviations: 2.05, probability: 0.02 },
    { deviations: 2.58, probability: 0.005 },
];

interface MutableCounts {
    answers: number;
    bad: number;
}

interface Bucket {
    readonly startMs: number;
    readonly candidate: MutableCounts;
    readonly baseline: MutableCounts;
}

interface Duration {
    readonly atMs: number;
    readonly durationMs: number;
}

/** Responses of one scope, such as a route, since the order and lately. */
class ScopeEvidence {
    readonly total = { candidate: newCounts(), baseline: newCounts() };
    private buckets: Bucket[] = [];

    record(side: RolloutSide, isBad: boolean): void {
        const startMs = Math.floor(performance.now() / BUCKET_MS) * BUCKET_MS;
        let bucket = this.buckets.at(-1);
        if (bucket?.startMs !== startMs) {
            bucket = { startMs, candidate: newCounts(), baseline: newCounts() };
            this.buckets = [...this.getRecent(), bucket];
        }
        for (const counts of [bucket[side], this.total[side]]) {
            counts.answers += 1;
            counts.bad += isBad ? 1 : 0;
        }
    }

    /** @returns Whether the new version is worse, since the order or lately. */
    isBad(): boolean {
        const window = { candidate: newCounts(), baseline: newCounts() };
        for (const bucket of this.getRecent()) {
            add(window.candidate, bucket.candidate);
            add(window.baseline, bucket.baseline);
        }
        // Without responses of the old version in the same seconds, its responses since the order are what there is.
        const baseline = window.baseline.answers < MIN_BAD ? this.total.baseline : window.baseline;
        return hasExcess(window.candidate, baseline, MIN_BAD, BAD_PROBABILITY)
            || (window.candidate.bad > 0
                && hasExcess(this.total.candidate, this.total.baseline, MIN_BAD, BAD_PROBABILITY));
    }

    isDoubtful(probabilityOfFew: number): boolean {
        const { candidate, baseline } = this.total;
        const probability = candidate.answers < FEW_ANSWERS
            ? probabilityOfFew
            : Math.min(probabilityOfFew, getDoubtProbability(candidate, baseline));
        return hasExcess(candidate, baseline, MIN_BAD_FOR_DOUBT, probability);
    }

    private getRecent(): Bucket[] {
        return this.buckets.filter(({ startMs }) => startMs > performance.now() - WINDOW_MS);
    }
}

/** Responses of the new and the old version of a service during a roll-out, compared by route. */
export class RolloutEvidence {
    private readonly routes = new Map<string, ScopeEvidence>();
    private readonly all = new ScopeEvidence();
    /** Of the new version only responses of endpoints in full use; of the old one all. */
    private readonly underLoad = new ScopeEvidence();
    private readonly durations = new Map<string, Duration[]>();
    private readonly slowLimits = new Map<string, Duration>();

    /**
     * @param stored - Counts that an earlier coordinator has stored.
     */
    constructor(stored: readonly RolloutRouteCounts[] = []) {
        for (const counts of stored) {
            for (const { total } of [this.getRoute(counts.route), this.all]) {
                add(total.candidate, { answers: counts.candidateAnswers, bad: counts.candidateBad });
                add(total.baseline, { answers: counts.baselineAnswers, bad: counts.baselineBad });
            }
        }
    }

    /**
     * Records a whole response, or one that has failed.
     *
     * @param side - Whether the new version responded.
     * @param route - Route of the request.
     * @param isBad - Whether it is bad.
     * @param isUnderLoad - Whether its endpoint was in full use.
     */
    recordAnswer(side: RolloutSide, route: string, isBad: boolean, isUnderLoad: boolean): void {
        this.getRoute(route).record(side, isBad);
        this.all.record(side, isBad);
        if (side === "baseline" || isUnderLoad) {
            this.underLoad.record(side, isBad);
        }
    }

    /**
     * @param route - Route of a request.
     * @param durationMs - How long the old version took for it.
     */
    recordBaselineDuration(route: string, durationMs: number): void {
        const durations = this.durations.get(route) ?? [];
        durations.push({ atMs: performance.now(), durationMs });
        const isOld = (durations[0]?.atMs ?? Infinity) < performance.now() - WINDOW_MS;
        if (durations.length > MAX_DURATIONS || (durations.length > MIN_DURATIONS && isOld)) {
            durations.shift();
        }
        this.durations.set(route, durations);
    }

    /**
     * @param route - A route.
     * @returns Duration from which a response to its requests is slow; infinite while that isn't known.
     */
    getSlowMs(route: string): number {
        const cached = this.slowLimits.get(route);
        if (cached !== undefined && performance.now() - cached.atMs < MAX_LIMIT_AGE_MS) {
            return cached.durationMs;
        }
        const limit = { atMs: performance.now(), durationMs: this.computeSlowMs(route) };
        this.slowLimits.set(route, limit);
        return limit.durationMs;
    }

    private computeSlowMs(route: string): number {
        const sorted = (this.durations.get(route) ?? []).map(({ durationMs }) => durationMs).sort((a, b) => a - b);
        const medianMs = sorted[Math.floor(sorted.length / 2)];
        return medianMs === undefined || sorted.length < MIN_MEDIAN_DURATIONS
            ? Infinity
            : Math.max(MIN_SLOW_MS, medianMs * SLOW_FACTOR);
    }

    /** @returns Where the new version is worse than the old one; `undefined` if it isn't. */
    findExcess(): string | undefined {
        if (this.all.isBad()) {
            return "all routes";
        }
        if (this.underLoad.isBad()) {
            return "under load";
        }
        const route = [...this.routes].find(([, scope]) => scope.isBad());
        return route === undefined ? undefined : `route ${route[0]}`;
    }

    /** Whether the new version looks worse, but with too few responses to be certain. */
    get isDoubtful(): boolean {
        return this.all.isDoubtful(DOUBT_PROBABILITY_OF_FEW)
            || [...this.routes.values()].some(scope => scope.isDoubtful(DOUBT_PROBABILITY_OF_ROUTE));
    }

    /** Responses of the new version. */
    get candidateAnswers(): number {
        return this.all.total.candidate.answers;
    }

    /** @returns The counts of each route, to be stored. */
    getCounts(): RolloutRouteCounts[] {
        return [...this.routes].map(([route, { total }]) => ({
            route,
            candidateAnswers: total.candidate.answers,
            candidateBad: total.candidate.bad,
            baselineAnswers: total.baseline.answers,
            baselineBad: total.baseline.bad,
        }));
    }

    private getRoute(route: string): ScopeEvidence {
        const scope = this.routes.get(route) ?? new ScopeEvidence();
        this.routes.set(route, scope);
        return scope;
    }
}

function hasExcess(candidate: AnswerCounts, baseline: AnswerCounts, minBad: number, probability: number): boolean {
    const badShare = candidate.bad / Math.max(1, candidate.answers);
    return candidate.bad >= minBad
        && badShare >= baseline.bad / Math.max(1, baseline.answers) + MIN_EXCESS
        && getExcessProbability(candidate, baseline) < probability;
}

/** @returns The probability of an excess from which on the new version is in doubt. */
function getDoubtProbability(candidate: AnswerCounts, baseline: AnswerCounts): number {
    const badShare = (candidate.bad + baseline.bad) / (candidate.answers + baseline.answers);
    const variance = badShare * (1 - badShare) * (1 / candidate.answers + 1 / Math.max(1, baseline.answers));
    const deviations = HARMFUL_EXCESS / Math.sqrt(variance) / 2;
    return DOUBT_LEVELS.find(level => deviations < level.deviations)?.probability ?? DOUBT_PROBABILITY;
}

function newCounts(): MutableCounts {
    return { answers: 0, bad: 0 };
}

function add(counts: MutableCounts, { answers, bad }: AnswerCounts): void {
    counts.answers += answers;
    counts.bad += bad;
}
