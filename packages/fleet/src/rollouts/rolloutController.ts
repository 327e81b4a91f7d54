import type { Logger } from "@heatherline/common";
import type { Place } from "../place";
import { getSoftwareVersion } from "../softwareVersions";
import type { EndpointEntry, PlaceRequest, RequestEnd, ResponseFigures } from "../types";
import { RolloutPlaces, type TrackedPlace } from "./rolloutPlaces";
import { type RolloutStart, type RolloutSurroundings, ServiceRollout } from "./serviceRollout";
import type { AllowedVersions, RolloutLimits, RolloutOrder, RolloutRecord } from "./types";
import { VersionEndpoints } from "./versionEndpoints";
import { getVersionsAfter, isVersionAllowed, type VersionGate } from "./versionGate";

/** Streams of the old version are not taken up there this shortly before the old endpoints stop, in milliseconds. */
const LAST_RESUMPTION_MS = 1_000;
/** Makes canary requests meet at the same endpoints: more than load, another data centre and failures cost together. */
const CANARY_COST = -30;
/** Difference in cost between the canary endpoints, so that one is full before the next is used. */
const CANARY_ORDER_COST = 2;
const MAX_CANARY_RANK = 5;
/** Another endpoint is the first one after this time, so that the evidence isn't of one endpoint; in milliseconds. */
const CANARY_ROTATION_MS = 1_000;
/** From this share on, requests are spread over the new endpoints as usual. */
const SPREAD_SHARE = 0.5;
/** Prefers the new version for requests that are chosen to use it. */
const CANDIDATE_COST = -10;

/** What a {@link RolloutController} needs from the rest of the instance. */
export interface RolloutControllerDependencies {
    /** @returns All endpoints that are listed now. */
    getEndpoints(): readonly EndpointEntry[];
    /**
     * @param service - A service.
     * @returns The longest timeout of its routes, in milliseconds; the method is absent if that isn't known.
     */
    getLongestTimeoutMs?(service: string): number;
    readonly logger: Logger;
}

/** Decides, at the coordinator, which software versions requests may use while traffic moves to a new one. */
export class RolloutController implements VersionGate {
    private readonly endpoints: VersionEndpoints;
    private readonly places = new RolloutPlaces();
    private readonly rollouts = new Map<string, ServiceRollout>();
    /** `undefined` until the orders have been read. */
    private orders: Map<string, RolloutOrder> | undefined;
    /** `undefined` until the records have been read. */
    private epoch: number | undefined;

    /**
     * @param limits - Limits on the use of a version that may turn out to be bad.
     * @param deps - What the controller needs from the rest of the instance.
     */
    constructor(private readonly limits: RolloutLimits, private readonly deps: RolloutControllerDependencies) {
        this.endpoints = new VersionEndpoints(() => deps.getEndpoints());
    }

    /** Applies a change of the list of endpoints. */
    onEndpointsChanged(): void {
        this.endpoints.invalidate();
    }

    /**
     * Before {@link adopt}, orders only keep the new versions from being used, since they may be outdated. They are
     * followed, and records without an order count as withdrawn, once orders are set after it.
     *
     * @param orders - All orders in the store; one that is missing has been withdrawn.
     */
    setOrders(orders: readonly RolloutOrder[]): void {
        this.orders = new Map(orders.map(order => [order.service, order]));
        this.reconcileOrders();
    }

    /**
     * Continues from what earlier coordinators have stored. Until then the new version of any ordered service gets nothing.
     *
     * @param records - All records in the store.
     * @param epoch - Epoch of this coordinator's lease, which is written into the records.
     */
    adopt(records: readonly RolloutRecord[], epoch: number): void {
        this.epoch = epoch;
        for (const record of records) {
            this.rollouts.set(record.service, ServiceRollout.resume(this.limits, record, epoch));
        }
    }

    /**
     * @param request - A request for a place.
     * @param isReadOnly - Whether the decision is only explained and must have no effect on later requests.
     * @returns The software versions that it may use now.
     */
    getAllowedVersions(request: PlaceRequest, isReadOnly = false): AllowedVersions {
        const { service } = request;
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            const order = this.orders?.get(service);
            return order === undefined ? { kind: "any" } : { kind: "all-but", versions: [order.toVersion] };
        }
        if (rollout.isVoid) {
            return { kind: "any" };
        }
        const { toVersion, abandonedVersions } = rollout;
        if (rollout.state === "completed") {
            return this.hasOnly(service, entry => getSoftwareVersion(entry) !== toVersion)
                ? { kind: "any" }
                : getVersionsAfter(rollout);
        }
        const closed = [...abandonedVersions, toVersion];
        if (rollout.state === "rolled-back") {
            const isWithdrawn = this.orders?.has(service) === false;
            return isWithdrawn && this.hasOnly(service, entry => closed.includes(getSoftwareVersion(entry)))
                ? { kind: "any" }
                : { kind: "all-but", versions: closed };
        }
        return this.getAllowedWhileRunning(rollout, request)
            ?? {
                kind: "all-but",
                versions: this.mayUseCandidate(rollout, request, isReadOnly) ? abandonedVersions : closed,
            };
    }

    /**
     * @param entry - An endpoint that a request may use.
     * @returns Added to the endpoint's cost, so that canary requests meet at few endpoints; 0 for no preference.
     */
    getExtraCost(entry: EndpointEntry): number {
        const rollout = this.rollouts.get(entry.service);
        if (rollout?.isOpen !== true || rollout.hasMoved || getSoftwareVersion(entry) !== rollout.toVersion) {
            return 0;
        }
        if (rollout.share >= SPREAD_SHARE) {
            return CANDIDATE_COST;
        }
        const rank = this.endpoints.getRank(entry, Math.floor(performance.now() / CANARY_ROTATION_MS));
        return CANARY_COST + CANARY_ORDER_COST * Math.min(rank, MAX_CANARY_RANK);
    }

    /**
     * @param service - A service.
     * @param softwareVersion - A version of its software.
     * @returns Whether a roll-out has ended the use of the version for good.
     */
    isClosed(service: string, softwareVersion: string): boolean {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined || rollout.isVoid) {
            return false;
        }
        const isNew = softwareVersion === rollout.toVersion;
        return rollout.abandonedVersions.includes(softwareVersion)
            || (rollout.state === "completed" && !isVersionAllowed(getVersionsAfter(rollout), softwareVersion))
            || (rollout.state === "rolled-back" && isNew);
    }

    /**
     * @param request - A request that has reached its service.
     */
    recordArrival(request: PlaceRequest): void {
        const rollout = this.rollouts.get(request.service);
        const isCompared = request.workClass === "online" && request.softwareVersion === undefined;
        if (rollout?.isOpen === true && isCompared && this.hasCandidates(rollout, request.service)) {
            rollout.canary.recordArrival(request.route ?? "");
        }
    }

    /**
     * @param place - A place that is granted.
     * @param request - The request that it is granted to; `undefined` if another granter granted the place.
     */
    recordGrant(place: Place, request: PlaceRequest | undefined): void {
        const entry = this.endpoints.get(place.endpointId);
        const softwareVersion = entry === undefined ? undefined : getSoftwareVersion(entry);
        this.places.add(place, softwareVersion, entry?.slots ?? Infinity);
        const rollout = this.rollouts.get(place.service);
        if (rollout?.isOpen !== true) {
            return;
        }
        const isCandidate = softwareVersion === rollout.toVersion;
        rollout.budget.exposed += isCandidate ? 1 : 0;
        // Requests that others granted places may have been counted, so that they don't add to the budget.
        rollout.budget.total += request === undefined ? 0 : 1;
        if (request !== undefined && place.workClass === "online") {
            rollout.canary.recordGrant(place.route ?? "", isCandidate);
        }
    }

    /**
     * @param place - A place that is released.
     * @param end - How the request there ended.
     * @param figures - What else is known of the response.
     */
    recordEnd(place: Place, end: RequestEnd, figures: ResponseFigures): void {
        const tracked = this.places.remove(place);
        const rollout = this.rollouts.get(place.service);
        if (tracked === undefined || rollout?.isOpen !== true) {
            return;
        }
        const isBad = this.recordAnswer(rollout, tracked, end, figures);
        if (isBad && tracked.softwareVersion === rollout.toVersion) {
            this.decide(rollout, place.service);
        }
    }

    /**
     * Decides on the next state of each roll-out. It is called every 100 ms, and when evidence has just been decisive.
     *
     * @returns Records that must be stored.
     */
    review(): RolloutRecord[] {
        const records: RolloutRecord[] = [];
        for (const [service, rollout] of this.rollouts) {
            this.recordOverdue(rollout, service);
            this.decide(rollout, service);
            const record = rollout.takeRecordToStore();
            if (record !== undefined) {
                records.push(record);
            }
        }
        return records;
    }

    /**
     * A step up takes effect only now, so that the next coordinator never starts below it unknowingly.
     *
     * @param record - A record of {@link review} that has been stored.
     */
    confirmStored(record: RolloutRecord): void {
        const rollout = this.rollouts.get(record.service);
        if (rollout?.orderId !== record.orderId) {
            return;
        }
        const { state, share } = rollout;
        rollout.confirmStored(record);
        if (rollout.state !== state || rollout.share !== share) {
            this.deps.logger.info({
                event: "rollout-share",
                service: record.service,
                state: rollout.state,
                share: rollout.share,
            });
        }
    }

    /** Records that a record could not be stored; {@link review} returns it again. */
    recordStoreFailure(): void {
        for (const rollout of this.rollouts.values()) {
            rollout.recordStoreFailure();
        }
    }

    /** @returns The records as they are in force, for other instances. */
    getRecords(): RolloutRecord[] {
        return [...this.rollouts.values()].map(rollout => rollout.getRecord());
    }

    /** @returns What requests may use that the share alone doesn't decide on; `undefined` if there is nothing such. */
    private getAllowedWhileRunning(
        rollout: ServiceRollout,
        { softwareVersion }: PlaceRequest,
    ): AllowedVersions | undefined {
        const { toVersion, abandonedVersions } = rollout;
        if (softwareVersion === toVersion) {
            const versions = rollout.mayResumeCandidate ? abandonedVersions : [...abandonedVersions, toVersion];
            return { kind: "all-but", versions };
        }
        const mayResumeOld = rollout.share < 1 || rollout.leftMs > LAST_RESUMPTION_MS;
        if (softwareVersion !== undefined && mayResumeOld) {
            return { kind: "all-but", versions: abandonedVersions };
        }
        return rollout.share === 1 ? { kind: "only", versions: [toVersion] } : undefined;
    }

    private reconcileOrders(): void {
        if (this.orders === undefined || this.epoch === undefined) {
            return;
        }
        for (const [service, rollout] of this.rollouts) {
            if (!this.orders.has(service)) {
                rollout.withdraw();
            }
        }
        for (const order of this.orders.values()) {
            if (this.rollouts.get(order.service)?.orderId !== order.orderId) {
                this.begin(order, this.epoch);
            }
        }
    }

    private begin(order: RolloutOrder, epoch: number): void {
        const { service, toVersion, durationMs, orderId } = order;
        const start = this.getStart(order);
        this.rollouts.set(service, ServiceRollout.begin(this.limits, order, start, epoch));
        this.deps.logger.info({ event: "rollout-started", service, toVersion, durationMs, orderId, ...start });
    }

    private getStart({ service, toVersion }: RolloutOrder): RolloutStart {
        const previous = this.rollouts.get(service);
        const isFinished = previous === undefined || previous.isSettled;
        const abandonedVersions = isFinished
            ? []
            : [...new Set([...previous.abandonedVersions, previous.toVersion])].filter(version =>
                version !== toVersion
            );
        const isNew = (entry: EndpointEntry) => getSoftwareVersion(entry) === toVersion;
        const isOnlyOne = this.hasOnly(service, isNew);
        const voidReason = isOnlyOne ? "the service has endpoints of this version only" : undefined;
        // The version that had the traffic before a replaced order began needs no evidence.
        const isReturn = !isOnlyOne && abandonedVersions.length > 0
            && this.hasOnly(service, entry => isNew(entry) || abandonedVersions.includes(getSoftwareVersion(entry)))
            && this.endpoints.getReady(service, toVersion).some(({ startedAt = Infinity }) =>
                startedAt < (previous?.orderedAt ?? 0)
            );
        return { abandonedVersions, voidReason, isReturn };
    }

    /** Whether the service has endpoints, and all of them are such. */
    private hasOnly(service: string, predicate: (entry: EndpointEntry) => boolean): boolean {
        const entries = this.endpoints.getAll(service).filter(({ state }) => state === "ready");
        return entries.length > 0 && entries.every(predicate);
    }

    private hasCandidates({ toVersion }: ServiceRollout, service: string): boolean {
        return this.endpoints.getReady(service, toVersion).length > 0;
    }

    private mayUseCandidate(rollout: ServiceRollout, request: PlaceRequest, isReadOnly: boolean): boolean {
        return rollout.isOpen
            && rollout.mayUseCandidate(request, this.getSlots(rollout, request.service), isReadOnly);
    }

    private getSlots({ toVersion }: ServiceRollout, service: string): RolloutSurroundings {
        const candidates = this.endpoints.getReady(service, toVersion);
        return {
            candidateSlots: candidates.reduce((sum, { slots }) => sum + slots, 0),
            endpointSlots: candidates[0]?.slots ?? 0,
            candidatePlaces: 0,
            oldPlaces: 0,
            longestTimeoutMs: this.deps.getLongestTimeoutMs?.(service) ?? 0,
            getOtherVersions: () => {
                const versions = new Set(this.endpoints.getAll(service).map(getSoftwareVersion));
                return [...versions].filter(version => version !== toVersion);
            },
        };
    }

    private decide(rollout: ServiceRollout, service: string): void {
        const places = this.places.get(service);
        const candidatePlaces = places.filter(({ softwareVersion }) => softwareVersion === rollout.toVersion).length;
        const oldPlaces = places.length - candidatePlaces;
        const decision = rollout.decide({ ...this.getSlots(rollout, service), candidatePlaces, oldPlaces });
        if (decision.kind !== "stay") {
            const { toVersion, orderId, elapsedMs, budget } = rollout;
            this.deps.logger.info({
                event: "rollout-decided",
                service,
                toVersion,
                orderId,
                ...decision,
                elapsedMs: Math.round(elapsedMs),
                exposed: budget.exposed,
                total: budget.total,
                routes: rollout.evidence.getCounts(),
            });
        }
    }

    /** Requests that already take too long count now, so that a version that hangs is noticed at once. */
    private recordOverdue(rollout: ServiceRollout, service: string): void {
        if (!rollout.isOpen) {
            return;
        }
        for (const tracked of this.places.get(service)) {
            const { place } = tracked;
            if (!tracked.isCountedSlow && isSlow(rollout, place, performance.now() - place.grantedAtMs)) {
                tracked.isCountedSlow = true;
                count(rollout, tracked, true);
            }
        }
    }

    /** @returns Whether the response is bad. */
    private recordAnswer(
        rollout: ServiceRollout,
        tracked: TrackedPlace,
        end: RequestEnd,
        { hasFailed, durationMs }: ResponseFigures,
    ): boolean {
        const { place, softwareVersion } = tracked;
        if (tracked.isCountedSlow) {
            return true;
        }
        const isFailure = hasFailed === true || end === "failed" || end === "broken" || end === "silent";
        const isBad = isFailure || isSlow(rollout, place, durationMs ?? performance.now() - place.grantedAtMs);
        // Without a duration, the caller has left or the request has not run.
        if (isFailure || (end === "done" && (isBad || durationMs !== undefined))) {
            count(rollout, tracked, isBad);
        }
        const isBaseline = softwareVersion !== undefined && softwareVersion !== rollout.toVersion;
        if (!isFailure && durationMs !== undefined && isBaseline && place.workClass === "online") {
            rollout.evidence.recordBaselineDuration(place.route ?? "", durationMs);
        }
        return isBad;
    }
}

function count(rollout: ServiceRollout, { place, softwareVersion, isUnderLoad }: TrackedPlace, isBad: boolean): void {
    if (softwareVersion === undefined || rollout.abandonedVersions.includes(softwareVersion)) {
        return;
    }
    const side = softwareVersion === rollout.toVersion ? "candidate" : "baseline";
    rollout.evidence.recordAnswer(side, place.route ?? "", isBad, isUnderLoad);
}

/** Items take as long as their output is, and longer or shorter if they are resumed. */
function isSlow({ evidence }: ServiceRollout, { workClass, route }: Place, durationMs: number): boolean {
    return workClass === "online" && durationMs > evidence.getSlowMs(route ?? "");
}
