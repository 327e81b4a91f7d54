import { sleep } from "../../packages/common/src";
import {
    type Dispatcher,
    type EndpointEntry,
    getTakeoverStartTokens,
    newPlace,
    type PlaceOutcome,
    type PlaceRequest,
    type RateTolerance,
    type RequestEnd,
    TokenBuckets,
} from "../../packages/fleet/src";
import { StaticShares, takeRateToken } from "./staticShares";
import { SERVICE } from "./strategy";

/** One-way delay of a message between two instances, in milliseconds. */
const MESSAGE_DELAY_MS = 1;
/** Time until another instance takes a queue over from one that was killed, in milliseconds: the term of its lease. */
const COORDINATOR_TAKEOVER_MS = 1_800;
const RATE_TOLERANCE: RateTolerance = { windowMs: 5_000, overPart: 0.1, extraRequests: 20 };

/**
 * Base of the strategies in which instances share a queue, or one queue per group of endpoints. One instance keeps each
 * queue; while it is down or out of reach, the other instances place requests in fallback mode. The instance that keeps
 * the first queue enforces the rate limits for all.
 */
export abstract class SharedQueue extends StaticShares {
    private readonly queues = new Map<string, { dispatcher: Dispatcher; isDown: boolean; }>();
    private rates = new TokenBuckets(bounds => bounds, ({ burst }) => burst);
    private entries: readonly EndpointEntry[] = [];

    /** Names of all groups of endpoints; each has a queue. */
    protected abstract readonly groups: readonly string[];

    /** Returns the group to which an endpoint belongs. */
    protected abstract getGroup(entry: EndpointEntry): string;

    /** Chooses the group in whose queue a request waits; may change what the strategy knows of free slots. */
    protected abstract chooseGroup(request: PlaceRequest): string;

    /** Returns the data centre of the instance that keeps a group's queue. */
    protected abstract getQueueDataCentre(group: string): string;

    override async place(request: PlaceRequest): Promise<PlaceOutcome> {
        const group = this.chooseGroup(request);
        const queue = this.getQueue(group);
        if (queue.isDown || this.isCutOff(request.dataCentre, this.getQueueDataCentre(group))) {
            return this.placeInFallbackMode(request);
        }
        this.messageCount += 1;
        await sleep(MESSAGE_DELAY_MS);
        this.messageCount += request.rate !== undefined && group !== this.groups[0] ? 1 : 0;
        const refusal = takeRateToken(this.rates, request);
        if (refusal !== undefined) {
            return refusal;
        }
        const startMs = performance.now();
        const outcome = await queue.dispatcher.place(request);
        const waitedMs = performance.now() - startMs;
        if (outcome.kind === "refused" && outcome.reason === "unavailable") {
            const remainingRequest = {
                ...request,
                usefulForMs: request.usefulForMs - waitedMs,
                giveUpAfterMs: request.giveUpAfterMs - waitedMs,
            };
            return this.placeInFallbackMode({ ...remainingRequest, rate: undefined });
        }
        if (outcome.kind === "placed") {
            this.coordinatedPlaces.set(outcome.placeId, newPlace(request, outcome.placeId, outcome.endpointId));
        }
        return outcome;
    }

    override release(placeId: string, end: RequestEnd): void {
        super.release(placeId, end);
        this.messageCount += this.coordinatedPlaces.has(placeId) ? 1 : 0;
        this.coordinatedPlaces.delete(placeId);
        this.queues.forEach(({ dispatcher }) => dispatcher.release(placeId, end));
    }

    override setEndpoints(entries: readonly EndpointEntry[]): void {
        super.setEndpoints(entries);
        this.entries = entries;
        for (const group of this.groups) {
            this.updateEndpoints(group);
        }
    }

    override killCoordinator(): void {
        const [group] = this.groups;
        if (group === undefined) {
            return;
        }
        const queue = this.getQueue(group);
        queue.isDown = true;
        queue.dispatcher.refuseAll("killed");
        setTimeout(() => this.takeOver(group), COORDINATOR_TAKEOVER_MS);
    }

    override onConditionsChanged(): void {
        super.onConditionsChanged();
        this.queues.forEach(({ dispatcher }) => dispatcher.dispatchAll());
    }

    override refuseWaiting(): void {
        super.refuseWaiting();
        this.queues.forEach(({ dispatcher }) => dispatcher.refuseAll("over"));
    }

    /** Returns the free slots of a group's endpoints; `-Infinity` while its queue is down. */
    protected getFreeSlots(group: string): number {
        const { dispatcher, isDown } = this.getQueue(group);
        return isDown ? -Infinity : dispatcher.getQueueStats(SERVICE).free;
    }

    private takeOver(group: string): void {
        this.queues.delete(group);
        if (group === this.groups[0]) {
            this.rates = new TokenBuckets(bounds => bounds, bounds => getTakeoverStartTokens(bounds, RATE_TOLERANCE));
        }
        const { dispatcher } = this.getQueue(group);
        this.updateEndpoints(group);
        const endpointIds = new Set(
            this.entries.filter(entry => this.getGroup(entry) === group).map(entry => entry.endpointId),
        );
        [...this.coordinatedPlaces.values()].filter(place => endpointIds.has(place.endpointId)).forEach(place =>
            dispatcher.adopt(place)
        );
    }

    private updateEndpoints(group: string): void {
        const { dispatcher } = this.getQueue(group);
        dispatcher.setEndpoints(this.entries.filter(entry => this.getGroup(entry) === group));
    }

    private getQueue(group: string) {
        let queue = this.queues.get(group);
        if (queue === undefined) {
            queue = { dispatcher: this.newDispatcher(entry => this.getSharedSlots(group, entry)), isDown: false };
            this.queues.set(group, queue);
        }
        return queue;
    }

    /**
     * Returns the slots of an endpoint that a group's queue may grant: all but the fallback shares of the instances that
     * it can't reach, which they may use on their own; 0 if it can't reach the endpoint's data centre.
     */
    private getSharedSlots(group: string, entry: EndpointEntry): number {
        const { members, conditions } = this.deps;
        if (this.isCutOff(entry.dataCentre, this.getQueueDataCentre(group))) {
            return 0;
        }
        const unreachableMembers = members.filter(({ instanceId, dataCentre }) =>
            conditions.deadInstances.has(instanceId) || this.isCutOff(dataCentre, this.getQueueDataCentre(group))
        );
        const unreachableIds = new Set(unreachableMembers.map(({ instanceId }) => instanceId));
        return entry.slots - this.shares.sumSlots(entry, unreachableIds);
    }
}
