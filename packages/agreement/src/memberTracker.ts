import { monotonicMs } from "@heatherline/common";
import { type Coverage, updateCoverage } from "./coverage";
import { type AgreementIdentity, type Heartbeat, LEASE_TERM_MS, type MemberTable } from "./types";

interface MemberState {
    readonly lastHeardAtMs: number;
    /** Until when a member lease granted to the instance may be valid, on the monotonic clock. */
    readonly memberLeaseUntilMs: number;
    readonly incarnation: string | undefined;
    /** Version of the table that the instance uses. */
    readonly tableVersion: number;
    readonly syncedVersion: number;
}

/** Number of renewals that certainly takes longer than the retention time of idempotency claims. */
const COVERAGE_GAP_RENEWALS = 14_400;
/** How long a silent instance that is not a member is remembered, in milliseconds. */
const SILENT_INSTANCE_TTL_MS = 60_000;

/** Used by the lease holder: tracks the instances of its data centre by their heartbeats, and chooses the members. */
export class MemberTracker {
    private readonly states = new Map<string, MemberState>();
    private isMemberRestarted = false;

    /**
     * @param identity - The lease holder.
     */
    constructor(private readonly identity: AgreementIdentity) {}

    /**
     * Starts over with members that have sent no heartbeat yet. Member leases of an earlier lease holder may still be
     * valid for one term.
     *
     * @param members - The members.
     */
    reset(members: readonly string[]): void {
        this.states.clear();
        const nowMs = monotonicMs();
        for (const member of members) {
            this.states.set(member, {
                lastHeardAtMs: nowMs,
                memberLeaseUntilMs: nowMs + LEASE_TERM_MS,
                incarnation: undefined,
                tableVersion: 0,
                syncedVersion: 0,
            });
        }
    }

    /**
     * @param heartbeat - Heartbeat of a member or a joining instance.
     * @param memberLeaseMs - Validity of the member lease that it is granted, in milliseconds; 0 for none.
     */
    recordHeartbeat(heartbeat: Heartbeat, memberLeaseMs: number): void {
        const { from, incarnation, tableVersion, syncedVersion, isLeaving } = heartbeat;
        const previous = this.states.get(from);
        const nowMs = monotonicMs();
        this.states.set(from, {
            lastHeardAtMs: isLeaving ? -Infinity : nowMs,
            // A leaving member gives up its ownership before it sends this heartbeat.
            memberLeaseUntilMs: isLeaving ? 0 : Math.max(previous?.memberLeaseUntilMs ?? 0, nowMs + memberLeaseMs),
            incarnation,
            tableVersion,
            syncedVersion,
        });
        this.isMemberRestarted ||= previous?.incarnation !== undefined && previous.incarnation !== incarnation;
    }

    /**
     * @param current - Current members.
     * @param listed - Instances that the platform lists; empty when that is unknown.
     * @returns The new members.
     */
    chooseMembers(current: readonly string[], listed: ReadonlySet<string>): string[] {
        const nowMs = monotonicMs();
        const isHeardRecently = ({ lastHeardAtMs }: MemberState) => nowMs - lastHeardAtMs < LEASE_TERM_MS;
        const kept = current.filter(member => {
            const state = this.states.get(member);
            // A member is removed from the table only when no member lease granted to it can be valid any more.
            return member === this.identity.instanceId ||
                (state !== undefined && (nowMs < state.memberLeaseUntilMs || isHeardRecently(state)));
        });
        const joined = [...this.states]
            .filter(([member, state]) => !kept.includes(member) && isHeardRecently(state))
            .map(([member]) => member)
            .filter(member => listed.size === 0 || listed.has(member));
        this.forgetSilentInstances(kept);
        return [...kept, ...joined].sort();
    }

    /** @returns Whether a member has restarted, and so lost its state, since the table last changed. */
    hasRestartedMember(): boolean {
        return this.isMemberRestarted;
    }

    /** Forgets restarts of members. Called when the table has a new version, which makes all members synchronise. */
    clearRestarts(): void {
        this.isMemberRestarted = false;
    }

    /**
     * @param table - The table in the lease.
     * @returns Whether no other member uses an older table any more.
     */
    isSettled(table: MemberTable): boolean {
        const nowMs = monotonicMs();
        return table.members.filter(member => member !== this.identity.instanceId).every(member => {
            const state = this.states.get(member);
            return state !== undefined && (state.tableVersion >= table.version || state.memberLeaseUntilMs <= nowMs);
        });
    }

    /**
     * @param table - The table in the lease.
     * @param ownVersion - Version of the table for which the lease holder has sent its state to all other members.
     * @returns Whether all members have synchronised their state for this table.
     */
    areSynced({ members, version }: MemberTable, ownVersion: number): boolean {
        return members.every(member =>
            member === this.identity.instanceId
                ? ownVersion >= version
                : (this.states.get(member)?.syncedVersion ?? 0) >= version
        );
    }

    /**
     * @param previous - Previous coverage; `undefined` for the first lease ever.
     * @param members - The new members.
     * @param areSynced - Whether they have synchronised their state.
     * @param renewal - Number of this renewal.
     * @returns The new coverage.
     */
    computeCoverage(
        previous: Coverage | undefined,
        members: readonly string[],
        areSynced: boolean,
        renewal: number,
    ): Coverage {
        const identities = members.map(instanceId => ({
            instanceId,
            incarnation: this.getIncarnation(instanceId, previous),
        }));
        return previous === undefined
            ? { base: identities, gone: [], gaps: [] }
            : updateCoverage(previous, identities, areSynced, renewal, COVERAGE_GAP_RENEWALS);
    }

    /** A member that has sent no heartbeat yet is assumed not to have restarted. */
    private getIncarnation(instanceId: string, coverage: Coverage | undefined): string {
        if (instanceId === this.identity.instanceId) {
            return this.identity.incarnation;
        }
        const known = coverage?.base.find(identity => identity.instanceId === instanceId)?.incarnation;
        return this.states.get(instanceId)?.incarnation ?? known ?? "";
    }

    private forgetSilentInstances(kept: readonly string[]): void {
        const oldestMs = monotonicMs() - SILENT_INSTANCE_TTL_MS;
        for (const [member, { lastHeardAtMs }] of this.states) {
            if (lastHeardAtMs < oldestMs && !kept.includes(member)) {
                this.states.delete(member);
            }
        }
    }
}
