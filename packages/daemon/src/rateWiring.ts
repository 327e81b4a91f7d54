import { type DataCentreAgreement, Ownership, type PeerTransport } from "@heatherline/agreement";
import { type Logger, monotonicMs, rankByRendezvous, startLoop } from "@heatherline/common";
import {
    getGroup,
    getSuccession,
    LimitOwner,
    type OwnerDirectory,
    ShareLoans,
    TOKEN_TTL_MS,
    type TokenAnswer,
    type TokenAsk,
    type UsableShares,
    UsableShareTable,
} from "@heatherline/limits";
import type { OwnerLocator } from "./ownerLocator";

const ASK_TIMEOUT_MS = 600;
const BORROW_INTERVAL_MS = 500;
const BORROW_TIMEOUT_MS = 600;
const AVOID_MS = 500;
const PRUNE_INTERVAL_MS = 30_000;

/** Another data centre's wish for this one's shares. */
export interface BorrowRequest {
    readonly borrower: string;
    readonly groups: readonly string[];
}

/** What the wiring of rates needs to know. */
export interface RateSurroundings {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly agreement: DataCentreAgreement;
    readonly locator: OwnerLocator;
    readonly transport: PeerTransport;
    readonly logger: Logger;
    /** @returns All data centres that have a share. */
    readonly getDataCentres: () => readonly string[];
}

/** Connects owners, loans of shares and askers of rates between instances. */
export class RateWiring implements OwnerDirectory {
    readonly ownership: Ownership;
    private readonly owner: LimitOwner;
    private readonly shares = new UsableShareTable();
    private readonly avoidedUntilMs = new Map<string, number>();
    private readonly dataCentreOfOwner = new Map<string, string>();
    private loans: { readonly epoch: number; readonly loans: ShareLoans; } | undefined;
    private readonly stops: (() => Promise<void>)[] = [];

    /**
     * @param surroundings - The rest of the daemon.
     */
    constructor(private readonly surroundings: RateSurroundings) {
        const { agreement, instanceId, getDataCentres } = surroundings;
        this.ownership = new Ownership(agreement, instanceId, TOKEN_TTL_MS);
        this.owner = new LimitOwner({
            checkOwnership: subject => this.ownership.check(subject),
            getDataCentres,
            getUsableShares: group => this.shares.get(group),
            getClearSinceMs: subject => this.ownership.getOwnedSinceMs(subject) + TOKEN_TTL_MS,
            getBorrower: group => this.getLoans()?.getBorrower(group),
        });
    }

    /** Starts borrowing, where this instance holds the lease. */
    start(): void {
        this.stops.push(startLoop(() => BORROW_INTERVAL_MS, () => this.borrow()));
        this.stops.push(startLoop(() => PRUNE_INTERVAL_MS, async () => this.owner.prune()));
    }

    /** Stops. */
    stop(): void {
        for (const stop of this.stops) {
            void stop();
        }
    }

    /** @returns What may be used in this data centre, as its holder says. */
    getNotes(): UsableShares {
        return this.getLoans()?.allowUse(this.surroundings.getDataCentres()) ?? {};
    }

    /**
     * @param shares - The holder's word on shares.
     * @param sentAtMs - Time from which validities count.
     */
    noteShares(shares: UsableShares, sentAtMs: number): void {
        this.shares.note(shares, sentAtMs);
    }

    /**
     * Handles an ask as owner.
     *
     * @param ask - The ask.
     * @returns The answer.
     */
    handleAsk(ask: TokenAsk): TokenAnswer | undefined {
        return this.owner.answer(ask);
    }

    /**
     * Handles another data centre's wish as holder.
     *
     * @param request - The wish.
     * @returns Groups lent; `undefined` where this instance does not hold the lease.
     */
    handleBorrow(request: BorrowRequest): string[] | undefined {
        return this.getLoans()?.lend(request.borrower, request.groups);
    }

    /**
     * @param subject - Work to be placed.
     * @param dataCentres - Where it may be placed.
     * @returns The best data centre of those that can be heard, this one included.
     */
    chooseDataCentre(subject: string, dataCentres: readonly string[]): string {
        const { dataCentre, locator } = this.surroundings;
        const ranked = rankByRendezvous(subject, dataCentres);
        return ranked.find(other => other === dataCentre || !locator.isSilent(other)) ?? dataCentre;
    }

    async resolve(subject: string): Promise<string | undefined> {
        const dataCentres = this.surroundings.getDataCentres();
        const succession = getSuccession(getGroup(subject, dataCentres), dataCentres);
        const usable = succession.filter(dataCentre => !this.isAvoided(dataCentre, subject));
        for (const dataCentre of usable) {
            const owner = await this.surroundings.locator.getOwner(dataCentre, subject);
            if (owner !== undefined) {
                this.dataCentreOfOwner.set(owner, dataCentre);
                return owner;
            }
        }
        return undefined;
    }

    async ask(owner: string, ask: TokenAsk): Promise<TokenAnswer | undefined> {
        const answer = owner === this.surroundings.instanceId ? this.handleAsk(ask) : await this.askPeer(owner, ask);
        const dataCentre = this.dataCentreOfOwner.get(owner) ?? "";
        if (answer === undefined || answer.kind === "lent") {
            this.avoid(dataCentre, ask.subject);
        }
        if (answer === undefined || answer.kind === "not-owner") {
            this.surroundings.locator.forget(dataCentre);
        }
        return answer;
    }

    private async askPeer(owner: string, ask: TokenAsk): Promise<TokenAnswer | undefined> {
        const reply = await this.surroundings.transport.call<TokenAnswer | undefined>(
            owner,
            "limits.ask",
            ask,
            ASK_TIMEOUT_MS,
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

    /** Loans belong to one epoch of holding: a new holder knows nothing of the loans before. */
    private getLoans(): ShareLoans | undefined {
        const { agreement, dataCentre } = this.surroundings;
        const table = agreement.getTable();
        if (table === undefined || !agreement.isHolder()) {
            this.loans = undefined;
            return undefined;
        }
        if (this.loans?.epoch !== table.epoch) {
            this.loans = { epoch: table.epoch, loans: new ShareLoans(dataCentre, table.epoch === 1) };
        }
        return this.loans.loans;
    }

    private async borrow(): Promise<void> {
        const loans = this.getLoans();
        if (loans === undefined) {
            return;
        }
        const { dataCentre, locator, transport, getDataCentres } = this.surroundings;
        const groups = loans.getGroupsToBorrow(getDataCentres());
        const others = getDataCentres().filter(other => other !== dataCentre);
        await Promise.all(others.map(async other => {
            const holder = (await locator.getTable(other))?.holder;
            if (holder === undefined) {
                return;
            }
            const sentAtMs = monotonicMs();
            const request: BorrowRequest = { borrower: dataCentre, groups };
            const reply = await transport.call<string[] | undefined>(
                holder,
                "shares.borrow",
                request,
                BORROW_TIMEOUT_MS,
            );
            if (reply.isOk() && reply.value) {
                loans.noteBorrowed(other, reply.value, sentAtMs);
            }
            else {
                locator.forget(other);
            }
        }));
    }
}
