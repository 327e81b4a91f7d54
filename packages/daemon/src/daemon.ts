import { DataCentreAgreement, RpcPeerServer, RpcPeerTransport } from "@heatherline/agreement";
import { JobRunner } from "@heatherline/batch";
import {
    getClientLimits,
    getInvariantCounts,
    type Logger,
    newId,
    onInvariantViolation,
    sleep,
} from "@heatherline/common";
import { VERSION } from "@heatherline/common";
import {
    ConfigReplica,
    ConfigSynchroniser,
    type ConfigSyncReply,
    type ConfigSyncRequest,
    ConfigWriter,
    parseDocuments,
    type ServiceDocument,
} from "@heatherline/config";
import { GrantLimiter, type RateLimiter, StaticSplitLimiter } from "@heatherline/limits";
import { AuditLog, AuditReader, type SloThresholds, SloTracker } from "@heatherline/reports";
import {
    CreditPool,
    EndpointReconciler,
    getEndpointKey,
    HttpOrderTransport,
    InFlightRegistry,
    Scheduler,
} from "@heatherline/serving";
import { HttpStore, MemoryStore, type ObjectStore } from "@heatherline/store";
import { readFile } from "node:fs/promises";
import { AdminApi, type InstanceStatus } from "./adminApi";
import { BatchApi, getJobSubject } from "./batchApi";
import { CallerServer, getDescriptorLimit, getMemoryLimitBytes } from "./callerServer";
import { ConfigDiskCache } from "./configDiskCache";
import { DataCentres } from "./dataCentres";
import { DistributedClaimService } from "./distributedClaimService";
import { DistributedCreditProvider } from "./distributedCreditProvider";
import { type BroadcastRateState, DistributedRateLimits } from "./distributedRateLimits";
import { FleetReports } from "./fleetReports";
import { DaemonMetrics } from "./metrics";
import { OwnerLocator } from "./ownerLocator";
import { type Hello, PeerDirectory } from "./peerDirectory";
import { addPeerMethods } from "./peerMethods";
import { PipelineItemExecutor } from "./pipelineItemExecutor";
import { newPipelines } from "./pipelines";
import { newBatchAdmission, newRoutePolicy } from "./policies";
import { QuarantineBroadcaster } from "./quarantineBroadcaster";
import type { DaemonSettings } from "./settings";

const SYNC_TIMEOUT_MS = 1_500;
const DRAIN_POLL_MS = 20;
const SECONDS_PER_MINUTE = 60;
/** Stands for the weight store in rate limits. Names of organisations have no capitals, so that none is the same. */
const WEIGHT_STORE_ORGANISATION = "WEIGHT-STORE";

/** One instance of the system. Creates and connects all parts that run in its process. */
export class Daemon {
    private readonly incarnation = newId();
    private readonly store: ObjectStore;
    private readonly platformStore: HttpStore | undefined;
    private readonly replica = new ConfigReplica();
    private readonly dataCentres: DataCentres;
    private readonly configWriter: ConfigWriter;
    private readonly transport: RpcPeerTransport;
    private readonly peerServer: RpcPeerServer;
    private readonly peerDirectory: PeerDirectory;
    private readonly agreement: DataCentreAgreement;
    private readonly locator: OwnerLocator;
    private readonly rates: DistributedRateLimits;
    private readonly credits: DistributedCreditProvider;
    private readonly claims: DistributedClaimService;
    private readonly quarantine: QuarantineBroadcaster;
    private readonly configSynchroniser: ConfigSynchroniser;
    private readonly limiter: RateLimiter;
    private readonly scheduler: Scheduler;
    private readonly creditPool: CreditPool;
    private readonly inFlight = new InFlightRegistry();
    private readonly jobRunner: JobRunner;
    private readonly endpointReconciler: EndpointReconciler;
    private readonly metrics: DaemonMetrics;
    private readonly auditLog: AuditLog;
    private readonly sloTracker = new SloTracker(service => this.getThresholds(service));
    private readonly reports: FleetReports;
    private readonly callerServer: CallerServer;
    private peerPort = 0;
    private isDraining = false;
    /** When open requests are cut, on the monotonic clock; infinite while connections are accepted. */
    private drainEndsAtMs = Infinity;

    /**
     * @param settings - Checked settings.
     * @param logger - Log of the daemon.
     */
    constructor(private readonly settings: DaemonSettings, private readonly logger: Logger) {
        const { instance, dataCentre } = settings;
        this.platformStore = settings.storeUrl === undefined ? undefined : new HttpStore(settings.storeUrl, instance);
        this.store = this.platformStore ?? new MemoryStore();
        this.dataCentres = new DataCentres(this.replica, dataCentre);
        this.configWriter = new ConfigWriter(this.store, this.replica);
        this.transport = new RpcPeerTransport(peerId => this.peerDirectory.getAddress(peerId), settings.peerSecret);
        this.peerServer = new RpcPeerServer(settings.peerSecret, {
            limits: getClientLimits({ memoryBytes: getMemoryLimitBytes(), maxDescriptors: getDescriptorLimit() }),
            observe: cause => this.metrics.recordClientLimit(cause),
        });
        this.peerDirectory = new PeerDirectory(() => this.getHello(), this.platformStore, settings.peers, logger);
        const { transport } = this;
        this.agreement = new DataCentreAgreement(
            { instanceId: instance, incarnation: this.incarnation, dataCentre },
            this.store,
            transport,
            {
                getListedInstances: () => this.peerDirectory.getDataCentreInstances(),
                getSyncedVersion: () => this.claims.getSyncedVersion(),
                getDurableState: previous => this.rates.getDurableState(previous),
                getBroadcastState: () => ({ rates: this.rates.getBroadcastState() }),
                onBroadcastState: (state, sentAtMs) =>
                    this.rates.recordBroadcastState(state.rates as BroadcastRateState, sentAtMs),
                onNewTable: table => {
                    this.rates.ownership.addTable(table);
                    this.credits.addTable(table);
                },
                onTableSettled: version => {
                    this.rates.ownership.markSettled(version);
                    this.credits.markSettled(version);
                },
            },
            logger,
        );
        const { agreement } = this;
        this.locator = new OwnerLocator(dataCentre, agreement, this.peerDirectory, transport);
        const { locator } = this;
        const getDataCentres = () => this.dataCentres.getAll();
        const sharedDependencies = {
            instanceId: instance,
            dataCentre,
            agreement,
            locator,
            transport,
            logger,
            getDataCentres,
        };
        this.rates = new DistributedRateLimits({
            ...sharedDependencies,
            getShareEntries: () => this.dataCentres.getShareEntries(),
        });
        this.claims = new DistributedClaimService(sharedDependencies);
        this.credits = new DistributedCreditProvider({
            ...sharedDependencies,
            replica: this.replica,
            onHint: () => this.creditPool.scheduleRefresh(),
        });
        this.quarantine = new QuarantineBroadcaster(this.configWriter, this.peerDirectory, transport, logger);
        this.configSynchroniser = new ConfigSynchroniser(this.store, this.replica, {
            getPeerIds: () => this.peerDirectory.getPeers().map(({ instanceId }) => instanceId),
            sync: (peerId, request) => this.syncWith(peerId, request),
        }, logger);
        this.scheduler = new Scheduler(newRoutePolicy(settings.routePolicy), newBatchAdmission(settings));
        this.creditPool = new CreditPool(
            instance,
            dataCentre,
            this.credits,
            service => this.scheduler.getWaitingCounts(service),
            other => this.replica.isDataCentreOut(other),
            logger,
        );
        this.scheduler.setCreditPool(this.creditPool);
        this.limiter = settings.limitPolicy === "grants"
            ? new GrantLimiter(instance, this.rates)
            : new StaticSplitLimiter(() => this.peerDirectory.getPeers().length + 1);
        this.metrics = this.newMetrics();
        this.reports = new FleetReports(
            this.peerDirectory,
            transport,
            this.replica,
            this.sloTracker,
            () => this.getStatus(),
        );
        this.auditLog = new AuditLog(this.store, instance, logger);
        const { online, batch } = newPipelines({
            replica: this.replica,
            scheduler: this.scheduler,
            creditPool: this.creditPool,
            quarantine: this.quarantine,
            inFlight: this.inFlight,
            claims: this.claims,
            limiter: this.limiter,
            metrics: this.metrics,
            auditLog: this.auditLog,
            sloTracker: this.sloTracker,
            logger,
            getConfigAgeMs: () => this.getConfigAgeMs(),
        });
        this.jobRunner = new JobRunner(
            this.store,
            new PipelineItemExecutor(batch, this.replica),
            { isRunner: jobId => this.isJobRunner(jobId) },
            logger,
        );
        this.endpointReconciler = new EndpointReconciler(new HttpOrderTransport(), {
            getServices: () => this.replica.getServices(),
            getFencingToken: (service, spec) => this.credits.getFencingToken(getEndpointKey(service.service, spec)),
            tryStartLoad: service => this.tryStartLoad(service),
        }, logger);
        this.callerServer = new CallerServer({
            pipeline: online,
            batch: new BatchApi(this.store, this.replica, jobId => this.onJobSubmitted(jobId)),
            admin: this.newAdminApi(),
            metrics: this.metrics,
            replica: this.replica,
            maxBodyBytes: settings.maxBodyBytes,
            isReady: () => this.isReady(),
            isDraining: () => this.isDraining,
            getDrainLeftMs: () => this.drainEndsAtMs - performance.now(),
            onClientLimit: cause => this.metrics.recordClientLimit(cause),
            onDirectResponse: response => this.auditLog.addEntry({ at: new Date().toISOString(), ...response }),
            logger,
        });
    }

    /**
     * Starts all parts of the instance, the listener for callers last.
     *
     * @returns The ports that the instance listens on.
     */
    async start(): Promise<{ port: number; peerPort: number; }> {
        const { settings } = this;
        onInvariantViolation((name, detail) => this.logger.fatal({ invariant: name, detail }, "invariant violated"));
        const {
            peerDirectory,
            configSynchroniser,
            agreement,
            rates,
            credits,
            creditPool,
            claims,
            quarantine,
            jobRunner,
            sloTracker,
            replica,
        } = this;
        addPeerMethods(this.peerServer, {
            peerDirectory,
            configSynchroniser,
            agreement,
            rates,
            credits,
            creditPool,
            claims,
            quarantine,
            jobRunner,
            sloTracker,
            replica,
            getHello: () => this.getHello(),
            getStatus: () => this.getStatus(),
        });
        this.peerPort = await this.peerServer.listen(settings.listenAddress, settings.peerPort);
        if (settings.dataDir !== undefined) {
            await new ConfigDiskCache(
                settings.dataDir,
                this.replica,
                ageMs => this.configSynchroniser.recordAge(ageMs),
                this.logger,
            ).start();
        }
        this.replica.onChange((path, document) => {
            if (document?.kind === "key" && document.state === "withdrawn") {
                const ended = this.inFlight.abortByKey(document.keyId);
                this.logger.info({ keyId: document.keyId, ended }, "key withdrawn");
            }
            if (document?.kind !== "key") {
                this.creditPool.setServices(this.replica.getServices());
            }
        });
        await this.peerDirectory.start(this.transport);
        this.configSynchroniser.start();
        this.agreement.start();
        this.rates.start();
        this.claims.start();
        this.auditLog.start();
        this.creditPool.start();
        if (this.limiter instanceof GrantLimiter) {
            this.limiter.start();
        }
        await this.applyInitialDocuments();
        this.creditPool.setServices(this.replica.getServices());
        this.jobRunner.start();
        this.endpointReconciler.start();
        const port = await this.callerServer.listen(settings.listenAddress, settings.port);
        this.logger.info({ port, peerPort: this.peerPort, incarnation: this.incarnation }, "started");
        return { port, peerPort: this.peerPort };
    }

    /**
     * Shuts down gracefully. Fails the readiness check, goes on accepting requests for the drain delay, waits up to the
     * drain timeout for the requests in flight, and then releases what the instance owns and leaves the fleet.
     */
    async stop(): Promise<void> {
        this.isDraining = true;
        this.logger.info({ inFlight: this.inFlight.size }, "draining");
        await sleep(this.settings.drainDelayMs);
        this.jobRunner.stop();
        this.endpointReconciler.stop();
        this.drainEndsAtMs = performance.now() + this.settings.drainTimeoutMs;
        await this.callerServer.stopAccepting();
        while (this.callerServer.countOpenConnections() > 0 && performance.now() < this.drainEndsAtMs) {
            await sleep(DRAIN_POLL_MS);
        }
        if (this.limiter instanceof GrantLimiter) {
            this.limiter.stop();
        }
        this.creditPool.stop();
        this.configSynchroniser.stop();
        this.rates.stop();
        this.claims.stop();
        await this.auditLog.stop();
        await this.agreement.stop();
        this.peerDirectory.stop();
        this.peerServer.close();
        this.logger.info({ cut: this.callerServer.countOpenRequests() }, "stopped");
    }

    private newMetrics(): DaemonMetrics {
        return new DaemonMetrics({
            getInFlight: () => this.inFlight.size,
            getWaiting: () =>
                this.replica.getServices().flatMap(({ service }) =>
                    Object.entries(this.scheduler.getWaitingCounts(service)).map(([workClass, count]) => ({
                        service,
                        workClass,
                        count,
                    }))
                ),
            getEndpoints: () => this.creditPool.describe(),
            getTraffic: () => this.transport.traffic,
            getStoreCalls: () => ({ ...this.platformStore?.counts ?? {} }),
            isLeaseHolder: () => this.agreement.isLeaseHolder(),
        });
    }

    private newAdminApi(): AdminApi {
        return new AdminApi({
            replica: this.replica,
            writer: this.configWriter,
            operatorToken: this.settings.operatorToken,
            pushDocument: path => this.configSynchroniser.push(this.replica.export([path])),
            collectStatus: () => this.reports.collectStatus(),
            readAudit: (from, to) => new AuditReader(this.store).readPage(from, to),
            collectBurn: () => this.reports.collectBurn(),
            collectInForce: path => this.reports.collectInForce(path),
        });
    }

    private async applyInitialDocuments(): Promise<void> {
        for (const file of this.settings.documents) {
            const parsed = parseDocuments(await readFile(file, "utf8"));
            for (const document of parsed.unwrapOr([])) {
                const written = await this.configWriter.write(document);
                if (written.isErr()) {
                    this.logger.error(
                        { file, error: written.error.toString(), faults: written.error.faults },
                        "initial document rejected",
                    );
                }
            }
        }
    }

    private async syncWith(peerId: string, request: ConfigSyncRequest): Promise<ConfigSyncReply | undefined> {
        const reply = await this.transport.call<ConfigSyncReply>(peerId, "config.sync", request, SYNC_TIMEOUT_MS);
        return reply.isOk() ? reply.value : undefined;
    }

    /** Limits how often a service's weights are loaded, by the same rate limits as organisations, with a burst of 1. */
    private async tryStartLoad({ service, weightLoadsPerMinute }: ServiceDocument): Promise<boolean> {
        const bounds = { ratePerS: weightLoadsPerMinute / SECONDS_PER_MINUTE, burst: 1 };
        const subject = { service, organisation: WEIGHT_STORE_ORGANISATION };
        return (await this.limiter.acquire(subject, bounds, new AbortController().signal)).isOk();
    }

    private onJobSubmitted(jobId: string): void {
        if (this.isJobRunner(jobId)) {
            this.jobRunner.wake();
            return;
        }
        void this.locator.getOwner(this.getJobDataCentre(jobId), getJobSubject(jobId)).then(owner =>
            owner === undefined ? undefined : this.transport.call(owner, "batch.wake", {}, SYNC_TIMEOUT_MS)
        );
    }

    private isJobRunner(jobId: string): boolean {
        return this.getJobDataCentre(jobId) === this.settings.dataCentre &&
            this.agreement.isOwner(getJobSubject(jobId));
    }

    private getJobDataCentre(jobId: string): string {
        return this.rates.chooseDataCentre(jobId, this.dataCentres.getInUse());
    }

    private getConfigAgeMs(): number {
        return this.platformStore === undefined ? 0 : this.configSynchroniser.getStoreAgeMs();
    }

    private isReady(): boolean {
        const { instance, dataCentre } = this.settings;
        return !this.isDraining &&
            this.replica.getServices().length > 0 &&
            !this.replica.isInstanceOut(instance) &&
            !this.replica.isDataCentreOut(dataCentre);
    }

    private getHello(): Hello {
        const { instance, dataCentre, advertiseAddress, listenAddress } = this.settings;
        return {
            instanceId: instance,
            dataCentre,
            address: advertiseAddress ?? listenAddress,
            peerPort: this.peerPort,
            incarnation: this.incarnation,
        };
    }

    private getStatus(): InstanceStatus {
        const table = this.agreement.getActiveTable();
        return {
            instanceId: this.settings.instance,
            dataCentre: this.settings.dataCentre,
            incarnation: this.incarnation,
            version: VERSION,
            isReady: this.isReady(),
            isLeaseHolder: this.agreement.isLeaseHolder(),
            epoch: table?.epoch ?? 0,
            members: table?.members ?? [],
            configDigest: this.replica.getDigest(),
            storeAgeMs: Math.round(Math.min(this.configSynchroniser.getStoreAgeMs(), Number.MAX_SAFE_INTEGER)),
            inFlight: this.inFlight.size,
            activeJobs: this.jobRunner.countActive(),
            invalidDocuments: this.replica.getInvalidVersions(),
            violations: getInvariantCounts().reduce((total, { violated }) => total + violated, 0),
            endpoints: this.creditPool.describe(),
        };
    }

    private getThresholds(name: string): SloThresholds {
        const objectives = this.replica.getServices().find(({ service }) => service === name)?.objectives ?? [];
        const find = (kind: string) => objectives.find(({ objective }) => objective === kind)?.thresholdMs ?? Infinity;
        return { firstByteMs: find("first-byte"), durationMs: find("duration") };
    }
}
