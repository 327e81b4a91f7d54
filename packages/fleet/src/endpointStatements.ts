import type { Logger } from "@heatherline/common";
import { LRUCache } from "lru-cache";
import { EndpointLimits } from "./endpointLimits";
import type { GranterReports } from "./granterReports";
import { LeavingEndpoints } from "./leavingEndpoints";
import type { EndpointEntry, EndpointLimit } from "./types";

/** A limit that an endpoint names again and again is reported once in this time, in case a report is lost. */
const LIMIT_REPORT_INTERVAL_MS = 500;
const MAX_LIMIT_REPORTS = 2_048;

/** What endpoints say of themselves in their responses to this instance, which tells whoever grants places. */
export class EndpointStatements {
    private readonly leavingEndpoints = new LeavingEndpoints();
    private readonly limits = new EndpointLimits();
    private readonly limitReportedAtMs = new LRUCache<string, number>({ max: MAX_LIMIT_REPORTS });

    /**
     * @param reports - Reports to the coordinator and the deputy.
     * @param logger - Log of the instance.
     */
    constructor(private readonly reports: GranterReports, private readonly logger: Logger) {}

    /**
     * @param entry - An endpoint that has said that it leaves.
     */
    markLeaving({ endpointId, startedAt }: EndpointEntry): void {
        if (this.leavingEndpoints.mark({ endpointId, startedAt })) {
            this.logger.info({ event: "endpoint-leaving", endpoint: endpointId, startedAt });
            this.reports.addLeavingEndpoint({ endpointId, startedAt });
        }
    }

    /**
     * @param getEntry - Returns an endpoint as listed, or `undefined` if it isn't.
     * @returns Ids of the listed endpoints that leave.
     */
    getLeavingIds(getEntry: (endpointId: string) => EndpointEntry | undefined): string[] {
        return this.leavingEndpoints.getIds(getEntry);
    }

    /**
     * Records what an endpoint has said in a response of the requests that it takes.
     *
     * @param entry - The endpoint.
     * @param ratePerS - Requests per second from all instances together; `undefined` for no limit.
     * @param ageMs - Age of the statement in milliseconds.
     */
    recordLimit({ endpointId, startedAt }: EndpointEntry, ratePerS: number | undefined, ageMs: number): void {
        const limit = { endpointId, startedAt, ratePerS, ageMs };
        const isChanged = this.limits.record(limit);
        if (isChanged) {
            this.logger.info({ event: "endpoint-limit", endpoint: endpointId, startedAt, ratePerS });
        }
        const reportedAtMs = this.limitReportedAtMs.get(endpointId) ?? -Infinity;
        const isReportDue = ratePerS !== undefined && performance.now() - reportedAtMs > LIMIT_REPORT_INTERVAL_MS;
        if (isChanged || isReportDue) {
            this.limitReportedAtMs.set(endpointId, performance.now());
            this.reports.addLimit(limit);
        }
    }

    /**
     * Adopts the limit that came with a place, or reports what this instance knows better.
     *
     * @param limit - The limit.
     */
    adoptLimit(limit: EndpointLimit): void {
        this.limits.record(limit);
        const own = this.limits.getStatement(limit);
        if (own !== undefined && own.ratePerS !== limit.ratePerS) {
            this.reports.addLimit(own);
        }
    }

    /**
     * @param entry - An endpoint.
     * @returns Requests per second that it takes from all instances together; `undefined` without a limit.
     */
    getLimitPerS(entry: EndpointEntry): number | undefined {
        return this.limits.getRatePerS(entry);
    }

    /** @returns Limits of endpoints that this instance knows, for a coordinator that may not know of them. */
    getLimits(): EndpointLimit[] {
        return this.limits.getAll();
    }
}
