import type { RolloutRouteCounts } from "./types";

/** Responses on each route that are enough evidence. */
const ENOUGH_ANSWERS = 30;
/** With less traffic, this part of a route's requests is enough: the budget allows hardly more. */
const ENOUGH_PART = 0.15;
/** Without more time, this is enough: with little traffic, or long streams, there are no more; the steps are watched too. */
const LEAST_ANSWERS = 6;
const LEAST_PART = 0.1;
/** Requests that are left for each other route that has had fewer, and for all such routes together. */
const RESERVED_PER_ROUTE = 6;
const MAX_RESERVED = 12;
/** Requests that fill all slots of an endpoint for a while, as a multiple of the slots. */
const BURST_SLOTS = 1.5;

interface RouteTraffic {
    arrivals: number;
    candidateGrants: number;
    baselineGrants: number;
}

const NO_TRAFFIC: Readonly<RouteTraffic> = { arrivals: 0, candidateGrants: 0, baselineGrants: 0 };

/**
 * Chooses the requests of the canary phase: of each route until there is enough evidence, and otherwise many at once, so
 * that an endpoint runs with all its slots in use, instead of a few all the time, which show no fault under load.
 */
export class CanaryTraffic {
    private readonly routes = new Map<string, RouteTraffic>();
    private arrivals = 0;
    private isBurst = false;

    /**
     * Records a request that arrives while the new version has endpoints. Requests before that are no lack of evidence.
     *
     * @param route - Its route.
     */
    recordArrival(route: string): void {
        this.getRoute(route).arrivals += 1;
        this.arrivals += 1;
    }

    /**
     * @param route - Route of a request.
     * @param isCandidate - Whether its place is at the new version.
     */
    recordGrant(route: string, isCandidate: boolean): void {
        const traffic = this.getRoute(route);
        traffic.candidateGrants += isCandidate ? 1 : 0;
        traffic.baselineGrants += isCandidate ? 0 : 1;
    }

    /**
     * @param route - Route of a request.
     * @param left - Requests that may still be sent now.
     * @param endpointSlots - Slots of an endpoint of the new version.
     * @returns Whether the request may be sent to the new version.
     */
    mayUse(route: string, left: number, endpointSlots: number): boolean {
        const { isBurst, mayUse } = this.peek(route, left, endpointSlots);
        this.isBurst = isBurst;
        if (left > this.countReserved(route)) {
            // From now on, requests are left for this route.
            this.getRoute(route);
        }
        return mayUse;
    }

    /**
     * Tells what {@link mayUse} would decide, without effect on later requests.
     *
     * @param route - Route of a request.
     * @param left - Requests that may still be sent now.
     * @param endpointSlots - Slots of an endpoint of the new version.
     * @returns Whether the request may be sent to the new version, and whether it would be one of many at once.
     */
    peek(
        route: string,
        left: number,
        endpointSlots: number,
    ): { readonly isBurst: boolean; readonly mayUse: boolean; } {
        const own = left - this.countReserved(route);
        if (own <= 0) {
            return { isBurst: false, mayUse: false };
        }
        const isBurst = this.isBurst || own >= endpointSlots * BURST_SLOTS;
        const { candidateGrants, baselineGrants } = this.routes.get(route) ?? NO_TRAFFIC;
        return { isBurst, mayUse: isBurst || (candidateGrants < ENOUGH_ANSWERS && candidateGrants <= baselineGrants) };
    }

    /**
     * @param answers - Responses of the new version.
     * @param isLate - Whether there is no time to wait for more.
     * @returns Whether they are enough, or a good part of all that there could be.
     */
    hasEvidence(answers: number, isLate: boolean): boolean {
        return isLate
            ? answers >= Math.min(LEAST_ANSWERS, Math.floor(this.arrivals * LEAST_PART))
            : isEnough(answers, this.arrivals);
    }

    /**
     * @param counts - Responses of each route.
     * @returns Whether they are enough on each route with traffic.
     */
    hasRouteEvidence(counts: readonly RolloutRouteCounts[]): boolean {
        const answers = new Map(counts.map(({ route, candidateAnswers }) => [route, candidateAnswers]));
        return [...this.routes].every(([route, { arrivals }]) => isEnough(answers.get(route) ?? 0, arrivals));
    }

    /** Otherwise the frequent routes would use the whole budget. */
    private countReserved(route: string): number {
        let reserved = 0;
        for (const [other, { candidateGrants }] of this.routes) {
            reserved += other === route ? 0 : Math.max(0, RESERVED_PER_ROUTE - candidateGrants);
        }
        return Math.min(MAX_RESERVED, reserved);
    }

    private getRoute(route: string): RouteTraffic {
        const traffic = this.routes.get(route) ?? { ...NO_TRAFFIC };
        this.routes.set(route, traffic);
        return traffic;
    }
}

function isEnough(answers: number, arrivals: number): boolean {
    return answers >= Math.min(ENOUGH_ANSWERS, Math.floor(arrivals * ENOUGH_PART));
}
