import {
    type DataCentreAgreement,
    LEASE_TERM_MS,
    type MemberTable,
    OwnershipTracker,
    type PeerTransport,
} from "@heatherline/agreement";
import type { ConfigReplica, EndpointSpec } from "@heatherline/config";
import {
    CREDIT_TTL_MS,
    type CreditDemand,
    type CreditGrant,
    type CreditProvider,
    EndpointCreditAllocator,
    getEndpointKey,
    getFallbackCredits,
} from "@heatherline/serving";
import type { OwnerLocator } from "./ownerLocator";

const REQUEST_TIMEOUT_MS = 600;
const HINT_TIMEOUT_MS = 600;

/** An instance's demand for credits at one endpoint, as sent to the endpoint's owner. */
export interface CreditEntry {
    readonly endpoint: string;
    readonly demand: CreditDemand;
}

/** The owner's grant of credits at one endpoint, as sent to the instance that asked. */
export interface GrantEntry {
    readonly endpoint: string;
    readonly grant: CreditGrant;
}

/** Parts of the daemon that the credit provider uses. */
export interface CreditProviderDependencies {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly agreement: DataCentreAgreement;
    readonly locator: OwnerLocator;
    readonly transport: PeerTransport;
    readonly replica: ConfigReplica;
    /** Called when this instance should request credits again. */
    readonly onHint: () => void;
}

/**
 * Requests credits at endpoints from the instances that own the endpoints, and grants credits at the endpoints that
 * this instance owns.
 */
export class DistributedCreditProvider implements CreditProvider {
    /** Tells for which endpoints this instance may grant credits. Waits until an earlier owner's credits have expired. */
    private readonly ownership: OwnershipTracker;
    /** Tells for which endpoints this instance may send orders. Waits for a lease term after an earlier owner. */
    private readonly orderOwnership: OwnershipTracker;
    private readonly allocators = new Map<string, EndpointCreditAllocator>();
    private readonly pendingHints = new Set<string>();

    /**
     * @param dependencies - Parts of the daemon that the provider uses.
     */
    constructor(private readonly dependencies: CreditProviderDependencies) {
        this.ownership = new OwnershipTracker(dependencies.agreement, dependencies.instanceId, CREDIT_TTL_MS);
        this.orderOwnership = new OwnershipTracker(dependencies.agreement, dependencies.instanceId, LEASE_TERM_MS);
    }

    /**
     * Must be called before a new member table becomes active.
     *
     * @param table - The new table.
     */
    addTable(table: MemberTable): void {
        this.ownership.addTable(table);
        this.orderOwnership.addTable(table);
    }

    /**
     * Records that no member uses an older table any more.
     *
     * @param version - Version of the table that all members use.
     */
    markSettled(version: number): void {
        this.ownership.markSettled(version);
        this.orderOwnership.markSettled(version);
    }

    /**
     * @param endpoint - An endpoint.
     * @returns Fencing token for orders to the endpoint; `undefined` if this instance doesn't own the endpoint, or while
     * an earlier owner may still send orders.
     */
    getFencingToken(endpoint: string): number | undefined {
        if (this.findSpec(endpoint)?.dataCentre !== this.dependencies.dataCentre) {
            return undefined;
        }
        const isReady = this.orderOwnership.check(getSubject(endpoint)).kind === "ready";
        return isReady ? this.dependencies.agreement.getActiveTable()?.version : undefined;
    }

    async request(demands: ReadonlyMap<string, CreditDemand>): Promise<ReadonlyMap<string, CreditGrant>> {
        const byOwner = await this.groupByOwner(demands);
        const grants = new Map<string, CreditGrant>();
        await Promise.all([...byOwner].map(async ([owner, entries]) => {
            for (const { endpoint, grant } of await this.requestFromOwner(owner, entries)) {
                grants.set(endpoint, grant);
            }
        }));
        return grants;
    }

    getFallbackCredits(endpoint: string, lastGrant: CreditGrant | undefined): number {
        const spec = this.findSpec(endpoint);
        const table = this.dependencies.agreement.getNewestTable();
        if (spec === undefined || table === undefined || spec.dataCentre !== this.dependencies.dataCentre) {
            return 0;
        }
        const isWarm = lastGrant?.isWarm === true;
        if (!isWarm && this.dependencies.agreement.getActiveTable() === undefined) {
            // A newer table may no longer contain this instance, and its fallback credits may have been granted to others.
            return 0;
        }
        const limit = isWarm ? lastGrant.limit : spec.coldConcurrency;
        return getFallbackCredits(endpoint, limit, table.members, this.dependencies.instanceId);
    }

    /**
     * Decides about demands as owner.
     *
     * @param entries - Demands of another instance or of this one.
     * @returns Grants for those of the endpoints that this instance may decide about now.
     */
    handleCreditRequest(entries: readonly CreditEntry[]): GrantEntry[] {
        return entries.flatMap(({ endpoint, demand }) => {
            const allocator = this.getAllocator(endpoint, demand.knownLimit);
            const members = this.dependencies.agreement.getActiveTable()?.members ?? [];
            return allocator === undefined ? [] : [{ endpoint, grant: allocator.grant(demand, members) }];
        });
    }

    private async groupByOwner(demands: ReadonlyMap<string, CreditDemand>): Promise<Map<string, CreditEntry[]>> {
        const byOwner = new Map<string, CreditEntry[]>();
        for (const [endpoint, demand] of demands) {
            const dataCentre = this.findSpec(endpoint)?.dataCentre;
            const owner = dataCentre === undefined
                ? undefined
                : await this.dependencies.locator.getOwner(dataCentre, getSubject(endpoint));
            if (owner !== undefined) {
                byOwner.set(owner, [...byOwner.get(owner) ?? [], { endpoint, demand }]);
            }
        }
        return byOwner;
    }

    private async requestFromOwner(owner: string, entries: CreditEntry[]): Promise<GrantEntry[]> {
        if (owner === this.dependencies.instanceId) {
            return this.handleCreditRequest(entries);
        }
        const reply = await this.dependencies.transport.call<GrantEntry[]>(
            owner,
            "credits.request",
            { entries },
            REQUEST_TIMEOUT_MS,
        );
        return reply.unwrapOr([]);
    }

    private getAllocator(endpoint: string, knownLimit: number): EndpointCreditAllocator | undefined {
        const spec = this.findSpec(endpoint);
        if (spec === undefined || this.ownership.check(getSubject(endpoint)).kind !== "ready") {
            this.allocators.delete(endpoint);
            return undefined;
        }
        let allocator = this.allocators.get(endpoint);
        if (allocator === undefined) {
            allocator = new EndpointCreditAllocator(
                endpoint,
                spec,
                knownLimit,
                instanceId => this.sendHint(instanceId),
            );
            this.allocators.set(endpoint, allocator);
        }
        allocator.warmUpLimiter.setBounds(spec);
        return allocator;
    }

    private sendHint(instanceId: string): void {
        if (instanceId === this.dependencies.instanceId) {
            this.dependencies.onHint();
            return;
        }
        if (this.pendingHints.has(instanceId)) {
            return;
        }
        this.pendingHints.add(instanceId);
        setImmediate(() => {
            this.pendingHints.delete(instanceId);
            void this.dependencies.transport.call(instanceId, "credits.hint", {}, HINT_TIMEOUT_MS);
        });
    }

    private findSpec(endpoint: string): EndpointSpec | undefined {
        const name = endpoint.split("/")[0];
        const service = this.dependencies.replica.getServices().find(other => other.service === name);
        return service?.endpoints.find(spec => getEndpointKey(service.service, spec) === endpoint);
    }
}

function getSubject(endpoint: string): string {
    return `endpoint/${endpoint}`;
}
