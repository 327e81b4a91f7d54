import type { RpcPeerTransport } from "@heatherline/agreement";
import type { Logger } from "@heatherline/common";
import {
    type Announcement,
    type Coordinator,
    CoordinatorLease,
    CoordinatorLink,
    FleetScope,
    type MemberEntry,
    METHODS,
    type RateTolerance,
    type SyncReply,
    type SyncReport,
    type SyncRequest,
} from "@heatherline/fleet";
import type { ObjectStore } from "@heatherline/store";
import { type GranterDependencies, startGranter } from "./granterDependencies";
import type { RolloutRole } from "./rolloutRole";

const ANNOUNCE_TIMEOUT_MS = 400;

/** What a {@link CoordinatorRole} gets from the rest of the instance. */
export interface CoordinatorRoleDependencies extends GranterDependencies {
    readonly store: ObjectStore;
    readonly rpc: RpcPeerTransport;
    readonly getRateTolerance: () => RateTolerance;
    /** Decides on roll-outs; absent where they are off. */
    readonly rollouts?: RolloutRole | undefined;
    readonly newSyncRequest: (report: SyncReport, waitMs: number) => SyncRequest;
    readonly onSyncReply: (reply: Extract<SyncReply, { kind: "news"; }>, transitMs: number) => void;
    /** Called when the coordinator, or whether it can be reached, has changed. */
    readonly onChange: () => void;
}

/**
 * Tracks which instance is the coordinator: this one while it holds the lease, otherwise the one that this instance
 * follows. The coordinator assigns places and rates for all instances.
 */
export class CoordinatorRole {
    readonly link: CoordinatorLink;
    readonly lease: CoordinatorLease;
    private coordinator: Coordinator | undefined;

    /**
     * @param deps - What the role depends on.
     * @param logger - Log of the instance.
     */
    constructor(private readonly deps: CoordinatorRoleDependencies, private readonly logger: Logger) {
        const { rpc, store, self, view, newSyncRequest, onSyncReply, onChange } = deps;
        this.link = new CoordinatorLink("coordinator", METHODS.sync, rpc, {
            newSyncRequest,
            getFollowerCount: () => view.members.length,
            onSyncReply,
            onConnectionChange: onChange,
            onProcessEnded: incarnation => this.lease.markHolderEnded(incarnation),
            onStepDown: () => this.lease.recordStepDown(),
        }, logger);
        this.lease = new CoordinatorLease(store, self, {
            getMembers: () => view.members,
            isTakeoverImpossible: () => this.coordinator?.heartbeats.isTakeoverImpossible() ?? false,
            onChange: (isHolder, reason) => this.onLeaseChange(isHolder, reason),
            onOtherHolder: (holder, epoch) => this.follow(holder, epoch),
            isCoordinatorReachable: () => this.link.coordinator !== undefined,
        }, logger);
    }

    /** The coordinator if it is this instance, until the lease is known to have ended. */
    get localCoordinator(): Coordinator | undefined {
        return this.coordinator;
    }

    /** The coordinator if it is this instance and the lease is valid now. */
    get activeCoordinator(): Coordinator | undefined {
        return this.lease.isHolder ? this.coordinator : undefined;
    }

    /** Whether this instance is the coordinator or can reach the one that is. */
    get isCoordinatorKnown(): boolean {
        return this.coordinator !== undefined || this.link.coordinator !== undefined;
    }

    /** Id of the coordinator, as far as this instance knows. */
    get coordinatorId(): string | undefined {
        return this.coordinator === undefined ? this.link.coordinator?.instanceId : this.deps.self.instanceId;
    }

    /** @returns The coordinator and its epoch, as far as this instance knows. */
    getAnnouncement(): Announcement | undefined {
        return this.coordinator === undefined
            ? this.link.announcement
            : { coordinator: this.deps.self, epoch: this.coordinator.epoch };
    }

    /**
     * Follows another instance as coordinator; ignored if it is this one.
     *
     * @param holder - The instance that holds the lease.
     * @param epoch - Epoch of its lease.
     */
    follow(holder: MemberEntry, epoch: number): void {
        if (holder.incarnation !== this.deps.self.incarnation) {
            this.link.follow(holder, epoch);
        }
    }

    /** Releases the lease if this instance is in contact with too few others, or one of them has clearly more CPU. */
    releaseLeaseIfUnfit(): void {
        const heartbeats = this.coordinator?.heartbeats;
        if (heartbeats?.isInMinority() === true) {
            void this.lease.stepDown("most instances are not in contact with this one");
        }
        else if (heartbeats?.hasLargerCandidate() === true) {
            void this.lease.stepDown("another instance has more CPU");
        }
    }

    private onLeaseChange(isHolder: boolean, reason: string): void {
        const { epoch } = this.lease;
        this.logger.info({ event: isHolder ? "coordinator-begins" : "coordinator-ends", epoch, reason });
        this.coordinator?.stop();
        this.deps.streamOriginStore.stop();
        this.deps.rollouts?.stop();
        this.coordinator = undefined;
        if (isHolder) {
            this.link.stop("this instance is the coordinator");
            this.coordinator = this.newCoordinator(epoch);
            this.announce(epoch);
        }
        this.deps.onChange();
    }

    private newCoordinator(epoch: number): Coordinator {
        const { view, getRateTolerance } = this.deps;
        const scope = new FleetScope(view, epoch, getRateTolerance);
        const rollouts = this.deps.rollouts?.start(epoch);
        return startGranter(this.deps, scope, { epoch, getVersion: () => this.lease.version }, this.logger, rollouts);
    }

    private announce(epoch: number): void {
        const { self, view, rpc } = this.deps;
        const announcement: Announcement = { coordinator: self, epoch };
        for (const { instanceId, host, rpcPort } of view.members) {
            if (instanceId !== self.instanceId) {
                void rpc.callAddress(host, rpcPort, METHODS.announce, announcement, ANNOUNCE_TIMEOUT_MS);
            }
        }
    }
}
