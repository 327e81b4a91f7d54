import type { EndpointEntry } from "./types";

/** Entries that lapsed in a store outage reappear this soon after its end if their endpoint lives, in milliseconds. */
const RECOVERY_GRACE_MS = 2_000;
/** An entry lapses after its endpoint has missed at least this many renewals. */
const MISSED_RENEWALS = 2;
/** If more than this fraction of a service's entries disappears at once after an outage, they have lapsed. */
const MASS_LAPSE_FRACTION = 0.5;

/** An entry that the store no longer lists and that is still used. */
export interface LapsedEndpoint {
    readonly entry: EndpointEntry;
    /** How much longer it is used, in milliseconds. */
    readonly leftMs: number;
}

/**
 * The registered endpoints. An entry that disappears from the store is removed at once, except after a store outage:
 * its registration may have lapsed only because the endpoint couldn't renew it. After an outage that was too short for
 * that, or that only this instance saw, missing endpoints have probably left, so they are kept only if most endpoints
 * of a service are missing.
 */
export class EndpointRegistry {
    private listed = new Map<string, EndpointEntry>();
    private readonly lapsed = new Map<string, { readonly entry: EndpointEntry; readonly untilMs: number; }>();
    private outageMs = 0;
    private recoveredAtMs = -Infinity;

    /**
     * Records that the store is reachable again; to be called before its new list is applied.
     *
     * @param outageMs - Length of the outage in milliseconds.
     */
    recordStoreRecovery(outageMs: number): void {
        this.outageMs = outageMs;
        this.recoveredAtMs = performance.now();
    }

    /**
     * Replaces the entries, and keeps missing ones that have probably only lapsed.
     *
     * @param entries - All entries that the store lists.
     * @param renewalMs - How often an endpoint renews its entry, in milliseconds.
     */
    replaceAll(entries: readonly EndpointEntry[], renewalMs: number): void {
        const next = new Map(entries.map(entry => [entry.endpointId, entry]));
        const removed = [...this.listed.values()].filter(({ endpointId }) => !next.has(endpointId));
        const untilMs = this.recoveredAtMs + RECOVERY_GRACE_MS;
        for (const entry of removed) {
            if (
                entry.state === "ready" && performance.now() < untilMs && this.isLikelyLapsed(removed, entry, renewalMs)
            ) {
                this.lapsed.set(entry.endpointId, { entry, untilMs });
            }
        }
        this.listed = next;
        for (const endpointId of next.keys()) {
            this.lapsed.delete(endpointId);
        }
    }

    /**
     * Keeps lapsed entries that another instance still uses.
     *
     * @param endpoints - The entries.
     */
    keepLapsed(endpoints: readonly LapsedEndpoint[]): void {
        for (const { entry, leftMs } of endpoints) {
            if (!this.listed.has(entry.endpointId)) {
                this.lapsed.set(entry.endpointId, { entry, untilMs: performance.now() + leftMs });
            }
        }
    }

    /** @returns The entries to use now: listed and lapsed ones. */
    getEntries(): EndpointEntry[] {
        return [...this.listed.values(), ...this.getLapsed().map(({ entry }) => entry)];
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Its entry, if it is in use.
     */
    get(endpointId: string): EndpointEntry | undefined {
        const lapsed = this.lapsed.get(endpointId);
        const isKept = lapsed !== undefined && performance.now() < lapsed.untilMs;
        return this.listed.get(endpointId) ?? (isKept ? lapsed.entry : undefined);
    }

    /** @returns Entries that are still used although the store no longer lists them. */
    getLapsed(): LapsedEndpoint[] {
        const nowMs = performance.now();
        for (const [endpointId, { untilMs }] of this.lapsed) {
            if (nowMs >= untilMs) {
                this.lapsed.delete(endpointId);
            }
        }
        return [...this.lapsed.values()].map(({ entry, untilMs }) => ({ entry, leftMs: untilMs - nowMs }));
    }

    /** Whether there are entries that the store no longer lists. */
    get hasLapsed(): boolean {
        return this.lapsed.size > 0;
    }

    /** Whether the outage probably explains why an entry has disappeared, given all that disappeared with it. */
    private isLikelyLapsed(removed: readonly EndpointEntry[], { service }: EndpointEntry, renewalMs: number): boolean {
        if (this.outageMs >= MISSED_RENEWALS * renewalMs) {
            return true;
        }
        const previousCount = [...this.listed.values()].filter(entry => entry.service === service).length;
        return removed.filter(entry => entry.service === service).length > MASS_LAPSE_FRACTION * previousCount;
    }
}
