import { RpcPeerServer, RpcPeerTransport } from "@heatherline/agreement";
import { type Logger, newId, sleep } from "@heatherline/common";
import {
    type Announcement,
    Coordinator,
    CoordinatorLease,
    CoordinatorLink,
    FleetView,
    type MemberEntry,
    METHODS,
    Placement,
    StateFeed,
    type SyncReply,
    type SyncRequest,
} from "@heatherline/fleet";
import { Admission } from "./admission";
import { BatchApi } from "./batchApi";
import { EndpointClient } from "./endpointClient";
import { EndpointLog } from "./endpointLog";
import type { ChangeableSettings, GatewayOutside, GatewaySettings } from "./gatewaySettings";
import { Ingress } from "./ingress";
import { JobReader } from "./jobReader";
import { JobRunner } from "./jobRunner";
import { JobStore } from "./jobStore";
import { GatewayMetrics } from "./metrics";
import { OnlineHandler } from "./onlineHandler";
import { PeerLearning } from "./peerLearning";
import { addPeerMethods } from "./peerMethods";
import { registerMember } from "./registration";
import { RetirementDesk } from "./retirement";
import { serveMetrics, serveReadiness } from "./sideListeners";
import { StartGate } from "./startGate";
import { Sweeper } from "./sweeper";

/** Age of the configuration beyond which an instance reads the store itself, in milliseconds. */
const MAX_TOLD_AGE_MS = 2_200;
/** News of ended jobs older than this stop new runs of items, in milliseconds. */
const MAX_JOB_NEWS_AGE_MS = 2_000;
/** With older news of the coordinator another instance may run the jobs of this one, in milliseconds. */
const MAX_RUNNER_NEWS_AGE_MS = 900;
const REVIEW_INTERVAL_MS = 200;
const ADOPTION_INTERVAL_MS = 500;
const FIRST_START_DELAY_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 400;
const SWEEP_INTERVAL_MS = 3_000;
const STATUS_INTERVAL_MS = 10_000;
/** Time after the request to stop in which the balancer may still send new connections, in milliseconds. */
const BALANCER_LAG_MS = 2_600;
/** Time kept before the process is killed, in milliseconds. */
const KILL_MARGIN_MS = 700;
const STOP_POLL_MS = 50;

/** One instance that stands between callers and endpoints. */
export class Gateway {
    private readonly self: MemberEntry;
    private readonly view: FleetView;
    private readonly admission: Admission;
    private readonly feed: StateFeed;
    private readonly lease: CoordinatorLease;
    private readonly link: CoordinatorLink;
    private readonly rpc: RpcPeerTransport;
    private readonly rpcServer = new RpcPeerServer("");
    private readonly placement: Placement;
    private readonly runner: JobRunner;
    private readonly ingress: Ingress;
    private readonly retirement: RetirementDesk;
    private readonly learning: PeerLearning;
    private readonly sweeper: Sweeper;
    private isRegistering = false;
    private wasListed = false;
    private readonly metrics: GatewayMetrics;
    private readonly startGate = new StartGate(() => this.isReady && !this.placement.isAlone);
    private coordinator: Coordinator | undefined;
    private isStopping = false;
    private timers: NodeJS.Timeout[] = [];

    /**
     * @param settings - What this instance is told.
     * @param outside - What it reaches the outside through.
     * @param logger - Log of the instance.
     */
    constructor(
        private settings: GatewaySettings,
        private readonly outside: GatewayOutside,
        private readonly logger: Logger,
    ) {
        const { instanceId, host, dataCentre, peers, processorShare } = settings;
        const { store, schema, wire } = outside;
        const view = new FleetView(settings.endpointRenewalMs);
        this.view = view;
        this.self = { instanceId, incarnation: newId(), host, rpcPort: peers.port, dataCentre, processorShare };
        this.admission = new Admission(view, settings.revokeMs);
        this.rpc = new RpcPeerTransport(() => undefined, "");
        this.retirement = new RetirementDesk(schema, outside.putStatus, logger);
        this.feed = new StateFeed(store, schema, view, {
            onRetirements: names => this.retirement.note(names),
            onJobs: objects => {
                this.coordinator?.noteJobs(objects);
                this.sweeper.noteJobs(objects);
            },
        }, logger);
        this.link = new CoordinatorLink(this.rpc, {
            newRequest: (isFull, waitMs) => this.newSyncRequest(isFull, waitMs),
            onNews: (reply, transitMs) => {
                this.applyNews(reply, transitMs);
                this.startGate.check();
            },
            onConnection: () => this.review(),
            onDead: incarnation => this.lease.noteDead(incarnation),
            onStepDown: () => this.lease.noteStepDown(),
        }, logger);
        this.lease = new CoordinatorLease(store, this.self, {
            getMembers: () => view.members,
            isTakeoverExcluded: () => this.coordinator?.isTakeoverExcluded() ?? false,
            onChange: (isHolder, reason) => this.onLeaseChange(isHolder, reason),
            onHolder: (holder, epoch) => this.onHolder(holder, epoch),
            isServed: () => this.link.coordinator !== undefined,
        }, logger);
        const getCoordinator = () => this.lease.isHolder ? this.coordinator : undefined;
        const getRegion = (zone: string) => this.settings.regions[zone] ?? zone;
        this.placement = new Placement(this.self, view, this.link, getCoordinator, getRegion, logger);
        const jobStore = new JobStore(store, logger);
        const endpoints = new EndpointClient(wire);
        this.metrics = new GatewayMetrics({
            getLines: () => this.coordinator?.describe() ?? [],
            getConfigAgeMs: () => view.getConfigAgeMs(),
            getStoreCalls: outside.getStoreCalls,
            getJobs: () => this.runner.describe(),
            isCoordinator: () => this.lease.isHolder,
        });
        const { metrics, placement, admission, link, rpc } = this;
        this.runner = new JobRunner({
            instanceId,
            store: jobStore,
            view,
            placement,
            rpc,
            endpoints,
            wire,
            metrics,
            isCurrent: () => view.getConfigAgeMs() < MAX_JOB_NEWS_AGE_MS,
            logger,
        });
        const { runner } = this;
        const getMember = (id: string) => view.members.find(member => member.instanceId === id);
        const reader = new JobReader({
            runner,
            store: jobStore,
            link,
            getCoordinator,
            rpc,
            getMember,
            self: this.self,
            isOnlyRunner: () => this.lease.isHolder || link.newsAgeMs < MAX_RUNNER_NEWS_AGE_MS,
        });
        const getMembers = () => view.members;
        this.ingress = new Ingress({
            admission,
            view,
            wire,
            online: new OnlineHandler({ admission, placement, endpoints, wire, metrics, logger }),
            batch: new BatchApi({
                admission,
                view,
                wire,
                store: jobStore,
                runner,
                reader,
                link,
                rpc,
                getCoordinator,
                getMembers,
                metrics,
                logger,
            }),
            isStopping: () => this.isStopping,
            startGate: this.startGate,
            logger,
        });
        const onAnnouncement = ({ coordinator, epoch }: Announcement) => this.onHolder(coordinator, epoch);
        const getDeciding = () => this.getDeciding();
        addPeerMethods(this.rpcServer, { getCoordinator, getDeciding, view, runner, reader, onAnnouncement });
        this.sweeper = new Sweeper({
            store,
            jobs: jobStore,
            getMembers,
            getJobReadableMs: () => this.settings.jobReadableMs,
            logger,
        });
        this.learning = new PeerLearning({
            rpc,
            view,
            own: peers,
            getSeeds: () => this.settings.seeds,
            lacksSomething: () => this.lacksSomething,
            onDeciding: deciding => this.onHolder(deciding.coordinator, deciding.epoch),
            isStopping: () => this.isStopping,
        });
        const endpointLog = new EndpointLog(logger);
        view.onChange(part => {
            if (part === "members") {
                this.registerIfGone();
            }
            if (part === "endpoints") {
                endpointLog.note(view);
                endpoints.forgetOthers(new Set(view.getEndpoints().map(({ endpointId }) => endpointId)));
            }
            this.placement.noteViewChanged();
            this.coordinator?.noteViewChanged();
            this.startGate.check();
        });
    }

    /** Starts: first the listeners, then the rest. */
    async start(): Promise<void> {
        const { settings, logger } = this;
        await this.rpcServer.listen(settings.peers.host, settings.peers.port);
        this.startGate.start();
        await this.ingress.listen(settings.callers.host, settings.callers.port);
        await serveReadiness(settings.readiness, this.outside.wire.readinessPath, () => this.isReady);
        logger.info({ event: "started", incarnation: this.self.incarnation });
        this.feed.setScope("essentials");
        void this.learning.run();
        void this.register().then(() => this.feed.readMembers());
        this.lease.start(this.getFirstDelayMs());
        this.timers = [
            setInterval(() => this.review(), REVIEW_INTERVAL_MS),
            setInterval(() => this.adoptOwnJobs(), ADOPTION_INTERVAL_MS),
            setInterval(() => this.logStatus(), STATUS_INTERVAL_MS),
            setInterval(() => this.sweep(), SWEEP_INTERVAL_MS),
        ];
        const metricsAddress = { host: settings.host, port: settings.metricsPort };
        void serveMetrics(metricsAddress, () => this.metrics.render(), logger);
    }

    /**
     * Takes over what may change while the process runs; addresses of listeners don't.
     *
     * @param settings - The new settings.
     */
    update(settings: ChangeableSettings): void {
        const { seeds, regions, revokeMs, graceMs, jobReadableMs, rateTolerance } = settings;
        this.settings = { ...this.settings, seeds, regions, revokeMs, graceMs, jobReadableMs, rateTolerance };
        this.admission.setRevokeMs(revokeMs);
    }

    /** Takes no new work, lets what runs end, hands over what it decides, and returns when nothing is left. */
    async stop(): Promise<void> {
        if (this.isStopping) {
            return;
        }
        const startedAtMs = performance.now();
        this.isStopping = true;
        this.logger.info({ event: "stopping", openRequests: this.ingress.openCount });
        await this.lease.stop();
        void this.runner.handOver(this.getOthers());
        const endAtMs = startedAtMs + this.settings.graceMs - KILL_MARGIN_MS;
        while (performance.now() < endAtMs) {
            const isQuiet = performance.now() - startedAtMs > BALANCER_LAG_MS && this.ingress.openCount === 0;
            if (isQuiet) {
                break;
            }
            await sleep(STOP_POLL_MS);
        }
        this.link.stop("stopping");
        this.timers.forEach(timer => clearInterval(timer));
        this.logger.info({ event: "stopped", cut: this.ingress.openCount });
        this.ingress.close();
        this.rpcServer.close();
    }

    /** When all instances start together, the seeds settle among themselves who decides, and the others hear of it. */
    private getFirstDelayMs(): number {
        const { seeds, isFirstStart } = this.settings;
        const isSeed = seeds.some(seed => this.learning.isOwn(seed));
        return isFirstStart && !isSeed ? FIRST_START_DELAY_MS * (1 + Math.random()) : 0;
    }

    /** Whether other instances may know what this one doesn't. */
    private get lacksSomething(): boolean {
        const hasCoordinator = this.coordinator !== undefined || this.link.coordinator !== undefined;
        return !hasCoordinator || !this.admission.isCurrent || this.view.getEndpoints().length === 0;
    }

    /** Whether callers are served better here than elsewhere. */
    private get isReady(): boolean {
        return !this.isStopping && this.admission.isCurrent && this.view.getEndpoints().length > 0;
    }

    private newSyncRequest(isFull: boolean, waitMs: number): SyncRequest {
        return {
            member: this.self,
            known: this.view.getRevisions(),
            places: isFull ? this.placement.getPlaces() : undefined,
            jobs: this.runner.getProgress(),
            isStoreFailing: this.feed.isStoreFailing,
            waitMs,
        };
    }

    private applyNews(reply: Extract<SyncReply, { kind: "news"; }>, transitMs: number): void {
        this.view.applyNews(reply.news, transitMs);
        this.lease.noteTold(reply.coordinator, reply.epoch, reply.leaseVersion);
        for (const decision of reply.decisions) {
            this.placement.noteDecision(decision);
        }
        for (const placeId of reply.calledBack) {
            this.placement.callBack(placeId);
        }
        for (const jobId of reply.assignedJobs) {
            void this.runner.adopt(jobId);
        }
        for (const jobId of reply.takenJobs) {
            this.runner.yield(jobId);
        }
        if (reply.endedJobs.length > 0) {
            void this.runner.check(reply.endedJobs);
        }
    }

    private onHolder(holder: MemberEntry, epoch: number): void {
        if (holder.incarnation !== this.self.incarnation) {
            this.link.follow(holder, epoch);
        }
    }

    private onLeaseChange(isHolder: boolean, reason: string): void {
        this.logger.info({
            event: isHolder ? "coordinator-begins" : "coordinator-ends",
            epoch: this.lease.epoch,
            reason,
        });
        this.coordinator?.stop();
        this.coordinator = undefined;
        if (isHolder) {
            this.link.stop("this instance is the coordinator");
            this.coordinator = new Coordinator(this.lease.epoch, {
                self: this.self,
                view: this.view,
                getRegion: zone => this.settings.regions[zone] ?? zone,
                getRateTolerance: () => this.settings.rateTolerance,
                getLeaseVersion: () => this.lease.version,
                isStoreFailing: () => this.feed.isStoreFailing,
                callBackOwn: placeId => this.placement.callBack(placeId),
                logger: this.logger,
            });
            this.coordinator.adoptOwn(this.placement.getPlaces());
            this.announce(this.lease.epoch);
        }
        this.startGate.check();
        this.review();
    }

    /** Instances that may take over what this one runs, the coordinator last, since it has more to do. */
    private getOthers(): MemberEntry[] {
        const { coordinator } = this.link;
        const others = this.view.members.filter(({ instanceId }) => instanceId !== this.self.instanceId);
        const rest = others.filter(({ instanceId }) => instanceId !== coordinator?.instanceId);
        return coordinator === undefined ? rest : [...rest, coordinator];
    }

    private announce(epoch: number): void {
        const announcement: Announcement = { coordinator: this.self, epoch };
        for (const { instanceId, host, rpcPort } of this.view.members) {
            if (instanceId !== this.self.instanceId) {
                void this.rpc.callAddress(host, rpcPort, METHODS.announce, announcement, ANNOUNCE_TIMEOUT_MS);
            }
        }
    }

    /** Chooses how much to read from the store, by what the coordinator tells. */
    private review(): void {
        if (this.isStopping) {
            return;
        }
        const isTold = this.link.coordinator !== undefined && this.view.getConfigAgeMs() < MAX_TOLD_AGE_MS;
        this.feed.setScope(this.coordinator !== undefined ? "everything" : isTold ? "nothing" : "essentials");
        this.view.dropLapsedEndpoints();
        if (this.coordinator?.hearsTooFew() === true) {
            void this.lease.abstain("most instances are out of hearing");
        }
        else if (this.coordinator?.hearsStronger() === true) {
            void this.lease.abstain("an instance with more processor is there");
        }
    }

    private sweep(): void {
        if (this.coordinator !== undefined && this.lease.isHolder && !this.feed.isStoreFailing) {
            void this.sweeper.sweep(this.coordinator);
        }
    }

    private async register(): Promise<void> {
        this.isRegistering = true;
        await registerMember(this.outside.store, this.self, () => this.isStopping, this.logger);
        this.isRegistering = false;
    }

    /** An instance that was silent for long may have been taken for gone. */
    private registerIfGone(): void {
        const isListed = this.view.members.some(({ incarnation }) => incarnation === this.self.incarnation);
        if (!isListed && this.wasListed && !this.isRegistering && !this.isStopping) {
            void this.register();
        }
        this.wasListed = isListed;
    }

    private logStatus(): void {
        this.logger.info({
            event: "status",
            configVersion: this.view.routes?.config.version,
            configAgeMs: Math.round(this.view.getConfigAgeMs()),
            coordinator: this.coordinator === undefined ? this.link.coordinator?.instanceId : this.self.instanceId,
            endpoints: this.view.getEndpoints().length,
            members: this.view.members.length,
            openRequests: this.ingress.openCount,
            jobs: this.runner.describe(),
            residentBytes: process.memoryUsage.rss(),
            storeCalls: this.outside.getStoreCalls(),
        });
    }

    private adoptOwnJobs(): void {
        const { coordinator } = this;
        if (coordinator !== undefined && this.lease.isHolder && !this.isStopping) {
            const { closed, taken } = coordinator.jobs.noteProgress(this.self.instanceId, this.runner.getProgress());
            void this.runner.check(closed);
            taken.forEach(jobId => this.runner.yield(jobId));
            for (const jobId of coordinator.assignJobs(this.self.instanceId)) {
                void this.runner.adopt(jobId);
            }
        }
        if (this.placement.isAlone) {
            void this.runner.check(this.runner.getOpenIds());
        }
    }

    /** Who decides, as far as this instance knows. */
    private getDeciding(): Announcement | undefined {
        return this.coordinator === undefined
            ? this.link.deciding
            : { coordinator: this.self, epoch: this.coordinator.epoch };
    }
}
