import { monotonicMs, newId } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import PQueue from "p-queue";
import type { CreditHolder, EndpointSlot, WaitingCounts } from "./endpoints/holder";
import type { RoutePolicy } from "./endpoints/routePolicy";
import { RoutingError } from "./errors";
import type { Exchange, WorkClass } from "./exchange";
import { FairQueue, type FairQueueOptions } from "./fairQueue";

const MAX_QUEUED = 5_000;
const FULL_RETRY_MS = 1_000;
const NO_ENDPOINT_RETRY_MS = 2_000;
const FIRST_MEAN_HOLD_MS = 100;
const SMOOTHING = 0.05;
/** Credits that batch leaves free for online requests to come, as a part of all credits of this instance. */
const BATCH_RESERVE_FRACTION = 0.1;

type Lane = PQueue<FairQueue, FairQueueOptions>;

interface ServiceQueues {
    readonly lanes: Record<WorkClass, Lane>;
    /** Requests that have left the queue but found no free credit yet. */
    readonly choosing: WaitingCounts;
    meanHoldMs: number;
}

/** What a request asks of the scheduler. */
export interface SlotRequest {
    readonly exchange: Exchange;
    /** Endpoints tried already. */
    readonly excluded: ReadonlySet<string>;
    /** Whether the request must run alone on its endpoint. */
    readonly isExclusive: boolean;
    /** For batch: gives the item up when its place is needed. */
    readonly preempt?: () => void;
}

/**
 * Queues requests per service, fairly among organisations, and hands out places at endpoints within the credits of
 * this instance. Batch has a queue of its own and only gets what online leaves.
 */
export class Scheduler {
    private readonly services = new Map<string, ServiceQueues>();
    private readonly wakers = new Set<() => void>();
    private holder!: CreditHolder;

    /**
     * @param policy - Chooses among endpoints with a free credit.
     */
    constructor(private readonly policy: RoutePolicy) {}

    /**
     * @param holder - Credits of this instance.
     */
    attach(holder: CreditHolder): void {
        this.holder = holder;
        holder.onChange(() => this.onCreditsChanged());
    }

    /**
     * @param service - A service.
     * @returns What waits for it here.
     */
    getWaiting(service: string): WaitingCounts {
        const queues = this.services.get(service);
        if (queues === undefined) {
            return { online: 0, batch: 0 };
        }
        const { lanes, choosing } = queues;
        return { online: lanes.online.size + choosing.online, batch: lanes.batch.size + choosing.batch };
    }

    /**
     * @param service - A service.
     * @returns Batch items that could start now.
     */
    countIdle(service: string): number {
        const reserve = Math.floor(this.holder.countCredits(service) * BATCH_RESERVE_FRACTION);
        const running = this.holder.countRunning(service, "online") + this.holder.countRunning(service, "batch");
        return Math.max(0, this.holder.countCredits(service) - running - reserve - this.getWaiting(service).online);
    }

    /**
     * Waits for a place at an endpoint.
     *
     * @param service - Name of the service.
     * @param request - What is asked for.
     * @returns The place, or at once why there will be none in time.
     */
    async acquire(service: string, request: SlotRequest): Promise<Result<EndpointSlot, RoutingError>> {
        const { exchange } = request;
        const queues = this.getQueues(service);
        const lane = queues.lanes[exchange.workClass];
        const refusal = this.checkAdmission(service, queues, exchange);
        if (refusal !== undefined) {
            return err(refusal);
        }
        if (exchange.workClass === "online" && this.holder.getCandidates(service).length <= lane.size) {
            this.holder.preemptOne(service);
            this.holder.wantRefresh();
        }
        const enqueuedAtMs = monotonicMs();
        const slot = await this.waitInLane(service, lane, queues, request);
        exchange.queuedMs = (exchange.queuedMs ?? 0) + monotonicMs() - enqueuedAtMs;
        return slot;
    }

    private checkAdmission(service: string, queues: ServiceQueues, exchange: Exchange): RoutingError | undefined {
        const lane = queues.lanes[exchange.workClass];
        if (!this.holder.hasEligible(service)) {
            return new RoutingError("no-endpoint", `${service} has no endpoint in service`, NO_ENDPOINT_RETRY_MS);
        }
        if (lane.size >= MAX_QUEUED) {
            return new RoutingError("queue-full", `${service} has ${lane.size} requests waiting`, FULL_RETRY_MS);
        }
        const credits = this.holder.countCredits(service);
        const waitMs = credits > 0 ? lane.size * queues.meanHoldMs / credits : 0;
        if (exchange.workClass === "online" && monotonicMs() + waitMs > exchange.deadlineAtMs) {
            const message = `the wait of about ${Math.round(waitMs)} ms would outlast the deadline`;
            return new RoutingError("unreachable-deadline", message, waitMs);
        }
        return undefined;
    }

    private waitInLane(
        service: string,
        lane: Lane,
        queues: ServiceQueues,
        request: SlotRequest,
    ): Promise<Result<EndpointSlot, RoutingError>> {
        const { exchange } = request;
        const { signal } = exchange.ending;
        const queued = new AbortController();
        return new Promise(resolve => {
            const onAbort = () => {
                queued.abort();
                resolve(err(new RoutingError("aborted", "given up while waiting", 0)));
            };
            if (signal.aborted) {
                onAbort();
                return;
            }
            signal.addEventListener("abort", onAbort, { once: true });
            const run = async () => {
                const slot = await this.choose(service, request);
                signal.removeEventListener("abort", onAbort);
                if (slot === undefined) {
                    resolve(err(new RoutingError("aborted", "given up while waiting", 0)));
                    return;
                }
                await new Promise<void>(release => resolve(ok(this.wrapSlot(slot, queues, release))));
            };
            lane.add(run, {
                id: newId(),
                signal: queued.signal,
                organisation: exchange.organisation?.organisation ?? "",
                weight: exchange.organisation?.weight ?? 1,
            }).catch(() => undefined);
            this.updateLanes(service);
        });
    }

    private wrapSlot(slot: EndpointSlot, queues: ServiceQueues, onReleased: () => void): EndpointSlot {
        const startedAtMs = monotonicMs();
        return {
            ...slot,
            release: event => {
                slot.release(event);
                queues.meanHoldMs += SMOOTHING * (monotonicMs() - startedAtMs - queues.meanHoldMs);
                onReleased();
            },
        };
    }

    private async choose(service: string, request: SlotRequest): Promise<EndpointSlot | undefined> {
        const { exchange } = request;
        const wished = request.isExclusive ? this.holder.wishExclusive(service, true) : undefined;
        const { choosing } = this.getQueues(service);
        let isAsked = false;
        choosing[exchange.workClass] += 1;
        try {
            for (;;) {
                if (exchange.ending.signal.aborted) {
                    return undefined;
                }
                const candidates = this.holder.getCandidates(service).filter(candidate =>
                    wished === undefined || (candidate.endpoint === wished && candidate.isExclusive)
                );
                const fresh = candidates.filter(({ endpoint }) => !request.excluded.has(endpoint));
                const [first, ...rest] = fresh.length > 0 ? fresh : candidates;
                if (first !== undefined) {
                    const chosen = this.policy.choose([first, ...rest], exchange.affinityKey);
                    return this.withWish(
                        service,
                        wished,
                        this.holder.take(chosen.endpoint, exchange.workClass, request.preempt),
                    );
                }
                if (!isAsked) {
                    isAsked = true;
                    this.holder.wantRefresh();
                }
                await this.waitForCredits(exchange.ending.signal);
            }
        }
        finally {
            choosing[exchange.workClass] -= 1;
            if (wished !== undefined && exchange.ending.signal.aborted) {
                this.holder.wishExclusive(service, false, wished);
            }
        }
    }

    private withWish(service: string, wished: string | undefined, slot: EndpointSlot): EndpointSlot {
        if (wished === undefined) {
            return slot;
        }
        return {
            ...slot,
            release: event => {
                slot.release(event);
                this.holder.wishExclusive(service, false, wished);
            },
        };
    }

    private waitForCredits(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.wakers.delete(finish);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            this.wakers.add(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    private onCreditsChanged(): void {
        for (const service of this.services.keys()) {
            this.updateLanes(service);
        }
        for (const wake of [...this.wakers]) {
            wake();
        }
    }

    private updateLanes(service: string): void {
        const { lanes } = this.getQueues(service);
        const running = this.holder.countRunning(service, "batch");
        const credits = this.holder.countCredits(service);
        setConcurrency(lanes.online, credits - running);
        setConcurrency(lanes.batch, running + this.countIdle(service));
    }

    private getQueues(service: string): ServiceQueues {
        let queues = this.services.get(service);
        if (queues === undefined) {
            queues = {
                lanes: { online: newLane(), batch: newLane() },
                choosing: { online: 0, batch: 0 },
                meanHoldMs: FIRST_MEAN_HOLD_MS,
            };
            this.services.set(service, queues);
        }
        return queues;
    }
}

function newLane(): Lane {
    return new PQueue<FairQueue, FairQueueOptions>({ queueClass: FairQueue, autoStart: false });
}

function setConcurrency(lane: Lane, concurrency: number): void {
    if (concurrency < 1) {
        lane.pause();
        return;
    }
    if (lane.concurrency !== concurrency) {
        lane.concurrency = concurrency;
    }
    if (lane.isPaused) {
        lane.start();
    }
}
