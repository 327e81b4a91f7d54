import { invariant, monotonicMs } from "@heatherline/common";
import { getFailoverOrder } from "./shares";
import { TOKEN_TTL_MS } from "./types";

/** Validity of a loan, from when the borrower sent its request. */
export const LOAN_TTL_MS = 2_000;
/** Validity of a data centre's permission to use its own share; renewed while no other data centre borrows it. */
export const OWN_USE_TTL_MS = 2_000;
/** How long after a loan request own use isn't renewed, so that it ends and the share can be lent. */
const LOAN_REQUEST_TTL_MS = 3_000;
/** A data centre that has not been heard from for this long is skipped in the failover order. */
const UNREACHABLE_AFTER_MS = 2_000;

/** Shares that may be used in this data centre: group to data centre to remaining validity in milliseconds. */
export type UsableShares = Record<string, Record<string, number>>;

interface OwnShare {
    lentTo: string | undefined;
    lentUntilMs: number;
    ownUseUntilMs: number;
    requestedUntilMs: number;
}

/**
 * The loans of shares between data centres, kept by the lease holder of each data centre. While data centres can reach
 * each other, the first data centre in the failover order of a group of subjects borrows the shares of all others and
 * decides alone. When it is partitioned, its loans expire and every data centre falls back to its own share. A share is
 * never used in two places: before a data centre lends its share, its own use ends and the tokens granted under that
 * use expire; before it uses the share again, the loan and the tokens granted under the loan expire.
 */
export class ShareLoans {
    private readonly ownShares = new Map<string, OwnShare>();
    /** Group to lender to the time until which the loan is valid. */
    private readonly borrowed = new Map<string, Map<string, number>>();
    private readonly lastContactMs = new Map<string, number>();
    private readonly startedAtMs = monotonicMs();

    /**
     * Loans made by earlier lease holders are not known; they are left to expire before shares are used or lent.
     *
     * @param dataCentre - This data centre.
     * @param isFirstLeaseHolder - Whether there was no earlier lease holder, so that no loans need to expire.
     * @param isListUnchanged - Whether the previous lease holder acted on the same list of data centres, so that this
     * data centre's share of its own group was never lent.
     * @param hasShare - Whether all other data centres have acknowledged that this one has a share.
     */
    constructor(
        private readonly dataCentre: string,
        private readonly isFirstLeaseHolder: boolean,
        private readonly isListUnchanged: boolean,
        private readonly hasShare: () => boolean,
    ) {}

    /**
     * Handles another data centre's request to borrow this one's shares.
     *
     * @param borrower - The other data centre.
     * @param groups - Groups for which it requests the shares.
     * @returns The groups lent, each for {@link LOAN_TTL_MS} from when the request was sent.
     */
    lend(borrower: string, groups: readonly string[]): string[] {
        this.recordContact(borrower);
        return groups.filter(group => group !== this.dataCentre && this.lendShare(group, borrower));
    }

    /**
     * Records that a data centre's lease holder can be reached.
     *
     * @param dataCentre - The other data centre.
     */
    recordContact(dataCentre: string): void {
        this.lastContactMs.set(dataCentre, monotonicMs());
    }

    /**
     * @param dataCentres - All data centres.
     * @returns The groups that this data centre should decide about, and for which it should borrow shares: it comes
     * first in their failover order, or all data centres before it are unreachable.
     */
    getGroupsToBorrow(dataCentres: readonly string[]): string[] {
        return dataCentres.filter(group => {
            const failoverOrder = getFailoverOrder(group, dataCentres);
            return failoverOrder.slice(0, failoverOrder.indexOf(this.dataCentre)).every(other =>
                this.isUnreachable(other)
            );
        });
    }

    /**
     * Records the response to a loan request of this data centre.
     *
     * @param lender - The data centre that responded.
     * @param groups - Groups for which it lent its shares.
     * @param sentAtMs - When the request was sent, on the monotonic clock.
     */
    recordLoans(lender: string, groups: readonly string[], sentAtMs: number): void {
        this.recordContact(lender);
        for (const group of groups) {
            const lenders = this.borrowed.get(group) ?? new Map<string, number>();
            lenders.set(lender, sentAtMs + LOAN_TTL_MS);
            this.borrowed.set(group, lenders);
        }
    }

    /**
     * Computes which shares may be used in this data centre now, and renews the permission to use its own ones where
     * that is possible.
     *
     * @param dataCentres - All data centres.
     * @returns The usable shares.
     */
    renewUsableShares(dataCentres: readonly string[]): UsableShares {
        const nowMs = monotonicMs();
        const usable: UsableShares = {};
        for (const group of dataCentres) {
            const shares: Record<string, number> = {};
            if (this.mayUseOwnShare(group, nowMs)) {
                this.getOwnShare(group).ownUseUntilMs = nowMs + OWN_USE_TTL_MS;
                shares[this.dataCentre] = OWN_USE_TTL_MS;
            }
            for (const [lender, untilMs] of this.borrowed.get(group) ?? []) {
                if (untilMs > nowMs) {
                    shares[lender] = untilMs - nowMs;
                }
            }
            if (Object.keys(shares).length > 0) {
                usable[group] = shares;
            }
        }
        return usable;
    }

    /**
     * @param group - A group.
     * @returns The data centre to which this one's share is lent now.
     */
    getBorrower(group: string): string | undefined {
        const share = this.ownShares.get(group);
        return share !== undefined && monotonicMs() < share.lentUntilMs ? share.lentTo : undefined;
    }

    private lendShare(group: string, borrower: string): boolean {
        if (!this.hasShare()) {
            return false;
        }
        const nowMs = monotonicMs();
        const share = this.getOwnShare(group);
        const isLentElsewhere = share.lentTo !== borrower && nowMs < share.lentUntilMs + TOKEN_TTL_MS;
        if (isLentElsewhere) {
            return false;
        }
        share.requestedUntilMs = nowMs + LOAN_REQUEST_TTL_MS;
        if (nowMs < share.ownUseUntilMs + TOKEN_TTL_MS || !this.haveEarlierLoansExpired(nowMs)) {
            return false;
        }
        invariant(
            "share-used-in-one-place",
            nowMs >= share.ownUseUntilMs + TOKEN_TTL_MS,
            () => `${this.dataCentre}'s share of ${group} is still used here`,
        );
        share.lentTo = borrower;
        share.lentUntilMs = nowMs + LOAN_TTL_MS;
        return true;
    }

    private mayUseOwnShare(group: string, nowMs: number): boolean {
        if (!this.hasShare()) {
            return false;
        }
        if (group === this.dataCentre) {
            // Under another list the same organisations were in other groups, whose shares may still be lent.
            return this.isListUnchanged || this.haveEarlierLoansExpired(nowMs);
        }
        const share = this.getOwnShare(group);
        return nowMs >= share.lentUntilMs + TOKEN_TTL_MS && nowMs >= share.requestedUntilMs &&
            this.haveEarlierLoansExpired(nowMs);
    }

    private haveEarlierLoansExpired(nowMs: number): boolean {
        return this.isFirstLeaseHolder || nowMs - this.startedAtMs >= LOAN_TTL_MS + TOKEN_TTL_MS;
    }

    private isUnreachable(dataCentre: string): boolean {
        return monotonicMs() - (this.lastContactMs.get(dataCentre) ?? this.startedAtMs) > UNREACHABLE_AFTER_MS;
    }

    private getOwnShare(group: string): OwnShare {
        let share = this.ownShares.get(group);
        if (share === undefined) {
            share = {
                lentTo: undefined,
                lentUntilMs: -Infinity,
                ownUseUntilMs: -Infinity,
                requestedUntilMs: -Infinity,
            };
            this.ownShares.set(group, share);
        }
        return share;
    }
}
