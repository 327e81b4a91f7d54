import {
    DataCentreScope,
    type Dispatcher,
    type EndpointEntry,
    FleetView,
    type PlaceOutcome,
    type PlaceRequest,
    type RequestEnd,
} from "../../packages/fleet/src";
import { SharedQueue } from "./sharedQueue";
import { StaticShares, takeRateToken } from "./staticShares";
import type { NewPlacementStrategy, PlacementDependencies } from "./strategy";

const ENDPOINT_RENEWAL_MS = 1_200;

interface Deputy {
    readonly scope: DataCentreScope;
    readonly dispatcher: Dispatcher;
}

/** How often an instance learns from the endpoints' owners how many slots are free, in milliseconds. */
const CREDIT_REFRESH_INTERVAL_MS = 500;
const SINGLE_GROUP = "all";

/** One coordinator keeps one queue for all instances and all endpoints; without it each instance decides alone. */
export class OneQueue extends SharedQueue {
    override readonly name: string = "one queue";
    protected readonly groups = [SINGLE_GROUP];

    protected getGroup(): string {
        return SINGLE_GROUP;
    }

    protected chooseGroup(): string {
        return SINGLE_GROUP;
    }

    protected getQueueDataCentre(): string {
        return this.deps.members[0]?.dataCentre ?? "";
    }
}

/**
 * One coordinator keeps one queue, as the product does. Instances that don't reach it request places from the deputy of
 * their data centre.
 */
export class OneQueueWithDeputies extends OneQueue {
    override readonly name = "one queue, deputies";
    private readonly deputies: ReadonlyMap<string, Deputy>;

    constructor(deps: PlacementDependencies) {
        super(deps);
        const dataCentres = [...new Set(deps.members.map(({ dataCentre }) => dataCentre))];
        this.deputies = new Map(dataCentres.map(dataCentre => [dataCentre, this.newDeputy(dataCentre)]));
    }

    override release(placeId: string, end: RequestEnd): void {
        super.release(placeId, end);
        this.deputies.forEach(({ dispatcher }) => dispatcher.release(placeId, end));
    }

    override setEndpoints(entries: readonly EndpointEntry[]): void {
        super.setEndpoints(entries);
        this.deputies.forEach(({ dispatcher }) => dispatcher.setEndpoints(entries));
    }

    override refuseWaiting(): void {
        super.refuseWaiting();
        this.deputies.forEach(({ dispatcher }) => dispatcher.refuseAll("over"));
    }

    protected override async placeInFallbackMode(request: PlaceRequest): Promise<PlaceOutcome> {
        const deputy = this.deputies.get(request.dataCentre);
        const deputyId = this.shares.getDeputy(request.dataCentre)?.instanceId ?? "";
        if (deputy === undefined || this.deps.conditions.deadInstances.has(deputyId)) {
            return super.placeInFallbackMode(request);
        }
        this.messageCount += 1;
        this.adoptCoordinatedPlaces(deputy.dispatcher, request.dataCentre);
        return takeRateToken(deputy.scope.tokenBuckets, request) ?? deputy.dispatcher.place(request);
    }

    private newDeputy(dataCentre: string): Deputy {
        const view = new FleetView(ENDPOINT_RENEWAL_MS);
        view.applyMembers({ revision: 1, value: this.deps.members });
        const scope = new DataCentreScope(view, dataCentre);
        return { scope, dispatcher: this.newDispatcher(entry => scope.getCapacity(entry)) };
    }

    private adoptCoordinatedPlaces(dispatcher: Dispatcher, dataCentre: string): void {
        const memberIds = new Set(
            this.deps.members.filter(member => member.dataCentre === dataCentre).map(({ instanceId }) => instanceId),
        );
        for (const place of this.coordinatedPlaces.values()) {
            if (memberIds.has(place.instanceId)) {
                dispatcher.adopt(place);
            }
        }
    }
}

/** A coordinator in each data centre keeps a queue for the instances and endpoints of that data centre. */
export class QueuePerDataCentre extends SharedQueue {
    override readonly name = "a queue a data centre";

    protected get groups(): readonly string[] {
        return [...new Set(this.deps.members.map(({ dataCentre }) => dataCentre))];
    }

    protected getGroup({ dataCentre }: EndpointEntry): string {
        return dataCentre;
    }

    protected chooseGroup({ dataCentre }: PlaceRequest): string {
        return dataCentre;
    }

    protected getQueueDataCentre(group: string): string {
        return group;
    }
}

/**
 * Each endpoint has an owner, which keeps its queue. Instances choose the endpoint that had the most free slots when
 * they last asked its owner.
 */
export class OwnerCredits extends SharedQueue {
    override readonly name = "credits of owners";
    private readonly freeSlotsCache = new Map<string, { free: Map<string, number>; atMs: number; }>();
    private endpointEntries: readonly EndpointEntry[] = [];

    protected get groups(): readonly string[] {
        return this.getEndpointIds();
    }

    protected getGroup({ endpointId }: EndpointEntry): string {
        return endpointId;
    }

    protected chooseGroup({ instanceId, dataCentre, excluded }: PlaceRequest): string {
        const free = this.getFreeSlotsByOwner(instanceId);
        const [best] = [...free.entries()]
            .filter(([endpointId]) =>
                !excluded.includes(endpointId) && !this.isCutOff(this.getQueueDataCentre(endpointId), dataCentre)
            )
            .sort((left, right) => right[1] - left[1]);
        if (best === undefined) {
            return this.groups[0] ?? "";
        }
        // The instance's own requests count at once, before the next refresh.
        free.set(best[0], best[1] - 1);
        return best[0];
    }

    protected getQueueDataCentre(group: string): string {
        return this.getEndpointDataCentre(group);
    }

    private getFreeSlotsByOwner(instanceId: string): Map<string, number> {
        const cached = this.freeSlotsCache.get(instanceId);
        if (cached !== undefined && performance.now() - cached.atMs < CREDIT_REFRESH_INTERVAL_MS) {
            return cached.free;
        }
        const endpointIds = this.groups;
        this.messageCount += endpointIds.length;
        const free = new Map(endpointIds.map(group => [group, this.getFreeSlots(group)]));
        this.freeSlotsCache.set(instanceId, { free, atMs: performance.now() });
        return free;
    }

    override setEndpoints(entries: readonly EndpointEntry[]): void {
        this.endpointEntries = entries;
        this.freeSlotsCache.clear();
        super.setEndpoints(entries);
    }

    private getEndpointIds(): string[] {
        return this.endpointEntries.map(({ endpointId }) => endpointId);
    }

    private getEndpointDataCentre(endpointId: string): string {
        return this.endpointEntries.find(entry => entry.endpointId === endpointId)?.dataCentre ?? "";
    }
}

/** All strategies; the product's is the last. */
export const STRATEGIES: readonly NewPlacementStrategy[] = [
    deps => new StaticShares(deps),
    deps => new OwnerCredits(deps),
    deps => new QueuePerDataCentre(deps),
    deps => new OneQueue(deps),
    deps => new OneQueueWithDeputies(deps),
];
