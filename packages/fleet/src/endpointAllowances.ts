import type { CoordinatorScope } from "./coordinatorScope";
import { EndpointLimits } from "./endpointLimits";
import type { FleetView } from "./fleetView";
import { LeavingEndpoints } from "./leavingEndpoints";
import type { EndpointEntry, EndpointLimit, LeavingEndpoint } from "./types";

/** What a coordinator may grant of one endpoint. */
interface EndpointShare {
    /** Concurrent requests. */
    readonly capacity: number;
    /** Fraction of the rate of a cold endpoint, and of the limit that the endpoint has named. */
    readonly rateFraction: number;
}

/** What a coordinator may send to each endpoint, from its scope and from what endpoints have said of themselves. */
export class EndpointAllowances {
    private readonly leavingEndpoints = new LeavingEndpoints();
    private readonly limits = new EndpointLimits();
    /** By endpoint; cleared when endpoints, registered instances or silent instances change. */
    private readonly shares = new Map<string, EndpointShare>();

    /**
     * @param view - Fleet view.
     * @param scope - What the coordinator may grant.
     */
    constructor(private readonly view: FleetView, private readonly scope: CoordinatorScope) {}

    /** Forgets what was computed, after endpoints, registered instances or silent instances have changed. */
    reset(): void {
        this.shares.clear();
    }

    /**
     * @param endpoints - Endpoints that have said that they leave.
     */
    markLeaving(endpoints: readonly LeavingEndpoint[]): void {
        const unknown = endpoints.filter(endpoint => this.leavingEndpoints.mark(endpoint));
        if (unknown.length > 0) {
            this.reset();
        }
    }

    /**
     * @param limits - What endpoints have said of the requests that they take; repeated reports are ignored.
     * @returns Those that change something.
     */
    recordLimits(limits: readonly EndpointLimit[]): EndpointLimit[] {
        return limits.filter(limit => this.limits.record(limit));
    }

    /**
     * @param entry - An endpoint.
     * @returns The limit that it has named.
     */
    getLimit(entry: EndpointEntry): EndpointLimit | undefined {
        return this.limits.get(entry);
    }

    /**
     * @param entry - An endpoint.
     * @returns Concurrent requests that it may be sent; 0 if it must not be used.
     */
    getCapacity(entry: EndpointEntry): number {
        return this.getShare(entry).capacity;
    }

    /**
     * @param entry - An endpoint.
     * @returns Requests per second that it may be sent in case it is cold; 0 for no limit.
     */
    getColdRatePerS(entry: EndpointEntry): number {
        return (this.view.routes?.getColdRatePerS(entry.service) ?? 0) * this.getShare(entry).rateFraction;
    }

    /**
     * @param entry - An endpoint.
     * @returns Requests per second that it may be sent of the limit that it has named; `undefined` without one.
     */
    getLimitPerS(entry: EndpointEntry): number | undefined {
        const limitPerS = this.limits.getRatePerS(entry);
        return limitPerS === undefined ? undefined : limitPerS * this.getShare(entry).rateFraction;
    }

    /**
     * @param entry - An endpoint.
     * @returns Which fraction of its memory may be used: that of its slots.
     */
    getMemoryFraction(entry: EndpointEntry): number {
        return Math.min(1, this.getShare(entry).capacity / entry.slots);
    }

    private getShare(entry: EndpointEntry): EndpointShare {
        let share = this.shares.get(entry.endpointId);
        if (share === undefined) {
            const isEvacuated = this.view.evacuated.has(entry.dataCentre);
            share = {
                capacity: isEvacuated || this.leavingEndpoints.has(entry) ? 0 : this.scope.getCapacity(entry),
                rateFraction: this.scope.getRateFraction(entry),
            };
            this.shares.set(entry.endpointId, share);
        }
        return share;
    }
}
