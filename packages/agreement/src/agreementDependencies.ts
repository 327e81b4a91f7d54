import type { MemberTable } from "./types";

/** What the agreement needs from the rest of the instance. */
export interface AgreementDependencies {
    /** @returns Instances of this data centre that the platform lists, this one included. */
    getListedInstances(): readonly string[];
    /** @returns Version of the table for which this instance has sent its state to all others; 0 while it has not. */
    getSyncedVersion(): number;
    /**
     * @param current - State that the lease holds now.
     * @returns State that the lease holds from the next renewal on.
     */
    getDurableState(current: Record<string, unknown>): Record<string, unknown>;
    /** @returns State that this instance, as the lease holder, broadcasts in its data centre. */
    getBroadcastState(): Record<string, unknown>;
    /**
     * Called with the broadcast state of each valid heartbeat reply; also with its own while this instance is the lease
     * holder.
     *
     * @param state - State that the lease holder broadcasts.
     * @param sentAtMs - When the heartbeat was sent, on the monotonic clock; validities in the state count from then.
     */
    onBroadcastState(state: Record<string, unknown>, sentAtMs: number): void;
    /**
     * Called before this instance uses a new table.
     *
     * @param table - The new table.
     */
    onNewTable(table: MemberTable): void;
    /**
     * Called when no member uses an older table any more.
     *
     * @param version - Version of the table that all members use.
     */
    onTableSettled(version: number): void;
}
