import type { MemberTracker } from "./memberTracker";
import type { AgreementIdentity, LeaseRecord, MemberTable } from "./types";

/**
 * @param identity - The process that takes the lease.
 * @param previous - The lease that it takes over; `undefined` if there is none.
 * @param memberTracker - Computes which members cover the subjects.
 * @returns The first record of a new epoch.
 */
export function newLeaseRecord(
    identity: AgreementIdentity,
    previous: LeaseRecord | undefined,
    memberTracker: MemberTracker,
): LeaseRecord {
    const members = chooseInitialMembers(identity, previous);
    const renewal = (previous?.renewal ?? 0) + 1;
    return {
        epoch: (previous?.epoch ?? 0) + 1,
        version: (previous?.version ?? 0) + 1,
        holder: identity.instanceId,
        incarnation: identity.incarnation,
        members,
        coverage: memberTracker.computeCoverage(previous?.coverage, members, false, renewal),
        renewal,
        durable: previous?.durable ?? {},
        isReleased: false,
    };
}

/**
 * @param record - The record of a lease.
 * @returns The table of members in it.
 */
export function toMemberTable({ epoch, version, holder, members, coverage }: LeaseRecord): MemberTable {
    return { epoch, version, holder, members, coverage };
}

/** Keeps the members, so that subjects keep their owners, and removes only the previous lease holder. */
function chooseInitialMembers({ instanceId }: AgreementIdentity, previous: LeaseRecord | undefined): string[] {
    const remaining = previous?.members.filter(member => member !== previous.holder) ?? [];
    return [...new Set([...remaining, instanceId])].sort();
}
