import type { PlaceRequest } from "../types";
import { CanaryTraffic } from "./canaryTraffic";
import { ExposureBudget } from "./exposureBudget";
import { RolloutEvidence } from "./rolloutEvidence";
import { decideRollout, getRolloutSchedule, type RolloutDecision, type RolloutSchedule } from "./rolloutPolicy";
import type { RolloutLimits, RolloutOrder, RolloutRecord, RolloutState } from "./types";

/** Counts alone are stored no sooner than this after the last record, in milliseconds. */
const STORE_INTERVAL_MS = 450;
/** A record that has not been confirmed for this long is returned again, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;
/** While the store can't be written for this long, the share doesn't grow; in milliseconds. */
const HOLD_AFTER_MS = 1_000;
/** After this time, the new version gets nothing unless it has all traffic; in milliseconds. */
const SUSPEND_AFTER_MS = 3_000;
/** After a takeover, instances report the places that they hold within this time, in milliseconds. */
const PLACE_REPORT_MS = 2_000;
/** The new version is used for this long before its share grows, also if there is little traffic; in milliseconds. */
const MIN_CANARY_MS = 1_000;
/** Requests whose exposure is stored in advance: time for which they suffice, and bounds. */
const RESERVE_S = 0.2;
const MIN_RESERVE = 4;
const MAX_RESERVE = 32;
const MS_PER_S = 1_000;

/** What the fleet is like for a roll-out. */
export interface RolloutSurroundings {
    /** Slots of the ready endpoints of the new version. */
    readonly candidateSlots: number;
    /** Slots of one of them; 0 if there is none. */
    readonly endpointSlots: number;
    readonly candidatePlaces: number;
    readonly oldPlaces: number;
    readonly longestTimeoutMs: number;
    /** @returns The other versions that the service has endpoints of. */
    readonly getOtherVersions: () => readonly string[];
}

/** How a roll-out begins. */
export interface RolloutStart {
    readonly abandonedVersions: readonly string[];
    /** Why the order can't be followed; `undefined` if it can. */
    readonly voidReason: string | undefined;
    /** The traffic returns to a version that had all of it. */
    readonly isReturn: boolean;
}

/** One order of a service and what has been done about it. */
export class ServiceRollout {
    readonly evidence: RolloutEvidence;
    readonly budget: ExposureBudget;
    readonly canary = new CanaryTraffic();
    /** Share in force. */
    share: number;
    state: RolloutState;
    private reason: string;
    private isCompleting = false;
    private replaced: readonly string[] | undefined;
    /** A step that takes effect once it is stored. */
    private pendingShare: number | undefined;
    private stepStartedAtMs = performance.now();
    private stepStartAnswers = 0;
    /** Since when the new version has been seen to have ready endpoints. */
    private candidatesSinceMs: number | undefined;
    private isStored = false;
    private mustStore = true;
    private emittedAtMs = -Infinity;
    /** The latest record that was returned to be stored. */
    private emitted: RolloutRecord | undefined;
    /** When the first record was returned that has not been confirmed; `undefined` if all have. */
    private unconfirmedSinceMs: number | undefined;
    private failingSinceMs: number | undefined;
    private storedTotal = -1;
    /** How long the latest write took, in milliseconds. */
    private storeMs = 0;
    private readonly orderedAtMs: number;
    private readonly adoptedAtMs: number | undefined;

    private constructor(
        private readonly limits: RolloutLimits,
        private readonly base: RolloutRecord,
        private readonly epoch: number,
        isAdopted: boolean,
    ) {
        this.orderedAtMs = performance.now() - (Date.now() - base.orderedAt);
        this.adoptedAtMs = isAdopted ? performance.now() : undefined;
        this.evidence = new RolloutEvidence(base.routes);
        this.budget = new ExposureBudget(limits, base.exposedRequests, base.totalRequests);
        this.share = base.share;
        this.state = base.state;
        this.replaced = base.replacedVersions;
        this.reason = base.reason;
        this.stepStartAnswers = this.evidence.candidateAnswers;
        this.mustStore = base.state === "running";
    }

    /**
     * @param limits - Limits on the use of a bad version.
     * @param order - An order that has no record yet.
     * @param start - How it begins.
     * @param epoch - Epoch of the coordinator.
     * @returns The roll-out.
     */
    static begin(limits: RolloutLimits, order: RolloutOrder, start: RolloutStart, epoch: number): ServiceRollout {
        const { service, toVersion, orderId, orderedAt, durationMs } = order;
        const { abandonedVersions, voidReason, isReturn } = start;
        return new ServiceRollout(
            limits,
            {
                service,
                toVersion,
                orderId,
                orderedAt,
                // An order with an invalid duration moves nothing, since its deadline has passed.
                deadlineAt: orderedAt + (durationMs > 0 ? durationMs : 0),
                state: "running",
                epoch,
                share: isReturn ? 1 : 0,
                exposedRequests: 0,
                totalRequests: 0,
                routes: [],
                reason: voidReason ?? (isReturn ? "return" : "canary"),
                ...abandonedVersions.length > 0 ? { abandonedVersions } : {},
                ...voidReason === undefined ? {} : { isVoid: true },
            },
            epoch,
            false,
        );
    }

    /**
     * @param limits - Limits on the use of a bad version.
     * @param record - What an earlier coordinator has stored.
     * @param epoch - Epoch of this coordinator.
     * @returns The roll-out, continued.
     */
    static resume(limits: RolloutLimits, record: RolloutRecord, epoch: number): ServiceRollout {
        return new ServiceRollout(limits, record, epoch, true);
    }

    get toVersion(): string {
        return this.base.toVersion;
    }

    get orderId(): string {
        return this.base.orderId;
    }

    get orderedAt(): number {
        return this.base.orderedAt;
    }

    get isVoid(): boolean {
        return this.base.isVoid === true;
    }

    /** Versions of replaced orders. */
    get abandonedVersions(): readonly string[] {
        return this.base.abandonedVersions ?? [];
    }

    /** Versions that the service had beside the new one when the roll-out was completed; `undefined` until then. */
    get replacedVersions(): readonly string[] | undefined {
        return this.replaced;
    }

    /** Whether requests are still counted and compared. */
    get isOpen(): boolean {
        return this.state === "running" && !this.isVoid;
    }

    /** Whether a new order begins from the new version: it was completed, or that may be in the store already. */
    get isSettled(): boolean {
        return this.state === "completed" || this.isCompleting || this.isVoid;
    }

    /** Whether the new version has all traffic. */
    get hasMoved(): boolean {
        return this.state === "completed" || (this.state === "running" && this.share === 1);
    }

    /** Time since the order, in milliseconds. */
    get elapsedMs(): number {
        return performance.now() - this.orderedAtMs;
    }

    /** Time until the deadline, in milliseconds. */
    get leftMs(): number {
        return this.durationMs - this.elapsedMs;
    }

    /**
     * @param request - A request that may begin at any version.
     * @param surroundings - What the fleet is like.
     * @param isReadOnly - Whether the decision is only explained and has no effect on later requests.
     * @returns Whether it may be sent to the new version while that doesn't have all traffic.
     */
    mayUseCandidate(request: PlaceRequest, surroundings: RolloutSurroundings, isReadOnly = false): boolean {
        if (!this.isGranting || request.workClass === "batch" || surroundings.candidateSlots === 0) {
            return false;
        }
        if (this.share > 0 && this.budget.leftForSteps > 0 && toFraction(request.askId) < this.share) {
            return true;
        }
        const { canaryMs } = this.getSchedule(surroundings.longestTimeoutMs);
        const left = this.budget.getCanaryLeft(this.elapsedMs, this.durationMs, canaryMs);
        const { endpointSlots } = surroundings;
        const { route = "" } = request;
        return this.budget.isCovered && (isReadOnly
            ? this.canary.peek(route, left, endpointSlots).mayUse
            : this.canary.mayUse(route, left, endpointSlots));
    }

    /** Whether a stream that the new version has begun may go on there. */
    get mayResumeCandidate(): boolean {
        return this.hasMoved || (this.isGranting && this.budget.leftForSteps > 0);
    }

    /**
     * Applies what has been learned.
     *
     * @param surroundings - What the fleet is like.
     * @returns What has been decided, for the log.
     */
    decide(surroundings: RolloutSurroundings): RolloutDecision {
        if (this.state !== "running" || this.isCompleting) {
            return { kind: "stay" };
        }
        if (this.storeOutageMs > SUSPEND_AFTER_MS && this.share < 1) {
            this.share = 0;
            this.pendingShare = undefined;
        }
        const schedule = this.getSchedule(surroundings.longestTimeoutMs);
        const { candidateSlots, candidatePlaces, oldPlaces } = surroundings;
        this.budget.running = candidatePlaces + oldPlaces;
        this.candidatesSinceMs = candidateSlots > 0 ? this.candidatesSinceMs ?? performance.now() : undefined;
        const canaryAgeMs = performance.now() - (this.candidatesSinceMs ?? Infinity);
        const decision = decideRollout({
            elapsedMs: this.elapsedMs,
            share: this.share,
            stepAgeMs: performance.now() - this.stepStartedAtMs,
            stepAnswers: this.evidence.candidateAnswers - this.stepStartAnswers,
            excess: this.evidence.findExcess(),
            isDoubtful: this.evidence.isDoubtful,
            hasCandidates: candidateSlots > 0,
            hasCapacity: candidateSlots > candidatePlaces + oldPlaces,
            hasEvidence: canaryAgeMs >= MIN_CANARY_MS
                && this.canary.hasEvidence(this.evidence.candidateAnswers, this.elapsedMs >= schedule.latestStartMs),
            hasRouteEvidence: this.canary.hasRouteEvidence(this.evidence.getCounts()),
            oldPlaces: this.arePlacesReported ? oldPlaces : Math.max(1, oldPlaces),
            isVoid: this.isVoid,
            isHeld: !this.isStored || this.storeOutageMs > HOLD_AFTER_MS,
        }, schedule);
        if (decision.kind === "complete") {
            this.replaced = surroundings.getOtherVersions();
        }
        return this.apply(decision);
    }

    /** Ends the roll-out because its order has been withdrawn. */
    withdraw(): void {
        if (this.state === "running" && !this.isCompleting) {
            this.rollBack("the order was withdrawn");
        }
    }

    /** @returns The record to store now; `undefined` if there is none. */
    takeRecordToStore(): RolloutRecord | undefined {
        const ageMs = performance.now() - this.emittedAtMs;
        const hasCountsToStore = this.isOpen && ageMs >= STORE_INTERVAL_MS && this.budget.total !== this.storedTotal
            && this.unconfirmedSinceMs === undefined;
        const isOverdue = this.unconfirmedSinceMs !== undefined && ageMs >= STORE_TIMEOUT_MS;
        if (!this.mustStore && !hasCountsToStore && !isOverdue) {
            return undefined;
        }
        this.mustStore = false;
        this.emittedAtMs = performance.now();
        this.unconfirmedSinceMs ??= performance.now();
        this.storedTotal = this.budget.total;
        const { exposed } = this.budget;
        const isDone = this.isCompleting || this.state !== "running" || this.isVoid;
        this.emitted = {
            ...this.getRecord(),
            state: this.isCompleting ? "completed" : this.state,
            share: this.isCompleting ? 1 : this.pendingShare ?? this.share,
            exposedRequests: isDone ? exposed : Math.max(exposed, this.budget.storedExposed, exposed + this.reserve),
        };
        return this.emitted;
    }

    /**
     * @param record - A record that has been stored.
     */
    confirmStored(record: RolloutRecord): void {
        this.isStored = true;
        // A later record may be on its way, which must still be confirmed.
        this.storeMs = performance.now() - this.emittedAtMs;
        const isLatest = record.state === this.emitted?.state && record.share === this.emitted.share;
        this.unconfirmedSinceMs = isLatest ? undefined : this.emittedAtMs;
        this.failingSinceMs = undefined;
        if (this.state !== "running") {
            return;
        }
        this.budget.storedExposed = record.exposedRequests;
        if (record.state === "completed") {
            this.state = "completed";
            this.share = 1;
        }
        else if (record.share === this.pendingShare) {
            this.share = this.pendingShare;
            this.pendingShare = undefined;
            this.stepStartedAtMs = performance.now();
            this.stepStartAnswers = this.evidence.candidateAnswers;
        }
    }

    /** Records that the latest record could not be stored; without one, there is nothing that shows the recovery. */
    recordStoreFailure(): void {
        if (this.unconfirmedSinceMs !== undefined) {
            this.failingSinceMs ??= performance.now();
            this.mustStore = true;
        }
    }

    /** @returns The record as it is in force. */
    getRecord(): RolloutRecord {
        return {
            ...this.base,
            state: this.state,
            epoch: this.epoch,
            share: this.share,
            exposedRequests: this.budget.exposed,
            totalRequests: this.budget.total,
            routes: this.evidence.getCounts(),
            reason: this.reason,
            ...this.replaced === undefined ? {} : { replacedVersions: this.replaced },
        };
    }

    private apply(decision: RolloutDecision): RolloutDecision {
        if (decision.kind === "roll-back") {
            this.rollBack(decision.reason);
            return decision;
        }
        if (decision.kind === "complete") {
            this.isCompleting = true;
            this.reason = decision.reason;
            this.mustStore = true;
            return decision;
        }
        if (decision.kind === "share" && this.pendingShare === undefined) {
            this.pendingShare = decision.share;
            this.reason = `share ${decision.share}`;
            this.mustStore = true;
            return decision;
        }
        return { kind: "stay" };
    }

    private rollBack(reason: string): void {
        this.state = "rolled-back";
        this.share = 0;
        this.pendingShare = undefined;
        this.reason = reason;
        this.mustStore = true;
    }

    private get durationMs(): number {
        return this.base.deadlineAt - this.base.orderedAt;
    }

    /** Whether requests may be granted places at the new version: the record with this epoch is in the store. */
    private get isGranting(): boolean {
        return this.isOpen && this.isStored && this.storeOutageMs <= SUSPEND_AFTER_MS;
    }

    private get storeOutageMs(): number {
        const sinceMs = Math.min(this.failingSinceMs ?? Infinity, this.unconfirmedSinceMs ?? Infinity);
        return Math.max(0, performance.now() - sinceMs);
    }

    /** Whether the old places that an earlier coordinator granted are known. */
    private get arePlacesReported(): boolean {
        return this.adoptedAtMs === undefined || performance.now() - this.adoptedAtMs > PLACE_REPORT_MS;
    }

    private get reserve(): number {
        const ratePerS = this.budget.total / Math.max(1, this.elapsedMs / MS_PER_S);
        return Math.min(MAX_RESERVE, Math.max(MIN_RESERVE, Math.ceil(ratePerS * RESERVE_S)));
    }

    private getSchedule(longestTimeoutMs: number): RolloutSchedule {
        return getRolloutSchedule(this.durationMs, longestTimeoutMs, this.storeMs);
    }
}

/** FNV-1a: spreads ids evenly, and the same request always gets the same fraction. */
function toFraction(id: string): number {
    let hash = 0x81_1c_9d_c5;
    for (let index = 0; index < id.length; index += 1) {
        hash = Math.imul(hash ^ id.charCodeAt(index), 0x01_00_01_93);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85_eb_ca_6b);
    return ((hash ^ hash >>> 13) >>> 0) / 2 ** 32;
}
