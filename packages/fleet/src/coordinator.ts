import { type BlockedPrompt, type EndpointCrash, PromptPartTracker } from "@heatherline/common";
import type { StoredObject } from "@heatherline/store";
import { getElapsedMs, newTimestamp } from "./ageTracker";
import type { CoordinatorDependencies } from "./coordinatorDependencies";
import { CrashExchange } from "./crashExchange";
import { Dispatcher } from "./dispatcher";
import { EndpointAllowances } from "./endpointAllowances";
import { explainPlace } from "./explanation/explainPlace";
import type { ExplainRequest, PlaceExplanation } from "./explanation/types";
import { HeartbeatMonitor } from "./heartbeatMonitor";
import { HedgePlacement } from "./hedging/hedgePlacement";
import { type JobsToStop, JobTracker } from "./jobTracker";
import type { PlaceReply, ReleaseRequest, SyncReply, SyncRequest } from "./messages";
import type { Place } from "./place";
import { PlaceReconciler } from "./placeReconciler";
import { findCrashRefusal, newBlockedPromptRefusal, newRateRefusal } from "./placeRefusals";
import { newGuardGate } from "./rollouts/rolloutGuard";
import type { QueueStats } from "./serviceState";
import { SpeedChanges } from "./speedChanges";
import { type LocatedRequest, StreamLocator } from "./streamLocator";
import { SyncOutbox } from "./syncOutbox";
import { newRateRequest } from "./tokenBuckets";
import type { EndpointLimit, PlaceOutcome, PlaceRequest, PlaceSummary, RateBounds, StreamOriginReport } from "./types";

/** A new coordinator waits this long for records of where a stream began that a caller takes up, in milliseconds. */
const ORIGIN_WAIT_MS = 500;
/** A coordinator is found within this time, in milliseconds. */
export const ORIGIN_RETRY_MS = 500;
const DEPUTY_EPOCH = 0;
const REVIEW_INTERVAL_MS = 150;
/** A review that comes this much late shows that the process was blocked or suspended, in milliseconds. */
const MAX_REVIEW_DELAY_MS = 150;
/** Delay of a review after a silent instance is heard again, so that one review serves many, in milliseconds. */
const RETURN_REVIEW_DELAY_MS = 20;
/** Ids of silent instances in one log line. */
const MAX_LOGGED_IDS = 10;

/**
 * Decides on places and rate limits of the instances in its scope. The fleet's coordinator, which holds the lease, also
 * decides on jobs.
 */
export class Coordinator {
    readonly jobs: JobTracker;
    readonly heartbeats: HeartbeatMonitor;
    private readonly dispatcher: Dispatcher;
    private readonly partTracker = new PromptPartTracker((prompt, isEnded) => this.onBlockChanged(prompt, isEnded));
    private readonly allowances: EndpointAllowances;
    private readonly streams: StreamLocator;
    private readonly speedChanges = new SpeedChanges();
    private readonly startedAtMs = performance.now();
    private readonly outbox: SyncOutbox;
    private readonly crashExchange: CrashExchange;
    private readonly reconciler: PlaceReconciler;
    private readonly hedges: HedgePlacement;
    private readonly reviewTimer: NodeJS.Timeout;
    private returnTimer: NodeJS.Timeout | undefined;
    private lastReviewAt = newTimestamp();

    /**
     * @param epoch - Epoch of the lease; 0 for a deputy, which has none.
     * @param deps - What the coordinator needs from the rest of the instance.
     */
    constructor(readonly epoch: number, private readonly deps: CoordinatorDependencies) {
        this.jobs = new JobTracker(() => deps.scope.getMembers().length);
        this.heartbeats = new HeartbeatMonitor(deps.self, () => deps.scope.getMembers(), deps.isStoreFailing);
        this.outbox = new SyncOutbox(deps.view);
        this.streams = new StreamLocator(deps.view.softwareVersions);
        this.allowances = new EndpointAllowances(deps.view, deps.scope);
        this.dispatcher = new Dispatcher({
            getCapacity: entry => this.allowances.getCapacity(entry),
            getColdRatePerS: entry => this.allowances.getColdRatePerS(entry),
            getLimitPerS: entry => this.allowances.getLimitPerS(entry),
            getMemoryTokens: service => deps.view.routes?.getMemoryTokens(service) ?? 0,
            getMemoryFraction: entry => this.allowances.getMemoryFraction(entry),
            getStreamDelayMs: entry => deps.view.softwareVersions.getStreamDelayMs(entry),
            getRegion: deps.getRegion,
            versionGate: deps.rollouts ?? newGuardGate(deps.getRolloutGuard),
            rollouts: deps.rollouts,
            preempt: place => this.preempt(place),
        });
        this.hedges = new HedgePlacement({
            extraFraction: deps.hedgeExtraFraction ?? 0,
            dispatcher: this.dispatcher,
            getTokenBuckets: () => deps.scope.tokenBuckets,
            isCrashSuspected: ({ fingerprint, promptParts = [] }) =>
                deps.crashTracker.isSuspected(fingerprint) || this.partTracker.isBlocked(promptParts),
        });
        this.reconciler = new PlaceReconciler(this.dispatcher, deps.logger);
        this.crashExchange = new CrashExchange({
            crashTracker: deps.crashTracker,
            outbox: this.outbox,
            getFollowerIds: () => this.getFollowerIds(),
        });
        this.reviewInstances();
        this.onViewChanged();
        this.reviewTimer = setInterval(() => this.reviewInstances(), REVIEW_INTERVAL_MS);
    }

    /** Stops deciding. Waiting requests are refused, so that their instances request the places elsewhere. */
    stop(): void {
        clearInterval(this.reviewTimer);
        clearTimeout(this.returnTimer);
        this.crashExchange.stop();
        this.dispatcher.refuseAll("the coordinator is stepping down");
        this.outbox.replyToAll();
    }

    /**
     * @param request - A request for a place.
     * @returns The decision.
     */
    async place(request: PlaceRequest): Promise<PlaceOutcome> {
        if (request.hedgeOf !== undefined) {
            return this.addLimit(request, this.hedges.place(request));
        }
        // Just after a takeover, the records of the instances and of the store are yet to arrive.
        await this.streams.waitForOrigin(request, this.startedAtMs + ORIGIN_WAIT_MS - performance.now());
        // What a deputy doesn't know, a coordinator may.
        const located = this.streams.locate(request, this.epoch === DEPUTY_EPOCH ? ORIGIN_RETRY_MS : 0);
        return located.kind === "refused" ? located.outcome : this.placeLocated(located);
    }

    private async placeLocated(
        { request, origin }: Extract<LocatedRequest, { kind: "located"; }>,
    ): Promise<PlaceOutcome> {
        const crashRefusal = findCrashRefusal(request, this.deps.crashTracker);
        if (crashRefusal !== undefined) {
            return crashRefusal;
        }
        const parts = request.promptParts ?? [];
        const admission = this.partTracker.admit(parts);
        if (admission === "blocked") {
            return newBlockedPromptRefusal(parts);
        }
        const outcome = await this.placeAdmitted(request);
        if (outcome.kind === "refused" && admission === "trial") {
            this.partTracker.cancelTrial(parts);
        }
        return outcome.kind === "placed" && origin !== undefined ? { ...outcome, origin } : outcome;
    }

    private async placeAdmitted(request: PlaceRequest): Promise<PlaceOutcome> {
        if (request.rate !== undefined) {
            const decision = this.deps.scope.tokenBuckets.take(
                request.organisation,
                request.rate,
                newRateRequest(request),
            );
            if (!decision.isTaken) {
                return newRateRefusal(decision, this.describeRate(request.rate));
            }
        }
        const outcome = await this.dispatcher.place(request);
        if (outcome.kind === "refused" && request.rate !== undefined) {
            this.deps.scope.tokenBuckets.refund(request.organisation);
        }
        return this.addLimit(request, this.hedges.recordPlaced(request, outcome));
    }

    private describeRate({ ratePerS, burst }: RateBounds): string {
        return `rate ${ratePerS}/s burst ${burst}, silent instances ${this.heartbeats.silentInstances.size}`;
    }

    /** Records where a stream begins, and says which limit the endpoint has named. */
    private addLimit(request: PlaceRequest, outcome: PlaceOutcome): PlaceOutcome {
        const entry = outcome.kind === "placed" ? this.deps.view.getEndpoint(outcome.endpointId) : undefined;
        if (outcome.kind === "refused" || entry === undefined) {
            return outcome;
        }
        const streams = this.streams.record(request, entry);
        if (streams.requestIds.length > 0) {
            this.deps.recordStreams(streams);
        }
        const limit = this.allowances.getLimit(entry);
        return limit === undefined ? outcome : { ...outcome, limit };
    }

    /**
     * Tells what {@link place} would decide, without effect on anything.
     *
     * @param request - A request for a place, and the job that it belongs to.
     * @returns The decision and what it depends on.
     */
    explain({ ask, job }: ExplainRequest): PlaceExplanation {
        const explanation = explainPlace(ask, {
            dispatcher: this.dispatcher,
            tokenBuckets: this.deps.scope.tokenBuckets,
            peekPrompt: parts => this.partTracker.peekAdmission(parts),
            describeRate: rate => this.describeRate(rate),
        });
        const hasJobs = job !== undefined && this.jobs.isLoaded;
        return hasJobs ? { ...explanation, job: this.jobs.peekAdmission(job) } : explanation;
    }

    /**
     * @param request - A request for a place from another instance.
     * @returns The decision, or that it will follow in a sync reply.
     */
    async handlePlace(request: PlaceRequest): Promise<PlaceReply> {
        const decision = this.place(request).then(outcome => ({ kind: "outcome", outcome }) as const);
        const immediateReply = await Promise.race([decision, waitForImmediateDecisions()]);
        if (immediateReply !== undefined) {
            return immediateReply;
        }
        void decision.then(({ outcome }) => this.outbox.addDecision(request.instanceId, request.askId, outcome));
        return { kind: "queued" };
    }

    /**
     * @param request - Places and place requests that are no longer needed.
     */
    handleRelease(
        { releases, withdrawnAsks, silentPlaces, crashes = [], leavingEndpoints = [], limits = [] }: ReleaseRequest,
    ): void {
        this.recordCrashes(crashes);
        this.allowances.markLeaving(leavingEndpoints);
        this.recordLimits(limits);
        for (const placeId of silentPlaces) {
            if (this.dispatcher.recordSilence(placeId)) {
                this.deps.logger.info({ event: "endpoint-paused", place: placeId, end: "silent" });
            }
        }
        for (const askId of withdrawnAsks) {
            this.dispatcher.withdraw(askId);
        }
        for (const { placeId, end, fingerprint, firstAnswerMs, succeededParts, ...figures } of releases) {
            if (succeededParts !== undefined) {
                this.partTracker.recordSuccess(succeededParts);
            }
            const released = this.dispatcher.release(placeId, end, firstAnswerMs, figures);
            if (end === "broken" && released?.place.workClass !== "batch") {
                this.deps.crashTracker.recordCrash(fingerprint, placeId);
            }
            else if (end === "done") {
                this.deps.crashTracker.recordResponse(fingerprint);
            }
            if (released?.isPaused === true) {
                const { endpointId } = released.place;
                this.deps.logger.info({ event: "endpoint-paused", endpoint: endpointId, end });
            }
        }
    }

    /**
     * @param request - Heartbeat of another instance.
     * @returns Updates for it, delayed until there are any or the request's `waitMs` is over.
     */
    async handleSync(request: SyncRequest): Promise<SyncReply> {
        this.recordSync(request);
        const progress = this.jobs.recordProgress(request.member.instanceId, request.jobs);
        if (progress.closed.length + progress.taken.length === 0) {
            await this.outbox.waitForUpdate(request);
        }
        return this.newSyncReply(request, progress);
    }

    /**
     * @param objects - All job objects in the store.
     */
    updateJobs(objects: ReadonlyMap<string, StoredObject>): void {
        this.jobs.replaceAll(objects);
        this.outbox.replyToReady();
    }

    /**
     * @param reports - Crashes of endpoints; repeated reports are ignored.
     */
    recordCrashes(reports: readonly EndpointCrash[]): void {
        reports.forEach(report => this.partTracker.recordCrash(report));
    }

    /**
     * @param limits - What endpoints have said of the requests that they take; repeated reports are ignored.
     */
    recordLimits(limits: readonly EndpointLimit[]): void {
        const changed = this.allowances.recordLimits(limits);
        for (const { endpointId, startedAt, ratePerS } of changed) {
            this.deps.logger.info({ event: "endpoint-limit-kept", endpoint: endpointId, startedAt, ratePerS });
        }
        if (changed.length > 0) {
            this.dispatcher.dispatchAll();
        }
    }

    /**
     * @param reports - Where streams began that others granted places for.
     */
    adoptStreams(reports: readonly StreamOriginReport[]): void {
        this.streams.adopt(reports);
    }

    /** @returns Where recent streams began. */
    getStreams(): StreamOriginReport[] {
        return this.streams.getReports();
    }

    /** Applies a change of the fleet view. */
    onViewChanged(): void {
        this.partTracker.adopt(this.deps.view.blockedPrompts);
        this.allowances.reset();
        this.deps.rollouts?.onEndpointsChanged();
        this.dispatcher.setEndpoints(this.deps.view.getEndpoints());
        this.outbox.replyToReady();
    }

    /** Applies a change of the versions that requests may use. */
    onRolloutsChanged(): void {
        this.dispatcher.setEndpoints(this.deps.view.getEndpoints());
    }

    /**
     * Accounts for the places that this instance held when it became the coordinator.
     *
     * @param places - The places.
     */
    adoptOwnPlaces(places: readonly PlaceSummary[]): void {
        this.reconciler.reconcile(this.deps.self.instanceId, places);
    }

    /** @returns Waiting requests and free places by service, for metrics. */
    getServiceStats(): (QueueStats & { service: string; })[] {
        return this.dispatcher.getServices().map(service => ({ service, ...this.dispatcher.getQueueStats(service) }));
    }

    private onBlockChanged(prompt: BlockedPrompt, isEnded: boolean): void {
        this.deps.logger.info({ event: isEnded ? "prompt-unblocked" : "prompt-blocked", ...prompt });
        this.deps.saveBlockedPrompt(prompt, isEnded);
    }

    private recordSync(
        { member, promise, storeCheck, places, crashes = [], crashRecords, limits = [], streams = [] }: SyncRequest,
    ): void {
        const { instanceId } = member;
        if (crashRecords !== undefined) {
            this.crashExchange.exchange(instanceId, crashRecords);
        }
        this.streams.adopt(streams);
        this.recordCrashes(crashes);
        this.recordLimits(limits);
        const promisedAtStamp = promise?.epoch === this.epoch ? promise.stamp : undefined;
        if (this.heartbeats.recordHeartbeat(member, promisedAtStamp, storeCheck)) {
            this.reconciler.releaseAll(instanceId, "its process restarted");
        }
        if (places !== undefined) {
            this.reconciler.reconcile(instanceId, places);
        }
        if (this.heartbeats.silentInstances.has(instanceId)) {
            this.returnTimer ??= setTimeout(() => this.reviewReturned(), RETURN_REVIEW_DELAY_MS);
        }
    }

    private getFollowerIds(): string[] {
        const { self, scope } = this.deps;
        return scope.getMembers().map(({ instanceId }) => instanceId).filter(id => id !== self.instanceId);
    }

    private preempt(place: Place): void {
        if (place.instanceId === this.deps.self.instanceId) {
            this.deps.preemptOwnPlace(place.placeId);
            return;
        }
        this.outbox.addPreemption(place.instanceId, place.placeId);
    }

    private newSyncReply({ member, known }: SyncRequest, progress: JobsToStop): SyncReply {
        const { self, view, getLeaseVersion } = this.deps;
        const { calledBack, decisions, crashedRequests } = this.outbox.takeMessages(member.instanceId);
        const crashRecords = this.crashExchange.getRecords(crashedRequests);
        return {
            kind: "news",
            coordinator: self,
            epoch: this.epoch,
            leaseVersion: getLeaseVersion(),
            stamp: this.heartbeats.newStamp(),
            isStoreFailing: this.deps.isStoreFailing(),
            news: view.newUpdateFor(known),
            calledBack,
            endedJobs: progress.closed,
            takenJobs: progress.taken,
            assignedJobs: this.assignJobs(member.instanceId),
            decisions,
            ...crashRecords.length > 0 ? { crashRecords } : {},
        };
    }

    /**
     * @param instanceId - A live instance, or this one.
     * @returns Jobs that it should run.
     */
    assignJobs(instanceId: string): string[] {
        return this.jobs.assignUnclaimed(instanceId, [
            ...this.heartbeats.getLiveInstances(),
            this.deps.self.instanceId,
        ]);
    }

    /** After this process was blocked, heartbeats that have arrived are read before places are given to others. */
    private reviewInstances(): void {
        const wasBlocked = getElapsedMs(this.lastReviewAt) > REVIEW_INTERVAL_MS + MAX_REVIEW_DELAY_MS;
        this.lastReviewAt = newTimestamp();
        for (const instanceId of wasBlocked ? [] : this.heartbeats.takeExpired()) {
            this.outbox.drop(instanceId);
            this.reconciler.releaseAll(instanceId, "it is silent");
        }
        this.updateSilentInstances();
        for (const { service, slowness } of this.speedChanges.begin() ? this.getServiceStats() : []) {
            const changes = this.speedChanges.take(service, slowness);
            changes.forEach(change => this.deps.logger.info({ event: "endpoint-speed", service, ...change }));
        }
    }

    private reviewReturned(): void {
        this.returnTimer = undefined;
        this.updateSilentInstances();
    }

    private updateSilentInstances(): void {
        if (this.heartbeats.updateSilentInstances()) {
            const silent = [...this.heartbeats.silentInstances];
            this.deps.logger.info({
                event: "silent-instances",
                count: silent.length,
                silent: silent.slice(0, MAX_LOGGED_IDS),
            });
            this.deps.scope.setSilentInstances(this.heartbeats.silentInstances);
            this.allowances.reset();
            this.dispatcher.dispatchAll();
        }
    }
}

/** Resolves once all decisions that need no waiting have resolved. */
function waitForImmediateDecisions(): Promise<undefined> {
    return new Promise(resolve => setImmediate(() => resolve(undefined)));
}
