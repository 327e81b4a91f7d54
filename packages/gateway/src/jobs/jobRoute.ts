import type { FleetView, Route } from "@heatherline/fleet";
import type { JobItem, JobManifest } from "./jobStore";

/** A configuration that is older than this doesn't show that a route has been removed. */
const MAX_CONFIG_AGE_MS = 3_000;

/**
 * Finds the route that the items of a job run by: the one that the job was submitted to, whatever routes the paths of the
 * items select. A route keeps its name when it changes; one that has another name now is found by the submission's path.
 *
 * @param view - This instance's view of the fleet, with the configuration.
 * @param manifest - The job.
 * @param item - One of its items.
 * @returns The route, `undefined` if the job has none any more, or `unknown` while that can't be told.
 */
export function findJobRoute(
    view: Pick<FleetView, "routes" | "getConfigAgeMs">,
    { host, path, route }: JobManifest,
    item: JobItem,
): Route | "unknown" | undefined {
    const { routes } = view;
    // Jobs of earlier releases don't name the path that they were submitted to.
    const found = [routes?.getRoute(route), routes?.findRoute(host, path ?? item.path)].find(isBatchRoute);
    return found ?? (routes === undefined || view.getConfigAgeMs() > MAX_CONFIG_AGE_MS ? "unknown" : undefined);
}

function isBatchRoute(route: Route | undefined): boolean {
    return route?.kind === "batch";
}
