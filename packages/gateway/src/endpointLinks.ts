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
    private wasStranded = false;
    private nextProbe = 0;
    private lastCheck: { readonly isSound: Promise<boolean>; readonly startedAtMs: number; } | undefined;
    private probeTimer: NodeJS.Timeout | undefined;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: EndpointLinksDependencies) {}

    /** Whether this instance reaches no endpoint. */
    get isStranded(): boolean {
        return this.wasStranded;
    }

    /**
     * @param endpoint - An endpoint.
     * @returns Whether requests for it are sent directly.
     */
    isDirect({ endpointId }: EndpointEntry): boolean {
        return !this.wasStranded && !this.outOfReach.has(endpointId);
    }

    /**
     * Checks this instance's own link, after it couldn't connect to an endpoint, by connecting to others.
     *
     * @param endpoint - The endpoint that it couldn't connect to.
     * @returns Whether it reaches another one; otherwise it is stranded from now on.
     */
    async checkLink(endpoint: EndpointEntry): Promise<boolean> {
        if (this.wasStranded) {
            return false;
        }
        const nowMs = performance.now();
        if (this.lastCheck === undefined || nowMs - this.lastCheck.startedAtMs > CHECK_TTL_MS) {
            this.lastCheck = { isSound: this.reachesAnyBut(endpoint.endpointId), startedAtMs: nowMs };
        }
        const isSound = await this.lastCheck.isSound;
        if (!isSound && !this.wasStranded) {
            this.wasStranded = true;
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
        if (this.wasStranded && await this.reachesAnyBut(undefined)) {
            this.wasStranded = false;
            this.lastCheck = undefined;
            this.deps.logger.info({ event: "endpoint-link", state: "direct" });
        }
        await Promise.all(this.takeNext([...this.outOfReach.values()]).map(endpoint => this.probeOne(endpoint)));
        if (!this.wasStranded && this.outOfReach.size === 0) {
            this.stop();
        }
    }

    private async probeOne(endpoint: EndpointEntry): Promise<void> {
        const { endpointId } = endpoint;
        const isListed = this.deps.getEndpoints().some(entry => entry.endpointId === endpointId);
        if (!isListed || await this.deps.canConnect(endpoint)) {
            this.outOfReach.delete(endpointId);
            this.deps.logger.info({ event: "endpoint-link", state: "direct", endpoint: endpointId });
        }
    }

    /** Tries to connect to a few endpoints, other ones each time. */
    private async reachesAnyBut(endpointId: string | undefined): Promise<boolean> {
        const others = this.deps.getEndpoints().filter(entry => entry.endpointId !== endpointId);
        const probes = this.takeNext(others).map(async endpoint => {
            if (!await this.deps.canConnect(endpoint)) {
                throw new Error(`${endpoint.endpointId} can't be reached`);
            }
        });
        return Promise.any(probes).then(() => true, () => false);
    }

    private takeNext(endpoints: readonly EndpointEntry[]): EndpointEntry[] {
        const first = this.nextProbe;
        this.nextProbe += PROBES_AT_ONCE;
        return endpoints.slice(0, PROBES_AT_ONCE)
            .map((_, index) => endpoints[(first + index) % endpoints.length])
            .filter(endpoint => endpoint !== undefined);
    }
}
