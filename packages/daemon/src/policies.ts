import {
    type BatchAdmission,
    CreditAdmission,
    FixedAdmission,
    LatencyAdmission,
    LeastOutstandingPolicy,
    PrefixAffinityPolicy,
    RoundRobinPolicy,
    type RoutePolicy,
} from "@heatherline/serving";
import type { DaemonSettings } from "./settings";

/**
 * @param settings - Checked settings.
 * @returns The policy by which batch items are admitted to endpoints beside online requests.
 */
export function newBatchAdmission(settings: DaemonSettings): BatchAdmission {
    switch (settings.batchAdmission) {
        case "credits":
            return new CreditAdmission();
        case "fixed":
            return new FixedAdmission(settings.batchFixedConcurrency);
        case "latency":
            return new LatencyAdmission();
    }
}

/**
 * @param name - Name of a policy.
 * @returns The policy by which an endpoint is chosen for a request.
 */
export function newRoutePolicy(name: DaemonSettings["routePolicy"]): RoutePolicy {
    switch (name) {
        case "prefix-affinity":
            return new PrefixAffinityPolicy();
        case "least-outstanding":
            return new LeastOutstandingPolicy();
        case "round-robin":
            return new RoundRobinPolicy();
    }
}
