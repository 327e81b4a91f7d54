import { isResumption } from "../streamLocator";
import type { PlaceRequest } from "../types";
import { type FairEntry, FairLevel, type Headroom } from "./fairLevel";

/**
 * Order in which waiting online requests get places: streams that are resumed before new requests, fair among the
 * organisations within a priority. Between priorities the next request of each competes by its rank, in which a lower
 * priority counts as a later arrival.
 */
export class FairOrder<T extends FairEntry> {
    private resumptions = new FairLevel<T>();
    private levels = new Map<number, FairLevel<T>>();
    private waitingCounts = new Map<string, number>();
    private order: readonly T[] | undefined = [];
    private count = 0;

    /**
     * @param newHeadroom - Returns how much work of each organisation its share covers, given the waiting requests.
     */
    constructor(private readonly newHeadroom: (waiting: ReadonlyMap<string, number>) => Headroom) {}

    /** Number of waiting requests. */
    get size(): number {
        return this.count;
    }

    /** Number of waiting requests by organisation. */
    get countsByOrganisation(): ReadonlyMap<string, number> {
        return this.waitingCounts;
    }

    /** Has the order determined again, after places have been granted or released. */
    invalidate(): void {
        if (this.count > 0) {
            this.order = undefined;
        }
    }

    /**
     * @param entry - A request that waits from now on.
     */
    add(entry: T): void {
        this.getLevel(entry.request).add(entry);
        this.changeCount(entry.request.organisation, 1);
        this.order = undefined;
    }

    /**
     * @param entry - A request that no longer waits.
     * @param isServed - Whether it got a place, so that its work counts towards its organisation's share.
     * @returns Whether it was waiting.
     */
    remove(entry: T, isServed: boolean): boolean {
        const level = this.getLevel(entry.request);
        if (!level.remove(entry, isServed)) {
            return false;
        }
        if (level.size === 0 && level !== this.resumptions) {
            this.levels.delete(entry.request.priority);
        }
        this.changeCount(entry.request.organisation, -1);
        this.order = undefined;
        return true;
    }

    /** @returns All requests in the order in which they are to be served. */
    getOrder(): readonly T[] {
        if (this.order === undefined) {
            const getHeadroom = this.newHeadroom(this.waitingCounts);
            this.order = [
                ...this.resumptions.getOrder(getHeadroom),
                ...mergeByRank([...this.levels.values()].map(level => level.getOrder(getHeadroom))),
            ];
        }
        return this.order;
    }

    /** @returns All requests that waited, in their order; none is left. */
    clear(): readonly T[] {
        const entries = this.getOrder();
        this.resumptions.clear();
        this.levels.clear();
        this.waitingCounts.clear();
        this.order = [];
        this.count = 0;
        return entries;
    }

    /**
     * @param newHeadroom - As for the constructor; of copied shares.
     * @returns A copy, to which requests can be added without effect on this order.
     */
    copy(newHeadroom: (waiting: ReadonlyMap<string, number>) => Headroom): FairOrder<T> {
        const copy = new FairOrder<T>(newHeadroom);
        copy.resumptions = this.resumptions.copy();
        copy.levels = new Map([...this.levels].map(([priority, level]) => [priority, level.copy()]));
        copy.waitingCounts = new Map(this.waitingCounts);
        copy.order = this.order;
        copy.count = this.count;
        return copy;
    }

    private getLevel(request: PlaceRequest): FairLevel<T> {
        if (isResumption(request)) {
            return this.resumptions;
        }
        let level = this.levels.get(request.priority);
        if (level === undefined) {
            level = new FairLevel();
            this.levels.set(request.priority, level);
        }
        return level;
    }

    private changeCount(organisation: string, change: number): void {
        this.count += change;
        const count = (this.waitingCounts.get(organisation) ?? 0) + change;
        if (count > 0) {
            this.waitingCounts.set(organisation, count);
        }
        else {
            this.waitingCounts.delete(organisation);
        }
    }
}

function mergeByRank<T extends FairEntry>(orders: readonly T[][]): T[] {
    const [first] = orders;
    if (orders.length <= 1) {
        return first ?? [];
    }
    const merged: T[] = [];
    const positions = orders.map(() => 0);
    for (;;) {
        let next: T | undefined;
        let nextIndex = -1;
        for (const [index, order] of orders.entries()) {
            const candidate = order[positions[index] as number];
            if (candidate !== undefined && (next === undefined || candidate.rank < next.rank)) {
                next = candidate;
                nextIndex = index;
            }
        }
        if (next === undefined) {
            return merged;
        }
        merged.push(next);
        positions[nextIndex] = (positions[nextIndex] as number) + 1;
    }
}
