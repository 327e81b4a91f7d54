import { monotonicMs } from "@heatherline/common";
import { SharedBucket } from "./sharedBucket";
import { divideBounds, getGroup } from "./shares";
import type { LimitBounds, TokenRequest, TokenResponse } from "./types";

/** What an owner needs from the rest of the instance. */
export interface LimitOwnerDependencies {
    /**
     * @param subject - A subject.
     * @returns Whether this instance may decide about it now.
     */
    checkOwnership(subject: string):
        | { readonly kind: "ready"; }
        | { readonly kind: "waiting"; readonly waitMs: number; }
        | { readonly kind: "not-owner"; readonly owner: string | undefined; };
    /** @returns All data centres that have a share of each rate. */
    getDataCentres(): readonly string[];
    /**
     * @param group - A group of subjects.
     * @returns Shares that may be used in this data centre now.
     */
    getUsableShares(group: string): readonly UsableShare[];
    /**
     * @param subject - A subject that this instance owns.
     * @returns Since when all tokens of earlier owners have expired, on the monotonic clock.
     */
    getSoleOwnerSinceMs(subject: string): number;
    /**
     * @param group - A group of subjects.
     * @returns The data centre that decides instead, if this one has lent its share.
     */
    getBorrower(group: string): string | undefined;
}

/** A data centre's share of a rate that may be used in this data centre. */
export interface UsableShare {
    readonly dataCentre: string;
    /** Since when it has been usable here without interruption, on the monotonic clock. */
    readonly sinceMs: number;
}

interface UsableBounds extends LimitBounds {
    /** Tokens that have accrued while nobody could spend them. */
    readonly initialTokens: number;
}

const NO_SHARE_RETRY_MS = 500;

/** Grants tokens for the subjects that this instance owns. */
export class LimitOwner {
    private readonly buckets = new Map<string, SharedBucket>();

    /**
     * @param dependencies - What the owner needs from the rest of the instance.
     */
    constructor(private readonly dependencies: LimitOwnerDependencies) {}

    /**
     * @param request - An instance's request for tokens.
     * @returns The response; `undefined` for a request that arrives after a newer one of the same account.
     */
    handleRequest(request: TokenRequest): TokenResponse | undefined {
        const ownership = this.dependencies.checkOwnership(request.subject);
        if (ownership.kind === "not-owner") {
            this.buckets.delete(request.subject);
            return ownership;
        }
        if (ownership.kind === "waiting") {
            this.buckets.delete(request.subject);
            return { kind: "not-ready", retryAfterMs: ownership.waitMs };
        }
        const bounds = this.getUsableBounds(request.subject, request.bounds);
        if (bounds === undefined) {
            this.buckets.get(request.subject)?.close();
            return this.describeMissingShare(request);
        }
        return this.getBucket(request.subject, bounds).grantTokens(request);
    }

    /** Deletes idle buckets. */
    prune(): void {
        for (const [subject, bucket] of this.buckets) {
            if (bucket.isIdle()) {
                this.buckets.delete(subject);
            }
        }
    }

    private getBucket(subject: string, bounds: UsableBounds): SharedBucket {
        let bucket = this.buckets.get(subject);
        if (bucket === undefined) {
            bucket = new SharedBucket(bounds, bounds.initialTokens);
            this.buckets.set(subject, bucket);
        }
        if (bucket.isClosed) {
            bucket.open(bounds, bounds.initialTokens);
        }
        else {
            bucket.setBounds(bounds);
        }
        return bucket;
    }

    private getUsableBounds(subject: string, bounds: LimitBounds): UsableBounds | undefined {
        const dataCentres = this.dependencies.getDataCentres();
        const shares = divideBounds(subject, bounds, dataCentres);
        const usable = this.dependencies.getUsableShares(getGroup(subject, dataCentres));
        const soleOwnerSinceMs = this.dependencies.getSoleOwnerSinceMs(subject);
        const nowMs = monotonicMs();
        let burst = 0;
        let ratePerS = 0;
        let initialTokens = 0;
        for (const { dataCentre, sinceMs } of usable) {
            const share = shares.get(dataCentre) ?? { burst: 0, ratePerS: 0 };
            burst += share.burst;
            ratePerS += share.ratePerS;
            const accruedForS = Math.max(0, nowMs - Math.max(sinceMs, soleOwnerSinceMs)) / 1_000;
            initialTokens += share.burst === 0 ? 0 : Math.min(share.burst, share.ratePerS * accruedForS);
        }
        return burst >= 1 ? { burst, ratePerS, initialTokens } : undefined;
    }

    private describeMissingShare(request: TokenRequest): TokenResponse {
        const group = getGroup(request.subject, this.dependencies.getDataCentres());
        const borrower = this.dependencies.getBorrower(group);
        return borrower === undefined
            ? { kind: "not-ready", retryAfterMs: NO_SHARE_RETRY_MS }
            : { kind: "lent", borrower };
    }
}

/** The shares of data centres that this instance may use, as the lease holder of its data centre has granted them. */
export class UsableShareTable {
    private entries = new Map<string, Map<string, { readonly sinceMs: number; readonly untilMs: number; }>>();

    /**
     * Replaces the shares by those of the newest grant.
     *
     * @param shares - Group to data centre to validity in milliseconds.
     * @param validFromMs - Time from which the validity counts, on the monotonic clock.
     */
    update(shares: Record<string, Record<string, number>>, validFromMs: number): void {
        const previous = this.entries;
        this.entries = new Map();
        const nowMs = monotonicMs();
        for (const [group, byDataCentre] of Object.entries(shares)) {
            const entries = Object.entries(byDataCentre).map(([dataCentre, remainingMs]) => {
                const known = previous.get(group)?.get(dataCentre);
                const sinceMs = known !== undefined && nowMs < known.untilMs ? known.sinceMs : nowMs;
                return [dataCentre, { sinceMs, untilMs: validFromMs + remainingMs }] as const;
            });
            this.entries.set(group, new Map(entries));
        }
    }

    /**
     * @param group - A group of subjects.
     * @returns The shares that may be used now.
     */
    get(group: string): UsableShare[] {
        const nowMs = monotonicMs();
        return [...this.entries.get(group) ?? []]
            .filter(([, { untilMs }]) => nowMs < untilMs)
            .map(([dataCentre, { sinceMs }]) => ({ dataCentre, sinceMs }));
    }
}
