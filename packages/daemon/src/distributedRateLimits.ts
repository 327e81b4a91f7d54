import { type DataCentreAgreement, LEASE_TERM_MS, OwnershipTracker, type PeerTransport } from "@heatherline/agreement";
import { type Logger, monotonicMs, rankByRendezvous, startLoop } from "@heatherline/common";
import {
    getFailoverOrder,
    getGroup,
    getShareDataCentre,
    LimitOwner,
    type LimitOwnerClient,
    type ShareList,
    ShareLoans,
    ShareMembership,
    TOKEN_TTL_MS,
    type TokenRequest,
    type TokenResponse,
    type UsableShares,
    UsableShareTable,
} from "@heatherline/limits";
import type { OwnerLocator } from "./ownerLocator";

const TOKEN_REQUEST_TIMEOUT_MS = 600;
const BORROW_INTERVAL_MS = 500;
const BORROW_TIMEOUT_MS = 600;
/** How long a data centre is not asked about a subject again after it didn't answer or had lent its share. */
const AVOID_MS = 500;
const PRUNE_INTERVAL_MS = 30_000;

/** Request of another data centre to borrow this one's shares of rates. */
export interface LoanRequest {
    /** The data centre that wants to borrow. */
    readonly borrower: string;
    /** Groups of subjects whose shares it wants to borrow. */
    readonly groups: readonly string[];
    /** The data centres that have a share, as the borrower knows them. */
    readonly list: ShareList;
}

/** Reply to a {@link LoanRequest}. */
export interface LoanReply {
    /** Groups lent. */
    readonly groups: readonly string[];
    /** The data centres that have a share, as the lender knows them. */
    readonly list: ShareList;
}

/** State of rates that the lease holder broadcasts in its data centre. */
export interface BroadcastRateState {
    readonly shares: UsableShares;
    /** Data centres that have a share. */
    readonly dataCentres: readonly string[];
}

/** Parts of the daemon that the rate limits use. */
export interface RateLimitDependencies {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly agreement: DataCentreAgreement;
    readonly locator: OwnerLocator;
    readonly transport: PeerTransport;
    readonly logger: Logger;
    /** @returns Entries of all data centres that have a share of each rate by the documents in force, sorted. */
    readonly getShareEntries: () => readonly string[];
}

/** What this instance keeps while it holds the lease. */
interface LeaseState {
    readonly epoch: number;
    readonly membership: ShareMembership;
    /** @returns Whether the lease's durable state holds the share that this data centre has now. */
    readonly hasShare: () => boolean;
    readonly loans: ShareLoans;
}

/** Key of the lease's durable state: the entry under which this data centre has its share. */
const SHARE_KEY = "share";
/** Key of the lease's durable state: the data centres that have a share, as the lease holder knows them. */
const SHARE_LIST_KEY = "list";

/**
 * Applies the rate limits of organisations over the whole fleet. Requests tokens from the instance that owns a rate,
 * decides about the rates that this instance owns, and as lease holder lends and borrows shares of rates between data
 * centres.
 */
export class DistributedRateLimits implements LimitOwnerClient {
    readonly ownership: OwnershipTracker;
    private readonly limitOwner: LimitOwner;
    private readonly shares = new UsableShareTable();
    private readonly avoidedUntilMs = new Map<string, number>();
    private readonly dataCentreOfOwner = new Map<string, string>();
    private leaseState: LeaseState | undefined;
    private broadcastDataCentres: readonly string[] = [];
    private readonly stops: (() => Promise<void>)[] = [];

    /**
     * @param dependencies - Parts of the daemon that the rate limits use.
     */
    constructor(private readonly dependencies: RateLimitDependencies) {
        const { agreement, instanceId } = dependencies;
        this.ownership = new OwnershipTracker(agreement, instanceId, TOKEN_TTL_MS);
        this.limitOwner = new LimitOwner({
            checkOwnership: subject => this.ownership.check(subject),
            getDataCentres: () => this.getDataCentres(),
            getUsableShares: group => this.shares.get(group),
            getSoleOwnerSinceMs: subject => this.ownership.getOwnedSinceMs(subject) + TOKEN_TTL_MS,
            getBorrower: group => this.getLeaseState()?.loans.getBorrower(group),
        });
    }

    /** Starts to prune unused rates, and to borrow shares whenever this instance holds the lease. */
    start(): void {
        this.stops.push(startLoop(() => BORROW_INTERVAL_MS, () => this.borrow()));
        this.stops.push(startLoop(() => PRUNE_INTERVAL_MS, async () => this.limitOwner.prune()));
    }

    /** Stops the periodic tasks. */
    stop(): void {
        for (const stop of this.stops) {
            void stop();
        }
    }

    /** @returns State of rates that this instance broadcasts as lease holder; empty if it is not. */
    getBroadcastState(): BroadcastRateState {
        const leaseState = this.getLeaseState();
        const dataCentres = leaseState?.membership.getList().entries.map(getShareDataCentre) ?? [];
        return { shares: leaseState?.loans.renewUsableShares(dataCentres) ?? {}, dataCentres };
    }

    /**
     * Records the state that the lease holder has broadcast.
     *
     * @param state - The state.
     * @param sentAtMs - Time from which validities in the state count, on the monotonic clock.
     */
    recordBroadcastState(state: BroadcastRateState, sentAtMs: number): void {
        this.shares.update(state.shares, sentAtMs);
        this.broadcastDataCentres = state.dataCentres;
    }

    /**
     * Adds what a later lease holder needs to know about shares to the lease's durable state.
     *
     * @param previous - The durable state so far.
     * @returns The new durable state. It holds this data centre's share once all others have acknowledged it.
     */
    getDurableState(previous: Record<string, unknown>): Record<string, unknown> {
        const membership = this.getLeaseState()?.membership;
        if (membership === undefined) {
            return previous;
        }
        const state = { ...previous, [SHARE_LIST_KEY]: membership.getList().entries.join() };
        return membership.isAcknowledgedByAll() ? { ...state, [SHARE_KEY]: membership.getOwnEntry() } : state;
    }

    /** @returns The data centres that have a share, as the lease holder broadcast them or else by the documents. */
    getDataCentres(): readonly string[] {
        return this.broadcastDataCentres.length > 0
            ? this.broadcastDataCentres
            : this.dependencies.getShareEntries().map(getShareDataCentre);
    }

    /**
     * Decides as owner about a request for tokens.
     *
     * @param request - The request.
     * @returns The decision; `undefined` if a newer request has superseded this one.
     */
    handleTokenRequest(request: TokenRequest): TokenResponse | undefined {
        return this.limitOwner.handleRequest(request);
    }

    /**
     * Decides as lease holder about another data centre's request to borrow shares.
     *
     * @param request - The request.
     * @returns The reply; `undefined` if this instance doesn't hold the lease.
     */
    handleLoanRequest(request: LoanRequest): LoanReply | undefined {
        const leaseState = this.getLeaseState();
        if (leaseState === undefined) {
            return undefined;
        }
        leaseState.membership.recordPeerList(request.borrower, request.list);
        const list = leaseState.membership.getList();
        // A different list divides organisations into other groups, so that a loan would be used for the wrong ones.
        const groups = request.list.entries.join() === list.entries.join() ? request.groups : [];
        return { groups: leaseState.loans.lend(request.borrower, groups), list };
    }

    /**
     * @param subject - Work that is to be assigned to a data centre.
     * @param dataCentres - Data centres that may get it.
     * @returns The first of them, in the order of rendezvous hashing, that is this data centre or is reachable.
     */
    chooseDataCentre(subject: string, dataCentres: readonly string[]): string {
        const { dataCentre, locator } = this.dependencies;
        const ranked = rankByRendezvous(subject, dataCentres);
        return ranked.find(other => other === dataCentre || !locator.isUnreachable(other)) ?? dataCentre;
    }

    async resolve(subject: string): Promise<string | undefined> {
        const dataCentres = this.getDataCentres();
        const failoverOrder = getFailoverOrder(getGroup(subject, dataCentres), dataCentres);
        const usable = failoverOrder.filter(dataCentre => !this.isAvoided(dataCentre, subject));
        for (const dataCentre of usable) {
            const owner = await this.dependencies.locator.getOwner(dataCentre, subject);
            if (owner !== undefined) {
                this.dataCentreOfOwner.set(owner, dataCentre);
                return owner;
            }
        }
        return undefined;
    }

    async requestTokens(owner: string, request: TokenRequest): Promise<TokenResponse | undefined> {
        const response = owner === this.dependencies.instanceId
            ? this.handleTokenRequest(request)
            : await this.requestFromPeer(owner, request);
        const dataCentre = this.dataCentreOfOwner.get(owner) ?? "";
        if (response === undefined || response.kind === "lent") {
            this.avoid(dataCentre, request.subject);
        }
        if (response === undefined || response.kind === "not-owner") {
            this.dependencies.locator.invalidate(dataCentre);
        }
        return response;
    }

    private async requestFromPeer(owner: string, request: TokenRequest): Promise<TokenResponse | undefined> {
        const reply = await this.dependencies.transport.call<TokenResponse | undefined>(
            owner,
            "limits.ask",
            request,
            TOKEN_REQUEST_TIMEOUT_MS,
        );
        return reply.isOk() ? reply.value ?? undefined : undefined;
    }

    private avoid(dataCentre: string, subject: string): void {
        this.avoidedUntilMs.set(`${dataCentre}|${subject}`, monotonicMs() + AVOID_MS);
    }

    private isAvoided(dataCentre: string, subject: string): boolean {
        const key = `${dataCentre}|${subject}`;
        const untilMs = this.avoidedUntilMs.get(key);
        if (untilMs !== undefined && monotonicMs() >= untilMs) {
            this.avoidedUntilMs.delete(key);
        }
        return this.avoidedUntilMs.has(key);
    }

    /**
     * Loans belong to one epoch of the lease, since a new lease holder doesn't know the loans of its predecessor.
     *
     * @returns The state for the current epoch; `undefined` if this instance doesn't hold the lease.
     */
    private getLeaseState(): LeaseState | undefined {
        const { agreement, dataCentre } = this.dependencies;
        const table = agreement.getLeaseTable();
        if (table === undefined) {
            this.leaseState = undefined;
            return undefined;
        }
        if (this.leaseState?.epoch !== table.epoch) {
            const membership = new ShareMembership(dataCentre, LEASE_TERM_MS + TOKEN_TTL_MS);
            const hasShare = () =>
                membership.getOwnEntry() !== undefined &&
                agreement.getDurableState()[SHARE_KEY] === membership.getOwnEntry();
            const entries = this.dependencies.getShareEntries();
            membership.update(entries);
            const isListUnchanged = agreement.getDurableState()[SHARE_LIST_KEY] === entries.join();
            const loans = new ShareLoans(dataCentre, table.epoch === 1, isListUnchanged, hasShare);
            this.leaseState = { epoch: table.epoch, membership, hasShare, loans };
        }
        if (this.leaseState.membership.update(this.dependencies.getShareEntries())) {
            // The groups have changed. Nothing may be used or lent until all earlier loans have expired.
            this.leaseState = {
                ...this.leaseState,
                loans: new ShareLoans(dataCentre, false, false, this.leaseState.hasShare),
            };
        }
        return this.leaseState;
    }

    private async borrow(): Promise<void> {
        const leaseState = this.getLeaseState();
        if (leaseState === undefined) {
            return;
        }
        const list = leaseState.membership.getList();
        const dataCentres = list.entries.map(getShareDataCentre);
        const groups = leaseState.loans.getGroupsToBorrow(dataCentres);
        const others = dataCentres.filter(other => other !== this.dependencies.dataCentre);
        await Promise.all(
            others.map(other =>
                this.borrowFrom(other, leaseState, { borrower: this.dependencies.dataCentre, groups, list })
            ),
        );
    }

    private async borrowFrom(other: string, { loans, membership }: LeaseState, request: LoanRequest): Promise<void> {
        const { locator, transport } = this.dependencies;
        const holder = (await locator.getTable(other))?.holder;
        if (holder === undefined) {
            return;
        }
        const sentAtMs = monotonicMs();
        const reply = await transport.call<LoanReply | undefined>(
            holder,
            "shares.borrow",
            request,
            BORROW_TIMEOUT_MS,
        );
        if (reply.isErr() || !reply.value) {
            locator.invalidate(other);
            return;
        }
        loans.recordLoans(other, reply.value.groups, sentAtMs);
        membership.recordPeerList(other, reply.value.list);
    }
}
