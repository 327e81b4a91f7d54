import type { BlockedPrompt } from "@heatherline/common";
import { AgeTracker } from "./ageTracker";
import { applyChanges, ChangeLog, type ListChanges } from "./changeLog";
import { EndpointRegistry, type LapsedEndpoint } from "./endpointRegistry";
import { FallbackShares } from "./fallbackShares";
import { JoinedEndpoints } from "./rollouts/joinedEndpoints";
import type { RolloutOrder, RolloutRecord } from "./rollouts/types";
import { RouteTable } from "./routeTable";
import { SoftwareVersions } from "./softwareVersions";
import type { EndpointEntry, MemberEntry, RoutingConfig } from "./types";

/** A part of the fleet view, with the store revision at which it was read. */
export interface Versioned<Value> {
    readonly revision: number;
    readonly value: Value;
}

/** Update of the fleet view that one instance sends another; absent parts are unknown or unchanged. */
export interface FleetUpdate {
    readonly config?: Versioned<RoutingConfig>;
    readonly endpoints?: Versioned<readonly EndpointEntry[]>;
    /** Endpoints that the sender still uses although the store no longer lists them. */
    readonly lapsedEndpoints?: readonly LapsedEndpoint[];
    readonly evacuated?: Versioned<readonly string[]>;
    readonly members?: Versioned<readonly MemberEntry[]>;
    readonly blockedPrompts?: Versioned<readonly BlockedPrompt[]>;
    /** Absent where roll-outs are off, and from instances of earlier releases; so are the records. */
    readonly rolloutOrders?: Versioned<readonly RolloutOrder[]>;
    readonly rolloutRecords?: Versioned<readonly RolloutRecord[]>;
    /** In place of `endpoints` and `members` for an instance that accepts changes. */
    readonly endpointChanges?: ListChanges<EndpointEntry>;
    readonly memberChanges?: ListChanges<MemberEntry>;
    /** Age of the configuration at the sender, in milliseconds. */
    readonly configAgeMs: number;
    /** Age of the list of endpoints at the sender, in milliseconds; absent from instances of earlier releases. */
    readonly endpointsAgeMs?: number;
}

/** Revisions of the parts that an instance has; 0 for a part that it doesn't have. */
export interface KnownRevisions {
    readonly config: number;
    readonly endpoints: number;
    readonly evacuated: number;
    readonly members: number;
    /** Absent from instances of earlier releases. */
    readonly blockedPrompts?: number;
    /** Absent from instances of earlier releases; so is that of the records. */
    readonly rolloutOrders?: number;
    readonly rolloutRecords?: number;
    /** Whether the instance accepts changes of a list in place of the whole one. */
    readonly acceptsChanges?: boolean;
}

/** Part of the fleet view whose changes listeners are notified of. */
export type ViewPart =
    | "config"
    | "endpoints"
    | "evacuated"
    | "members"
    | "blockedPrompts"
    | "rolloutOrders"
    | "rolloutRecords";

/** Parts whose changes other instances need at once; those of registered instances can wait for the next message. */
const URGENT_PARTS = [
    "config",
    "endpoints",
    "evacuated",
    "rolloutOrders",
    "rolloutRecords",
] as const satisfies readonly ViewPart[];

/** Larger ages are sent as this one, since JSON has no infinity; in milliseconds. */
const MAX_AGE_MS = 3_600_000;

/**
 * What this instance knows of the fleet, read from the store or received from another instance. Newer revisions
 * replace older ones, and the version of the configuration never decreases.
 */
export class FleetView {
    /** Which software versions have served lately. */
    readonly softwareVersions = new SoftwareVersions();
    private routeTable: RouteTable | undefined;
    private readonly revisions: Record<ViewPart, number> = {
        config: 0,
        endpoints: 0,
        evacuated: 0,
        members: 0,
        blockedPrompts: 0,
        rolloutOrders: 0,
        rolloutRecords: 0,
    };
    private readonly registry = new EndpointRegistry();
    private readonly configAge = new AgeTracker();
    private listedEndpoints: readonly EndpointEntry[] = [];
    private evacuatedDataCentres: ReadonlySet<string> = new Set();
    private memberEntries: readonly MemberEntry[] = [];
    private blocked: readonly BlockedPrompt[] = [];
    private orders: readonly RolloutOrder[] = [];
    private records: readonly RolloutRecord[] = [];
    /** Absent where roll-outs are off, since nobody reads orders then. */
    private readonly joinedEndpoints: JoinedEndpoints | undefined;
    private shares = new FallbackShares([]);
    private readonly endpointLog = new ChangeLog<EndpointEntry>(getEndpointId);
    private readonly memberLog = new ChangeLog<MemberEntry>(getMemberId);
    private readonly listeners: ((part: ViewPart) => void)[] = [];

    /**
     * @param endpointRenewalMs - How often an endpoint renews its registration, in milliseconds.
     * @param hasRollouts - Whether operators may order roll-outs.
     */
    constructor(private readonly endpointRenewalMs: number, hasRollouts = false) {
        this.joinedEndpoints = hasRollouts ? new JoinedEndpoints() : undefined;
    }

    /** Routes of the active configuration, if one is known. */
    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Registered instances. */
    get members(): readonly MemberEntry[] {
        return this.memberEntries;
    }

    /** Registered instances with the revision of their list. */
    get versionedMembers(): Versioned<readonly MemberEntry[]> {
        return { revision: this.revisions.members, value: this.memberEntries };
    }

    /** How slots and rates are divided among the registered instances while there is no coordinator. */
    get fallbackShares(): FallbackShares {
        return this.shares;
    }

    /** Evacuated data centres, whose endpoints are sent no requests. */
    get evacuated(): ReadonlySet<string> {
        return this.evacuatedDataCentres;
    }

    /** Parts of prompts that crash endpoints, as far as the store lists them. */
    get blockedPrompts(): readonly BlockedPrompt[] {
        return this.blocked;
    }

    /** Orders to move services to other software versions, as far as this instance knows them. */
    get rolloutOrders(): readonly RolloutOrder[] {
        return this.orders;
    }

    /** What has become of the orders, as far as this instance knows. */
    get rolloutRecords(): readonly RolloutRecord[] {
        return this.records;
    }

    /** Whether endpoints wait for the orders to be read. */
    get isWaitingForOrders(): boolean {
        return this.joinedEndpoints?.hasHeld === true;
    }

    /** @returns The endpoints in use, including lapsed ones that are still used. */
    getEndpoints(): EndpointEntry[] {
        const { joinedEndpoints } = this;
        const entries = this.registry.getEntries();
        return joinedEndpoints === undefined ? entries : entries.filter(entry => !joinedEndpoints.isHeld(entry));
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Its entry, if it is listed or still used; whoever grants places there has read the orders.
     */
    getEndpoint(endpointId: string): EndpointEntry | undefined {
        return this.registry.get(endpointId);
    }

    /** @returns Ids of endpoints that are still used although the store no longer lists them. */
    getLapsedIds(): string[] {
        return this.registry.getLapsed().map(({ entry }) => entry.endpointId);
    }

    /** @returns Milliseconds since the configuration was last known to be current. */
    getConfigAgeMs(): number {
        return this.configAge.getAgeMs();
    }

    /**
     * @param listener - Called after a part of the view has changed.
     */
    onChange(listener: (part: ViewPart) => void): void {
        this.listeners.push(listener);
    }

    /** @returns The revisions of all parts. */
    getRevisions(): KnownRevisions {
        return { ...this.revisions, acceptsChanges: true };
    }

    /**
     * @param ageMs - How long ago the known configuration was current.
     */
    markConfigCurrent(ageMs: number): void {
        this.configAge.markCurrent(ageMs);
    }

    /**
     * @param ageMs - How long ago the known list of endpoints was current.
     */
    markEndpointsCurrent(ageMs: number): void {
        this.softwareVersions.markCurrent(ageMs);
    }

    /**
     * Records that the store is reachable again; to be called before its new list of endpoints is applied.
     *
     * @param outageMs - Length of the outage in milliseconds.
     */
    recordStoreRecovery(outageMs: number): void {
        this.registry.recordStoreRecovery(outageMs);
    }

    /**
     * @param config - A configuration.
     */
    applyConfig(config: Versioned<RoutingConfig>): void {
        if (config.revision <= this.revisions.config) {
            return;
        }
        this.revisions.config = config.revision;
        if (config.value.version > (this.routeTable?.config.version ?? -1)) {
            this.routeTable = new RouteTable(config.value);
            this.softwareVersions.setStreamMs(this.routeTable.longestStreamMs);
            this.notify("config");
        }
    }

    /**
     * @param endpoints - All registered endpoints.
     * @param lapsed - Endpoints that are still used although they are no longer registered.
     */
    applyEndpoints(endpoints: Versioned<readonly EndpointEntry[]>, lapsed: readonly LapsedEndpoint[] = []): void {
        if (endpoints.revision > this.revisions.endpoints) {
            this.revisions.endpoints = endpoints.revision;
            this.listedEndpoints = endpoints.value;
            this.endpointLog.replaceAll(endpoints.value, endpoints.revision);
            this.registry.replaceAll(endpoints.value, this.endpointRenewalMs);
            this.registry.keepLapsed(lapsed);
            this.softwareVersions.setEndpoints(this.registry.getEntries());
            this.joinedEndpoints?.setEndpoints(this.registry.getEntries(), endpoints.revision);
            this.notify("endpoints");
        }
    }

    /**
     * @param evacuated - Evacuated data centres.
     */
    applyEvacuated(evacuated: Versioned<readonly string[]>): void {
        if (evacuated.revision > this.revisions.evacuated) {
            this.revisions.evacuated = evacuated.revision;
            this.evacuatedDataCentres = new Set(evacuated.value);
            this.notify("evacuated");
        }
    }

    /**
     * @param members - All registered instances.
     */
    applyMembers(members: Versioned<readonly MemberEntry[]>): void {
        if (members.revision > this.revisions.members) {
            this.revisions.members = members.revision;
            this.memberEntries = members.value;
            this.memberLog.replaceAll(members.value, members.revision);
            this.shares = new FallbackShares(members.value);
            this.notify("members");
        }
    }

    /**
     * @param blockedPrompts - All blocks of prompts.
     */
    applyBlockedPrompts(blockedPrompts: Versioned<readonly BlockedPrompt[]>): void {
        const isChanged = JSON.stringify(blockedPrompts.value) !== JSON.stringify(this.blocked);
        if (isChanged && blockedPrompts.revision > this.revisions.blockedPrompts) {
            this.revisions.blockedPrompts = blockedPrompts.revision;
            this.blocked = blockedPrompts.value;
            this.notify("blockedPrompts");
        }
    }

    /**
     * @param orders - All orders.
     */
    applyRolloutOrders(orders: Versioned<readonly RolloutOrder[]>): void {
        if (orders.revision <= this.revisions.rolloutOrders) {
            return;
        }
        const wasWaiting = this.isWaitingForOrders;
        const isChanged = JSON.stringify(orders.value) !== JSON.stringify(this.orders);
        this.revisions.rolloutOrders = orders.revision;
        this.orders = orders.value;
        this.joinedEndpoints?.setOrdersRevision(orders.revision);
        if (isChanged || wasWaiting !== this.isWaitingForOrders) {
            this.notify("rolloutOrders");
        }
    }

    /**
     * @param records - What has become of the orders.
     */
    applyRolloutRecords(records: Versioned<readonly RolloutRecord[]>): void {
        const isChanged = JSON.stringify(records.value) !== JSON.stringify(this.records);
        if (isChanged && records.revision > this.revisions.rolloutRecords) {
            this.revisions.rolloutRecords = records.revision;
            this.records = records.value;
            this.notify("rolloutRecords");
        }
    }

    /**
     * @param known - Revisions that another instance has.
     * @returns The update that it needs.
     */
    newUpdateFor(known: KnownRevisions): FleetUpdate {
        const { revisions } = this;
        const config = this.routeTable?.config;
        return {
            configAgeMs: Math.min(MAX_AGE_MS, this.getConfigAgeMs()),
            endpointsAgeMs: Math.min(MAX_AGE_MS, this.softwareVersions.listAgeMs),
            ...config !== undefined && revisions.config > known.config
                ? { config: { revision: revisions.config, value: config } }
                : {},
            ...revisions.endpoints > known.endpoints ? this.newEndpointsUpdate(known) : {},
            ...revisions.evacuated > known.evacuated
                ? { evacuated: { revision: revisions.evacuated, value: [...this.evacuatedDataCentres] } }
                : {},
            ...revisions.members > known.members ? this.newMembersUpdate(known) : {},
            ...revisions.blockedPrompts > (known.blockedPrompts ?? Infinity)
                ? { blockedPrompts: { revision: revisions.blockedPrompts, value: this.blocked } }
                : {},
            ...revisions.rolloutOrders > (known.rolloutOrders ?? Infinity)
                ? { rolloutOrders: { revision: revisions.rolloutOrders, value: this.orders } }
                : {},
            ...revisions.rolloutRecords > (known.rolloutRecords ?? Infinity)
                ? { rolloutRecords: { revision: revisions.rolloutRecords, value: this.records } }
                : {},
        };
    }

    private newEndpointsUpdate({ endpoints, acceptsChanges }: KnownRevisions): Partial<FleetUpdate> {
        const lapsedEndpoints = this.registry.getLapsed();
        const endpointChanges = acceptsChanges === true ? this.endpointLog.getChangesSince(endpoints) : undefined;
        return endpointChanges === undefined
            ? { endpoints: { revision: this.revisions.endpoints, value: this.listedEndpoints }, lapsedEndpoints }
            : { endpointChanges, lapsedEndpoints };
    }

    private newMembersUpdate({ members, acceptsChanges }: KnownRevisions): Partial<FleetUpdate> {
        const memberChanges = acceptsChanges === true ? this.memberLog.getChangesSince(members) : undefined;
        return memberChanges === undefined
            ? { members: { revision: this.revisions.members, value: this.memberEntries } }
            : { memberChanges };
    }

    /**
     * @param known - Revisions that another instance has.
     * @returns Whether a part of them is outdated that the instance needs at once.
     */
    hasUrgentUpdateFor(known: KnownRevisions): boolean {
        return URGENT_PARTS.some(part => this.revisions[part] > (known[part] ?? Infinity));
    }

    /**
     * Applies an update from another instance.
     *
     * @param update - The update.
     * @param transitMs - Longest time that the update may have been in transit.
     */
    applyUpdate(update: FleetUpdate, transitMs: number): void {
        if (update.config !== undefined) {
            this.applyConfig(update.config);
        }
        // Before the endpoints, so that none is used of which an order in the same update is not known.
        if (update.rolloutOrders !== undefined) {
            this.applyRolloutOrders(update.rolloutOrders);
        }
        if (update.rolloutRecords !== undefined) {
            this.applyRolloutRecords(update.rolloutRecords);
        }
        if (update.endpoints !== undefined) {
            this.applyEndpoints(update.endpoints, update.lapsedEndpoints);
        }
        if (update.evacuated !== undefined) {
            this.applyEvacuated(update.evacuated);
        }
        if (update.members !== undefined) {
            this.applyMembers(update.members);
        }
        if (update.blockedPrompts !== undefined) {
            this.applyBlockedPrompts(update.blockedPrompts);
        }
        this.applyListChanges(update);
        if (this.routeTable !== undefined) {
            this.markConfigCurrent(update.configAgeMs + transitMs);
        }
        if (this.revisions.endpoints >= (update.endpointChanges?.revision ?? 0)) {
            this.markEndpointsCurrent((update.endpointsAgeMs ?? update.configAgeMs) + transitMs);
        }
    }

    /** Changes of a list that this instance doesn't have at their first revision are ignored; the whole list follows. */
    private applyListChanges({ endpointChanges, memberChanges, lapsedEndpoints }: FleetUpdate): void {
        if (endpointChanges !== undefined && endpointChanges.since <= this.revisions.endpoints) {
            const value = applyChanges(this.listedEndpoints, endpointChanges, getEndpointId);
            this.applyEndpoints({ revision: endpointChanges.revision, value }, lapsedEndpoints);
        }
        if (memberChanges !== undefined && memberChanges.since <= this.revisions.members) {
            const value = applyChanges(this.memberEntries, memberChanges, getMemberId);
            this.applyMembers({ revision: memberChanges.revision, value });
        }
    }

    /** Drops lapsed endpoints whose time is over, and notifies listeners if there were any lapsed ones. */
    dropLapsedEndpoints(): void {
        if (this.registry.hasLapsed) {
            this.registry.getEntries();
            this.notify("endpoints");
        }
    }

    private notify(part: ViewPart): void {
        for (const listener of this.listeners) {
            listener(part);
        }
    }
}

function getEndpointId({ endpointId }: EndpointEntry): string {
    return endpointId;
}

function getMemberId({ instanceId }: MemberEntry): string {
    return instanceId;
}
