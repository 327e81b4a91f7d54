/** Changes of a list of entries between two revisions of the store. */
export interface ListChanges<Entry> {
    /** The changes apply to a list as of this revision or a later one. */
    readonly since: number;
    readonly revision: number;
    readonly changed: readonly Entry[];
    readonly removedIds: readonly string[];
}

/** Removed entries that are remembered. */
const MAX_REMOVED = 2_000;

interface LoggedEntry<Entry> {
    readonly entry: Entry;
    readonly json: string;
    readonly revision: number;
}

/** Remembers at which revision each entry of a list has changed, so that others can be sent only what they lack. */
export class ChangeLog<Entry> {
    private entries = new Map<string, LoggedEntry<Entry>>();
    private readonly removedAt = new Map<string, number>();
    private revision = 0;
    /** Changes before this revision are not known. */
    private startRevision = Infinity;

    /**
     * @param getId - Returns the id of an entry.
     */
    constructor(private readonly getId: (entry: Entry) => string) {}

    /**
     * Replaces the list.
     *
     * @param entries - All entries.
     * @param revision - Revision of the store at which they were read; higher than that of the list before.
     */
    replaceAll(entries: readonly Entry[], revision: number): void {
        const previous = this.entries;
        this.entries = new Map();
        for (const entry of entries) {
            const id = this.getId(entry);
            const json = JSON.stringify(entry);
            const known = previous.get(id);
            this.entries.set(id, known?.json === json ? known : { entry, json, revision });
            this.removedAt.delete(id);
        }
        for (const id of previous.keys()) {
            if (!this.entries.has(id)) {
                this.removedAt.set(id, revision);
            }
        }
        this.revision = revision;
        this.startRevision = Math.min(this.startRevision, revision);
        this.forgetOldest();
    }

    /**
     * @param revision - Revision of the list that another instance has.
     * @returns What has changed since, or `undefined` if that is not known.
     */
    getChangesSince(revision: number): ListChanges<Entry> | undefined {
        if (revision < this.startRevision) {
            return undefined;
        }
        const changed = [...this.entries.values()].filter(logged => logged.revision > revision);
        const removed = [...this.removedAt].filter(([, removedAt]) => removedAt > revision);
        return {
            since: revision,
            revision: this.revision,
            changed: changed.map(({ entry }) => entry),
            removedIds: removed.map(([id]) => id),
        };
    }

    private forgetOldest(): void {
        for (const [id, removedAt] of this.removedAt) {
            if (this.removedAt.size <= MAX_REMOVED) {
                return;
            }
            this.removedAt.delete(id);
            this.startRevision = Math.max(this.startRevision, removedAt);
        }
    }
}

/**
 * @param entries - A list.
 * @param changes - Changes of it.
 * @param getId - Returns the id of an entry.
 * @returns The list with the changes.
 */
export function applyChanges<Entry>(
    entries: readonly Entry[],
    { changed, removedIds }: ListChanges<Entry>,
    getId: (entry: Entry) => string,
): Entry[] {
    const byId = new Map(entries.map(entry => [getId(entry), entry]));
    removedIds.forEach(id => byId.delete(id));
    changed.forEach(entry => byId.set(getId(entry), entry));
    return [...byId.values()];
}
