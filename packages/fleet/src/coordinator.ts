import type { Logger } from "@heatherline/common";
import type { StoredObject } from "@heatherline/store";
import { CrashBook } from "./crashBook";
import { Dispatcher } from "./dispatcher";
import type { Place } from "./endpointPool";
import { getSlotsAlone, getStartAfterTakeover } from "./floors";
import { getElapsedMs, type Moment, newMoment } from "./freshness";
import { JobBoard, type ProgressAnswer } from "./jobBoard";
import type { PlaceReply, ReleaseRequest, SyncReply, SyncRequest } from "./messages";
import { NewsDesk } from "./newsDesk";
import { RateBook } from "./rateBook";
import type {
    EndpointEntry,
    MemberEntry,
    PlaceAsk,
    PlaceOutcome,
    PlaceSummary,
    RateBounds,
    RateTolerance,
} from "./types";
import type { FleetView } from "./view";

/** An instance that is silent for this long may be deciding alone, in milliseconds. */
const SILENT_MS = 900;
/** Places of an instance that is silent for this long are given to others, in milliseconds. */
const PLACES_KEPT_MS = 1_500;
/** A place that its instance doesn't report may just have been given to it, in milliseconds. */
const PLACE_IN_TRANSIT_MS = 1_200;
const REVIEW_INTERVAL_MS = 150;
/** Time for the other instances to turn up before the coordinator judges whom it hears, in milliseconds. */
const SETTLING_MS = 4_000;
/** Time for stronger instances to turn up, in milliseconds. */
const STRENGTH_DELAY_MS = 2_500;
/** Part of the strongest instance's processor that the coordinator has at least. */
const MIN_STRENGTH_PART = 0.7;

interface Heard {
    incarnation: string;
    at: Moment;
    isStoreFailing: boolean;
    jobs: readonly string[];
}

/** What a coordinator is told about its surroundings. */
export interface CoordinatorSurroundings {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly getRegion: (dataCentre: string) => string;
    readonly getRateTolerance: () => RateTolerance;
    readonly getLeaseVersion: () => number;
    /** Whether this instance's own calls to the store fail. */
    readonly isStoreFailing: () => boolean;
    /** Gives up a place of this instance's own. */
    readonly callBackOwn: (placeId: string) => void;
    readonly logger: Logger;
}

/** Decides for all instances, as long as this one holds the lease. */
export class Coordinator {
    readonly jobs = new JobBoard();
    private readonly dispatcher: Dispatcher;
    private readonly rates: RateBook;
    private readonly crashes = new CrashBook();
    private readonly heard = new Map<string, Heard>();
    /** When instances were heard last that are silent by now. */
    private readonly lastHeard = new Map<string, Moment>();
    private readonly news: NewsDesk;
    private readonly startedAt = newMoment();
    private readonly reviewTimer: NodeJS.Timeout;
    /** Computed anew after each change of endpoints, instances, or who is silent. */
    private readonly capacities = new Map<string, number>();
    private silentInstances: ReadonlySet<string> = new Set();

    /**
     * @param epoch - Epoch of the lease.
     * @param surroundings - The rest of the instance.
     */
    constructor(readonly epoch: number, private readonly surroundings: CoordinatorSurroundings) {
        this.news = new NewsDesk(surroundings.view);
        this.dispatcher = new Dispatcher({
            getCapacity: entry => this.getCapacity(entry),
            getColdRatePerS: ({ service }) => surroundings.view.routes?.getColdRatePerS(service) ?? 0,
            getRegion: surroundings.getRegion,
            callBack: place => this.callBack(place),
        });
        this.rates = new RateBook(
            bounds => this.scale(bounds),
            bounds => epoch === 1 ? bounds.burst : getStartAfterTakeover(bounds, surroundings.getRateTolerance()),
        );
        this.review();
        this.noteViewChanged();
        this.reviewTimer = setInterval(() => this.review(), REVIEW_INTERVAL_MS);
    }

    /** Refuses all that wait, so that it is decided elsewhere. */
    stop(): void {
        clearInterval(this.reviewTimer);
        this.dispatcher.clear("the coordinator steps down");
        this.news.answerAll();
    }

    /**
     * @param ask - A request for a place.
     * @returns The decision.
     */
    async place(ask: PlaceAsk): Promise<PlaceOutcome> {
        if (!this.crashes.mayRun(ask.fingerprint)) {
            const detail = "endpoints went away while they ran this request";
            return { kind: "refused", reason: "crashes-endpoints", retryAfterMs: 0, detail };
        }
        if (ask.rate !== undefined) {
            const decision = this.rates.take(ask.organisation, ask.rate);
            if (!decision.isTaken) {
                const detail =
                    `rate ${ask.rate.ratePerS}/s burst ${ask.rate.burst}, silent ${this.silentInstances.size}`;
                return { kind: "refused", reason: "rate-limited", retryAfterMs: decision.retryAfterMs, detail };
            }
        }
        const outcome = await this.dispatcher.place(ask);
        if (outcome.kind === "refused" && ask.rate !== undefined) {
            this.rates.giveBack(ask.organisation);
        }
        return outcome;
    }

    /**
     * @param ask - A request for a place from another instance.
     * @returns The decision, or that it will come with the news.
     */
    async handlePlace(ask: PlaceAsk): Promise<PlaceReply> {
        const deciding = this.place(ask).then(outcome => ({ kind: "outcome", outcome }) as const);
        const now = await Promise.race([deciding, immediately()]);
        if (now !== undefined) {
            return now;
        }
        void deciding.then(({ outcome }) => this.news.addDecision(ask.instanceId, ask.askId, outcome));
        return { kind: "queued" };
    }

    /**
     * @param request - Places and asks that are no longer needed.
     */
    handleRelease({ releases, withdrawnAsks, silentPlaces }: ReleaseRequest): void {
        for (const placeId of silentPlaces) {
            if (this.dispatcher.noteSilent(placeId)) {
                this.surroundings.logger.info({ event: "endpoint-paused", place: placeId, end: "silent" });
            }
        }
        for (const askId of withdrawnAsks) {
            this.dispatcher.withdraw(askId);
        }
        for (const { placeId, end, fingerprint, firstAnswerMs } of releases) {
            const released = this.dispatcher.release(placeId, end, firstAnswerMs);
            if (end === "broken") {
                this.crashes.noteCrash(fingerprint);
            }
            else if (end === "done") {
                this.crashes.noteAnswer(fingerprint);
            }
            if (released?.isPaused === true) {
                const { endpointId } = released.place;
                this.surroundings.logger.info({ event: "endpoint-paused", endpoint: endpointId, end });
            }
        }
    }

    /**
     * @param request - News of another instance.
     * @returns News for it, held until there are any or its time is over.
     */
    async handleSync(request: SyncRequest): Promise<SyncReply> {
        this.noteHeard(request);
        const progress = this.jobs.noteProgress(request.member.instanceId, request.jobs);
        if (progress.closed.length + progress.taken.length === 0) {
            await this.news.hold(request);
        }
        return this.newReply(request, progress);
    }

    /**
     * @param objects - All job objects in the store.
     */
    noteJobs(objects: ReadonlyMap<string, StoredObject>): void {
        this.jobs.replaceAll(objects);
        this.news.answerNews();
    }

    /** Applies a change of what is known of the fleet. */
    noteViewChanged(): void {
        this.capacities.clear();
        this.dispatcher.setEndpoints(this.surroundings.view.getEndpoints());
        this.news.answerNews();
    }

    /**
     * Takes over the places that this instance held when it became the coordinator.
     *
     * @param places - The places.
     */
    adoptOwn(places: readonly PlaceSummary[]): void {
        this.reconcile(this.surroundings.self.instanceId, places);
    }

    /**
     * @param instanceId - An instance.
     * @returns How long it has been silent, at most since this coordinator began; 0 for this instance.
     */
    getSilenceMs(instanceId: string): number {
        if (instanceId === this.surroundings.self.instanceId) {
            return 0;
        }
        return getElapsedMs(this.heard.get(instanceId)?.at ?? this.lastHeard.get(instanceId) ?? this.startedAt);
    }

    /** Whether no other instance could take over, since none reaches the store and all are heard. */
    isTakeoverExcluded(): boolean {
        const others = this.getOthers();
        return this.surroundings.isStoreFailing()
            && others.every(({ instanceId }) =>
                this.isHeard(instanceId) && this.heard.get(instanceId)?.isStoreFailing === true
            );
    }

    /** Whether most instances are out of hearing while the store is there for one of them to take over. */
    hearsTooFew(): boolean {
        if (getElapsedMs(this.startedAt) < SETTLING_MS || this.surroundings.isStoreFailing()) {
            return false;
        }
        const others = this.getOthers();
        const heard = others.filter(({ instanceId }) => this.isHeard(instanceId)).length;
        return (heard + 1) * 2 < others.length + 1;
    }

    /** Whether an instance with clearly more processor than this one is heard, which had better decide. */
    hearsStronger(): boolean {
        const { self, view } = this.surroundings;
        return getElapsedMs(this.startedAt) > STRENGTH_DELAY_MS &&
            view.members.some(member =>
                self.processorShare < member.processorShare * MIN_STRENGTH_PART && this.isHeard(member.instanceId)
            );
    }

    /** @returns Figures for metrics. */
    describe(): { service: string; online: number; batch: number; free: number; }[] {
        return this.dispatcher.getServices().map(service => ({ service, ...this.dispatcher.describe(service) }));
    }

    private getOthers(): MemberEntry[] {
        const { self, view } = this.surroundings;
        return view.members.filter(({ instanceId }) => instanceId !== self.instanceId);
    }

    private isHeard(instanceId: string): boolean {
        const heard = this.heard.get(instanceId);
        return heard !== undefined && getElapsedMs(heard.at) < SILENT_MS;
    }

    /** Slots that silent instances may use by themselves are kept back. */
    private getCapacity(entry: EndpointEntry): number {
        let capacity = this.capacities.get(entry.endpointId);
        if (capacity === undefined) {
            capacity = this.computeCapacity(entry);
            this.capacities.set(entry.endpointId, capacity);
        }
        return capacity;
    }

    private computeCapacity(entry: EndpointEntry): number {
        const { view } = this.surroundings;
        if (view.evacuated.has(entry.dataCentre)) {
            return 0;
        }
        let capacity = entry.slots;
        for (const instanceId of this.silentInstances) {
            capacity -= getSlotsAlone(entry, instanceId, view.members);
        }
        return Math.max(0, capacity);
    }

    private scale(bounds: RateBounds): RateBounds {
        const memberCount = Math.max(1, this.surroundings.view.members.length);
        const part = 1 - this.silentInstances.size / memberCount;
        return { ratePerS: Math.max(bounds.ratePerS * part, bounds.ratePerS / memberCount), burst: bounds.burst };
    }

    private noteHeard(request: SyncRequest): void {
        const { instanceId, incarnation } = request.member;
        const before = this.heard.get(instanceId);
        if (before !== undefined && before.incarnation !== incarnation) {
            this.freePlaces(instanceId, "its process started anew");
        }
        this.heard.set(instanceId, {
            incarnation,
            at: newMoment(),
            isStoreFailing: request.isStoreFailing,
            jobs: request.jobs.map(({ jobId }) => jobId),
        });
        if (request.places !== undefined) {
            this.reconcile(instanceId, request.places);
        }
        if (this.silentInstances.has(instanceId)) {
            this.review();
        }
    }

    /** Places that an instance has and this coordinator doesn't know were given by an earlier one, or by itself. */
    private reconcile(instanceId: string, reported: readonly PlaceSummary[]): void {
        const nowMs = performance.now();
        const reportedIds = new Set(reported.map(({ placeId }) => placeId));
        for (const summary of reported) {
            this.dispatcher.adopt({
                placeId: summary.placeId,
                endpointId: summary.endpointId,
                instanceId,
                service: summary.service,
                workClass: summary.workClass,
                organisation: summary.organisation,
                sinceMs: nowMs,
                dueAtMs: nowMs + summary.dueInMs,
                finishAtMs: nowMs + summary.remainingMs,
                isCalledBack: false,
            });
        }
        for (const place of this.dispatcher.getPlaces()) {
            const isOld = nowMs - place.sinceMs > PLACE_IN_TRANSIT_MS;
            if (place.instanceId === instanceId && isOld && !reportedIds.has(place.placeId)) {
                this.dispatcher.release(place.placeId, "lost");
            }
        }
    }

    private freePlaces(instanceId: string, reason: string): void {
        const places = this.dispatcher.getPlaces().filter(place => place.instanceId === instanceId);
        for (const { placeId } of places) {
            this.dispatcher.release(placeId, "lost");
        }
        if (places.length > 0) {
            this.surroundings.logger.info({
                event: "places-freed",
                instance: instanceId,
                count: places.length,
                reason,
            });
        }
    }

    private callBack(place: Place): void {
        if (place.instanceId === this.surroundings.self.instanceId) {
            this.surroundings.callBackOwn(place.placeId);
            return;
        }
        this.news.addCallBack(place.instanceId, place.placeId);
    }

    private newReply({ member, known }: SyncRequest, progress: ProgressAnswer): SyncReply {
        const { self, view, getLeaseVersion } = this.surroundings;
        const { calledBack, decisions } = this.news.take(member.instanceId);
        return {
            kind: "news",
            coordinator: self,
            epoch: this.epoch,
            leaseVersion: getLeaseVersion(),
            news: view.newNews(known),
            calledBack,
            endedJobs: progress.closed,
            takenJobs: progress.taken,
            assignedJobs: this.assignJobs(member.instanceId),
            decisions,
        };
    }

    /**
     * @param instanceId - An instance that is heard, or this one.
     * @returns Jobs that it is to run.
     */
    assignJobs(instanceId: string): string[] {
        const live = [...this.heard.keys()].filter(other => this.isHeard(other));
        return this.jobs.assign(instanceId, [...live, this.surroundings.self.instanceId]);
    }

    private review(): void {
        const silent = this.getOthers()
            .map(({ instanceId }) => instanceId)
            .filter(instanceId => !this.isHeard(instanceId));
        for (const [instanceId, { at }] of this.heard) {
            if (getElapsedMs(at) > PLACES_KEPT_MS) {
                this.heard.delete(instanceId);
                this.lastHeard.set(instanceId, at);
                this.news.drop(instanceId);
                this.freePlaces(instanceId, "it is silent");
            }
        }
        const hasChanged = silent.length !== this.silentInstances.size
            || silent.some(instanceId => !this.silentInstances.has(instanceId));
        if (hasChanged) {
            this.surroundings.logger.info({ event: "silent-instances", silent });
            this.silentInstances = new Set(silent);
            this.capacities.clear();
            this.dispatcher.pumpAll();
        }
    }
}

/** Resolves after the decisions that need no waiting. */
function immediately(): Promise<undefined> {
    return new Promise(resolve => setImmediate(() => resolve(undefined)));
}
