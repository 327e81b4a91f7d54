import { RpcPeerServer, RpcPeerTransport } from "@heatherline/agreement";
import { type BlockedPrompt, type ClientLimits, getClientLimits, type Logger, newId, sleep } from "@heatherline/common";
import {
    type Announcement,
    FleetView,
    HedgeDelays,
    type MemberEntry,
    METHODS,
    type PlacementClient,
    StateFeed,
} from "@heatherline/fleet";
import { Admission } from "./callers/admission";
import { ClientLimitReport } from "./callers/clientLimitReport";
import { GracefulStop } from "./callers/gracefulStop";
import { Ingress } from "./callers/ingress";
import { serveMetrics, serveReadiness } from "./callers/readinessAndMetrics";
import { StartupGate } from "./callers/startupGate";
import { StopSchedule } from "./callers/stopSchedule";
import { EndpointAccess } from "./endpoints/endpointAccess";
import { EndpointChangeLogger } from "./endpoints/endpointChangeLogger";
import { BlockedPromptStore } from "./fleet/blockedPromptStore";
import { CoordinatorRole } from "./fleet/coordinatorRole";
import { DeputyRole } from "./fleet/deputyRole";
import { newPlacementClient } from "./fleet/newPlacementClient";
import { addPeerMethods } from "./fleet/peerMethods";
import { PeerStatePoller } from "./fleet/peerStatePoller";
import { MemberRegistration } from "./fleet/registration";
import { RetirementAcknowledger } from "./fleet/retirementAcknowledger";
import { RoleUpkeep } from "./fleet/roleUpkeep";
import { newRolloutGuard, newRolloutRole, type RolloutRole } from "./fleet/rolloutRole";
import { StreamOriginStore } from "./fleet/streamOriginStore";
import { Sweeper } from "./fleet/sweeper";
import { SyncMessages } from "./fleet/syncMessages";
import type { GatewayDependencies, GatewaySettings, ReloadableSettings } from "./gatewaySettings";
import { getHandoverCandidates } from "./jobs/handoverCandidates";
import { JobServices } from "./jobs/jobServices";
import { toManifest } from "./jobs/jobStore";
import { isSoleRunner, type RunnerClaim } from "./jobs/runnerClaim";
import { newCallerBudget } from "./memoryBudget";
import { GatewayMetrics } from "./metrics";
import { CallerBuffers } from "./online/callerBuffer";
import { OnlineHandler } from "./online/onlineHandler";
import { logStatus } from "./statusLog";
import { WhereExplainer } from "./where/whereExplainer";

const CHECK_INTERVAL_MS = 200;
const JOB_SYNC_INTERVAL_MS = 500;
const LEASE_START_DELAY_MS = 500;
/** On the first start of the fleet, instances other than seeds get the state from others within this time. */
const FIRST_STATE_WAIT_MS = 1_500;
const SWEEP_INTERVAL_MS = 3_000;
const STATUS_INTERVAL_MS = 10_000;

/** One gateway instance: admits callers' requests and forwards them to endpoints. */
export class Gateway {
    private readonly self: MemberEntry;
    private readonly view: FleetView;
    private readonly admission: Admission;
    private readonly feed: StateFeed;
    private readonly role: CoordinatorRole;
    private readonly deputy: DeputyRole;
    private readonly rollouts: RolloutRole | undefined;
    private readonly rpc: RpcPeerTransport;
    private readonly clientLimits: ClientLimits;
    private readonly clientLimitReport: ClientLimitReport;
    private readonly rpcServer: RpcPeerServer;
    private readonly placement: PlacementClient;
    private readonly endpoints: EndpointAccess;
    private readonly jobs: JobServices;
    private readonly ingress: Ingress;
    private readonly retirement: RetirementAcknowledger;
    private readonly statePoller: PeerStatePoller;
    private readonly sweeper: Sweeper;
    private readonly registration: MemberRegistration;
    private readonly upkeep: RoleUpkeep;
    private readonly gracefulStop: GracefulStop;
    private readonly syncMessages: SyncMessages;
    private readonly metrics: GatewayMetrics;
    private readonly where: WhereExplainer;
    private readonly startupGate = new StartupGate({
        isCoordinatorKnown: () => this.role.isCoordinatorKnown,
        canRunInFallbackMode: () => this.isReady && this.view.members.length > 0,
    });
    private readonly stopSchedule = new StopSchedule(() => this.settings.graceMs);
    private timers: NodeJS.Timeout[] = [];

    /**
     * @param settings - Settings of the instance.
     * @param deps - The store and the platform's formats.
     * @param logger - Log of the instance.
     */
    constructor(
        private settings: GatewaySettings,
        private readonly deps: GatewayDependencies,
        private readonly logger: Logger,
    ) {
        const { instanceId, host, dataCentre, peers, processorShare } = settings;
        const { store, schema, wire } = deps;
        this.clientLimits = getClientLimits(settings);
        this.clientLimitReport = new ClientLimitReport(
            (listener, cause) => this.metrics.recordClientLimit(listener, cause),
            logger,
        );
        this.rpcServer = new RpcPeerServer("", {
            limits: this.clientLimits,
            observe: this.clientLimitReport.getObserver("peers"),
        });
        const view = new FleetView(settings.endpointRenewalMs, settings.rollouts !== undefined);
        this.view = view;
        this.self = {
            instanceId,
            incarnation: newId(),
            host,
            rpcPort: peers.port,
            dataCentre,
            processorShare,
            canRunSplitItems: true,
        };
        this.registration = new MemberRegistration(store, this.self, () => this.stopSchedule.isStopping, logger);
        this.admission = new Admission(view, settings.revokeMs);
        this.rpc = new RpcPeerTransport(() => undefined, "", [METHODS.sync, METHODS.deputySync]);
        this.retirement = new RetirementAcknowledger(schema, deps.putStatus, logger);
        this.feed = new StateFeed(
            store,
            schema,
            view,
            {
                onRetirements: names => this.retirement.setRequested(names),
                onJobs: objects => {
                    const jobs = new Map([...objects].filter(([, object]) => toManifest(object) !== undefined));
                    this.role.localCoordinator?.updateJobs(jobs);
                    this.sweeper.setJobs(jobs);
                },
                onRollouts: objects => this.rollouts?.setObjects(objects),
            },
            () => this.upkeep.isFollower,
            logger,
        );
        this.rollouts = newRolloutRole({
            limits: settings.rollouts,
            schema: schema.rollouts,
            store,
            view,
            putStatus: deps.putStatus,
            isCoordinator: () => this.role.lease.isHolder,
            readOrders: () => this.feed.readRolloutOrders(),
            onChange: () => this.role.localCoordinator?.onRolloutsChanged(),
        }, logger);
        const getRolloutGuard = this.rollouts === undefined ? undefined : () => newRolloutGuard(view);
        const blockedPrompts = new BlockedPromptStore(store, logger);
        const getRegion = (dataCentre: string) => this.settings.regions[dataCentre] ?? dataCentre;
        const { hedgeExtraFraction = 0 } = settings;
        const granterDeps = {
            hedgeExtraFraction,
            self: this.self,
            view,
            getRegion,
            isStoreFailing: () => this.feed.isStoreFailing,
            getPlacement: () => this.placement,
            saveBlockedPrompt: (prompt: BlockedPrompt, isEnded: boolean) => blockedPrompts.save(prompt, isEnded),
            getRolloutGuard,
        };
        this.role = new CoordinatorRole({
            ...granterDeps,
            streamOriginStore: new StreamOriginStore(store, view, "fleet", logger),
            store,
            rpc: this.rpc,
            getRateTolerance: () => this.settings.rateTolerance,
            rollouts: this.rollouts,
            newSyncRequest: (report, waitMs) => this.syncMessages.newRequest(report, waitMs),
            onSyncReply: (reply, transitMs) => {
                this.syncMessages.applyCoordinatorReply(reply, transitMs);
                this.startupGate.check();
            },
            onChange: () => this.onRoleChange(),
        }, logger);
        this.deputy = new DeputyRole({
            ...granterDeps,
            streamOriginStore: new StreamOriginStore(store, view, this.self.dataCentre, logger),
            rpc: this.rpc,
            readBlockedPrompts: () => void this.feed.readBlockedPrompts(),
            newSyncRequest: (report, waitMs) => ({ ...this.syncMessages.newRequest(report, waitMs), jobs: [] }),
            onSyncReply: (reply, transitMs) => {
                this.syncMessages.applyDeputyReply(reply, transitMs);
                this.startupGate.check();
            },
            getAnnouncement: () => this.role.getAnnouncement(),
            onChange: () => this.onRoleChange(),
        }, logger);
        const { link, lease } = this.role;
        const getCoordinator = () => this.role.activeCoordinator;
        const { role, deputy } = this;
        this.placement = newPlacementClient(
            { self: this.self, view, role, deputy, getRegion, getRolloutGuard, hedgeExtraFraction },
            logger,
        );
        const callerBudget = newCallerBudget(settings);
        this.endpoints = new EndpointAccess({
            self: this.self,
            view,
            statements: this.placement.statements,
            getRegion,
            rpc: this.rpc,
            wire,
            getMetrics: () => this.metrics,
            isStopping: () => this.stopSchedule.isStopping,
            bodies: callerBudget.bodies,
            logger,
        });
        const endpoints = this.endpoints.sender;
        this.metrics = new GatewayMetrics({
            getQueueStats: () => this.role.localCoordinator?.getServiceStats() ?? [],
            getConfigAgeMs: () => view.getConfigAgeMs(),
            getStoreCalls: deps.getStoreCalls,
            getJobs: () => this.jobs.runner.getStats(),
            getRollouts: () => this.rollouts?.getRecords() ?? [],
            isCoordinator: () => lease.isHolder,
            isStranded: () => this.endpoints.isStranded,
            getOpenRelayCount: () => this.endpoints.openRelayCount,
            getCallerBufferBytes: () => callerBudget.callerBytes,
            bodies: settings.bufferForSlowCallers === true ? callerBudget.bodies : undefined,
        });
        const { metrics, placement, admission, rpc } = this;
        const callerBuffers = settings.bufferForSlowCallers === true
            ? new CallerBuffers({ budget: callerBudget, metrics, logger })
            : undefined;
        this.jobs = new JobServices({
            self: this.self,
            store,
            maxObjectBytes: settings.maxObjectBytes,
            view,
            admission,
            placement,
            link,
            rpc,
            endpoints,
            wire,
            metrics,
            callerBuffers,
            getCoordinator,
            getRelay: () => this.role.localCoordinator === undefined ? link.coordinator : undefined,
            isSoleRunner: claim => this.isSoleRunner(claim),
            isStopping: () => this.stopSchedule.isStopping,
            logger,
        });
        const links = [link, this.deputy.link];
        this.where = new WhereExplainer({ self: this.self, view, admission, placement, links });
        const { runner, reader } = this.jobs;
        this.syncMessages = new SyncMessages({ self: this.self, view, feed: this.feed, placement, runner, lease });
        this.upkeep = new RoleUpkeep({
            self: this.self,
            view,
            feed: this.feed,
            role: this.role,
            deputy: this.deputy,
            placement,
            runner,
            syncMessages: this.syncMessages,
            isStopping: () => this.stopSchedule.isStopping,
        });
        this.ingress = new Ingress({
            admission,
            view,
            wire,
            online: new OnlineHandler({
                admission,
                placement,
                endpoints,
                wire,
                metrics,
                logger,
                callerBuffers,
                bodies: callerBudget.bodies,
                hedgeDelays: hedgeExtraFraction > 0 ? new HedgeDelays() : undefined,
            }),
            batch: this.jobs.batch,
            stopSchedule: this.stopSchedule,
            startupGate: this.startupGate,
            metrics,
            logger,
            memoryBudget: callerBuffers?.budget,
            clientLimits: this.clientLimits,
            observeClientLimit: this.clientLimitReport.getObserver("callers"),
        });
        this.gracefulStop = new GracefulStop({
            schedule: this.stopSchedule,
            ingress: this.ingress,
            getOpenRelayCount: () => this.endpoints.openRelayCount,
            releaseLease: () => lease.stop(),
            handJobsOver: () => void runner.handOver(getHandoverCandidates(view.members, this.self, link.coordinator)),
            endBackgroundWork: () => this.endBackgroundWork(),
            logger,
        });
        const onAnnouncement = ({ coordinator, epoch }: Announcement) => this.role.follow(coordinator, epoch);
        const getAnnouncement = () => this.role.getAnnouncement();
        addPeerMethods(this.rpcServer, {
            getCoordinator,
            getDeputy: () => this.deputy.localDeputy,
            getAnnouncement,
            view,
            runner,
            reader,
            store,
            onAnnouncement,
        });
        this.endpoints.serve(this.rpcServer);
        this.sweeper = new Sweeper({
            store,
            jobs: this.jobs.store,
            getMembers: () => view.members,
            getJobReadableMs: () => this.settings.jobReadableMs,
            logger,
        });
        this.statePoller = new PeerStatePoller({
            rpc,
            view,
            ownAddress: peers,
            getSeeds: () => this.settings.seeds,
            isStateIncomplete: () => this.isStateIncomplete,
            isFollowingDeputy: () => this.deputy.link.coordinator !== undefined,
            onCoordinator: onAnnouncement,
            isStopping: () => this.stopSchedule.isStopping,
        });
        const endpointChangeLogger = new EndpointChangeLogger(logger);
        view.onChange(part => {
            if (part === "members") {
                this.registration.onMembersChanged(view.versionedMembers);
                this.upkeep.updateDeputy();
            }
            if (part === "endpoints") {
                endpointChangeLogger.logChanges(view);
            }
            this.placement.onViewChanged();
            this.role.localCoordinator?.onViewChanged();
            this.deputy.localDeputy?.onViewChanged();
            this.startupGate.check();
        });
    }

    /** Starts the listeners, then the background work. */
    async start(): Promise<void> {
        const { settings, logger } = this;
        await this.rpcServer.listen(settings.peers.host, settings.peers.port);
        this.startupGate.start();
        await this.ingress.listen(settings.callers.host, settings.callers.port);
        const limits = this.clientLimits;
        const readinessLimits = { limits, observe: this.clientLimitReport.getObserver("readiness") };
        await serveReadiness(settings.readiness, this.deps.wire.readinessPath, () => this.isReady, readinessLimits);
        logger.info({ event: "started", incarnation: this.self.incarnation });
        const waitsForOthers = this.settings.isFirstStart && !this.isSeed;
        if (waitsForOthers) {
            this.upkeep.waitForOthers(FIRST_STATE_WAIT_MS);
        }
        this.upkeep.check();
        void this.statePoller.run();
        void this.registration.register()
            .then(() => sleep(waitsForOthers ? FIRST_STATE_WAIT_MS : 0))
            .then(() => this.view.members.length === 0 ? this.feed.readMembers() : undefined);
        this.role.lease.start(waitsForOthers ? LEASE_START_DELAY_MS * (1 + Math.random()) : 0);
        this.timers = [
            setInterval(() => this.upkeep.check(), CHECK_INTERVAL_MS),
            setInterval(() => this.jobs.ownJobSync.sync(), JOB_SYNC_INTERVAL_MS),
            setInterval(() => this.logStatus(), STATUS_INTERVAL_MS),
            setInterval(() => this.sweep(), SWEEP_INTERVAL_MS),
        ];
        void serveMetrics(
            { host: settings.host, port: settings.metricsPort },
            { render: () => this.metrics.render(), answerWhere: query => this.where.answer(query) },
            logger,
            { limits, observe: this.clientLimitReport.getObserver("metrics") },
        );
    }

    /**
     * Applies settings that may change while the process runs; listen addresses can't change.
     *
     * @param settings - The new settings.
     */
    updateSettings(settings: ReloadableSettings): void {
        const { seeds, regions, revokeMs, graceMs, jobReadableMs, rateTolerance } = settings;
        this.settings = { ...this.settings, seeds, regions, revokeMs, graceMs, jobReadableMs, rateTolerance };
        this.admission.setRevokeMs(revokeMs);
    }

    /**
     * Stops gracefully. A repeated call changes nothing.
     *
     * @returns Resolves once the instance has stopped, at each call.
     */
    stop(): Promise<void> {
        return this.gracefulStop.run();
    }

    private endBackgroundWork(): void {
        this.role.link.stop("stopping");
        this.deputy.stop();
        this.endpoints.stop();
        this.timers.forEach(timer => clearInterval(timer));
        this.rpcServer.close();
    }

    /**
     * Whether others know this instance from the start. On the first start of the fleet, the others wait, so that a seed
     * becomes coordinator and the others learn of it and get the state from it.
     */
    private get isSeed(): boolean {
        return this.settings.seeds.some(seed => this.statePoller.isOwnAddress(seed));
    }

    /** Whether this instance lacks state that other instances may have. */
    private get isStateIncomplete(): boolean {
        return !this.role.isCoordinatorKnown || !this.admission.isConfigFresh || this.view.getEndpoints().length === 0;
    }

    /** Whether the load balancer should send callers to this instance. */
    private get isReady(): boolean {
        return !this.stopSchedule.isStopping && this.admission.isConfigFresh && this.view.getEndpoints().length > 0;
    }

    private onRoleChange(): void {
        this.startupGate.check();
        this.upkeep.check();
    }

    private isSoleRunner(claim: RunnerClaim): boolean {
        return isSoleRunner(claim, {
            isCoordinator: () => this.role.lease.isHolder,
            getOwnReportAgeMs: () => this.jobs.ownJobSync.reportAgeMs,
            getReplyAgeMs: () => this.role.link.lastReplyAgeMs,
            getInstanceCount: () => this.view.members.length,
        });
    }

    private sweep(): void {
        const coordinator = this.role.activeCoordinator;
        if (coordinator !== undefined && !this.feed.isStoreFailing) {
            void this.sweeper.sweep(coordinator);
        }
    }

    private logStatus(): void {
        const { view, role, ingress, endpoints, jobs: { runner }, deps: { getStoreCalls } } = this;
        logStatus({ view, role, ingress, endpoints, runner, getStoreCalls }, this.logger);
    }
}
