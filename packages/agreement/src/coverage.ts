import { rankByRendezvous } from "@heatherline/common";

/** One incarnation of an instance, from its start to its end. */
export interface MemberIdentity {
    readonly instanceId: string;
    readonly incarnation: string;
}

/** Replicas that were lost together: the state of subjects that only the members in `gone` kept is unknown. */
export interface CoverageGap {
    /** Members that kept the replicas before the loss. */
    readonly base: readonly string[];
    readonly gone: readonly MemberIdentity[];
    /** Number of the lease renewal after which the lost replicas can't be needed any more. */
    readonly untilRenewal: number;
}

/**
 * Which members keep replicas of the state that must survive the loss of any one member. This state is the idempotency
 * claims; after each change of the table, a member sends every other one the claims of which that one keeps a replica.
 */
export interface Coverage {
    /** Members at the last time when all of them had synchronised their state. */
    readonly base: readonly MemberIdentity[];
    /** Members of the base that have left or restarted since. */
    readonly gone: readonly MemberIdentity[];
    /** Earlier losses that may still matter. */
    readonly gaps: readonly CoverageGap[];
}

/** Replicas of each subject's state: on its owner and on the member that would own it next. */
export const REPLICA_COUNT = 2;

/**
 * Computes the coverage after a renewal of the lease, at which members may have changed.
 *
 * @param previous - Previous coverage.
 * @param members - Current members.
 * @param areSynced - Whether all members have synchronised their state.
 * @param renewal - Number of this renewal of the lease.
 * @param gapRenewals - Number of renewals for which lost replicas may be needed.
 * @returns The new coverage.
 */
export function updateCoverage(
    previous: Coverage,
    members: readonly MemberIdentity[],
    areSynced: boolean,
    renewal: number,
    gapRenewals: number,
): Coverage {
    const isMember = (identity: MemberIdentity) => members.some(member => isSame(member, identity));
    const gone = previous.base.filter(identity => !isMember(identity));
    const gaps = previous.gaps
        .filter(({ untilRenewal }) => untilRenewal > renewal)
        .map(gap => areSynced ? { ...gap, gone: gap.gone.filter(identity => !isMember(identity)) } : gap)
        .filter(gap => gap.gone.length >= REPLICA_COUNT);
    if (!areSynced) {
        return { base: previous.base, gone, gaps };
    }
    if (gone.length >= REPLICA_COUNT) {
        const base = previous.base.map(({ instanceId }) => instanceId);
        gaps.push({ base, gone, untilRenewal: renewal + gapRenewals });
    }
    return { base: members, gone: [], gaps };
}

/**
 * @param subject - Key whose state is replicated.
 * @param coverage - Current coverage.
 * @returns Whether all replicas of the subject's state may have been lost.
 */
export function hasLostAllReplicas(subject: string, coverage: Coverage): boolean {
    const base = coverage.base.map(({ instanceId }) => instanceId);
    return areAllReplicasGone(subject, base, coverage.gone) ||
        coverage.gaps.some(gap => areAllReplicasGone(subject, gap.base, gap.gone));
}

function areAllReplicasGone(subject: string, base: readonly string[], gone: readonly MemberIdentity[]): boolean {
    const replicas = rankByRendezvous(subject, base).slice(0, REPLICA_COUNT);
    return replicas.length > 0 && replicas.every(replica => gone.some(({ instanceId }) => instanceId === replica));
}

function isSame(left: MemberIdentity, right: MemberIdentity): boolean {
    return left.instanceId === right.instanceId && left.incarnation === right.incarnation;
}
