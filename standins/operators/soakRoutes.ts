import { sleep } from "@heatherline/common";
import type { FaultLog } from "./faultLog";
import { HOST, newConfig, type OperatorsFleet } from "./fleet";
import type { SoakChecks } from "./soakChecks";
import type { SoakClient } from "./soakClient";
import { pick, type Random } from "./soakRandom";

/** Time within which gateways apply a configuration, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;
const MAX_CONFIG_MS = 8_000;
/** Item ids begin with this letter, and so do the paths of items below the prefix of the route of batch jobs. */
const ITEM_PREFIX = "/jobs/s";
const EXTRA_PATHS = ["/extra/", "/jobs/extra/", "/lookup/extra/"];

/** Since when a path has a route of its own, or none, in milliseconds since the epoch. */
interface PathState {
    isRouted: boolean;
    sinceMs: number;
}

/** Writes configurations that add, remove, move and nest routes beside those that all have, and calls these routes. */
export class MovingRoutes {
    private readonly states = new Map<string, PathState>();

    /**
     * @param fleet - Where the configurations are written.
     * @param client - Sends the requests.
     * @param checks - Records violations.
     * @param faults - What happened.
     * @param random - Random numbers.
     */
    constructor(
        private readonly fleet: OperatorsFleet,
        private readonly client: SoakClient,
        private readonly checks: SoakChecks,
        private readonly faults: FaultLog,
        private readonly random: Random,
    ) {}

    /** Writes a configuration with other routes than before, and leaves it in force for a random time. */
    async move(): Promise<void> {
        const { routes } = newConfig() as { routes: Record<string, unknown>[]; };
        const lookup = { ...routes.find(({ name }) => name === "lookup"), host: HOST };
        const jobs = { ...routes.find(({ name }) => name === "jobs"), host: HOST };
        const path = pick(this.random, EXTRA_PATHS);
        const extra = { ...lookup, name: "extra", pathPrefix: path };
        const nested = { ...lookup, name: "nested", pathPrefix: ITEM_PREFIX };
        const nestedJobs = { ...jobs, name: "nested-jobs", pathPrefix: ITEM_PREFIX };
        const added = pick(this.random, [[], [nested], [nested, extra], [nested, extra], [nestedJobs, extra]]);
        this.faults.descriptions.push(`routes ${added.map(({ name, pathPrefix }) => `${name} ${pathPrefix}`).join()}`);
        this.fleet.writeConfig({ routes: [...routes, ...added] });
        for (const each of EXTRA_PATHS) {
            const isRouted = added.some(({ pathPrefix }) => pathPrefix === each);
            if (this.states.get(each)?.isRouted !== isRouted) {
                this.states.set(each, { isRouted, sinceMs: Date.now() });
            }
        }
        await sleep(this.random() * MAX_CONFIG_MS);
    }

    /** Sends a request to a path that may have a route, and checks the response if all gateways know whether it has. */
    async callOnce(): Promise<void> {
        const path = pick(this.random, EXTRA_PATHS);
        const before = this.states.get(path);
        const isKnown = before !== undefined && Date.now() - before.sinceMs > CONFIG_APPLY_MS;
        const requestId = this.client.newId();
        const { status, gateway, sentAtMs, endedAtMs } = await this.client.request(
            "POST",
            `${path}a`,
            requestId,
            "events=1",
            {},
        );
        const after = this.states.get(path);
        const isSame = after?.sinceMs === before?.sinceMs;
        const isInTouch = this.faults.isInTouch(gateway, (before?.sinceMs ?? sentAtMs) - CONFIG_APPLY_MS, endedAtMs);
        if (isKnown && isSame && isInTouch && before.isRouted && [401, 403, 404].includes(status)) {
            this.checks.record(`${requestId}: status ${status} on the route ${path}, which was added before`);
        }
    }
}
