import type { Logger } from "@heatherline/common";
import type { EndpointEntry } from "@heatherline/fleet";

/** Endpoints that are probed at the same time. */
const PROBES_AT_ONCE = 3;
/** Interval of probes for the link back. */
const PROBE_INTERVAL_MS = 400;
/** A check of the instance's own link serves all questions of this time. */
const CHECK_TTL_MS = 300;

/**
 * Why an endpoint doesn't answer.
 *
 * - `link`: the instance can't reach it, others do or may.
 * - `endpoint`: the endpoint itself can't be reached.
 * - `none`: it accepts connections of this instance.
 */
export type Fault = "link" | "endpoint" | "none";

/** What {@link EndpointLinks} depends on. */
export interface EndpointLinksDependencies {
    /** @returns The registered endpoints. */
    readonly getEndpoints: () => readonly EndpointEntry[];
    /** @returns Whether an endpoint accepts a new connection of this instance. */
    readonly canConnect: (endpoint: EndpointEntry) => Promise<boolean>;
    readonly logger: Logger;
}

/**
 * Knows which endpoints this instance reaches itself. An instance that reaches none is stranded: the fault is its own
 * link, and says nothing about the endpoints. Single endpoints may be out of its reach as well.
 */
export class EndpointLinks {
    private readonly outOfReach = new Map<string, EndpointEntry>();
    /** How many endpoints of a service have been tried, so that other ones are tried next. */
    private readonly triedCounts = new Map<string, number>();
    private checkedOutOfReach = 0;
    private isCutOff = false;
    private lastCheck: { readonly isSound: Promise<boolean>; readonly startedAtMs: number; } | undefined;
    private probeTimer: NodeJS.Timeout | undefined;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: EndpointLinksDependencies) {}

    /** Whether this instance reaches no endpoint. */
    get isStranded(): boolean {
        return this.isCutOff;
    }

    /**
     * @param endpoint - An endpoint.
     * @returns Whether requests for it are sent directly.
     */
    isDirect({ endpointId }: EndpointEntry): boolean {
        return !this.isCutOff && !this.outOfReach.has(endpointId);
    }

    /**
     * Checks this instance's own link, after it couldn't connect to an endpoint, by connecting to others.
     *
     * @param endpoint - The endpoint that it couldn't connect to.
     * @returns Whether it reaches another one; otherwise it is stranded from now on.
     */
    async checkLink(endpoint: EndpointEntry): Promise<boolean> {
        if (this.isCutOff) {
            return false;
        }
        const nowMs = performance.now();
        if (this.lastCheck === undefined || nowMs - this.lastCheck.startedAtMs > CHECK_TTL_MS) {
            this.lastCheck = { isSound: this.reachesAnyBut(endpoint.endpointId), startedAtMs: nowMs };
        }
        const isSound = await this.lastCheck.isSound;
        if (!isSound && !this.isCutOff) {
            this.isCutOff = true;
            this.deps.logger.info({ event: "endpoint-link", state: "relayed", unreachable: endpoint.endpointId });
            this.startProbing();
        }
        return isSound;
    }

    /**
     * @param endpoint - An endpoint that others reach and this instance doesn't.
     */
    markOutOfReach(endpoint: EndpointEntry): void {
        const { endpointId } = endpoint;
        if (!this.outOfReach.has(endpointId)) {
            this.outOfReach.set(endpointId, endpoint);
            this.deps.logger.info({ event: "endpoint-link", state: "relayed", endpoint: endpointId });
            this.startProbing();
        }
    }

    /** Stops probing. */
    stop(): void {
        clearInterval(this.probeTimer);
        this.probeTimer = undefined;
    }

    private startProbing(): void {
        this.probeTimer ??= setInterval(() => void this.probe(), PROBE_INTERVAL_MS).unref();
    }

    /** Looks for the link back. */
    private async probe(): Promise<void> {
        if (this.isCutOff && await this.reachesAnyBut(undefined)) {
            this.isCutOff = false;
            this.lastCheck = undefined;
            this.deps.logger.info({ event: "endpoint-link", state: "direct" });
        }
        const next = [...this.outOfReach.values()];
        const chosen = next.splice(this.checkedOutOfReach % Math.max(1, next.length), PROBES_AT_ONCE);
        this.checkedOutOfReach += chosen.length;
        await Promise.all(chosen.map(endpoint => this.probeOne(endpoint)));
        if (!this.isCutOff && this.outOfReach.size === 0) {
            this.stop();
        }
    }

    private async probeOne({ endpointId, host, port }: EndpointEntry): Promise<void> {
        const entry = this.deps.getEndpoints().find(listed => listed.endpointId === endpointId);
        const isSame = entry?.host === host && entry.port === port;
        if (!isSame || await this.deps.canConnect(entry)) {
            this.outOfReach.delete(endpointId);
            this.deps.logger.info({ event: "endpoint-link", state: "direct", endpoint: endpointId });
        }
    }

    /** Tries to connect to a few endpoints, other ones each time, and of several services if there are any. */
    private async reachesAnyBut(endpointId: string | undefined): Promise<boolean> {
        const others = this.deps.getEndpoints().filter(entry => entry.endpointId !== endpointId);
        const probes = this.takeNext(others).map(async endpoint => {
            if (!await this.deps.canConnect(endpoint)) {
                throw new Error(`${endpoint.endpointId} can't be reached`);
            }
        });
        return Promise.any(probes).then(() => true, () => false);
    }

    /** Takes turns among the services, since all endpoints of one may have crashed, and among the endpoints of each. */
    private takeNext(endpoints: readonly EndpointEntry[]): EndpointEntry[] {
        const byService = new Map<string, EndpointEntry[]>();
        for (const endpoint of endpoints) {
            byService.set(endpoint.service, [...byService.get(endpoint.service) ?? [], endpoint]);
        }
        const services = [...byService].sort(([first], [second]) => this.getTried(first) - this.getTried(second));
        return Array.from({ length: Math.min(PROBES_AT_ONCE, endpoints.length) }, (_, index) => {
            const [service, entries] = services[index % services.length] as [string, EndpointEntry[]];
            const tried = this.getTried(service);
            this.triedCounts.set(service, tried + 1);
            return entries[tried % entries.length] as EndpointEntry;
        });
    }

    private getTried(service: string): number {
        return this.triedCounts.get(service) ?? 0;
    }
}
