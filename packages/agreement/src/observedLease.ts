import { monotonicMs } from "@heatherline/common";
import type { StoredObject } from "@heatherline/store";
import { LEASE_TERM_MS, type LeaseRecord, TAKEOVER_MARGIN_MS } from "./types";

/** A version of another instance's lease that this instance has read in the store. */
export class ObservedLease {
    readonly record: LeaseRecord;
    /** When this instance first read this version, on the monotonic clock. */
    private readonly firstSeenAtMs = monotonicMs();
    private lastSeenAtMs = this.firstSeenAtMs;

    /**
     * @param object - The lease as the store has it.
     */
    constructor(private readonly object: StoredObject) {
        this.record = object.value as unknown as LeaseRecord;
    }

    /** Version of the lease's object in the store. */
    get objectVersion(): number {
        return this.object.version;
    }

    /** Records that the store still had this version just now. */
    recordSeen(): void {
        this.lastSeenAtMs = monotonicMs();
    }

    /** @returns Whether its holder has released the lease, or hasn't renewed it for longer than it holds. */
    mayBeTakenOver(): boolean {
        return this.record.isReleased || this.getUnchangedMs() >= LEASE_TERM_MS + TAKEOVER_MARGIN_MS;
    }

    /** @returns Whether the lease has expired, according to a recent read. */
    isStale(): boolean {
        return monotonicMs() - this.lastSeenAtMs < LEASE_TERM_MS &&
            this.getUnchangedMs() > LEASE_TERM_MS + TAKEOVER_MARGIN_MS;
    }

    private getUnchangedMs(): number {
        return this.lastSeenAtMs - this.firstSeenAtMs;
    }
}
