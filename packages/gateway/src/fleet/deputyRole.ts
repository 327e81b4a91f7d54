import type { Logger } from "@heatherline/common";
import {
    type Announcement,
    type Coordinator,
    CoordinatorLink,
    DataCentreScope,
    METHODS,
    type RpcCaller,
    type SyncReply,
    type SyncReport,
    type SyncRequest,
} from "@heatherline/fleet";
import { type GranterDependencies, startGranter } from "./granterDependencies";

const ANNOUNCE_TIMEOUT_MS = 400;

/** What a {@link DeputyRole} gets from the rest of the instance. */
export interface DeputyRoleDependencies extends GranterDependencies {
    readonly rpc: RpcCaller;
    /** Reads the blocked prompts from the store once. */
    readonly readBlockedPrompts: () => void;
    readonly newSyncRequest: (report: SyncReport, waitMs: number) => SyncRequest;
    readonly onSyncReply: (reply: Extract<SyncReply, { kind: "news"; }>, transitMs: number) => void;
    /** @returns The coordinator and its epoch, as far as this instance knows. */
    readonly getAnnouncement: () => Announcement | undefined;
    /** Called when the deputy, or whether it can be reached, has changed. */
    readonly onChange: () => void;
}

/**
 * Replaces the coordinator within a data centre in fallback mode. The deputy grants places at the data centre's
 * endpoints and admits to its part of each rate; the other instances there follow it until they reach a coordinator.
 */
export class DeputyRole {
    readonly link: CoordinatorLink;
    private readonly scope: DataCentreScope;
    private deputy: Coordinator | undefined;

    /**
     * @param deps - What the role depends on.
     * @param logger - Log of the instance.
     */
    constructor(private readonly deps: DeputyRoleDependencies, private readonly logger: Logger) {
        const { self, view, rpc, newSyncRequest, onSyncReply, onChange } = deps;
        this.scope = new DataCentreScope(view, self.dataCentre);
        this.link = new CoordinatorLink("deputy", METHODS.deputySync, rpc, {
            newSyncRequest,
            getFollowerCount: () => this.scope.getMembers().length,
            onSyncReply,
            onConnectionChange: onChange,
            onProcessEnded: () => undefined,
            onStepDown: () => undefined,
        }, logger);
    }

    /** The deputy's decisions, while it is this instance and no coordinator is known. */
    get localDeputy(): Coordinator | undefined {
        return this.deputy;
    }

    /** Whether this instance is the deputy or can reach it. */
    get isDeputyKnown(): boolean {
        return this.deputy !== undefined || this.link.coordinator !== undefined;
    }

    /**
     * Takes the role up, follows the deputy, or ends both, depending on what is known now.
     *
     * @param isCoordinatorKnown - Whether this instance is the coordinator or can reach it.
     */
    update(isCoordinatorKnown: boolean): void {
        const { self, view } = this.deps;
        const deputy = isCoordinatorKnown ? undefined : view.fallbackShares.getDeputy(self.dataCentre);
        const isSelf = deputy?.instanceId === self.instanceId;
        if (!isSelf) {
            this.end();
        }
        if (isSelf || deputy === undefined) {
            this.link.stop(isSelf ? "this instance is the deputy" : "a coordinator is known");
        }
        else {
            this.link.follow(deputy, 0);
        }
        if (isSelf && this.deputy === undefined) {
            this.begin();
        }
    }

    /** Ends the role for good. */
    stop(): void {
        this.end();
        this.link.stop("stopping");
    }

    private begin(): void {
        const { self, readBlockedPrompts, onChange } = this.deps;
        this.logger.info({ event: "deputy-begins", dataCentre: self.dataCentre });
        this.scope.tokenBuckets.restart();
        this.deputy = startGranter(this.deps, this.scope, { epoch: 0, getVersion: () => 0 }, this.logger);
        readBlockedPrompts();
        onChange();
    }

    private end(): void {
        const { deputy } = this;
        if (deputy === undefined) {
            return;
        }
        this.deputy = undefined;
        this.logger.info({ event: "deputy-ends", dataCentre: this.deps.self.dataCentre });
        this.announceCoordinator(deputy.heartbeats.getLiveInstances());
        deputy.stop();
        this.deps.streamOriginStore.stop();
    }

    /** Tells the instances that follow this one which coordinator it has found, so that they follow it at once. */
    private announceCoordinator(instanceIds: readonly string[]): void {
        const { view, rpc, getAnnouncement } = this.deps;
        const announcement = getAnnouncement();
        const followers = view.members.filter(({ instanceId }) => instanceIds.includes(instanceId));
        for (const { host, rpcPort } of announcement === undefined ? [] : followers) {
            void rpc.callAddress(host, rpcPort, METHODS.announce, announcement as Announcement, ANNOUNCE_TIMEOUT_MS);
        }
    }
}
