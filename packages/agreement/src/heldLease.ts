import { invariant, monotonicMs } from "@heatherline/common";
import { LEASE_TERM_MS, type LeaseRecord } from "./types";

/**
 * The lease as its holder sees it. It is valid for one term from when the last confirmed renewal was sent, and beyond
 * that only while every other member's promise not to take it over is unexpired. An expired lease becomes valid again
 * when a renewal succeeds, which proves that no instance has taken it over, or when all members renew their promises:
 * a member that takes the lease over, or consents to that, never makes this holder another promise.
 */
export class HeldLease {
    private storeValidUntilMs: number;
    private readonly promisedUntilMs = new Map<string, number>();
    /** Members in writes whose outcome is unknown; their promises are needed as well. */
    private uncertainMembers: readonly string[] = [];
    private lastCheckedAtMs = 0;

    /**
     * @param record - The lease as written.
     * @param version - Version of the lease object in the store.
     * @param sentAtMs - When the write was sent, on the monotonic clock.
     */
    constructor(public record: LeaseRecord, public version: number, sentAtMs: number) {
        this.storeValidUntilMs = sentAtMs + LEASE_TERM_MS;
    }

    /** @returns Milliseconds for which the lease is still valid; 0 when it has expired. */
    getRemainingMs(): number {
        const nowMs = monotonicMs();
        invariant("clock-monotonic", nowMs >= this.lastCheckedAtMs, () => `${nowMs} after ${this.lastCheckedAtMs}`);
        this.lastCheckedAtMs = nowMs;
        return Math.max(0, Math.max(this.storeValidUntilMs, this.getPromisedUntilMs()) - nowMs);
    }

    /**
     * Records a confirmed renewal.
     *
     * @param record - The lease as written.
     * @param version - Version of the lease object in the store.
     * @param sentAtMs - When the write was sent, on the monotonic clock; `-Infinity` when that is unknown.
     */
    recordRenewal(record: LeaseRecord, version: number, sentAtMs: number): void {
        this.record = record;
        this.version = version;
        this.uncertainMembers = [];
        this.storeValidUntilMs = Math.max(this.storeValidUntilMs, sentAtMs + LEASE_TERM_MS);
    }

    /**
     * Records a write whose outcome is unknown: it may have made these members candidates for a takeover.
     *
     * @param members - Members in that write.
     */
    recordUncertainWrite(members: readonly string[]): void {
        this.uncertainMembers = [...new Set([...this.uncertainMembers, ...members])];
    }

    /**
     * Records a member's promise not to take the lease over.
     *
     * @param member - The member.
     * @param stamp - Time on the lease holder's clock that the member acknowledged; the promise lasts a term from it.
     */
    recordPromise(member: string, stamp: number): void {
        const untilMs = stamp + LEASE_TERM_MS;
        this.promisedUntilMs.set(member, Math.max(untilMs, this.promisedUntilMs.get(member) ?? 0));
    }

    private getPromisedUntilMs(): number {
        const others = [...this.record.members, ...this.uncertainMembers].filter(member =>
            member !== this.record.holder
        );
        if (others.length === 0) {
            // A lease holder without other members has no promises to rely on: a joining instance could take the lease
            // over without its knowledge.
            return 0;
        }
        return Math.min(...others.map(member => this.promisedUntilMs.get(member) ?? 0));
    }
}
