import { type Logger, monotonicMs, startLoop, withJitter } from "@heatherline/common";
import type { ObjectStore } from "@heatherline/store";
import { ActiveTable } from "./activeTable";
import type { AgreementDependencies } from "./agreementDependencies";
import { HeldLease } from "./heldLease";
import { newLeaseRecord, toMemberTable } from "./leaseRecord";
import { MemberTracker } from "./memberTracker";
import { ObservedLease } from "./observedLease";
import { TakeoverPromises } from "./takeoverPromises";
import {
    type AgreementIdentity,
    type Heartbeat,
    HEARTBEAT_INTERVAL_MS,
    type HeartbeatReply,
    LEASE_TERM_MS,
    type LeaseRecord,
    type MemberTable,
    type PeerTransport,
} from "./types";

const CALL_TIMEOUT_MS = 700;
const LEASE_HOLDER_SILENCE_MS = HEARTBEAT_INTERVAL_MS * 1.6;
const CONSENT_METHOD = "agreement.consent";
const TABLE_METHOD = "agreement.table";
const HEARTBEAT_METHOD = "agreement.heartbeat";

/**
 * Lets the instances of a data centre agree on their members and on the owner of each subject. The data centre has one
 * lease in the store. Its holder maintains the table of members, among whom subjects are divided by rendezvous hashing,
 * and with each heartbeat reply grants the member a lease of its own (member lease), under which the member may use the
 * table. A subject is any key about which one instance at a time decides, such as an endpoint or a batch job.
 *
 * Every validity runs on the monotonic clock from when the request for it was sent, and is checked at the point of use.
 */
export class DataCentreAgreement {
    private readonly path: string;
    private observation: ObservedLease | undefined;
    private lease: HeldLease | undefined;
    private readonly memberTracker: MemberTracker;
    private readonly activeTable: ActiveTable;
    private acknowledged: Heartbeat["acknowledged"];
    private readonly promises = new TakeoverPromises();
    private isLeaving = false;
    private lastReplyAtMs = -Infinity;
    private readonly stopLoops: (() => Promise<void>)[] = [];

    /**
     * @param identity - This process.
     * @param store - The platform's store.
     * @param transport - Sends RPCs to peers.
     * @param deps - Callbacks into the rest of the instance.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly identity: AgreementIdentity,
        private readonly store: ObjectStore,
        private readonly transport: PeerTransport,
        private readonly deps: AgreementDependencies,
        private readonly logger: Logger,
    ) {
        this.memberTracker = new MemberTracker(identity);
        this.activeTable = new ActiveTable(table => deps.onNewTable(table));
        this.path = `leases/${identity.dataCentre}`;
    }

    /** Starts two loops: one maintains the lease in the store, one exchanges heartbeats with the lease holder. */
    start(): void {
        this.stopLoops.push(startLoop(() => withJitter(HEARTBEAT_INTERVAL_MS), () => this.maintainLease()));
        this.stopLoops.push(startLoop(() => HEARTBEAT_INTERVAL_MS, () => this.exchangeHeartbeat()));
    }

    /** Gives up ownership of all subjects, then releases the lease or tells the lease holder, and stops. */
    async stop(): Promise<void> {
        this.isLeaving = true;
        // This instance must stop deciding before others learn that they may decide.
        this.activeTable.deactivate();
        for (const stop of this.stopLoops) {
            void stop();
        }
        const { lease } = this;
        this.lease = undefined;
        if (lease === undefined || lease.getRemainingMs() === 0) {
            await this.exchangeHeartbeat();
            return;
        }
        await this.store.put(this.path, { ...lease.record, isReleased: true }, lease.version);
    }

    /** @returns The table that this instance may use, or `undefined` when its lease has expired. */
    getActiveTable(): MemberTable | undefined {
        return this.activeTable.current;
    }

    /** @returns The table in the data centre's lease, or `undefined` when this instance is not the lease holder. */
    getLeaseTable(): MemberTable | undefined {
        return this.isLeaseHolder() && this.lease !== undefined ? toMemberTable(this.lease.record) : undefined;
    }

    /** @returns The newest table known, whether or not this instance has a valid lease under it. */
    getNewestTable(): MemberTable | undefined {
        return this.activeTable.newest;
    }

    /**
     * @param subject - Key whose owner is looked up.
     * @returns The owner according to the newest table known: the instance to ask, which may not be the owner any more.
     */
    getLikelyOwner(subject: string): string | undefined {
        return this.activeTable.getLikelyOwner(subject);
    }

    /** @returns Whether this instance holds the data centre's lease now. */
    isLeaseHolder(): boolean {
        return this.getLeaseRemainingMs() > 0;
    }

    /** @returns State that is known to be stored in the lease; empty when this instance is not the lease holder. */
    getDurableState(): Record<string, unknown> {
        return this.isLeaseHolder() ? this.lease?.record.durable ?? {} : {};
    }

    /** @returns Milliseconds for which this instance still holds the data centre's lease; 0 when it does not. */
    getLeaseRemainingMs(): number {
        return this.lease?.getRemainingMs() ?? 0;
    }

    /**
     * @param subject - Key whose ownership is checked.
     * @returns Whether this instance is its owner now.
     */
    isOwner(subject: string): boolean {
        return this.getOwner(subject) === this.identity.instanceId;
    }

    /**
     * @param subject - Key whose owner is looked up.
     * @returns The owner according to the active table.
     */
    getOwner(subject: string): string | undefined {
        return this.activeTable.getOwner(subject);
    }

    /**
     * Handles a heartbeat as the lease holder.
     *
     * @param heartbeat - Heartbeat of a member or a joining instance.
     * @returns The reply, or `undefined` when this instance has no lease or an older one than the sender knows.
     */
    handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply | undefined {
        const lease = this.lease;
        const remainingMs = lease?.getRemainingMs() ?? 0;
        if (lease === undefined || heartbeat.epoch > lease.record.epoch) {
            return undefined;
        }
        const nowMs = monotonicMs();
        const isMember = lease.record.members.includes(heartbeat.from);
        const { acknowledged } = heartbeat;
        if (acknowledged?.epoch === lease.record.epoch) {
            lease.recordPromise(heartbeat.from, acknowledged.stamp);
        }
        // While the lease is expired, members get no member lease, but the reply still asks them for their promises.
        const memberLeaseMs = isMember && !heartbeat.isLeaving ? Math.min(LEASE_TERM_MS, remainingMs) : 0;
        this.memberTracker.recordHeartbeat(heartbeat, memberLeaseMs);
        return {
            table: toMemberTable(lease.record),
            stamp: nowMs,
            remainingMs: memberLeaseMs,
            isSettled: this.memberTracker.isSettled(lease.record),
            notes: this.deps.getBroadcastState(),
        };
    }

    /**
     * Handles a joining instance's request for consent to take the lease over.
     *
     * @param epoch - Epoch that the takeover would end.
     * @returns Whether this instance consents; it then makes no further promise to the lease holder of that epoch.
     */
    handleConsentRequest(epoch: number): boolean {
        if (this.promises.isBound(epoch) || this.isLeaseHolder()) {
            return false;
        }
        this.promises.renounce(epoch);
        return true;
    }

    private async maintainLease(): Promise<void> {
        if (this.lease !== undefined) {
            await this.renew();
            return;
        }
        // While the lease holder replies to heartbeats, there is no need to read the lease.
        const isLeaseHolderSilent = monotonicMs() - this.lastReplyAtMs > LEASE_HOLDER_SILENCE_MS;
        if (!this.isLeaving && isLeaseHolderSilent) {
            const isLeaseRead = await this.readLease();
            if (isLeaseRead) {
                await this.takeOverIfExpired();
            }
        }
    }

    /** @returns Whether the lease was read just now: a takeover must not begin while the store can't be reached. */
    private async readLease(): Promise<boolean> {
        const read = await this.store.get(this.path);
        if (read.isErr()) {
            return false;
        }
        const object = read.value;
        if (object === undefined) {
            this.observation = undefined;
            await this.acquire(undefined);
            return false;
        }
        if (object.version !== this.observation?.objectVersion) {
            this.observation = new ObservedLease(object);
            const { epoch } = this.observation.record;
            if (epoch === this.promises.renouncedEpoch) {
                // The lease holder has renewed, so a takeover based on the version read before can't succeed any more.
                this.promises.resume(epoch);
            }
            return true;
        }
        this.observation.recordSeen();
        return true;
    }

    private async takeOverIfExpired(): Promise<void> {
        const observation = this.observation;
        if (observation === undefined || this.lease !== undefined) {
            return;
        }
        const { record } = observation;
        if (!observation.mayBeTakenOver()) {
            return;
        }
        if (!record.isReleased && this.promises.isBound(record.epoch)) {
            return;
        }
        const isMember = record.members.includes(this.identity.instanceId);
        if (!isMember && !record.isReleased && !await this.requestConsent(record)) {
            return;
        }
        // From here on the old lease holder must get no promise from this instance, whatever the outcome of the write.
        this.promises.renounce(record.epoch);
        await this.acquire(observation);
    }

    /** @returns Whether a joining instance may take over: one member consents, or no member is listed any more. */
    private async requestConsent(record: LeaseRecord): Promise<boolean> {
        const listed = this.deps.getListedInstances();
        const remaining = record.members.filter(member => listed.includes(member));
        if (remaining.length === 0) {
            return listed.length > 0;
        }
        const replies = await Promise.all(
            remaining.map(member =>
                this.transport.call<boolean>(member, CONSENT_METHOD, { epoch: record.epoch }, CALL_TIMEOUT_MS)
            ),
        );
        return replies.some(reply => reply.isOk() && reply.value);
    }

    private async acquire(observation: ObservedLease | undefined): Promise<void> {
        const record = newLeaseRecord(this.identity, observation?.record, this.memberTracker);
        const sentAtMs = monotonicMs();
        const written = await this.store.put(this.path, { ...record }, observation?.objectVersion ?? 0);
        if (written.isErr()) {
            if (written.error.kind === "conflict" && observation !== undefined) {
                this.promises.resume(observation.record.epoch);
            }
            // If the response was lost, the next read shows this write. It is then treated like another instance's
            // lease, which has to expire before it can be taken over.
            return;
        }
        this.memberTracker.reset(record.members);
        this.lease = new HeldLease(record, written.value, sentAtMs);
        this.logger.info({ epoch: record.epoch }, "lease acquired");
        this.activateLeaseTable();
    }

    private async renew(): Promise<void> {
        const lease = this.lease;
        if (lease === undefined) {
            return;
        }
        const members = this.memberTracker.chooseMembers(lease.record.members, new Set(this.deps.getListedInstances()));
        // A restarted member has lost its state. A new table version makes the others send theirs to it.
        const isChanged = members.join() !== lease.record.members.join() || this.memberTracker.hasRestartedMember();
        const renewal = lease.record.renewal + 1;
        const areSynced = !isChanged && this.memberTracker.areSynced(lease.record, this.deps.getSyncedVersion());
        const record: LeaseRecord = {
            ...lease.record,
            members,
            version: lease.record.version + (isChanged ? 1 : 0),
            coverage: this.memberTracker.computeCoverage(lease.record.coverage, members, areSynced, renewal),
            durable: this.deps.getDurableState(lease.record.durable),
            renewal,
        };
        const sentAtMs = monotonicMs();
        const written = await this.store.put(this.path, { ...record }, lease.version);
        if (written.isOk()) {
            lease.recordRenewal(record, written.value, sentAtMs);
            if (isChanged) {
                this.memberTracker.clearRestarts();
            }
            this.activateLeaseTable();
            return;
        }
        if (written.error.kind === "unknown") {
            lease.recordUncertainWrite(members);
        }
        if (written.error.kind === "unknown" || written.error.kind === "conflict") {
            await this.readBackRenewal(lease);
        }
    }

    /** Reads the lease after a lost response or a conflict, to learn whether this lease holder wrote it. */
    private async readBackRenewal(lease: HeldLease): Promise<void> {
        const read = await this.store.get(this.path);
        if (read.isErr()) {
            return;
        }
        const record = read.value?.value as unknown as LeaseRecord | undefined;
        if (record?.epoch !== lease.record.epoch || record.incarnation !== this.identity.incarnation) {
            this.logger.warn({ epoch: lease.record.epoch, newEpoch: record?.epoch }, "lease was taken over");
            this.lease = undefined;
            this.activeTable.deactivate();
            return;
        }
        // This lease holder wrote it at an unknown time: the write confirms the members but does not extend the lease.
        lease.recordRenewal(record, read.value?.version ?? lease.version, -Infinity);
        this.activateLeaseTable();
    }

    private async exchangeHeartbeat(): Promise<void> {
        if (this.lease !== undefined) {
            this.activateLeaseTable();
            return;
        }
        const holder = this.findLeaseHolder();
        if (holder === undefined || holder === this.identity.instanceId) {
            await this.fetchTableFromPeers();
            return;
        }
        const heartbeat: Heartbeat = {
            from: this.identity.instanceId,
            incarnation: this.identity.incarnation,
            epoch: Math.max(
                this.activeTable.lastActive?.epoch ?? 0,
                this.activeTable.newest?.epoch ?? 0,
                this.promises.renouncedEpoch,
            ),
            tableVersion: this.activeTable.lastActive?.version ?? 0,
            syncedVersion: this.deps.getSyncedVersion(),
            acknowledged: (this.acknowledged?.epoch ?? 0) > this.promises.renouncedEpoch
                ? this.acknowledged
                : undefined,
            isLeaving: this.isLeaving,
        };
        const sentAtMs = monotonicMs();
        const reply = await this.transport.call<HeartbeatReply | undefined>(
            holder,
            HEARTBEAT_METHOD,
            heartbeat,
            CALL_TIMEOUT_MS,
        );
        if (reply.isOk() && reply.value) {
            this.applyReply(reply.value, sentAtMs);
        }
    }

    /** @returns The lease holder of the newest epoch known, whether from the store or from a peer. */
    private findLeaseHolder(): string | undefined {
        const observed = this.observation?.record;
        const known = this.getNewestTable();
        return (known?.epoch ?? 0) > (observed?.epoch ?? 0) ? known?.holder : observed?.holder;
    }

    /** Fetches the table from a peer. An instance that starts while the store can't be reached has no other source. */
    private async fetchTableFromPeers(): Promise<void> {
        for (const peer of this.deps.getListedInstances()) {
            if (peer === this.identity.instanceId) {
                continue;
            }
            const reply = await this.transport.call<MemberTable | undefined>(peer, TABLE_METHOD, {}, CALL_TIMEOUT_MS);
            if (reply.isOk() && reply.value && reply.value.epoch > (this.getNewestTable()?.epoch ?? 0)) {
                this.activeTable.setNewest(reply.value);
                return;
            }
        }
    }

    private applyReply(reply: HeartbeatReply, sentAtMs: number): void {
        const { table } = reply;
        if (table.epoch <= this.promises.renouncedEpoch || table.epoch < (this.activeTable.lastActive?.epoch ?? 0)) {
            return;
        }
        if (reply.remainingMs > 0) {
            this.lastReplyAtMs = monotonicMs();
        }
        else if (this.observation?.isStale() === true) {
            // The lease holder can't renew, but this instance can reach the store: another instance should take over.
            return;
        }
        // The promise starts now, later than the stamp from which the lease holder counts it, so the lease holder never
        // relies on an expired promise.
        this.promises.make(table.epoch);
        this.activeTable.setNewest(table);
        this.acknowledged = { epoch: table.epoch, stamp: reply.stamp };
        if (reply.remainingMs > 0 && !this.isLeaving) {
            this.activeTable.activate(table, sentAtMs + reply.remainingMs);
            if (reply.isSettled) {
                this.deps.onTableSettled(table.version);
            }
            this.deps.onBroadcastState(reply.notes, sentAtMs);
        }
    }

    private activateLeaseTable(): void {
        const remainingMs = this.getLeaseRemainingMs();
        if (this.lease === undefined || remainingMs === 0 || this.isLeaving) {
            return;
        }
        const table = toMemberTable(this.lease.record);
        this.activeTable.activate(table, monotonicMs() + Math.min(remainingMs, LEASE_TERM_MS));
        if (this.memberTracker.isSettled(table)) {
            this.deps.onTableSettled(table.version);
        }
        this.deps.onBroadcastState(this.deps.getBroadcastState(), monotonicMs());
    }
}
