import { rankByRendezvous } from "@heatherline/common";

/** What a policy sees of an endpoint that has a free credit. */
export interface Candidate {
    readonly endpoint: string;
    /** Requests of this instance that run there now. */
    readonly outstanding: number;
    /** Credits of this instance there. */
    readonly credits: number;
    /** Requests at once that the endpoint carries when warm. */
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

/** Baseline: each in turn. */
export class RoundRobinPolicy implements RoutePolicy {
    readonly name = "round-robin";
    private turn = 0;

    choose<T extends Candidate>(candidates: readonly [T, ...T[]]): T {
        this.turn += 1;
        return candidates[this.turn % candidates.length] ?? candidates[0];
    }
}

/** Least loaded of all candidates, relative to its size. */
export class LeastOutstandingPolicy implements RoutePolicy {
    readonly name = "least-outstanding";

    choose<T extends Candidate>(candidates: readonly [T, ...T[]]): T {
        return candidates.reduce((best, candidate) => isLessLoaded(candidate, best) ? candidate : best);
    }
}

/** Endpoints that a prefix may live on. */
const AFFINITY_SPREAD = 2;
/** How far above the mean load a preferred endpoint may be. */
const AFFINITY_LOAD_BOUND = 1.25;

/**
 * Prefers the endpoints on which a prompt prefix was placed by rendezvous hashing, as long as their load stays
 * within a bound of the mean; otherwise the less loaded of two random choices.
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
        const ranked = rankByRendezvous(key, candidates.map(({ endpoint }) => endpoint)).slice(0, AFFINITY_SPREAD);
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
