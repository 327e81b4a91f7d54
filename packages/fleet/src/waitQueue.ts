import { FairOrder } from "./fairQueue/fairOrder";
import type { FairShares } from "./fairQueue/fairShares";
import type { PlaceOutcome, PlaceRequest } from "./types";

/** A place request in the queue. */
export interface Waiter {
    readonly request: PlaceRequest;
    readonly settle: (outcome: PlaceOutcome) => void;
    /** Order among the online requests of an organisation, or among batch items; the lowest is served first. */
    readonly rank: number;
    /** Online: work in mean requests. */
    readonly work: number;
    /** Online: time until which a place still meets the latency objective. */
    readonly usefulUntilMs: number;
    /** Batch: latest time at which the item must get its place to be finished in time. */
    readonly startByMs: number;
    /** Online: the wait that was forecast on arrival, in milliseconds. */
    expectedWaitMs: number;
    readonly timers: NodeJS.Timeout[];
}

/** Waiting place requests of one service: a queue of online requests and one of batch items. */
export class WaitQueue {
    private online: FairOrder<Waiter>;
    private batch: Waiter[] = [];
    private lateBatch: Waiter[] = [];

    /**
     * @param shares - The organisations' shares of the service's places.
     */
    constructor(shares: FairShares) {
        this.online = new FairOrder(waiting => shares.newHeadroom(waiting));
    }

    /**
     * @param shares - A copy of the shares.
     * @returns A copy, to which requests can be added without effect on this queue.
     */
    copy(shares: FairShares): WaitQueue {
        const copy = new WaitQueue(shares);
        copy.online = this.online.copy(waiting => shares.newHeadroom(waiting));
        copy.batch = [...this.batch];
        copy.lateBatch = [...this.lateBatch];
        return copy;
    }

    /** Has the order of online requests determined again, after places have been granted or released. */
    invalidateOrder(): void {
        this.online.invalidate();
    }

    /** Number of waiting online requests. */
    get onlineCount(): number {
        return this.online.size;
    }

    /** Number of waiting online requests by organisation. */
    get onlineCounts(): ReadonlyMap<string, number> {
        return this.online.countsByOrganisation;
    }

    /** Number of waiting batch items. */
    get batchCount(): number {
        return this.batch.length + this.lateBatch.length;
    }

    /**
     * @param waiter - A request to add to the queue.
     */
    add(waiter: Waiter): void {
        if (waiter.request.workClass === "online") {
            this.online.add(waiter);
        }
        else {
            insertByRank(this.batch, waiter);
        }
    }

    /**
     * @param waiter - A request to remove from the queue.
     * @param isServed - Whether it gets a place, which counts towards its organisation's share.
     * @returns Whether it was waiting.
     */
    remove(waiter: Waiter, isServed = false): boolean {
        return this.online.remove(waiter, isServed)
            || [this.batch, this.lateBatch].some(waiters => removeFrom(waiters, waiter));
    }

    /**
     * @param askId - Id of a place request.
     * @returns The waiting request with this id, if any.
     */
    find(askId: string): Waiter | undefined {
        const isRequested = ({ request }: Waiter) => request.askId === askId;
        return this.online.getOrder().find(isRequested) ?? this.batch.find(isRequested) ??
            this.lateBatch.find(isRequested);
    }

    /**
     * @param waiter - A waiting online request.
     * @returns Number of online requests that are to be served before it, without those that arrived together with it.
     */
    countOnlineBefore(waiter: Waiter): number {
        const order = this.online.getOrder();
        let position = order.indexOf(waiter);
        while (order[position - 1]?.rank === waiter.rank) {
            position -= 1;
        }
        return position;
    }

    /** @returns Online requests in the order in which they get places: those that can still be in time first. */
    getOnline(): readonly Waiter[] {
        const nowMs = performance.now();
        const waiters = this.online.getOrder();
        const inTime = waiters.filter(({ usefulUntilMs }) => nowMs <= usefulUntilMs);
        return inTime.length === waiters.length
            ? inTime
            : [...inTime, ...waiters.filter(({ usefulUntilMs }) => nowMs > usefulUntilMs)];
    }

    /** @returns Batch items in the order in which they get places: those that can still be in time first. */
    getBatch(): Waiter[] {
        const nowMs = performance.now();
        for (const waiter of this.batch.filter(({ startByMs }) => startByMs < nowMs)) {
            removeFrom(this.batch, waiter);
            insertByRank(this.lateBatch, waiter);
        }
        return [...this.batch, ...this.lateBatch];
    }

    /** @returns All requests that waited; the queue is empty afterwards. */
    clear(): Waiter[] {
        return [...this.online.clear(), ...[this.batch, this.lateBatch].flatMap(waiters => waiters.splice(0))];
    }
}

/**
 * Decides on a request that waited.
 *
 * @param waiter - The request, which is no longer in the queue.
 * @param outcome - The decision.
 */
export function settle(waiter: Waiter, outcome: PlaceOutcome): void {
    for (const timer of waiter.timers) {
        clearTimeout(timer);
    }
    waiter.settle(outcome);
}

function insertByRank(waiters: Waiter[], waiter: Waiter): void {
    let low = 0;
    let high = waiters.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((waiters[middle] as Waiter).rank <= waiter.rank) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    waiters.splice(low, 0, waiter);
}

function removeFrom(waiters: Waiter[], waiter: Waiter): boolean {
    const position = waiters.indexOf(waiter);
    if (position >= 0) {
        waiters.splice(position, 1);
    }
    return position >= 0;
}
