import { LRUCache } from "lru-cache";

const MAX_AGE_MS = 60_000;
const MIN_OBSERVATIONS = 50;
const MAX_OBSERVATIONS = 500;
const QUANTILE = 0.95;
const MEDIAN = 0.5;
const MAX_ROUTES = 1_000;
const MAX_ENDPOINTS = 4_096;
/** Change of an endpoint's slowness with each observation, which follows the median: few very slow ones don't move it. */
const SLOWNESS_STEP = 0.03;
/** An endpoint counts as slower or faster than the others by at most this factor. */
const MAX_SLOWNESS = 4;

interface Observation {
    readonly tookMs: number;
    /** Time that the request would have taken at an endpoint of usual speed. */
    readonly usualMs: number;
    readonly atMs: number;
}

/**
 * Says how long a request waits for its response before it is sent to a second endpoint: longer than most recent requests
 * of its route took, allowing for the speed of its endpoint.
 */
export class HedgeDelays {
    private readonly routes = new LRUCache<string, Observation[]>({ max: MAX_ROUTES });
    /** Time at an endpoint as a multiple of the usual one. */
    private readonly slowness = new LRUCache<string, number>({ max: MAX_ENDPOINTS });

    /**
     * @param route - Name of the request's route.
     * @param endpointId - Where it ran.
     * @param tookMs - Time to the first part of a stream or to the whole response; of a cancelled attempt, as long as it
     * lasted, since it would otherwise look as if none took long.
     */
    record(route: string, endpointId: string, tookMs: number): void {
        const observations = this.getRecent(route);
        const slowness = this.getSlowness(endpointId);
        if (observations.length >= MIN_OBSERVATIONS) {
            const ratio = tookMs /
                Math.max(1, getQuantile(observations.map(observation => observation.tookMs), MEDIAN));
            const next = slowness * (1 + SLOWNESS_STEP * Math.sign(ratio - slowness));
            this.slowness.set(endpointId, Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, next)));
        }
        observations.push({ tookMs, usualMs: tookMs / slowness, atMs: performance.now() });
        this.routes.set(route, observations.slice(-MAX_OBSERVATIONS));
    }

    /**
     * @param route - Name of a request's route.
     * @param endpointId - Where it runs.
     * @returns Time after which it is slower than such requests usually are; `undefined` while too few are known.
     */
    getDelayMs(route: string, endpointId: string): number | undefined {
        const observations = this.getRecent(route);
        return observations.length < MIN_OBSERVATIONS
            ? undefined
            : getQuantile(observations.map(({ usualMs }) => usualMs), QUANTILE) * this.getSlowness(endpointId);
    }

    private getSlowness(endpointId: string): number {
        return this.slowness.get(endpointId) ?? 1;
    }

    private getRecent(route: string): Observation[] {
        const sinceMs = performance.now() - MAX_AGE_MS;
        return (this.routes.get(route) ?? []).filter(({ atMs }) => atMs >= sinceMs);
    }
}

function getQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Infinity;
}
