import type { Logger } from "@heatherline/common";
import type { StoredObject } from "@heatherline/store";
import { Attendance } from "./attendance";
import { CrashBook } from "./crashBook";
import { Dispatcher } from "./dispatcher";
import type { Place } from "./endpointPool";
import { getSlotsAlone, getStartAfterTakeover } from "./floors";
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

/** A place that its instance doesn't report may just have been given to it, in milliseconds. */
const PLACE_IN_TRANSIT_MS = 1_200;
const REVIEW_INTERVAL_MS = 150;

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
    readonly attendance: Attendance;
    private readonly dispatcher: Dispatcher;
    private readonly rates: RateBook;
    private readonly crashes = new CrashBook();
    private readonly news: NewsDesk;
    private readonly reviewTimer: NodeJS.Timeout;
    /** Computed anew after each change of endpoints, instances, or who is silent. */
    private readonly capacities = new Map<string, number>();

    /**
     * @param epoch - Epoch of the lease.
     * @param surroundings - The rest of the instance.
     */
    constructor(readonly epoch: number, private readonly surroundings: CoordinatorSurroundings) {
        this.attendance = new Attendance(surroundings.self, surroundings.view, surroundings.isStoreFailing);
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
                    `rate ${ask.rate.ratePerS}/s burst ${ask.rate.burst}, silent ${this.attendance.silent.size}`;
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

    /** @returns Figures for metrics. */
    describe(): { service: string; online: number; batch: number; free: number; }[] {
        return this.dispatcher.getServices().map(service => ({ service, ...this.dispatcher.describe(service) }));
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
        for (const instanceId of this.attendance.silent) {
            capacity -= getSlotsAlone(entry, instanceId, view.members);
        }
        return Math.max(0, capacity);
    }

    private scale(bounds: RateBounds): RateBounds {
        const memberCount = Math.max(1, this.surroundings.view.members.length);
        const part = 1 - this.attendance.silent.size / memberCount;
        return { ratePerS: Math.max(bounds.ratePerS * part, bounds.ratePerS / memberCount), burst: bounds.burst };
    }

    private noteHeard({ member, isStoreFailing, places }: SyncRequest): void {
        const { instanceId } = member;
        if (this.attendance.note(member, isStoreFailing)) {
            this.freePlaces(instanceId, "its process started anew");
        }
        if (places !== undefined) {
            this.reconcile(instanceId, places);
        }
        if (this.attendance.silent.has(instanceId)) {
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
        return this.jobs.assign(instanceId, [...this.attendance.getHeard(), this.surroundings.self.instanceId]);
    }

    private review(): void {
        for (const instanceId of this.attendance.takeGone()) {
            this.news.drop(instanceId);
            this.freePlaces(instanceId, "it is silent");
        }
        if (this.attendance.review()) {
            this.surroundings.logger.info({ event: "silent-instances", silent: [...this.attendance.silent] });
            this.capacities.clear();
            this.dispatcher.pumpAll();
        }
    }
}

/** Resolves after the decisions that need no waiting. */
function immediately(): Promise<undefined> {
    return new Promise(resolve => setImmediate(() => resolve(undefined)));
}
