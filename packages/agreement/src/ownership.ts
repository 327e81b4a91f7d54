import { monotonicMs, rankByRendezvous } from "@heatherline/common";
import type { DataCentreAgreement } from "./agreement";
import type { MemberTable } from "./types";

/** Whether this instance may decide about a subject. */
export type OwnershipStatus =
    | { readonly kind: "ready"; }
    /** This instance is the owner, but grants of an earlier owner may still be valid. */
    | { readonly kind: "waiting"; readonly waitMs: number; }
    | { readonly kind: "not-owner"; readonly owner: string | undefined; };

interface TableHistoryEntry {
    readonly table: MemberTable;
    /** Since when no member uses an older table, on the monotonic clock; infinite until that is known. */
    sinceMs: number;
    /** Whether there may have been a table just before this one that this instance has not seen. */
    readonly isAfterGap: boolean;
}

/**
 * Tracks for which subjects this instance may make grants. It must be the owner according to its active table, and no
 * other instance may have been the owner within the longest validity of a grant.
 */
export class OwnershipTracker {
    private history: TableHistoryEntry[] = [];

    /**
     * @param agreement - The agreement of the data centre.
     * @param instanceId - This instance.
     * @param longestGrantMs - Longest validity of the grants that owners of these subjects make, in milliseconds.
     */
    constructor(
        private readonly agreement: DataCentreAgreement,
        private readonly instanceId: string,
        private readonly longestGrantMs: number,
    ) {}

    /**
     * Adds a table to the history. Must be called before this instance uses the table.
     *
     * @param table - The new table.
     */
    addTable(table: MemberTable): void {
        const last = this.history.at(-1);
        const isAfterGap = last === undefined ? table.version > 1 : table.version > last.table.version + 1;
        this.history.push({ table, sinceMs: Infinity, isAfterGap });
        const oldestNeededMs = monotonicMs() - this.longestGrantMs;
        const firstNeeded = this.history.findLastIndex(({ sinceMs }) => sinceMs < oldestNeededMs);
        this.history = this.history.slice(Math.max(0, firstNeeded));
    }

    /**
     * Records that no member uses an older table any more.
     *
     * @param version - Version of the table that all members use.
     */
    markSettled(version: number): void {
        for (const entry of this.history) {
            if (entry.table.version <= version && entry.sinceMs === Infinity) {
                entry.sinceMs = monotonicMs();
            }
        }
    }

    /**
     * @param subject - Key whose ownership is checked.
     * @returns Whether this instance may decide about it now.
     */
    check(subject: string): OwnershipStatus {
        const owner = this.agreement.getOwner(subject);
        if (owner !== this.instanceId) {
            return { kind: "not-owner", owner };
        }
        const waitMs = this.getOwnedSinceMs(subject) + this.longestGrantMs - monotonicMs();
        return waitMs > 0 ? { kind: "waiting", waitMs } : { kind: "ready" };
    }

    /**
     * @param subject - Key whose ownership is checked.
     * @returns Since when no other instance can have been the owner, on the monotonic clock; `Infinity` when another
     * one still may be, `-Infinity` when no other one ever was.
     */
    getOwnedSinceMs(subject: string): number {
        let sinceMs = Infinity;
        for (const entry of [...this.history].reverse()) {
            if (rankByRendezvous(subject, entry.table.members)[0] !== this.instanceId) {
                return sinceMs;
            }
            sinceMs = entry.sinceMs;
            if (entry.isAfterGap) {
                return sinceMs;
            }
        }
        return this.history[0]?.table.version === 1 ? -Infinity : sinceMs;
    }
}
