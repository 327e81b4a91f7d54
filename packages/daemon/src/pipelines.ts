import type { Logger } from "@heatherline/common";
import type { ConfigReplica } from "@heatherline/config";
import type { RateLimiter } from "@heatherline/limits";
import type { AuditLog, SloTracker } from "@heatherline/reports";
import {
    AttemptFilter,
    AuthenticateFilter,
    type CreditPool,
    DeduplicateFilter,
    HttpDispatcher,
    type InFlightRegistry,
    LimitFilter,
    newPipeline,
    type Pipeline,
    RecordFilter,
    Refusal,
    ResolveFilter,
    RetryBudget,
    type Scheduler,
} from "@heatherline/serving";
import { err } from "neverthrow";
import type { DistributedClaimService } from "./distributedClaimService";
import type { DaemonMetrics } from "./metrics";
import type { QuarantineBroadcaster } from "./quarantineBroadcaster";

/** What the pipelines of an instance depend on. */
export interface PipelineDependencies {
    readonly replica: ConfigReplica;
    readonly scheduler: Scheduler;
    readonly creditPool: CreditPool;
    readonly quarantine: QuarantineBroadcaster;
    readonly inFlight: InFlightRegistry;
    readonly claims: DistributedClaimService;
    readonly limiter: RateLimiter;
    readonly metrics: DaemonMetrics;
    readonly auditLog: AuditLog;
    readonly sloTracker: SloTracker;
    readonly logger: Logger;
    readonly getConfigAgeMs: () => number;
}

/** The filters that requests of each work class pass, in order. */
export interface Pipelines {
    readonly online: Pipeline;
    /** Items have been authenticated and admitted with their jobs. */
    readonly batch: Pipeline;
}

/**
 * @param deps - What the filters depend on.
 * @returns The pipelines of an instance; both share the budget for retries.
 */
export function newPipelines(deps: PipelineDependencies): Pipelines {
    const record = newRecordFilter(deps);
    const resolve = new ResolveFilter(deps.replica);
    const attempt = new AttemptFilter(
        deps.scheduler,
        new HttpDispatcher(deps.creditPool),
        new RetryBudget(),
        deps.quarantine.suspects,
        deps.replica,
    );
    const fallback = async () => err(new Refusal("internal", 500, "no filter answered", true));
    const online = newPipeline([
        record,
        resolve,
        new AuthenticateFilter(deps.replica, deps.inFlight, deps.getConfigAgeMs),
        new DeduplicateFilter(deps.claims),
        new LimitFilter(deps.limiter),
        attempt,
    ], fallback);
    return { online, batch: newPipeline([record, resolve, attempt], fallback) };
}

function newRecordFilter({ metrics, auditLog, sloTracker, logger }: PipelineDependencies): RecordFilter {
    return new RecordFilter((entry, outcome) => {
        metrics.record(entry);
        auditLog.addEntry({ at: new Date().toISOString(), ...entry });
        if (entry.workClass === "online" && entry.service !== undefined) {
            sloTracker.recordEvent({
                ...entry,
                service: entry.service,
                organisation: entry.organisation ?? "",
            });
        }
        const cause = outcome.isErr() && outcome.error.cause !== undefined ? String(outcome.error.cause) : undefined;
        logger.info({ ...entry, cause }, "request");
    });
}
