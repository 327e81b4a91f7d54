import { type Logger, rankByRendezvous, sleep, withJitter } from "@heatherline/common";
import type { ObjectStore, StoredObject } from "@heatherline/store";
import { getElapsedMs, newTimestamp, type Timestamp } from "./ageTracker";
import type { MemberEntry } from "./types";

/** Path of the lease in the store. */
const LEASE_PATH = "heatherline-leases/coordinator";
/** Validity of the lease from when its last renewal was sent, in milliseconds. */
const TERM_MS = 1_700;
/** Time beyond the term before another instance may take the lease, in milliseconds. */
const TAKEOVER_MARGIN_MS = 100;
const RENEWAL_INTERVAL_MS = 550;
const RENEWAL_RETRY_MS = 120;
/** Delay between candidates of adjacent rank, so that usually only one tries to take the lease; in milliseconds. */
const RANK_DELAY_MS = 60;
const MAX_RANK_DELAY_MS = 3_000;
/** Longest random delay before an instance creates the lease on the first start of the fleet, in milliseconds. */
const FIRST_START_JITTER_MS = 40;
const READ_RETRY_MS = 200;
/** Longest pause between two reads of a candidate of high rank, given their jitter, in milliseconds. */
const MAX_READ_RETRY_MS = 1.5 * READ_RETRY_MS;
/** Candidates of lower rank read the lease less often while the store can't be read, in milliseconds. */
const LOW_RANK_READ_RETRY_MS = 1_500;
/** Number of candidates, those with the most CPU, that read the lease often also while it can't be read. */
const HIGH_RANKS = 8;
/**
 * How long an instance that got a reply from the coordinator doesn't take the lease over, even if it expires meanwhile;
 * in milliseconds.
 */
export const TAKEOVER_PROMISE_MS = 1_200;
/** An instance that stepped down doesn't take the lease for this long, in milliseconds. */
const STEP_DOWN_MS = 3_000;

/** The lease as it is stored. */
export interface LeaseRecord {
    readonly holder: MemberEntry;
    /** Increases with each holder. */
    readonly epoch: number;
    /** Counts renewals, so that each write changes the object. */
    readonly renewal: number;
    readonly isReleased: boolean;
}

/** The last state of the lease that this instance has seen. */
interface Observation {
    readonly record: LeaseRecord;
    readonly version: number;
    readonly seenAt: Timestamp;
}

/** What the lease needs from the rest of the instance. */
export interface LeaseDependencies {
    readonly getMembers: () => readonly MemberEntry[];
    /** Whether no instance could take the lease over even if it is not renewed. */
    readonly isTakeoverImpossible: () => boolean;
    /** Called when this instance acquires or loses the lease. */
    readonly onChange: (isHolder: boolean, reason: string) => void;
    /** Called when the lease has changed in the store and is not released. */
    readonly onOtherHolder: (holder: MemberEntry, epoch: number) => void;
    /** Whether another instance holds the lease and is reachable. */
    readonly isCoordinatorReachable: () => boolean;
}

/** The lease in the platform's store whose holder is the coordinator. */
export class CoordinatorLease {
    private observed: Observation | undefined;
    private held: { version: number; epoch: number; renewal: number; renewedAt: Timestamp; } | undefined;
    private steppedDownAt: Timestamp | undefined;
    private isStopped = false;
    private isReleasing = false;
    private hasReadFailed = false;
    /** When the coordinator last replied; cleared when it has stepped down. */
    private promisedAt: Timestamp | undefined;
    /** Since when the store can be read again after a failed read. */
    private readableSince: Timestamp | undefined;
    /** Incarnation of a holder whose process is known to have ended. */
    private endedIncarnation = "";

    /**
     * @param store - The store.
     * @param self - This instance.
     * @param deps - What the lease needs from the rest of the instance.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly self: MemberEntry,
        private readonly deps: LeaseDependencies,
        private readonly logger: Logger,
    ) {}

    /** Whether this instance holds the lease now. */
    get isHolder(): boolean {
        const { held } = this;
        return held !== undefined
            && (getElapsedMs(held.renewedAt) < TERM_MS || this.deps.isTakeoverImpossible());
    }

    /** Epoch of the lease while it is held; otherwise 0. */
    get epoch(): number {
        return this.held?.epoch ?? 0;
    }

    /**
     * Starts to take the lease when there is no coordinator, and to renew it while it is held.
     *
     * @param delayMs - Delay that gives other instances a chance to take it first.
     */
    start(delayMs: number): void {
        void sleep(delayMs).then(() => this.loop());
    }

    /** Releases the lease, so that others need not wait until it expires. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await this.release("stopping");
    }

    /**
     * Releases the lease because another instance should hold it, and doesn't take it for a while.
     *
     * @param reason - Why, for the log.
     */
    async stepDown(reason: string): Promise<void> {
        this.steppedDownAt = newTimestamp();
        await this.release(reason);
    }

    /**
     * Records that the process that holds the lease has ended, so that the rest of its term need not be waited for.
     *
     * @param incarnation - Incarnation of the process.
     */
    markHolderEnded(incarnation: string): void {
        if (this.endedIncarnation !== incarnation) {
            this.endedIncarnation = incarnation;
            this.logger.info({ event: "coordinator-dead", incarnation });
        }
    }

    /**
     * Records the state of the lease as its holder reports it.
     *
     * @param holder - The holder.
     * @param epoch - Its epoch.
     * @param version - Version of the lease object.
     */
    recordHolder(holder: MemberEntry, epoch: number, version: number): void {
        if (version > (this.observed?.version ?? 0)) {
            const record: LeaseRecord = { holder, epoch, renewal: 0, isReleased: false };
            this.observed = { record, version, seenAt: newTimestamp() };
        }
    }

    /**
     * Promises not to take the lease over for `TAKEOVER_PROMISE_MS`, because the coordinator has replied.
     */
    promise(): void {
        this.promisedAt = newTimestamp();
    }

    /** Records that the last known holder no longer holds the lease. */
    recordStepDown(): void {
        this.promisedAt = undefined;
        if (this.observed !== undefined) {
            const record = { ...this.observed.record, isReleased: true };
            this.observed = { ...this.observed, record, seenAt: newTimestamp() };
        }
    }

    /** Version of the lease object while the lease is held; otherwise 0. */
    get version(): number {
        return this.held?.version ?? 0;
    }

    private async loop(): Promise<void> {
        while (!this.isStopped) {
            const pauseMs = this.held === undefined ? await this.tryTakeover() : await this.renew();
            await sleep(pauseMs);
        }
    }

    private async renew(): Promise<number> {
        const { held } = this;
        if (held === undefined || this.isReleasing) {
            return RENEWAL_RETRY_MS;
        }
        if (!this.isHolder) {
            this.lose("the term has expired");
            return RENEWAL_RETRY_MS;
        }
        const renewedAt = newTimestamp();
        const record: LeaseRecord = {
            holder: this.self,
            epoch: held.epoch,
            renewal: held.renewal + 1,
            isReleased: false,
        };
        const written = await this.store.put(LEASE_PATH, { ...record }, held.version);
        if (this.held !== held) {
            return 0;
        }
        if (written.isOk()) {
            this.held = { version: written.value, epoch: held.epoch, renewal: record.renewal, renewedAt };
            return RENEWAL_INTERVAL_MS;
        }
        if (written.error.kind === "conflict") {
            return this.resolveConflict(held.epoch);
        }
        return RENEWAL_RETRY_MS;
    }

    /** The conflicting write may be an own renewal whose response was lost; only another holder ends the lease. */
    private async resolveConflict(epoch: number): Promise<number> {
        const read = await this.store.get(LEASE_PATH);
        if (read.isErr()) {
            return RENEWAL_RETRY_MS;
        }
        const record = decodeRecord(read.value);
        const isOwn = record?.holder.incarnation === this.self.incarnation && record.epoch === epoch;
        if (isOwn && !record.isReleased && this.held !== undefined && read.value !== undefined) {
            this.held = { ...this.held, version: read.value.version, renewal: record.renewal };
            return 0;
        }
        this.lose("another instance holds the lease");
        return 0;
    }

    private async tryTakeover(): Promise<number> {
        if (this.deps.isCoordinatorReachable()) {
            return READ_RETRY_MS;
        }
        const waitMs = this.getTakeoverWaitMs();
        if (waitMs > 0) {
            return Math.min(waitMs, READ_RETRY_MS);
        }
        const read = await this.store.get(LEASE_PATH);
        if (read.isErr()) {
            this.hasReadFailed = true;
            return withJitter(this.getRank() < HIGH_RANKS ? READ_RETRY_MS : LOW_RANK_READ_RETRY_MS);
        }
        if (this.hasReadFailed) {
            this.hasReadFailed = false;
            this.readableSince = newTimestamp();
        }
        if (read.value === undefined) {
            await sleep(Math.random() * FIRST_START_JITTER_MS);
            await this.acquire(0, 1);
            return 0;
        }
        this.observe(read.value);
        const { observed } = this;
        if (observed !== undefined && this.getTakeoverWaitMs() <= 0 && !this.deps.isCoordinatorReachable()) {
            await this.acquire(observed.version, observed.record.epoch + 1);
        }
        return RANK_DELAY_MS;
    }

    /** Time until the lease may be taken according to its last observed state; 0 if it must be read. */
    private getTakeoverWaitMs(): number {
        const { observed } = this;
        const stepDownMs = this.steppedDownAt === undefined ? 0 : STEP_DOWN_MS - getElapsedMs(this.steppedDownAt);
        if (observed === undefined) {
            return Math.max(0, stepDownMs);
        }
        const { record, seenAt } = observed;
        const isEnded = record.holder.incarnation === this.endedIncarnation;
        const wasOwn = record.holder.instanceId === this.self.instanceId;
        const isFree = record.isReleased || wasOwn || isEnded;
        const termMs = isFree ? 0 : TERM_MS + TAKEOVER_MARGIN_MS;
        const rankDelayMs = wasOwn ? 0 : this.getRankDelayMs();
        return Math.max(
            stepDownMs,
            termMs + rankDelayMs - getElapsedMs(seenAt),
            this.getRecoveryDelayMs(rankDelayMs),
            isEnded || this.promisedAt === undefined ? 0 : TAKEOVER_PROMISE_MS - getElapsedMs(this.promisedAt),
        );
    }

    /**
     * After an outage of the store, all ranks have waited long enough for the lease. They wait again, and until the
     * candidates of higher rank have noticed that the store is reachable.
     */
    private getRecoveryDelayMs(rankDelayMs: number): number {
        if (this.readableSince === undefined || rankDelayMs === 0) {
            return 0;
        }
        return rankDelayMs + MAX_READ_RETRY_MS - getElapsedMs(this.readableSince);
    }

    private getRankDelayMs(): number {
        return Math.min(MAX_RANK_DELAY_MS, RANK_DELAY_MS * this.getRank());
    }

    /** Instances with more CPU go first, since the coordinator's work takes CPU. */
    private getRank(): number {
        const candidates = this.deps.getMembers()
            .filter(({ instanceId }) => instanceId !== this.observed?.record.holder.instanceId);
        const order = rankByRendezvous(LEASE_PATH, candidates.map(({ instanceId }) => instanceId));
        const position = new Map(order.map((instanceId, index) => [instanceId, index]));
        const ranked = candidates.sort((left, right) =>
            right.processorShare - left.processorShare
            || (position.get(left.instanceId) ?? 0) - (position.get(right.instanceId) ?? 0)
        );
        return Math.max(0, ranked.findIndex(({ instanceId }) => instanceId === this.self.instanceId));
    }

    private observe(object: StoredObject): void {
        if (object.version === this.observed?.version) {
            return;
        }
        const record = decodeRecord(object);
        this.observed = {
            record: record ?? newUnreadableRecord(object.version),
            version: object.version,
            seenAt: newTimestamp(),
        };
        if (record === undefined) {
            this.logger.error({ event: "lease-unreadable", version: object.version });
        }
        else if (!record.isReleased) {
            this.deps.onOtherHolder(record.holder, record.epoch);
        }
    }

    private async acquire(version: number, epoch: number): Promise<void> {
        const renewedAt = newTimestamp();
        const record: LeaseRecord = { holder: this.self, epoch, renewal: 1, isReleased: false };
        const written = await this.store.put(LEASE_PATH, { ...record }, version);
        if (written.isOk() && !this.isStopped) {
            this.held = { version: written.value, epoch, renewal: 1, renewedAt };
            this.observed = undefined;
            this.deps.onChange(true, `took the lease over at version ${version}`);
            return;
        }
        if (written.isErr() && written.error.kind === "unknown") {
            // The write may have taken effect; then the next read shows this instance as the holder.
            this.observed = undefined;
        }
    }

    private lose(reason: string): void {
        this.held = undefined;
        this.observed = undefined;
        this.deps.onChange(false, reason);
    }

    private async release(reason: string): Promise<void> {
        const { held } = this;
        if (held === undefined || this.isReleasing) {
            return;
        }
        // The others read the store as soon as this instance stops deciding, so the store is written first.
        this.isReleasing = true;
        const record: LeaseRecord = {
            holder: this.self,
            epoch: held.epoch,
            renewal: held.renewal + 1,
            isReleased: true,
        };
        const written = await this.store.put(LEASE_PATH, { ...record }, held.version);
        this.isReleasing = false;
        if (written.isErr()) {
            this.logger.warn({ event: "lease-not-released", reason: written.error.toString() });
        }
        if (this.held !== undefined) {
            this.lose(reason);
        }
    }
}

function decodeRecord(object: StoredObject | undefined): LeaseRecord | undefined {
    const { holder, epoch, renewal, isReleased } = (object?.value ?? {}) as Partial<LeaseRecord>;
    const { instanceId, incarnation, host, rpcPort, dataCentre } = (holder ?? {}) as Partial<MemberEntry>;
    const isHolderComplete = [instanceId, incarnation, host, dataCentre].every(text => typeof text === "string")
        && typeof rpcPort === "number";
    const isComplete = holder !== undefined && isHolderComplete && Number.isSafeInteger(epoch)
        && typeof renewal === "number";
    return isComplete ? { holder, epoch: epoch as number, renewal, isReleased: isReleased === true } : undefined;
}

/**
 * Stands for a lease that another writer has overwritten: it is waited for like any other, then taken over. Each epoch
 * takes at least one write to the store, so no earlier epoch is higher than the version of the object.
 */
function newUnreadableRecord(version: number): LeaseRecord {
    const holder = {
        instanceId: "",
        incarnation: "unreadable",
        host: "",
        rpcPort: 0,
        dataCentre: "",
        processorShare: 0,
    };
    return { holder, epoch: version, renewal: 0, isReleased: false };
}
