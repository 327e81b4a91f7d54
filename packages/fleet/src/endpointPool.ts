import type { EndpointAssessment, EndpointObstacle } from "./endpointAssessment";
import { getCost, getUrgency } from "./endpointChoice";
import { EndpointMemory } from "./endpointMemory";
import type { EndpointPoolDependencies } from "./endpointPoolDependencies";
import { ServiceSpeeds, type SpeedEvidence } from "./endpointSpeeds";
import {
    copyEndpointState,
    countSendable,
    type EndpointState,
    getLimiter,
    hasAnsweredOthers,
    newEndpointState,
} from "./endpointState";
import type { Place } from "./place";
import type { PlaceCount } from "./placeCount";
import type { AllowedVersions } from "./rollouts/types";
import { isVersionAllowed, type VersionGate } from "./rollouts/versionGate";
import { getSoftwareVersion } from "./softwareVersions";
import type { EndpointEntry, PlaceRequest, RequestEnd } from "./types";

/** Fraction of a cold endpoint's rate that is used; the rest allows for requests in transit. */
const COLD_RATE_FRACTION = 0.9;
const MS_PER_S = 1_000;

/** The endpoints of all services; picks one for each request. */
export class EndpointPool {
    private readonly byId = new Map<string, EndpointState>();
    private readonly byService = new Map<string, EndpointState[]>();

    /**
     * @param deps - What the pool needs from the rest of the instance.
     * @param memory - Tokens of the requests that run at the endpoints.
     * @param speeds - Speeds of the endpoints.
     */
    constructor(
        private readonly deps: EndpointPoolDependencies,
        private readonly memory = new EndpointMemory(deps),
        private readonly speeds = new ServiceSpeeds(),
    ) {}

    /**
     * @param service - A service.
     * @param versionGate - Takes the place of the pool's own gate.
     * @returns A copy with the endpoints of the service, on which decisions can be tried without effect on this pool.
     */
    copy(service: string, versionGate: VersionGate | undefined): EndpointPool {
        const copy = new EndpointPool({ ...this.deps, versionGate }, this.memory.copy(), this.speeds.copy(service));
        const states = (this.byService.get(service) ?? []).map(copyEndpointState);
        copy.byService.set(service, states);
        states.forEach(state => copy.byId.set(state.entry.endpointId, state));
        return copy;
    }

    /**
     * Replaces the set of endpoints. A removed endpoint is kept as draining while requests run there.
     *
     * @param entries - All endpoints.
     */
    setEntries(entries: readonly EndpointEntry[]): void {
        const listed = new Set(entries.map(({ endpointId }) => endpointId));
        for (const entry of entries) {
            const state = this.byId.get(entry.endpointId);
            if (state === undefined) {
                this.byId.set(entry.endpointId, newEndpointState(entry));
            }
            else {
                state.entry = entry;
            }
        }
        for (const [endpointId, state] of this.byId) {
            if (!listed.has(endpointId) && state.running.size === 0) {
                this.byId.delete(endpointId);
            }
            else if (!listed.has(endpointId)) {
                state.entry = { ...state.entry, state: "draining" };
            }
        }
        this.byService.clear();
        for (const state of this.byId.values()) {
            const states = this.byService.get(state.entry.service) ?? [];
            states.push(state);
            this.byService.set(state.entry.service, states);
        }
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Its state.
     */
    get(endpointId: string): EndpointState | undefined {
        return this.byId.get(endpointId);
    }

    /** @returns Names of the services that have endpoints. */
    getServices(): string[] {
        return [...this.byService.keys()];
    }

    /**
     * @param place - A place that is granted.
     */
    addPlace(place: Place): void {
        this.memory.add(place);
        const state = this.byId.get(place.endpointId);
        if (state !== undefined) {
            state.running.set(place.placeId, place);
            state.batchCount += place.workClass === "batch" ? 1 : 0;
        }
    }

    /**
     * @param place - A place that is released.
     * @param end - How the request there ended.
     * @returns Milliseconds until the endpoint may be used again if the end pauses it, otherwise `undefined`.
     */
    removePlace(place: Place, end: RequestEnd): number | undefined {
        this.memory.remove(place);
        const state = this.byId.get(place.endpointId);
        if (state === undefined || !state.running.delete(place.placeId)) {
            return undefined;
        }
        state.batchCount -= place.workClass === "batch" ? 1 : 0;
        if (end === "silent" && hasAnsweredOthers(state, place)) {
            return undefined;
        }
        if (end === "done" || end === "failed" || end === "rejected") {
            state.lastResponseAtMs = performance.now();
        }
        return state.health.recordEnd(end, this.hasOtherUsable(state)) ? state.health.getPauseLeftMs() : undefined;
    }

    /**
     * Records that an endpoint has sent nothing for too long for a request that goes on. The request itself may take
     * long, so an endpoint that has since responded to others is not paused.
     *
     * @param place - The place of the request.
     * @returns Milliseconds until the endpoint may be used again if it is paused for this, otherwise `undefined`.
     */
    recordSilence(place: Place): number | undefined {
        const state = this.byId.get(place.endpointId);
        if (state === undefined || state.lastResponseAtMs > place.grantedAtMs) {
            return undefined;
        }
        return state.health.recordEnd("silent", this.hasOtherUsable(state)) ? state.health.getPauseLeftMs() : undefined;
    }

    /**
     * @param service - A service.
     * @param request - A request whose constraints exclude endpoints; `undefined` to count all endpoints.
     * @param holdMs - How long a request keeps its place, in milliseconds.
     * @returns The number of its places.
     */
    countPlaces(service: string, request: PlaceRequest | undefined, holdMs: number): PlaceCount {
        const count: PlaceCount = { total: 0, free: 0, sound: 0, weighted: 0, preemptable: 0 };
        const versions = this.getAllowedVersions(request);
        for (const state of this.byService.get(service) ?? []) {
            const capacity = this.getUsableCapacity(state);
            if (capacity > 0 && (request === undefined || this.isAllowed(state, request, versions))) {
                const limitPerS = this.deps.getLimitPerS(state.entry);
                const sendable = countSendable(state, limitPerS);
                const room = request === undefined ? Infinity : this.memory.countRoom(state.entry, request);
                const free = Math.min(Math.max(0, capacity - state.running.size), sendable, room);
                const total = Math.min(capacity, (limitPerS ?? Infinity) * holdMs / MS_PER_S);
                count.total += total;
                count.sound += state.health.isTriedAgain ? 0 : total;
                count.weighted += total / state.speed.slowness;
                count.free += free;
                count.preemptable += Math.min(state.batchCount, sendable - free);
            }
        }
        return count;
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Number of requests that its limit lets be sent now; infinite without one.
     */
    countSendable(endpointId: string): number {
        const state = this.byId.get(endpointId);
        return state === undefined ? 0 : countSendable(state, this.deps.getLimitPerS(state.entry));
    }

    /**
     * Forgets what has accrued of the endpoints' limits, after a time in which others sent the requests.
     */
    restartLimits(): void {
        for (const { limiter } of this.byId.values()) {
            limiter?.restart(Math.random());
        }
    }

    /**
     * @param request - A request for which there are no places.
     * @returns Milliseconds until a paused endpoint may be probed with it; infinite if none is paused.
     */
    getShortestPauseMs(request: PlaceRequest): number {
        const pausesMs = (this.byService.get(request.service) ?? [])
            .filter(state => state.entry.state === "ready" && this.isAllowed(state, request))
            .filter(({ entry, health }) => health.getPauseLeftMs() > 0 && this.deps.getCapacity(entry) > 0)
            .map(({ health }) => health.getPauseLeftMs());
        return Math.min(Infinity, ...pausesMs);
    }

    /**
     * @param service - A service.
     * @returns Its endpoints that have room for a request now.
     */
    getWithRoom(service: string): EndpointState[] {
        return (this.byService.get(service) ?? []).filter(state => this.hasRoom(state));
    }

    /**
     * @param request - A request.
     * @param states - Endpoints of its service to choose from; of many requests at once, those that had room for the first.
     * @returns The endpoint with the lowest cost that has room for it, if any.
     */
    pickEndpoint(
        request: PlaceRequest,
        states: readonly EndpointState[] = this.byService.get(request.service) ?? [],
    ): EndpointState | undefined {
        this.speeds.refresh(request.service, this.byService.get(request.service));
        const urgency = getUrgency(request, this.speeds.getTightestTargetMs(request));
        let best: EndpointState | undefined;
        let bestCost = Infinity;
        const versions = this.getAllowedVersions(request);
        for (const state of states) {
            const cost = this.getCost(state, request, urgency);
            if (cost < bestCost && this.findObstacle(state, request, versions) === undefined) {
                best = state;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * @param request - A request.
     * @returns What the choice of its endpoint depends on, for each endpoint of its service.
     */
    assess(request: PlaceRequest): EndpointAssessment[] {
        const states = this.byService.get(request.service) ?? [];
        this.speeds.refresh(request.service, states);
        const urgency = getUrgency(request, this.speeds.getTightestTargetMs(request));
        const versions = this.getAllowedVersions(request);
        return states.map(state => ({
            state,
            cost: this.getCost(state, request, urgency),
            obstacle: this.findObstacle(state, request, versions),
            capacity: this.deps.getCapacity(state.entry),
            sendWaitMs: this.getSendWaitMs(state),
            limitPerS: this.deps.getLimitPerS(state.entry),
            coldRatePerS: this.getColdRatePerS(state.entry),
            memoryRoom: this.memory.countRoom(state.entry, request),
            rolloutCost: this.getExtraCost(state),
        }));
    }

    /**
     * @param request - A request.
     * @returns Whether it alone takes more than an endpoint of its service holds.
     */
    isTooLarge(request: PlaceRequest): boolean {
        return this.memory.isTooLarge(request.service, request);
    }

    /**
     * Records the speed of an endpoint.
     *
     * @param place - A place that is released after a response.
     * @param evidence - Figures of the response.
     * @returns Factor on the mean time of the service that was expected of the endpoint.
     */
    recordResponse(place: Place, evidence: SpeedEvidence): number {
        const state = this.byId.get(place.endpointId);
        if (state !== undefined) {
            this.speeds.record(place.service, state.speed, { promptTokens: place.promptTokens, ...evidence });
        }
        return state?.speed.slowness ?? 1;
    }

    /**
     * @param service - A service.
     * @returns Whether its endpoints hold a limited number of tokens.
     */
    hasMemoryLimit(service: string): boolean {
        return (this.deps.getMemoryTokens?.(service) ?? 0) > 0;
    }

    /**
     * @param service - A service.
     * @returns Expected factor on the mean time of the service by endpoint, for metrics.
     */
    getSlowness(service: string): ReadonlyMap<string, number> {
        const states = this.byService.get(service) ?? [];
        return new Map(states.map(({ entry, speed }) => [entry.endpointId, speed.slowness]));
    }

    /**
     * @param service - A service.
     * @param softwareVersion - A version of its software.
     * @returns Whether an endpoint of that version is registered and doesn't leave.
     */
    hasVersion(service: string, softwareVersion: string): boolean {
        return (this.byService.get(service) ?? []).some(({ entry }) =>
            entry.state === "ready" && getSoftwareVersion(entry) === softwareVersion
        );
    }

    /**
     * @param endpointId - An endpoint.
     * @param requests - Requests that wait.
     * @returns Whether one of them may be sent there.
     */
    isAllowedForAny(endpointId: string, requests: readonly PlaceRequest[]): boolean {
        const state = this.byId.get(endpointId);
        return state !== undefined && requests.some(request => this.isAllowed(state, request));
    }

    /**
     * @param service - A service.
     * @returns Milliseconds until the first of the service's endpoints may be sent requests that only time keeps from
     * being sent now: the rate of cold endpoints, its own limit, or the delay of streams; 0 if there is no such endpoint.
     */
    getSendWaitOfFirstMs(service: string): number {
        const waitsMs = (this.byService.get(service) ?? [])
            .flatMap(state => [this.getSendWaitMs(state), this.deps.getStreamDelayMs(state.entry)])
            .filter(waitMs => waitMs > 0);
        return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
    }

    private getSendWaitMs(state: EndpointState): number {
        const coldWaitMs = state.sendWindow.getWaitMs(this.getColdRatePerS(state.entry));
        const limitPerS = this.deps.getLimitPerS(state.entry);
        return limitPerS === undefined ? coldWaitMs : Math.max(coldWaitMs, getLimiter(state).getWaitMs(limitPerS));
    }

    private getCost(state: EndpointState, request: PlaceRequest, urgency: number): number {
        const isRemote = state.entry.dataCentre !== request.dataCentre;
        const load = state.running.size / state.entry.slots;
        return getCost(load, isRemote, state.health.failureRate, state.speed.slowness, urgency)
            + this.getExtraCost(state);
    }

    private getExtraCost({ entry }: EndpointState): number {
        return this.deps.versionGate?.getExtraCost?.(entry) ?? 0;
    }

    /** @returns Why the endpoint can't be used for the request now, if it can't. */
    private findObstacle(
        state: EndpointState,
        request: PlaceRequest,
        versions: AllowedVersions,
    ): EndpointObstacle | undefined {
        return this.findRoomObstacle(state) ?? this.findConstraint(state, request, versions)
            ?? (this.memory.countRoom(state.entry, request) > 0 ? undefined : "memory");
    }

    private getAllowedVersions(request: PlaceRequest | undefined): AllowedVersions {
        return (request === undefined ? undefined : this.deps.versionGate?.getAllowedVersions(request))
            ?? { kind: "any" };
    }

    private isAllowed(
        state: EndpointState,
        request: PlaceRequest,
        versions: AllowedVersions = this.getAllowedVersions(request),
    ): boolean {
        return this.findConstraint(state, request, versions) === undefined;
    }

    /** @returns Why the request may not be sent to the endpoint, however free it is. */
    private findConstraint(
        { entry, health }: EndpointState,
        request: PlaceRequest,
        versions: AllowedVersions,
    ): EndpointObstacle | undefined {
        if (request.wasUnreachable === true && health.isTriedAgain) {
            return "tried-again";
        }
        const isRegionAllowed = request.allowedRegions.length === 0
            || request.allowedRegions.includes(this.deps.getRegion(entry.dataCentre));
        if (!isRegionAllowed) {
            return "region";
        }
        const softwareVersion = getSoftwareVersion(entry);
        const mayGoOn = request.softwareVersion === undefined
            ? request.streamId === undefined || this.deps.getStreamDelayMs(entry) === 0
            : request.softwareVersion === softwareVersion;
        if (!mayGoOn) {
            return "version";
        }
        if (!isVersionAllowed(versions, softwareVersion)) {
            return "rollout";
        }
        return request.excluded.includes(entry.endpointId) ? "excluded" : undefined;
    }

    /**
     * Endpoints may all be silent for a second. The last one stays in use, so that requests wait there instead of being
     * refused.
     */
    private hasOtherUsable({ entry }: EndpointState): boolean {
        return (this.byService.get(entry.service) ?? []).some(other =>
            other.entry !== entry && this.getUsableCapacity(other) > 0
        );
    }

    /** After a pause an endpoint counts as one place, since it is sent one request at a time until one succeeds. */
    private getUsableCapacity({ entry, health }: EndpointState): number {
        if (entry.state !== "ready" || !health.canAccept(0)) {
            return 0;
        }
        const capacity = this.deps.getCapacity(entry);
        return health.canAccept(1) ? capacity : Math.min(1, capacity);
    }

    private hasRoom(state: EndpointState): boolean {
        return this.findRoomObstacle(state) === undefined;
    }

    /** @returns Why the endpoint can't be sent any request now. */
    private findRoomObstacle(state: EndpointState): EndpointObstacle | undefined {
        if (state.entry.state !== "ready") {
            return "not-ready";
        }
        if (state.running.size >= this.deps.getCapacity(state.entry)) {
            return "no-slot";
        }
        if (!state.health.canAccept(state.running.size)) {
            return "paused";
        }
        return this.getSendWaitMs(state) === 0 ? undefined : "rate";
    }

    /** An endpoint may turn cold without notice, so the rate limit of a cold one always applies. */
    private getColdRatePerS(entry: EndpointEntry): number {
        return this.deps.getColdRatePerS(entry) * COLD_RATE_FRACTION;
    }
}
