import { sleep } from "@heatherline/common";
import type { BadBehaviour, Engine } from "./engine";
import type { OperatorsFleet } from "./fleet";

/** Bound of the requests that a bad version may get, as the settings of the stand-in fleet have it. */
const EXPOSED_PART = 0.1;
const EXPOSED_SLACK = 50;
const POLL_MS = 20;
/** Time from the end of a roll-out that went back until its engines drain, and until they stop then. */
const DRAIN_DELAY_MS = 1_000;
const DRAIN_MS = 2_000;

/** What an operator orders. */
export interface RolloutPlan {
    readonly service: string;
    readonly to: string;
    readonly durationS: number;
    /** How the new engines misbehave; absent for a good version. */
    readonly badBehaviour?: BadBehaviour | undefined;
    /** Time from the order until the new engines start, in milliseconds. */
    readonly startDelayMs?: number;
}

/** What came of an order. */
export interface RolloutResult {
    /** Final state in the status; the last one that was read if there was none in time. */
    readonly state: string;
    /** Time that was left until the deadline, in milliseconds. */
    readonly leftMs: number;
    /** Requests that the new engines have received until the deadline. */
    readonly exposedRequests: number;
    /** Requests that all engines of the service have received from the order to the deadline. */
    readonly totalRequests: number;
    /** How many requests the new engines could have received at most if the version was bad. */
    readonly exposureBound: number;
}

/**
 * Moves services to other software versions as an operator does: starts new engines beside the old ones, stops the old
 * ones at once when the order is completed, and drains the new ones when it is rolled back.
 */
export class RolloutOperator {
    /**
     * @param fleet - Where the engines and the orders are.
     */
    constructor(private readonly fleet: OperatorsFleet) {}

    /**
     * Gives an order, and waits for its end.
     *
     * @param plan - The order.
     * @returns What came of it, at the deadline at the earliest.
     */
    async run(plan: RolloutPlan): Promise<RolloutResult> {
        const { service, to, durationS, startDelayMs = 0 } = plan;
        const oldEngines = this.getEngines(service);
        const orderedAtMs = Date.now();
        const deadlineAtMs = orderedAtMs + durationS * 1_000;
        this.fleet.store.write("rollouts", service, { service, to, durationS });
        await sleep(startDelayMs);
        const newEngines = await this.startEngines(plan, oldEngines);
        const state = await this.waitForEnd(service, to, deadlineAtMs);
        const leftMs = deadlineAtMs - Date.now();
        const retirement = state === "completed" ? this.stop(oldEngines) : this.drain(newEngines);
        await sleep(Math.max(0, deadlineAtMs - Date.now()));
        const count = (engines: readonly Engine[]) =>
            engines.flatMap(({ seen }) => seen)
                .filter(({ atMs }) => atMs >= orderedAtMs && atMs <= deadlineAtMs).length;
        const exposedRequests = count(newEngines);
        const totalRequests = exposedRequests + count(oldEngines);
        await retirement;
        return {
            state,
            leftMs,
            exposedRequests,
            totalRequests,
            exposureBound: EXPOSED_PART * totalRequests + EXPOSED_SLACK,
        };
    }

    /**
     * @param service - A service.
     * @returns State in the status of its order; empty if there is none.
     */
    getState(service: string): string {
        const status = this.fleet.store.read("rollouts", service)?.status as { state?: string; } | undefined;
        return status?.state ?? "";
    }

    private getEngines(service: string): Engine[] {
        const listed = this.fleet.store.getNames("servers");
        return this.fleet.engines.filter(({ id, options }) => options.service === service && listed.includes(id));
    }

    private async startEngines({ to, badBehaviour }: RolloutPlan, oldEngines: readonly Engine[]): Promise<Engine[]> {
        const engines: Engine[] = [];
        for (const { options } of oldEngines) {
            const { badBehaviour: unusedBehaviour, ...rest } = options;
            engines.push(
                await this.fleet.addEngine({
                    ...rest,
                    version: to,
                    ...badBehaviour === undefined ? {} : { badBehaviour },
                }),
            );
        }
        return engines;
    }

    private async waitForEnd(service: string, to: string, deadlineAtMs: number): Promise<string> {
        while (Date.now() < deadlineAtMs) {
            const status = this.fleet.store.read("rollouts", service)?.status as
                | { state: string; to: string; }
                | undefined;
            if (status?.to === to && status.state !== "running") {
                return status.state;
            }
            await sleep(POLL_MS);
        }
        return this.getState(service);
    }

    private async stop(engines: readonly Engine[]): Promise<void> {
        for (const engine of engines) {
            this.fleet.store.write("servers", engine.id);
        }
        await Promise.all(engines.map(engine => engine.stop()));
    }

    private async drain(engines: readonly Engine[]): Promise<void> {
        await sleep(DRAIN_DELAY_MS);
        for (const engine of engines) {
            this.fleet.store.write("servers", engine.id, engine.getRegistration("draining"));
        }
        await sleep(DRAIN_MS);
        await this.stop(engines);
    }
}
