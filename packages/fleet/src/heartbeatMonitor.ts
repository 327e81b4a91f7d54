import { getElapsedMs, newTimestamp, type Timestamp } from "./ageTracker";
import { TAKEOVER_PROMISE_MS } from "./coordinatorLease";
import type { StoreCheck } from "./messages";
import { getPlaceExpiryMs, getSilenceTimeoutMs } from "./syncTiming";
import type { MemberEntry } from "./types";

/** Time for instances to connect to a new coordinator before it checks for a majority, in milliseconds. */
const STARTUP_GRACE_MS = 4_000;
/** Time for larger instances to connect before the coordinator compares itself with them, in milliseconds. */
const LARGER_CANDIDATE_DELAY_MS = 2_500;
/** The coordinator has at least this fraction of the CPU of any live instance, or steps down. */
const MIN_PROCESSOR_FRACTION = 0.7;

/** Replies whose times are kept; promises that refer to earlier ones have expired. */
const MAX_STAMPS = 5_000;

interface Heartbeat {
    readonly incarnation: string;
    readonly receivedAt: Timestamp;
    /** When the reply was sent with which the promise not to take the lease over began. */
    readonly promisedAt: Timestamp | undefined;
    readonly storeCheck: StoreCheck | undefined;
}

/** Tracks heartbeats of the registered instances for a coordinator, and which instances are live or silent. */
export class HeartbeatMonitor {
    private readonly heartbeats = new Map<string, Heartbeat>();
    /** Last heartbeat of instances whose entry in `heartbeats` has expired. */
    private readonly lastHeartbeatAt = new Map<string, Timestamp>();
    private readonly startedAt = newTimestamp();
    private silentIds: ReadonlySet<string> = new Set();
    private readonly stampTimes = new Map<number, Timestamp>();
    private lastStamp = 0;

    /**
     * @param self - The coordinator.
     * @param getMembers - Returns the instances that send heartbeats.
     * @param isStoreFailing - Whether the coordinator's own calls to the store fail.
     */
    constructor(
        private readonly self: MemberEntry,
        private readonly getMembers: () => readonly MemberEntry[],
        private readonly isStoreFailing: () => boolean,
    ) {}

    /** Registered instances without a recent heartbeat, as of the last update. */
    get silentInstances(): ReadonlySet<string> {
        return this.silentIds;
    }

    /**
     * @param member - The instance that sent a heartbeat.
     * @param promisedAtStamp - Stamp of the reply with which its promise not to take the lease over began.
     * @param storeCheck - What its own reads have shown of the store recently.
     * @returns Whether its process has restarted since its last heartbeat.
     */
    recordHeartbeat(
        { instanceId, incarnation }: MemberEntry,
        promisedAtStamp: number | undefined,
        storeCheck: StoreCheck | undefined,
    ): boolean {
        const before = this.heartbeats.get(instanceId);
        const promisedAt = promisedAtStamp === undefined ? undefined : this.stampTimes.get(promisedAtStamp);
        this.heartbeats.set(instanceId, { incarnation, receivedAt: newTimestamp(), promisedAt, storeCheck });
        return before !== undefined && before.incarnation !== incarnation;
    }

    /** @returns The stamp of a reply that is sent now. */
    newStamp(): number {
        this.lastStamp += 1;
        this.stampTimes.set(this.lastStamp, newTimestamp());
        this.stampTimes.delete(this.lastStamp - MAX_STAMPS);
        return this.lastStamp;
    }

    /** @returns Live instances, without the coordinator. */
    getLiveInstances(): string[] {
        return [...this.heartbeats.keys()].filter(instanceId => this.isLive(instanceId));
    }

    /**
     * @param instanceId - An instance.
     * @returns How long it has been silent, at most since this coordinator began; 0 for the coordinator itself.
     */
    getSilenceMs(instanceId: string): number {
        if (instanceId === this.self.instanceId) {
            return 0;
        }
        return getElapsedMs(
            this.heartbeats.get(instanceId)?.receivedAt ?? this.lastHeartbeatAt.get(instanceId) ?? this.startedAt,
        );
    }

    /**
     * Whether no other instance takes the lease over although it has expired, because all have promised so. A promise
     * counts from when the reply was sent that it answers, so it never lasts longer here than at the other instance. If
     * another instance reaches the store, it should be the coordinator instead, since this one can neither renew its
     * lease nor read the configuration; so at least one must have found that it doesn't reach the store either.
     */
    isTakeoverImpossible(): boolean {
        const heartbeats = this.getOthers().map(({ instanceId }) => this.heartbeats.get(instanceId));
        return heartbeats.some(heartbeat => heartbeat?.storeCheck === "failing")
            && heartbeats.every(heartbeat =>
                heartbeat?.promisedAt !== undefined
                && heartbeat.storeCheck !== "reachable"
                && getElapsedMs(heartbeat.promisedAt) < TAKEOVER_PROMISE_MS
            );
    }

    /** Whether most instances are silent although the store is reachable, so that one of them could take over. */
    isInMinority(): boolean {
        if (getElapsedMs(this.startedAt) < STARTUP_GRACE_MS || this.isStoreFailing()) {
            return false;
        }
        const others = this.getOthers();
        const liveCount = others.filter(({ instanceId }) => this.isLive(instanceId)).length;
        return (liveCount + 1) * 2 < others.length + 1;
    }

    /** Whether a live instance has clearly more CPU than the coordinator and should replace it. */
    hasLargerCandidate(): boolean {
        return getElapsedMs(this.startedAt) > LARGER_CANDIDATE_DELAY_MS &&
            this.getMembers().some(member =>
                this.self.processorShare < member.processorShare * MIN_PROCESSOR_FRACTION &&
                this.isLive(member.instanceId)
            );
    }

    /**
     * Updates the set of silent instances.
     *
     * @returns Whether the set has changed.
     */
    updateSilentInstances(): boolean {
        const silent = this.getOthers()
            .map(({ instanceId }) => instanceId)
            .filter(instanceId => !this.isLive(instanceId));
        const hasChanged = silent.length !== this.silentIds.size || silent.some(id => !this.silentIds.has(id));
        this.silentIds = hasChanged ? new Set(silent) : this.silentIds;
        return hasChanged;
    }

    /** @returns Instances silent for so long that their places are to be freed; each is returned once. */
    takeExpired(): string[] {
        const expired: string[] = [];
        const expiryMs = getPlaceExpiryMs(this.getMembers().length);
        for (const [instanceId, { receivedAt }] of this.heartbeats) {
            if (getElapsedMs(receivedAt) > expiryMs) {
                this.heartbeats.delete(instanceId);
                this.lastHeartbeatAt.set(instanceId, receivedAt);
                expired.push(instanceId);
            }
        }
        return expired;
    }

    private getOthers(): MemberEntry[] {
        return this.getMembers().filter(({ instanceId }) => instanceId !== this.self.instanceId);
    }

    private isLive(instanceId: string): boolean {
        const heartbeat = this.heartbeats.get(instanceId);
        return heartbeat !== undefined
            && getElapsedMs(heartbeat.receivedAt) < getSilenceTimeoutMs(this.getMembers().length);
    }
}
