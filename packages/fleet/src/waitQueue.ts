import type { PlaceOutcome, PlaceRequest } from "./types";

/** A place request in the queue. */
export interface Waiter {
    readonly request: PlaceRequest;
    readonly settle: (outcome: PlaceOutcome) => void;
    /** Order among online requests, or among batch items; the lowest is served first. */
    readonly rank: number;
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
    private readonly online: Waiter[] = [];
    private readonly batch: Waiter[] = [];
    private readonly lateBatch: Waiter[] = [];

    /** Number of waiting online requests. */
    get onlineCount(): number {
        return this.online.length;
    }

    /** Number of waiting batch items. */
    get batchCount(): number {
        return this.batch.length + this.lateBatch.length;
    }

    /**
     * @param waiter - A request to add to the queue.
     */
    add(waiter: Waiter): void {
        insertByRank(waiter.request.workClass === "online" ? this.online : this.batch, waiter);
    }

    /**
     * @param waiter - A request to remove from the queue.
     * @returns Whether it was waiting.
     */
    remove(waiter: Waiter): boolean {
        return [this.online, this.batch, this.lateBatch].some(waiters => removeFrom(waiters, waiter));
    }

    /**
     * @param askId - Id of a place request.
     * @returns The waiting request with this id, if any.
     */
    find(askId: string): Waiter | undefined {
        const isRequested = ({ request }: Waiter) => request.askId === askId;
        return this.online.find(isRequested) ?? this.batch.find(isRequested) ?? this.lateBatch.find(isRequested);
    }

    /**
     * @param rank - A rank.
     * @returns Number of waiting online requests with a lower rank.
     */
    countOnlineBefore(rank: number): number {
        const position = this.online.findIndex(waiter => waiter.rank >= rank);
        return position < 0 ? this.online.length : position;
    }

    /** @returns Online requests in the order in which they get places: those that can still be in time first. */
    getOnline(): Waiter[] {
        const nowMs = performance.now();
        const inTime = this.online.filter(({ usefulUntilMs }) => nowMs <= usefulUntilMs);
        return inTime.length === this.online.length
            ? inTime
            : [...inTime, ...this.online.filter(({ usefulUntilMs }) => nowMs > usefulUntilMs)];
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
        return [this.online, this.batch, this.lateBatch].flatMap(waiters => waiters.splice(0));
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
