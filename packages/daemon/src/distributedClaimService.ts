import {
    type DataCentreAgreement,
    hasLostAllReplicas,
    type MemberTable,
    type PeerTransport,
    REPLICA_COUNT,
} from "@heatherline/agreement";
import { type Logger, rankByRendezvous, startLoop } from "@heatherline/common";
import { getGroup } from "@heatherline/limits";
import { type Claim, type ClaimDecision, type ClaimOutcome, type ClaimService, ClaimTable } from "@heatherline/serving";
import type { OwnerLocator } from "./ownerLocator";

const CALL_TIMEOUT_MS = 700;
const SYNC_INTERVAL_MS = 200;
const CLAIMS_PER_MESSAGE = 200;

/** Message that replicates claims to another member. */
export interface ClaimSync {
    /** Id of the sender. */
    readonly from: string;
    readonly claims: readonly Claim[];
    /**
     * Version of the member table for which the sender has now sent all claims that the receiver keeps a replica of;
     * absent while more messages follow.
     */
    readonly syncedVersion?: number;
}

/** Parts of the daemon that the claim service uses. */
export interface ClaimServiceDependencies {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly agreement: DataCentreAgreement;
    readonly locator: OwnerLocator;
    readonly transport: PeerTransport;
    readonly logger: Logger;
    /** @returns All data centres of the fleet. */
    readonly getDataCentres: () => readonly string[];
}

/**
 * Makes claims on requests that must not run twice, for the whole fleet. Each claim belongs to one data centre
 * permanently, so that the same request can't run in another one. In that data centre its owner decides about it, and
 * the member that would own it next keeps a replica. A new owner decides only after all members have sent it their
 * claims.
 */
export class DistributedClaimService implements ClaimService {
    private readonly table = new ClaimTable();
    /** Member to the newest table version for which it has sent this instance all claims to replicate. */
    private readonly receivedVersions = new Map<string, number>();
    /** Member to the newest table version for which this instance has sent it all claims to replicate. */
    private readonly sentVersions = new Map<string, number>();
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param dependencies - Parts of the daemon that the service uses.
     */
    constructor(private readonly dependencies: ClaimServiceDependencies) {}

    /** Starts replicating claims to other members. */
    start(): void {
        this.stopLoop = startLoop(() => SYNC_INTERVAL_MS, () => this.syncMembers());
    }

    /** Stops the replication. */
    stop(): void {
        void this.stopLoop?.();
    }

    async begin(claim: Claim): Promise<ClaimDecision> {
        const owner = await this.findOwner(claim.key);
        if (owner === undefined) {
            return { kind: "unavailable" };
        }
        if (owner === this.dependencies.instanceId) {
            return this.handleBegin(claim);
        }
        const reply = await this.dependencies.transport.call<ClaimDecision>(
            owner,
            "claims.begin",
            claim,
            CALL_TIMEOUT_MS * 2,
        );
        // If the reply was lost, the owner may have granted the claim to this request, which will not run: release it.
        if (reply.isErr() && reply.error.kind === "lost") {
            void this.end(claim, { kind: "not-run" });
        }
        return reply.isOk() ? reply.value : { kind: "unavailable" };
    }

    async end(claim: Claim, outcome: ClaimOutcome): Promise<void> {
        const owner = await this.findOwner(claim.key);
        if (owner === undefined || owner === this.dependencies.instanceId) {
            await this.handleEnd(claim.key, claim.requestId, outcome);
            return;
        }
        const params = { key: claim.key, requestId: claim.requestId, end: outcome };
        await this.dependencies.transport.call(owner, "claims.end", params, CALL_TIMEOUT_MS);
    }

    /**
     * Decides about a claim as its owner. A claim is replicated to the backup before a request may run under it.
     *
     * @param claim - The claim.
     * @returns The decision; `unavailable` if this instance is not the owner, hasn't received the claims of all members
     * yet, or if all replicas of the claim may have been lost.
     */
    async handleBegin(claim: Claim): Promise<ClaimDecision> {
        const table = this.dependencies.agreement.getActiveTable();
        if (table === undefined || !this.hasAllClaims(table) || hasLostAllReplicas(claim.key, table.coverage)) {
            return { kind: "unavailable" };
        }
        if (this.getReplicaHolders(claim.key, table)[0] !== this.dependencies.instanceId) {
            return { kind: "unavailable" };
        }
        const decision = this.table.begin(claim);
        if (decision.kind !== "run") {
            return decision;
        }
        const isReplicated = await this.replicateToBackup(claim, table);
        const isStillOwner = this.dependencies.agreement.getActiveTable()?.version === table.version;
        if (!isReplicated || !isStillOwner) {
            this.table.end(claim.key, claim.requestId, { kind: "not-run" });
            return { kind: "unavailable" };
        }
        return decision;
    }

    /**
     * Records as owner how a claimed request ended, and updates the replica on the backup.
     *
     * @param key - Key of the claim.
     * @param requestId - The request.
     * @param outcome - How the request ended.
     */
    async handleEnd(key: string, requestId: string, outcome: ClaimOutcome): Promise<void> {
        const endedClaim = this.table.end(key, requestId, outcome);
        const table = this.dependencies.agreement.getNewestTable();
        const backup = table === undefined
            ? undefined
            : this.getReplicaHolders(key, table).find(member => member !== this.dependencies.instanceId);
        if (backup === undefined) {
            return;
        }
        if (outcome.kind === "not-run") {
            await this.dependencies.transport.call(backup, "claims.drop", { key, requestId }, CALL_TIMEOUT_MS);
        }
        if (endedClaim === undefined) {
            return;
        }
        await this.send(backup, { from: this.dependencies.instanceId, claims: [endedClaim] });
    }

    /**
     * Merges claims that another member has replicated to this instance.
     *
     * @param sync - The message of the other member.
     * @returns Always `true`, as the acknowledgement.
     */
    handleSync(sync: ClaimSync): boolean {
        for (const claim of sync.claims) {
            this.table.merge(claim);
        }
        if (sync.syncedVersion !== undefined) {
            this.receivedVersions.set(
                sync.from,
                Math.max(sync.syncedVersion, this.receivedVersions.get(sync.from) ?? 0),
            );
        }
        return true;
    }

    /**
     * Deletes the replica of a claim.
     *
     * @param key - Key of the claim.
     * @param requestId - The request that made the claim and certainly did not run.
     */
    handleDrop(key: string, requestId: string): void {
        this.table.drop(key, requestId);
    }

    /** @returns Version of the active table once all other members have this instance's claims for it; 0 until then. */
    getSyncedVersion(): number {
        const table = this.dependencies.agreement.getActiveTable();
        const isSynced = table?.members.every(member =>
            member === this.dependencies.instanceId || (this.sentVersions.get(member) ?? 0) >= table.version
        );
        return isSynced === true ? table?.version ?? 0 : 0;
    }

    private async findOwner(key: string): Promise<string | undefined> {
        const dataCentre = getGroup(key, this.dependencies.getDataCentres());
        return this.dependencies.locator.getOwner(dataCentre, key);
    }

    /** @returns Whether all other members have sent their claims for the active table. */
    private hasAllClaims(table: MemberTable): boolean {
        return table.members
            .filter(member => member !== this.dependencies.instanceId)
            .every(member => (this.receivedVersions.get(member) ?? 0) >= table.version);
    }

    private getReplicaHolders(key: string, table: MemberTable): string[] {
        return rankByRendezvous(key, table.members).slice(0, REPLICA_COUNT);
    }

    private async replicateToBackup(claim: Claim, table: MemberTable): Promise<boolean> {
        const backup = this.getReplicaHolders(claim.key, table)[1];
        return backup === undefined || this.send(backup, { from: this.dependencies.instanceId, claims: [claim] });
    }

    private async send(member: string, sync: ClaimSync): Promise<boolean> {
        const reply = await this.dependencies.transport.call<boolean>(member, "claims.sync", sync, CALL_TIMEOUT_MS);
        return reply.isOk() && reply.value;
    }

    private async syncMembers(): Promise<void> {
        const table = this.dependencies.agreement.getActiveTable();
        if (table === undefined) {
            return;
        }
        const outdatedMembers = table.members.filter(member =>
            member !== this.dependencies.instanceId && (this.sentVersions.get(member) ?? 0) < table.version
        );
        await Promise.all(outdatedMembers.map(member => this.syncMember(member, table)));
    }

    private async syncMember(member: string, table: MemberTable): Promise<void> {
        const { instanceId } = this.dependencies;
        const claims = this.table.getAll().filter(claim => this.getReplicaHolders(claim.key, table).includes(member));
        for (let start = 0; start < claims.length; start += CLAIMS_PER_MESSAGE) {
            const chunk = claims.slice(start, start + CLAIMS_PER_MESSAGE);
            if (!await this.send(member, { from: instanceId, claims: chunk })) {
                return;
            }
        }
        if (await this.send(member, { from: instanceId, claims: [], syncedVersion: table.version })) {
            this.sentVersions.set(member, table.version);
        }
    }
}
