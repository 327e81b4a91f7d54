import { invariant, type Logger, monotonicMs, startLoop } from "@heatherline/common";
import type { EndpointSpec, ServiceDocument } from "@heatherline/config";
import type { WorkClass } from "../exchange";
import type { CreditDemand } from "./creditAllocator";
import type { CreditProvider } from "./creditProvider";
import { countOutstanding, type EndpointCredits, newEndpointCredits } from "./endpointCredits";
import type { Candidate } from "./routePolicy";
import type { HealthEvent } from "./warmUpLimiter";

/** The right to run one request at an endpoint; takes one credit until it is released, exactly once. */
export interface EndpointSlot {
    readonly endpoint: string;
    readonly spec: EndpointSpec;
    readonly isExclusive: boolean;
    /**
     * Releases the slot.
     *
     * @param event - What the attempt says about the endpoint's health; omitted if nothing.
     */
    release(event?: HealthEvent): void;
}

const REFRESH_INTERVAL_MS = 500;
const MAX_PENDING_EVENTS = 100;
/** Time for which unused credits are kept while other instances demand them. */
const RETURN_DELAY_MS = 20;
/** Time after its expiry for which the limit of a grant is still reported to a new owner. */
const KNOWN_LIMIT_TTL_MS = 5_000;
/** A response is slow if its first byte takes this many times the mean, and more than {@link MIN_SLOW_MS}. */
const SLOW_FACTOR = 6;
const MIN_SLOW_MS = 2_000;
const FIRST_BYTE_SMOOTHING = 0.1;
/** Decay factor of the recent online use per refresh. */
const RECENT_USE_DECAY = 0.9;
const MIN_RECENT_USE = 0.1;
/** Spare credits as a fraction of the recent online use. */
const SPARE_FRACTION = 0.25;

/** Numbers of a service's requests that wait in this instance, by class. */
export type WaitingCounts = Record<WorkClass, number>;

/**
 * The endpoint credits of this instance: renews them with the owners of the endpoints, counts the requests that run at
 * each endpoint, and preempts batch items when a new grant has fewer credits.
 */
export class CreditPool {
    private readonly entries = new Map<string, EndpointCredits>();
    private readonly listeners = new Set<() => void>();
    private refreshing: Promise<void> | undefined;
    private isRefreshScheduled = false;
    private returnTimer: NodeJS.Timeout | undefined;
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param instanceId - This instance.
     * @param dataCentre - This instance's data centre.
     * @param provider - Requests credits from the owners.
     * @param getWaitingCounts - Counts the requests of a service that wait in this instance.
     * @param isDataCentreOut - Whether a data centre is taken out of service.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly instanceId: string,
        private readonly dataCentre: string,
        private readonly provider: CreditProvider,
        private readonly getWaitingCounts: (service: string) => WaitingCounts,
        private readonly isDataCentreOut: (dataCentre: string) => boolean,
        private readonly logger: Logger,
    ) {}

    /** Starts renewing credits at a fixed interval. */
    start(): void {
        this.stopLoop = startLoop(() => REFRESH_INTERVAL_MS, () => this.refresh());
    }

    /** Stops renewing credits. */
    stop(): void {
        void this.stopLoop?.();
    }

    /**
     * Applies the endpoints of the current service documents. Removed endpoints get no new requests.
     *
     * @param services - All service documents.
     */
    setServices(services: readonly ServiceDocument[]): void {
        const current = new Set<string>();
        for (const service of services) {
            for (const spec of service.endpoints) {
                const endpoint = getEndpointKey(service.service, spec);
                current.add(endpoint);
                const entry = this.entries.get(endpoint);
                if (entry === undefined) {
                    this.entries.set(endpoint, newEndpointCredits(endpoint, service.service, spec));
                }
                else {
                    entry.spec = spec;
                }
            }
        }
        for (const [endpoint, entry] of this.entries) {
            if (!current.has(endpoint)) {
                entry.spec = { ...entry.spec, state: "leaving" };
                if (countOutstanding(entry) === 0) {
                    this.entries.delete(endpoint);
                }
            }
        }
        this.scheduleRefresh();
    }

    /**
     * @param listener - Called when credits change or a slot is released.
     */
    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    /**
     * @param service - A service.
     * @returns Endpoints that may get new requests and have a free credit. Those of other data centres are only used
     * if this one has no endpoint in service.
     */
    getCandidates(service: string): (Candidate & { readonly isExclusive: boolean; })[] {
        return this.getEligible(service).flatMap(entry => {
            const credits = this.getCredits(entry);
            const outstanding = countOutstanding(entry);
            const isExclusive = entry.grant?.isExclusive === true && outstanding === 0;
            const { maxConcurrency } = entry.spec;
            return outstanding < credits
                ? [{ endpoint: entry.endpoint, outstanding, credits, maxConcurrency, isExclusive }]
                : [];
        });
    }

    /**
     * @param service - A service.
     * @returns Credits of this instance over all endpoints that may get new requests.
     */
    countCredits(service: string): number {
        return this.getEligible(service).reduce((total, entry) => total + this.getCredits(entry), 0);
    }

    /**
     * @param service - A service.
     * @param workClass - A class of work.
     * @returns Number of requests of that class that run now.
     */
    countRunning(service: string, workClass: WorkClass): number {
        return [...this.entries.values()]
            .filter(entry => entry.service === service)
            .reduce((total, entry) => total + entry.outstanding[workClass], 0);
    }

    /**
     * @param service - A service.
     * @returns Whether any endpoint may get new requests, regardless of credits.
     */
    hasEligibleEndpoint(service: string): boolean {
        return this.getEligible(service).length > 0;
    }

    /**
     * Takes a free credit.
     *
     * @param endpoint - One of {@link getCandidates}.
     * @param workClass - Class of the request.
     * @param preempt - Preempts the batch item when the credit is needed; absent if it must not be preempted.
     * @returns The slot; `release` must be called once.
     */
    acquireSlot(endpoint: string, workClass: WorkClass, preempt?: () => void): EndpointSlot {
        const entry = this.entries.get(endpoint);
        if (entry === undefined) {
            throw new Error(`endpoint ${endpoint} is not known`);
        }
        entry.outstanding[workClass] += 1;
        entry.recentOnline = Math.max(entry.recentOnline, entry.outstanding.online);
        const credits = this.getCredits(entry);
        const outstanding = countOutstanding(entry);
        invariant(
            "outstanding-within-credits",
            outstanding <= credits,
            () => `${endpoint}: ${outstanding} of ${credits}`,
        );
        if (preempt !== undefined) {
            entry.preemptions.push(preempt);
        }
        let isReleased = false;
        return {
            endpoint,
            spec: entry.spec,
            isExclusive: entry.grant?.isExclusive ?? false,
            release: event => {
                invariant("slot-released-once", !isReleased, () => `${endpoint} was released twice`);
                isReleased = true;
                if (preempt !== undefined && entry.preemptions.includes(preempt)) {
                    entry.preemptions.splice(entry.preemptions.indexOf(preempt), 1);
                }
                this.releaseSlot(entry, workClass, event);
            },
        };
    }

    /**
     * Records the time to first byte of a response, and detects restarts of the endpoint.
     *
     * @param endpoint - The endpoint.
     * @param firstByteMs - Time from sending the request to the endpoint to the first byte, in milliseconds.
     * @param startMark - Identifies the process start of the endpoint, if it sends one; a new value means a restart.
     */
    recordResponse(endpoint: string, firstByteMs: number, startMark: string | undefined): void {
        const entry = this.entries.get(endpoint);
        if (entry === undefined) {
            return;
        }
        if (startMark !== undefined && entry.startMark !== undefined && entry.startMark !== startMark) {
            this.recordEvent(entry, "restarted");
        }
        entry.startMark = startMark ?? entry.startMark;
        const meanMs = entry.meanFirstByteMs ?? firstByteMs;
        if (firstByteMs > Math.max(meanMs * SLOW_FACTOR, MIN_SLOW_MS)) {
            this.recordEvent(entry, "slow");
        }
        entry.meanFirstByteMs = meanMs + FIRST_BYTE_SMOOTHING * (firstByteMs - meanMs);
    }

    /**
     * Preempts one batch item of a service so that an online request can run.
     *
     * @param service - The service.
     * @returns Whether there was an item to preempt.
     */
    preemptOne(service: string): boolean {
        const entry = this.getEligible(service).find(({ preemptions }) => preemptions.length > 0);
        const preempt = entry?.preemptions.pop();
        preempt?.();
        return preempt !== undefined;
    }

    /**
     * Requests exclusive use of the least loaded endpoint of a service, or cancels such a request.
     *
     * @param service - The service.
     * @param isRequested - Whether to request exclusive use or to cancel the request.
     * @param endpoint - The endpoint of the request to cancel.
     * @returns The endpoint; `undefined` if there is none.
     */
    requestExclusive(service: string, isRequested: boolean, endpoint?: string): string | undefined {
        const eligible = this.getEligible(service);
        const entry = endpoint === undefined
            ? eligible.reduce<EndpointCredits | undefined>(
                (best, other) => best === undefined || countOutstanding(other) < countOutstanding(best) ? other : best,
                undefined,
            )
            : this.entries.get(endpoint);
        if (entry === undefined) {
            return undefined;
        }
        entry.exclusiveRequests = Math.max(0, entry.exclusiveRequests + (isRequested ? 1 : -1));
        this.scheduleRefresh();
        return entry.endpoint;
    }

    /** Schedules a renewal of the credits; further calls until it starts are merged into it. */
    scheduleRefresh(): void {
        if (this.isRefreshScheduled) {
            return;
        }
        this.isRefreshScheduled = true;
        setImmediate(() => void this.refresh());
    }

    /** @returns State of each endpoint for status and metrics. */
    describe(): {
        endpoint: string;
        credits: number;
        limit: number;
        online: number;
        batch: number;
        isWarm: boolean;
    }[] {
        return [...this.entries.values()].map(entry => ({
            endpoint: entry.endpoint,
            credits: this.getCredits(entry),
            limit: entry.grant?.limit ?? 0,
            online: entry.outstanding.online,
            batch: entry.outstanding.batch,
            isWarm: entry.grant?.isWarm ?? false,
        }));
    }

    private getEligible(service: string): EndpointCredits[] {
        const inService = [...this.entries.values()].filter(entry =>
            entry.service === service && entry.spec.state === "in" && !this.isDataCentreOut(entry.spec.dataCentre)
        );
        const local = inService.filter(({ spec }) => spec.dataCentre === this.dataCentre);
        return local.length > 0 ? local : inService;
    }

    private getCredits(entry: EndpointCredits): number {
        if (monotonicMs() < entry.validUntilMs) {
            return entry.grant?.credits ?? 0;
        }
        return this.provider.getFallbackCredits(entry.endpoint, entry.grant);
    }

    private releaseSlot(entry: EndpointCredits, workClass: WorkClass, event: HealthEvent | undefined): void {
        entry.outstanding[workClass] -= 1;
        invariant("outstanding-not-negative", entry.outstanding[workClass] >= 0, () => entry.endpoint);
        if (event !== undefined) {
            this.recordEvent(entry, event);
        }
        const waiting = this.getWaitingCounts(entry.service);
        const needsCredits = countOutstanding(entry) >= this.getCredits(entry) && waiting.online + waiting.batch > 0;
        if (needsCredits || (event !== undefined && event !== "success")) {
            this.scheduleRefresh();
        }
        else if (entry.grant?.isContended === true) {
            this.returnTimer ??= setTimeout(() => {
                this.returnTimer = undefined;
                this.scheduleRefresh();
            }, RETURN_DELAY_MS);
        }
        this.notify();
    }

    private recordEvent(entry: EndpointCredits, event: HealthEvent): void {
        if (entry.events.length < MAX_PENDING_EVENTS) {
            entry.events.push(event);
        }
        if (event === "success" || event === "slow") {
            return;
        }
        // The owner sets the limit, but this instance must reduce its own load without waiting for the next grant.
        const coldCredits = this.provider.getFallbackCredits(entry.endpoint, undefined);
        if (entry.grant !== undefined) {
            const { coldConcurrency } = entry.spec;
            const limit = Math.min(entry.grant.limit, coldConcurrency);
            const isDown = event === "crashed" || event === "refused";
            const credits = isDown ? 0 : Math.min(entry.grant.credits, coldCredits);
            entry.grant = { ...entry.grant, credits, limit, isWarm: false };
        }
        this.scheduleRefresh();
    }

    private async refresh(): Promise<void> {
        if (this.refreshing !== undefined) {
            return this.refreshing;
        }
        this.isRefreshScheduled = false;
        this.refreshing = this.refreshOnce().finally(() => {
            this.refreshing = undefined;
            if (this.isRefreshScheduled) {
                setImmediate(() => void this.refresh());
            }
        });
        return this.refreshing;
    }

    private async refreshOnce(): Promise<void> {
        const demands = new Map<string, CreditDemand>();
        const sentEvents = new Map<string, number>();
        for (const entry of this.entries.values()) {
            const demand = this.computeDemand(entry);
            if (demand !== undefined) {
                demands.set(entry.endpoint, demand);
                sentEvents.set(entry.endpoint, entry.events.length);
            }
        }
        if (demands.size === 0) {
            return;
        }
        const sentAtMs = monotonicMs();
        const grants = await this.provider.request(demands);
        for (const [endpoint, grant] of grants) {
            const entry = this.entries.get(endpoint);
            if (entry === undefined) {
                continue;
            }
            entry.events = entry.events.slice(sentEvents.get(endpoint));
            entry.grant = grant;
            entry.validUntilMs = sentAtMs + grant.ttlMs;
            this.preemptExcessBatch(entry);
        }
        this.notify();
    }

    private computeDemand(entry: EndpointCredits): CreditDemand | undefined {
        const outstanding = countOutstanding(entry);
        const eligible = this.getEligible(entry.service);
        if (!eligible.includes(entry) && outstanding === 0 && entry.events.length === 0) {
            return undefined;
        }
        const waiting = this.getWaitingCounts(entry.service);
        const perEndpoint = (count: number) => eligible.includes(entry) ? Math.ceil(count / eligible.length) : 0;
        return {
            instanceId: this.instanceId,
            online: entry.outstanding.online + perEndpoint(waiting.online),
            spare: eligible.includes(entry) ? this.computeSpare(entry) : 0,
            batch: entry.outstanding.batch + perEndpoint(waiting.batch),
            inUse: outstanding,
            isExclusive: entry.exclusiveRequests > 0,
            knownLimit: monotonicMs() < entry.validUntilMs + KNOWN_LIMIT_TTL_MS ? entry.grant?.limit ?? 0 : 0,
            events: [...entry.events],
        };
    }

    /** Spare credits in proportion to the recent online use; none if there is no online traffic. */
    private computeSpare(entry: EndpointCredits): number {
        entry.recentOnline = Math.max(entry.outstanding.online, entry.recentOnline * RECENT_USE_DECAY);
        return entry.recentOnline < MIN_RECENT_USE ? 0 : Math.floor(entry.recentOnline * SPARE_FRACTION);
    }

    private preemptExcessBatch(entry: EndpointCredits): void {
        let excess = countOutstanding(entry) - (entry.grant?.credits ?? 0);
        while (excess > 0 && entry.preemptions.length > 0) {
            entry.preemptions.pop()?.();
            excess -= 1;
            this.logger.debug(
                { endpoint: entry.endpoint },
                "preempted a batch item as credits were reduced",
            );
        }
    }

    private notify(): void {
        for (const listener of this.listeners) {
            listener();
        }
    }
}

/**
 * @param service - A service.
 * @param spec - One of its endpoints.
 * @returns Identity of the endpoint across all services; an endpoint with a new address is a new one.
 */
export function getEndpointKey(service: string, spec: EndpointSpec): string {
    return `${service}/${spec.endpoint}@${spec.address}:${spec.port}`;
}
