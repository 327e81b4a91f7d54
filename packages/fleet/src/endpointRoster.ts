import type { EndpointEntry } from "./types";

/** Entries that lapse while the store is away are back this soon after its return if their endpoint lives. */
const RETURN_GRACE_MS = 2_500;

interface Lapsed {
    readonly entry: EndpointEntry;
    readonly sinceMs: number;
}

/**
 * The endpoints that are registered. An entry that disappears is gone at once, except around an outage of the store:
 * then the registration may have lapsed only because the endpoint couldn't renew it.
 */
export class EndpointRoster {
    private listed = new Map<string, EndpointEntry>();
    private readonly lapsed = new Map<string, Lapsed>();
    private troubleEndedAtMs = -Infinity;

    /** Notes that a call to the store has failed or took very long. */
    noteStoreTrouble(): void {
        this.troubleEndedAtMs = performance.now();
    }

    /**
     * @param entries - All entries as the store lists them now.
     */
    replaceAll(entries: readonly EndpointEntry[]): void {
        const next = new Map(entries.map(entry => [entry.endpointId, entry]));
        for (const entry of this.listed.values()) {
            if (!next.has(entry.endpointId)) {
                this.noteGone(entry);
            }
        }
        this.listed = next;
        for (const endpointId of next.keys()) {
            this.lapsed.delete(endpointId);
        }
    }

    /**
     * @param entry - An entry that was written.
     */
    put(entry: EndpointEntry): void {
        this.listed.set(entry.endpointId, entry);
        this.lapsed.delete(entry.endpointId);
    }

    /**
     * @param endpointId - Name of an entry that was removed, or that can't be read any more.
     */
    remove(endpointId: string): void {
        const entry = this.listed.get(endpointId);
        if (entry !== undefined) {
            this.listed.delete(endpointId);
            this.noteGone(entry);
        }
    }

    /** @returns The entries to go by now. */
    getEntries(): EndpointEntry[] {
        const nowMs = performance.now();
        for (const [endpointId, { sinceMs }] of this.lapsed) {
            if (nowMs >= Math.max(sinceMs, this.troubleEndedAtMs) + RETURN_GRACE_MS) {
                this.lapsed.delete(endpointId);
            }
        }
        return [...this.listed.values(), ...[...this.lapsed.values()].map(({ entry }) => entry)];
    }

    /** Whether entries are kept that the store doesn't list. */
    get hasLapsed(): boolean {
        return this.lapsed.size > 0;
    }

    private noteGone(entry: EndpointEntry): void {
        const sinceTroubleMs = performance.now() - this.troubleEndedAtMs;
        if (entry.state === "ready" && sinceTroubleMs < RETURN_GRACE_MS) {
            this.lapsed.set(entry.endpointId, { entry, sinceMs: performance.now() });
        }
    }
}
