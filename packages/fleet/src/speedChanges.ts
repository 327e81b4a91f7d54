/** An endpoint is reported as slow or fast beyond this factor on the service's mean time or its inverse. */
const REPORTED_FACTOR = 1.3;
/** It is reported as usual again within this factor, so that an estimate near the bound isn't reported each time. */
const USUAL_FACTOR = 1.1;
/** Changes of one service that are reported at once. */
const MAX_CHANGES = 20;

/** Interval between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** A change of an endpoint's speed, for the log. */
export interface SpeedChange {
    readonly endpoint: string;
    readonly speed: "slow" | "fast" | "usual";
    /** Expected factor on the mean time of the service. */
    readonly slowness: number;
}

/** Tells which endpoints have become slow or fast, or usual again. */
export class SpeedChanges {
    private reportedAtMs = performance.now();
    private readonly reported = new Map<string, Map<string, SpeedChange["speed"]>>();

    /** @returns Whether it is time for the next report, which begins with this call. */
    begin(): boolean {
        const isDue = performance.now() - this.reportedAtMs >= REPORT_INTERVAL_MS;
        this.reportedAtMs = isDue ? performance.now() : this.reportedAtMs;
        return isDue;
    }

    /**
     * @param service - A service.
     * @param slowness - Expected factor on its mean time by endpoint.
     * @returns Changes since the last call; what exceeds the bound is reported next time.
     */
    take(service: string, slowness: ReadonlyMap<string, number>): SpeedChange[] {
        const reported = this.reported.get(service) ?? new Map<string, SpeedChange["speed"]>();
        this.reported.set(service, reported);
        for (const endpoint of reported.keys()) {
            if (!slowness.has(endpoint)) {
                reported.delete(endpoint);
            }
        }
        const changes: SpeedChange[] = [];
        for (const [endpoint, factor] of slowness) {
            const previous = reported.get(endpoint) ?? "usual";
            const speed = toSpeed(factor, previous);
            if (speed !== previous && changes.length < MAX_CHANGES) {
                reported.set(endpoint, speed);
                changes.push({ endpoint, speed, slowness: Math.round(factor * 100) / 100 });
            }
        }
        return changes;
    }
}

function toSpeed(factor: number, previous: SpeedChange["speed"]): SpeedChange["speed"] {
    if (factor >= REPORTED_FACTOR || factor <= 1 / REPORTED_FACTOR) {
        return factor > 1 ? "slow" : "fast";
    }
    return factor < USUAL_FACTOR && factor > 1 / USUAL_FACTOR ? "usual" : previous;
}
