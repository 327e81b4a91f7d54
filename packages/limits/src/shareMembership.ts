import { monotonicMs } from "@heatherline/common";

const GENERATION_SEPARATOR = "#";

/** The data centres that have a share of each rate, as the lease holder of one data centre knows them. */
export interface ShareList {
    /** One entry per data centre and generation, from {@link newShareEntry}. */
    readonly entries: readonly string[];
    /** Whether every member of that data centre acts on this list, and tokens granted under another have expired. */
    readonly isSettled: boolean;
}

/**
 * @param dataCentre - A data centre.
 * @param generation - Raised each time the data centre returns after its state was `ended`.
 * @returns Its entry in share lists.
 */
export function newShareEntry(dataCentre: string, generation: number): string {
    return `${dataCentre}${GENERATION_SEPARATOR}${generation}`;
}

/**
 * @param entry - An entry of a share list.
 * @returns Its data centre.
 */
export function getShareDataCentre(entry: string): string {
    return entry.split(GENERATION_SEPARATOR)[0] ?? "";
}

/**
 * Tracks whether this data centre may use a share at all. One that is new, or returns after its state was `ended`, may
 * only do so once every other data centre has a settled list that contains it: until then the others may be using the
 * whole rate.
 */
export class ShareMembership {
    private entries: readonly string[] = [];
    private changedAtMs = monotonicMs();
    private readonly acknowledgedBy = new Set<string>();

    /**
     * @param dataCentre - This data centre.
     * @param settleMs - Time after which all members act on a changed list and older tokens have expired, in
     * milliseconds.
     */
    constructor(private readonly dataCentre: string, private readonly settleMs: number) {}

    /**
     * Replaces the list.
     *
     * @param entries - All entries, sorted.
     * @returns Whether the list has changed.
     */
    update(entries: readonly string[]): boolean {
        if (entries.join() === this.entries.join()) {
            return false;
        }
        if (!entries.includes(this.getOwnEntry() ?? "")) {
            this.acknowledgedBy.clear();
        }
        this.entries = entries;
        this.changedAtMs = monotonicMs();
        return true;
    }

    /** @returns The list, as it is sent to other data centres. */
    getList(): ShareList {
        return { entries: this.entries, isSettled: monotonicMs() - this.changedAtMs >= this.settleMs };
    }

    /** @returns This data centre's own entry, if it has one. */
    getOwnEntry(): string | undefined {
        return this.entries.find(entry => getShareDataCentre(entry) === this.dataCentre);
    }

    /**
     * Records the list of another data centre.
     *
     * @param dataCentre - The other data centre.
     * @param list - Its list; acknowledges this data centre's share if it is settled and contains its entry.
     */
    recordPeerList(dataCentre: string, list: ShareList): void {
        const own = this.getOwnEntry();
        if (own !== undefined && list.isSettled && list.entries.includes(own)) {
            this.acknowledgedBy.add(dataCentre);
        }
    }

    /** @returns Whether every other data centre has acknowledged this one's share. */
    isAcknowledgedByAll(): boolean {
        return this.getOwnEntry() !== undefined &&
            this.entries.map(getShareDataCentre).every(other =>
                other === this.dataCentre || this.acknowledgedBy.has(other)
            );
    }
}
