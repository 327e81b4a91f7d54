import { monotonicMs, rankByRendezvous } from "@heatherline/common";
import type { MemberTable } from "./types";

/** The member table that an instance may use while its lease is valid, and the newest table that it knows. */
export class ActiveTable {
    private table: MemberTable | undefined;
    /** The newest table received, even while this instance has no valid lease under it. */
    private newestReceived: MemberTable | undefined;
    private validUntilMs = 0;
    private readonly owners = new Map<string, string>();

    /**
     * @param onTable - Called before this instance uses a new table.
     */
    constructor(private readonly onTable: (table: MemberTable) => void) {}

    /** The table that this instance used last, whether or not its lease is still valid. */
    get lastActive(): MemberTable | undefined {
        return this.table;
    }

    /** The active table, or `undefined` when this instance's lease has expired. */
    get current(): MemberTable | undefined {
        return monotonicMs() < this.validUntilMs ? this.table : undefined;
    }

    /** The newest table known, whether or not this instance has a valid lease under it. */
    get newest(): MemberTable | undefined {
        return this.newestReceived ?? this.table;
    }

    /**
     * Makes a table the active one.
     *
     * @param table - The table.
     * @param validUntilMs - When this instance's lease under it expires, on the monotonic clock.
     */
    activate(table: MemberTable, validUntilMs: number): void {
        if (this.table?.version !== table.version) {
            this.onTable(table);
            this.owners.clear();
        }
        this.table = table;
        this.newestReceived = table;
        this.validUntilMs = validUntilMs;
    }

    /**
     * Records a table without making it the active one.
     *
     * @param table - A table received from a peer.
     */
    setNewest(table: MemberTable): void {
        this.newestReceived = table;
    }

    /** Leaves this instance without an active table until the next {@link activate}. */
    deactivate(): void {
        this.validUntilMs = 0;
    }

    /**
     * @param subject - Key whose owner is looked up.
     * @returns The owner according to the active table.
     */
    getOwner(subject: string): string | undefined {
        const table = this.current;
        if (table === undefined) {
            return undefined;
        }
        let owner = this.owners.get(subject);
        if (owner === undefined) {
            owner = rankByRendezvous(subject, table.members)[0];
            if (owner !== undefined) {
                this.owners.set(subject, owner);
            }
        }
        return owner;
    }

    /**
     * @param subject - Key whose owner is looked up.
     * @returns The owner according to the newest table known: the instance to ask, which may not be the owner any more.
     */
    getLikelyOwner(subject: string): string | undefined {
        const { newest } = this;
        return this.getOwner(subject) ??
            (newest === undefined ? undefined : rankByRendezvous(subject, newest.members)[0]);
    }
}
