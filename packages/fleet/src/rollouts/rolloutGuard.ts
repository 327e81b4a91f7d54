import type { AllowedVersions, RolloutOrder, RolloutRecord } from "./types";
import { getVersionsAfter, type VersionGate } from "./versionGate";

/** Which software versions may be used at an instance that decides on places without the coordinator. */
export class RolloutGuard {
    /**
     * @param orders - The orders that the instance knows.
     * @param records - The records that the instance knows.
     */
    constructor(
        private readonly orders: readonly RolloutOrder[] = [],
        private readonly records: readonly RolloutRecord[] = [],
    ) {}

    /**
     * @param service - A service.
     * @returns The software versions that requests may use.
     */
    getAllowedVersions(service: string): AllowedVersions {
        const order = this.orders.find(candidate => candidate.service === service);
        const record = this.records.find(candidate => candidate.service === service);
        const isOutdated = order !== undefined && record?.orderId !== order.orderId;
        if (isOutdated) {
            const abandoned = record === undefined || record.state === "completed" || record.isVoid === true
                ? []
                : [...record.abandonedVersions ?? [], record.toVersion];
            return { kind: "all-but", versions: [...new Set([order.toVersion, ...abandoned])] };
        }
        if (record === undefined || record.isVoid === true) {
            return { kind: "any" };
        }
        const { toVersion, abandonedVersions = [] } = record;
        if (record.state === "completed") {
            return getVersionsAfter(record);
        }
        const hasMoved = record.state === "running" && record.share === 1;
        return { kind: "all-but", versions: hasMoved ? abandonedVersions : [...abandonedVersions, toVersion] };
    }
}

/**
 * @param getGuard - Returns the guard by what is known now; absent where there are no roll-outs.
 * @returns Applies the guard to each request.
 */
export function newGuardGate(getGuard: (() => RolloutGuard) | undefined): VersionGate | undefined {
    return getGuard === undefined
        ? undefined
        : { getAllowedVersions: ({ service }) => getGuard().getAllowedVersions(service) };
}
