import type { DataCentreAgreement, Heartbeat, RpcPeerServer } from "@heatherline/agreement";
import type { JobRunner } from "@heatherline/batch";
import type { ConfigReplica, ConfigSynchroniser, ConfigSyncReply, ConfigSyncRequest } from "@heatherline/config";
import type { SloTracker } from "@heatherline/reports";
import type { Claim, CreditPool } from "@heatherline/serving";
import type { InstanceStatus } from "./adminApi";
import type { ClaimSync, DistributedClaimService } from "./distributedClaimService";
import type { CreditEntry, DistributedCreditProvider } from "./distributedCreditProvider";
import type { DistributedRateLimits, LoanRequest } from "./distributedRateLimits";
import type { Hello, PeerDirectory } from "./peerDirectory";
import type { QuarantineBroadcaster, SuspectUpdate } from "./quarantineBroadcaster";

/** Parts of the daemon that serve the calls of other instances. */
export interface PeerMethodDependencies {
    readonly peerDirectory: PeerDirectory;
    readonly configSynchroniser: ConfigSynchroniser;
    readonly agreement: DataCentreAgreement;
    readonly rates: DistributedRateLimits;
    readonly credits: DistributedCreditProvider;
    readonly creditPool: CreditPool;
    readonly claims: DistributedClaimService;
    readonly quarantine: QuarantineBroadcaster;
    readonly jobRunner: JobRunner;
    readonly sloTracker: SloTracker;
    readonly replica: ConfigReplica;
    readonly getHello: () => Hello;
    readonly getStatus: () => InstanceStatus;
}

/**
 * Registers the RPC methods that other instances call.
 *
 * @param server - The RPC server.
 * @param dependencies - Parts of the daemon that serve the calls.
 */
export function addPeerMethods(server: RpcPeerServer, dependencies: PeerMethodDependencies): void {
    const { peerDirectory, configSynchroniser, quarantine, jobRunner, sloTracker, replica, getHello, getStatus } =
        dependencies;
    server.addMethod<Hello, Hello>("peer.hello", hello => {
        if (hello.peerPort > 0) {
            peerDirectory.recordContact(hello);
        }
        return getHello();
    });
    server.addMethod<ConfigSyncRequest, ConfigSyncReply>(
        "config.sync",
        request => configSynchroniser.handleSync(request),
    );
    addAgreementMethods(server, dependencies);
    addLimitMethods(server, dependencies);
    addClaimMethods(server, dependencies);
    server.addMethod<SuspectUpdate, unknown>("suspects.note", update => quarantine.handleUpdate(update));
    server.addMethod("batch.wake", () => jobRunner.wake());
    server.addMethod("report.slo", () => sloTracker.export());
    server.addMethod("status.get", getStatus);
    server.addMethod<{ path: string; }, number>("status.version", ({ path }) => replica.getVersion(path));
}

function addAgreementMethods(server: RpcPeerServer, { agreement }: PeerMethodDependencies): void {
    server.addMethod<Heartbeat, unknown>("agreement.heartbeat", heartbeat => agreement.handleHeartbeat(heartbeat));
    server.addMethod<{ epoch: number; }, boolean>(
        "agreement.consent",
        ({ epoch }) => agreement.handleConsentRequest(epoch),
    );
    server.addMethod("agreement.table", () => agreement.getActiveTable());
}

function addLimitMethods(server: RpcPeerServer, { rates, credits, creditPool }: PeerMethodDependencies): void {
    server.addMethod(
        "limits.ask",
        (request: Parameters<DistributedRateLimits["handleTokenRequest"]>[0]) => rates.handleTokenRequest(request),
    );
    server.addMethod<LoanRequest, unknown>("shares.borrow", request => rates.handleLoanRequest(request));
    server.addMethod<{ entries: CreditEntry[]; }, unknown>(
        "credits.request",
        ({ entries }) => credits.handleCreditRequest(entries),
    );
    server.addMethod("credits.hint", () => creditPool.scheduleRefresh());
}

function addClaimMethods(server: RpcPeerServer, { claims }: PeerMethodDependencies): void {
    server.addMethod<Claim, unknown>("claims.begin", claim => claims.handleBegin(claim));
    server.addMethod<
        { key: string; requestId: string; end: Parameters<DistributedClaimService["handleEnd"]>[2]; },
        unknown
    >(
        "claims.end",
        ({ key, requestId, end }) => claims.handleEnd(key, requestId, end),
    );
    server.addMethod<ClaimSync, unknown>("claims.sync", sync => claims.handleSync(sync));
    server.addMethod<{ key: string; requestId: string; }, unknown>(
        "claims.drop",
        ({ key, requestId }) => claims.handleDrop(key, requestId),
    );
}
