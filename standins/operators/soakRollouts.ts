import { sleep } from "@heatherline/common";
import type { BadBehaviour } from "./engine";
import type { FaultLog } from "./faultLog";
import type { OperatorsFleet } from "./fleet";
import { RolloutOperator, type RolloutResult } from "./rolloutOperator";
import type { SoakChecks } from "./soakChecks";
import { pick, type Random } from "./soakRandom";

const SERVICE = "lm";
const DURATION_S = 14;
/** What versions do wrong; half of them are good. */
const BEHAVIOURS: readonly (BadBehaviour | undefined)[] = [
    ...[undefined, undefined, undefined, undefined, undefined],
    { failurePart: 0.4 },
    { slowness: 6 },
    { failurePart: 0.6, fromMs: 3_000 },
    { slowness: 8, minRunning: 4 },
    { failurePart: 0.6, pathPrefix: "/once/" },
];

/** Orders one roll-out after the other, of good and bad versions, and checks what comes of them. */
export class SoakRollouts {
    private readonly operator: RolloutOperator;
    private orders = 0;

    /**
     * @param fleet - Where the engines and the orders are.
     * @param checks - Records violations.
     * @param faults - What happened.
     * @param random - Random numbers.
     * @param endAtMs - When load and faults end; an order whose deadline is later is not given.
     */
    constructor(
        private readonly fleet: OperatorsFleet,
        private readonly checks: SoakChecks,
        private readonly faults: FaultLog,
        private readonly random: Random,
        private readonly endAtMs: number,
    ) {
        this.operator = new RolloutOperator(fleet);
    }

    /** Gives an order, waits for its deadline, and checks the result. */
    async runOnce(): Promise<void> {
        if (Date.now() + DURATION_S * 1_000 > this.endAtMs) {
            await sleep(Math.max(0, this.endAtMs - Date.now()));
            return;
        }
        this.orders += 1;
        const to = `r${this.orders}`;
        const badBehaviour = pick(this.random, BEHAVIOURS);
        const statusesBefore = this.fleet.store.statusWrites.length;
        this.faults.descriptions.push(`roll-out to ${to}: ${JSON.stringify(badBehaviour ?? "good")}`);
        const result = await this.operator.run({ service: SERVICE, to, durationS: DURATION_S, badBehaviour });
        this.faults.descriptions.push(`roll-out to ${to} ended: ${JSON.stringify(result)}`);
        this.check(to, badBehaviour !== undefined, result);
        this.checkStatuses(to, statusesBefore);
    }

    private check(to: string, isBad: boolean, result: RolloutResult): void {
        const text = JSON.stringify(result);
        const { counts } = this.checks;
        counts.goodCompleted += !isBad && result.state === "completed" ? 1 : 0;
        counts.goodRolledBack += !isBad && result.state === "rolled_back" ? 1 : 0;
        counts.badRolledBack += isBad && result.state === "rolled_back" ? 1 : 0;
        if (!["completed", "rolled_back"].includes(result.state)) {
            this.checks.record(`order for ${to}: no final state before the deadline: ${text}`);
        }
        if (isBad && result.state === "completed") {
            this.checks.record(`order for ${to}: a bad version was completed: ${text}`);
        }
        if (isBad && result.exposedRequests > result.exposureBound) {
            this.checks.record(`order for ${to}: too many requests reached a bad version: ${text}`);
        }
    }

    private checkStatuses(to: string, fromIndex: number): void {
        const states = this.fleet.store.statusWrites.slice(fromIndex)
            .filter(({ kind, name }) => kind === "rollouts" && name === SERVICE)
            .map(({ status }) => status as { state: string; to: string; })
            .filter(status => status.to === to)
            .map(({ state }) => state);
        const firstFinal = states.findIndex(state => state !== "running");
        if (firstFinal !== -1 && states.slice(firstFinal).some(state => state !== states[firstFinal])) {
            this.checks.record(`order for ${to}: its final state changed: ${states.join()}`);
        }
    }
}
