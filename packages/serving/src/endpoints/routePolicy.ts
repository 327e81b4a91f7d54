import { rankByRendezvous } from "@heatherline/common";

/** An endpoint with a free credit, as a policy sees it. */
export interface Candidate {
    readonly endpoint: string;
    /** Requests of this instance that run at the endpoint now. */
    readonly outstanding: number;
    /** Credits of this instance at the endpoint. */
    readonly credits: number;
    /** Concurrency limit of the endpoint when it is warm. */
    readonly maxConcurrency: number;
}

/** Chooses an endpoint among those with a free credit. */
export interface RoutePolicy {
    readonly name: string;
    /**
     * @param candidates - Endpoints with a free credit; never empty.
     * @param affinityKey - Requests with equal keys share a prompt prefix.
     * @returns The chosen one.
     */
    choose<T extends Candidate>(candidates: readonly [T, ...T[]], affinityKey?: string): T;
}

/** Baseline for comparisons: chooses the endpoints in turn. */
export class RoundRobinPolicy implements RoutePolicy {
    readonly name = "round-robin";
    private choiceCount = 0;

    choose<T extends Candidate>(candidates: readonly [T, ...T[]]): T {
        this.choiceCount += 1;
        return candidates[this.choiceCount % candidates.length] ?? candidates[0];
    }
}

/** Chooses the least loaded of all candidates, relative to their concurrency limits. */
export class LeastOutstandingPolicy implements RoutePolicy {
    readonly name = "least-outstanding";

    choose<T extends Candidate>(candidates: readonly [T, ...T[]]): T {
        return candidates.reduce((best, candidate) => isLessLoaded(candidate, best) ? candidate : best);
    }
}

/** Number of preferred endpoints per prompt prefix. */
const AFFINITY_ENDPOINT_COUNT = 2;
/** Largest load of a preferred endpoint, relative to the mean load. */
const AFFINITY_LOAD_BOUND = 1.25;

/**
 * Prefers the endpoints that rendezvous hashing assigns to the prompt prefix, as long as their load stays within a
 * bound of the mean; otherwise chooses the less loaded of two random endpoints.
 */
export class PrefixAffinityPolicy implements RoutePolicy {
    readonly name = "prefix-affinity";

    choose<T extends Candidate>(candidates: readonly [T, ...T[]], affinityKey?: string): T {
        if (affinityKey !== undefined && candidates.length > 1) {
            const preferred = this.choosePreferred(candidates, affinityKey);
            if (preferred !== undefined) {
                return preferred;
            }
        }
        const first = pickRandom(candidates);
        const second = pickRandom(candidates);
        return isLessLoaded(second, first) ? second : first;
    }

    private choosePreferred<T extends Candidate>(candidates: readonly [T, ...T[]], key: string): T | undefined {
        const total = candidates.reduce((sum, { outstanding }) => sum + outstanding, 0);
        const bound = Math.ceil((total + 1) / candidates.length * AFFINITY_LOAD_BOUND);
        const ranked = rankByRendezvous(key, candidates.map(({ endpoint }) => endpoint)).slice(
            0,
            AFFINITY_ENDPOINT_COUNT,
        );
        return ranked
            .map(endpoint => candidates.find(candidate => candidate.endpoint === endpoint))
            .find(candidate => candidate !== undefined && candidate.outstanding < bound);
    }
}

function isLessLoaded(left: Candidate, right: Candidate): boolean {
    return left.outstanding / left.maxConcurrency < right.outstanding / right.maxConcurrency;
}

function pickRandom<T>(items: readonly [T, ...T[]]): T {
    return items[Math.floor(Math.random() * items.length)] ?? items[0];
}
