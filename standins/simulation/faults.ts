import fc from "fast-check";
import type { SimulatedNetwork } from "./network";

/** A fault in a simulated network, with its start and its duration. */
export interface Fault {
    readonly kind: "freeze" | "store-down" | "store-cut" | "lost-answers" | "cut-hosts" | "cut-data-centres";
    readonly atMs: number;
    readonly lengthMs: number;
    /** Number by which the affected instance or data centre is chosen, and the second one of a cut. */
    readonly targetIndex: number;
}

const FAULT_KINDS: readonly Fault["kind"][] = [
    "freeze",
    "store-down",
    "store-cut",
    "lost-answers",
    "cut-hosts",
    "cut-data-centres",
];

/**
 * Generates fault schedules for property tests. No fault starts in the first 3 seconds.
 *
 * @param runMs - Latest start of a fault, in milliseconds.
 * @param maxFaults - Highest number of faults in a schedule.
 * @returns The arbitrary.
 */
export function arbitraryFaults(runMs: number, maxFaults: number): fc.Arbitrary<Fault[]> {
    return fc.array(
        fc.record({
            kind: fc.constantFrom(...FAULT_KINDS),
            atMs: fc.integer({ min: 3_000, max: runMs }),
            lengthMs: fc.integer({ min: 100, max: 9_000 }),
            targetIndex: fc.nat(1_000),
        }),
        { maxLength: maxFaults },
    );
}

/**
 * Schedules timers that start and end the faults of a schedule.
 *
 * @param network - The network.
 * @param faults - The schedule.
 */
export function scheduleFaults(network: SimulatedNetwork, faults: readonly Fault[]): void {
    for (const fault of faults) {
        setTimeout(() => {
            const endFault = startFault(network, fault);
            setTimeout(endFault, fault.lengthMs);
        }, fault.atMs);
    }
}

/** Starts a fault and returns the function that ends it. */
function startFault(network: SimulatedNetwork, { kind, targetIndex }: Fault): () => void {
    const hosts = [...network.hosts.values()];
    const host = hosts[targetIndex % hosts.length];
    const other = hosts[(targetIndex * 7 + 1) % hosts.length];
    if (host === undefined || other === undefined) {
        return () => undefined;
    }
    switch (kind) {
        case "freeze":
            network.setFrozen(host, true);
            return () => network.setFrozen(host, false);
        case "store-down":
            network.isStoreDown = true;
            return () => {
                network.isStoreDown = false;
            };
        case "store-cut":
            host.isStoreCut = true;
            return () => {
                host.isStoreCut = false;
            };
        case "lost-answers":
            network.lostAnswerFraction = 0.5;
            return () => {
                network.lostAnswerFraction = 0;
            };
        case "cut-hosts":
            network.setCut(host.id, other.id, true);
            return () => network.setCut(host.id, other.id, false);
        case "cut-data-centres":
            network.setCut(host.dataCentre, other.dataCentre, true);
            return () => network.setCut(host.dataCentre, other.dataCentre, false);
    }
}
