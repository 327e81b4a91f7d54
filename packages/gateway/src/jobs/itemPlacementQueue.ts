import { getItemRank, isItemLate } from "@heatherline/fleet";
import PQueue from "p-queue";

/** Concurrent place requests for items that can still be finished by their due time, per instance and service. */
const MAX_ON_TIME_REQUESTS = 8;
/** Additional concurrent place requests for items that will be late anyway, so that they use capacity left idle. */
const MAX_LATE_REQUESTS = 2;

/** When an item is due, and what it still needs. */
export interface ItemTiming {
    /** Time until it is due, in milliseconds. */
    readonly dueInMs: number;
    /** Time at an endpoint that it still needs, in milliseconds. */
    readonly remainingMs: number;
}

/** The place requests for the items of one service. */
interface ServiceQueues {
    readonly onTime: PQueue;
    readonly late: PQueue;
}

/**
 * Limits the concurrent place requests for batch items of one instance, separately for each service: requests for a service
 * without endpoints wait long, and don't keep items of other services from requesting places. Items that can be on time
 * request places in the order in which places are assigned, so that started items finish before new ones start. Items that
 * will be late anyway have a queue of their own; otherwise a backlog of them after an outage would keep later jobs, which
 * could still be on time, from requesting places at all.
 */
export class ItemPlacementQueue {
    private readonly queuesByService = new Map<string, ServiceQueues>();

    /**
     * Waits for the item's turn, then requests a place for it.
     *
     * @param service - The service that the place is for.
     * @param timing - The item's timing as of now.
     * @param requestPlace - Requests the place; called when it is the item's turn.
     * @returns What `requestPlace` returns.
     */
    async add<Outcome>(
        service: string,
        { dueInMs, remainingMs }: ItemTiming,
        requestPlace: () => Promise<Outcome>,
    ): Promise<Outcome> {
        const queues = this.getQueues(service);
        const dueAtMs = performance.now() + dueInMs;
        const priority = -getItemRank(dueAtMs, remainingMs);
        if (!isItemLate(dueAtMs, remainingMs)) {
            const outcome = await queues.onTime.add(
                async () => isItemLate(dueAtMs, remainingMs) ? undefined : { value: await requestPlace() },
                { priority },
            );
            if (outcome !== undefined) {
                return outcome.value;
            }
        }
        return await queues.late.add(requestPlace, { priority }) as Outcome;
    }

    private getQueues(service: string): ServiceQueues {
        const queues = this.queuesByService.get(service) ?? {
            onTime: new PQueue({ concurrency: MAX_ON_TIME_REQUESTS }),
            late: new PQueue({ concurrency: MAX_LATE_REQUESTS }),
        };
        this.queuesByService.set(service, queues);
        return queues;
    }
}
