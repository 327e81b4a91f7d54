import { monotonicMs, newId } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import PQueue from "p-queue";
import type { BatchAdmission } from "./batchAdmission";
import type { CreditPool, EndpointSlot, WaitingCounts } from "./endpoints/creditPool";
import type { RoutePolicy } from "./endpoints/routePolicy";
import { RoutingError } from "./errors";
import type { Exchange, WorkClass } from "./exchange";
import { FairQueue, type FairQueueOptions } from "./fairQueue";

const MAX_QUEUED = 5_000;
const QUEUE_FULL_RETRY_MS = 1_000;
const NO_ENDPOINT_RETRY_MS = 2_000;
const INITIAL_MEAN_SLOT_TIME_MS = 100;
const SLOT_TIME_SMOOTHING = 0.05;
/** Longest wait for exclusive use of an endpoint; bounded so that an endpoint that is down doesn't block the queue. */
const MAX_EXCLUSIVE_WAIT_MS = 5_000;
const EXCLUSIVE_POLL_MS = 100;

type ClassQueue = PQueue<FairQueue, FairQueueOptions>;

interface ServiceQueues {
    readonly classQueues: Record<WorkClass, ClassQueue>;
    /** Requests that have left their queue but have found no free credit yet. */
    readonly dequeued: WaitingCounts;
    /** Requests that may only run alone on an endpoint, one at a time. */
    readonly exclusiveQueue: PQueue;
    meanSlotTimeMs: number;
}

/** A request for a slot at an endpoint. */
export interface SlotRequest {
    readonly exchange: Exchange;
    /** Endpoints that were tried already; only used again for exclusive use, or if no other one has a free credit. */
    readonly excluded: ReadonlySet<string>;
    /** Whether the request must run alone on its endpoint. */
    readonly isExclusive: boolean;
    /** Preempts the batch item when its slot is needed; absent if it must not be preempted. */
    readonly preempt?: () => void;
}

/**
 * Queues requests per service, fairly among organisations, and assigns slots at endpoints within the credits of this
 * instance. Batch items have their own queue and only get the credits that online requests leave free.
 */
export class Scheduler {
    private readonly services = new Map<string, ServiceQueues>();
    private readonly creditWaiters = new Set<() => void>();
    private creditPool!: CreditPool;

    /**
     * @param policy - Chooses among endpoints with a free credit.
     * @param admission - Decides how many batch items may run.
     */
    constructor(private readonly policy: RoutePolicy, private readonly admission: BatchAdmission) {}

    /**
     * Sets the pool and subscribes to its changes; must be called before the first request.
     *
     * @param creditPool - Credits of this instance.
     */
    setCreditPool(creditPool: CreditPool): void {
        this.creditPool = creditPool;
        creditPool.onChange(() => this.onCreditsChanged());
    }

    /**
     * @param service - A service.
     * @returns Numbers of requests that wait for it in this instance.
     */
    getWaitingCounts(service: string): WaitingCounts {
        const queues = this.services.get(service);
        if (queues === undefined) {
            return { online: 0, batch: 0 };
        }
        const { classQueues, dequeued } = queues;
        return { online: classQueues.online.size + dequeued.online, batch: classQueues.batch.size + dequeued.batch };
    }

    /**
     * @param service - A service.
     * @returns Number of batch items that could start now.
     */
    countFreeBatchSlots(service: string): number {
        const online = this.creditPool.countRunning(service, "online") + this.getWaitingCounts(service).online;
        return this.admission.countAllowed(
            this.creditPool.countCredits(service),
            online,
            this.creditPool.countRunning(service, "batch"),
        );
    }

    /**
     * Waits for a slot at an endpoint.
     *
     * @param service - Name of the service.
     * @param request - The request for a slot.
     * @returns The slot, or why there is none; a request that can't get a slot in time is rejected at once.
     */
    async acquire(service: string, request: SlotRequest): Promise<Result<EndpointSlot, RoutingError>> {
        const { exchange } = request;
        const queues = this.getQueues(service);
        const classQueue = queues.classQueues[exchange.workClass];
        const refusal = this.checkAdmission(service, queues, exchange);
        if (refusal !== undefined) {
            return err(refusal);
        }
        if (request.isExclusive) {
            return this.acquireExclusive(service, request);
        }
        // Fewer endpoints have a free credit than online requests are in the queue, this one included.
        if (exchange.workClass === "online" && this.creditPool.getCandidates(service).length <= classQueue.size) {
            if (this.admission.isPreempting) {
                this.creditPool.preemptOne(service);
            }
            this.creditPool.scheduleRefresh();
        }
        const immediate = this.tryAcquireImmediately(service, queues, request);
        if (immediate !== undefined) {
            return ok(immediate);
        }
        const enqueuedAtMs = monotonicMs();
        const slot = await this.waitInQueue(service, classQueue, queues, request);
        exchange.queuedMs = (exchange.queuedMs ?? 0) + monotonicMs() - enqueuedAtMs;
        return slot;
    }

    /** Bypasses the queue for an online request if no other one waits and a credit is free. */
    private tryAcquireImmediately(
        service: string,
        queues: ServiceQueues,
        request: SlotRequest,
    ): EndpointSlot | undefined {
        const { exchange, excluded, preempt } = request;
        const { classQueues, dequeued } = queues;
        if (exchange.workClass !== "online" || classQueues.online.size > 0 || dequeued.online > 0) {
            return undefined;
        }
        const [first, ...rest] = this.creditPool.getCandidates(service).filter(({ endpoint }) =>
            !excluded.has(endpoint)
        );
        if (first === undefined) {
            return undefined;
        }
        const chosen = this.policy.choose([first, ...rest], exchange.affinityKey);
        const slot = this.creditPool.acquireSlot(chosen.endpoint, exchange.workClass, preempt);
        return this.measureSlot(slot, queues, exchange.workClass, () => undefined);
    }

    private checkAdmission(service: string, queues: ServiceQueues, exchange: Exchange): RoutingError | undefined {
        const classQueue = queues.classQueues[exchange.workClass];
        if (!this.creditPool.hasEligibleEndpoint(service)) {
            return new RoutingError("no-endpoint", `${service} has no endpoint in service`, NO_ENDPOINT_RETRY_MS);
        }
        if (classQueue.size >= MAX_QUEUED) {
            return new RoutingError(
                "queue-full",
                `${service} has ${classQueue.size} requests waiting`,
                QUEUE_FULL_RETRY_MS,
            );
        }
        const credits = this.creditPool.countCredits(service);
        const waitMs = credits > 0 ? classQueue.size * queues.meanSlotTimeMs / credits : 0;
        if (exchange.workClass === "online" && monotonicMs() + waitMs > exchange.deadlineAtMs) {
            const message = `the expected wait of ${Math.round(waitMs)} ms exceeds the time until the deadline`;
            return new RoutingError("unreachable-deadline", message, waitMs);
        }
        return undefined;
    }

    private waitInQueue(
        service: string,
        classQueue: ClassQueue,
        queues: ServiceQueues,
        request: SlotRequest,
    ): Promise<Result<EndpointSlot, RoutingError>> {
        const { exchange } = request;
        const { signal } = exchange.abortController;
        const queueAbortController = new AbortController();
        return new Promise(resolve => {
            const onAbort = () => {
                queueAbortController.abort();
                resolve(err(new RoutingError("aborted", "aborted while waiting for an endpoint", 0)));
            };
            if (signal.aborted) {
                onAbort();
                return;
            }
            signal.addEventListener("abort", onAbort, { once: true });
            const run = async () => {
                const slot = await this.selectSlot(service, request);
                signal.removeEventListener("abort", onAbort);
                if (slot === undefined) {
                    resolve(err(new RoutingError("aborted", "aborted while waiting for an endpoint", 0)));
                    return;
                }
                await new Promise<void>(release =>
                    resolve(ok(this.measureSlot(slot, queues, exchange.workClass, release)))
                );
            };
            classQueue.add(run, {
                id: newId(),
                signal: queueAbortController.signal,
                organisation: exchange.organisation?.organisation ?? "",
                weight: exchange.organisation?.weight ?? 1,
            }).catch(() => undefined);
            this.updateConcurrency(service);
        });
    }

    /** Wraps a slot so that its release updates the mean slot time and lets the queue start its next request. */
    private measureSlot(
        slot: EndpointSlot,
        queues: ServiceQueues,
        workClass: WorkClass,
        onReleased: () => void,
    ): EndpointSlot {
        const startedAtMs = monotonicMs();
        return {
            ...slot,
            release: event => {
                slot.release(event);
                const heldMs = monotonicMs() - startedAtMs;
                queues.meanSlotTimeMs += SLOT_TIME_SMOOTHING * (heldMs - queues.meanSlotTimeMs);
                if (workClass === "online") {
                    this.admission.recordOnlineDuration(heldMs);
                }
                onReleased();
            },
        };
    }

    private async selectSlot(service: string, request: SlotRequest): Promise<EndpointSlot | undefined> {
        const { exchange } = request;
        const { dequeued } = this.getQueues(service);
        let hasScheduledRefresh = false;
        dequeued[exchange.workClass] += 1;
        try {
            while (!exchange.abortController.signal.aborted) {
                const candidates = this.creditPool.getCandidates(service);
                const untried = candidates.filter(({ endpoint }) => !request.excluded.has(endpoint));
                const [first, ...rest] = untried.length > 0 ? untried : candidates;
                if (first !== undefined) {
                    const chosen = this.policy.choose([first, ...rest], exchange.affinityKey);
                    return this.creditPool.acquireSlot(chosen.endpoint, exchange.workClass, request.preempt);
                }
                if (!hasScheduledRefresh) {
                    hasScheduledRefresh = true;
                    this.creditPool.scheduleRefresh();
                }
                await this.waitForCredits(exchange.abortController.signal);
            }
            return undefined;
        }
        finally {
            dequeued[exchange.workClass] -= 1;
        }
    }

    /**
     * Waits until an endpoint runs nothing else. One request of a service at a time waits for exclusive use; the queues
     * of the other requests go on meanwhile.
     */
    private async acquireExclusive(service: string, request: SlotRequest): Promise<Result<EndpointSlot, RoutingError>> {
        const { exclusiveQueue } = this.getQueues(service);
        const { signal } = request.exchange.abortController;
        return new Promise(resolve => {
            void exclusiveQueue.add(async () => {
                const requestedEndpoint = this.creditPool.requestExclusive(service, true);
                const slot = requestedEndpoint === undefined
                    ? undefined
                    : await this.waitForExclusiveSlot(service, requestedEndpoint, request);
                if (requestedEndpoint === undefined || slot === undefined) {
                    if (requestedEndpoint !== undefined) {
                        this.creditPool.requestExclusive(service, false, requestedEndpoint);
                    }
                    const kind = signal.aborted ? "aborted" : "no-endpoint";
                    resolve(
                        err(
                            new RoutingError(
                                kind,
                                "no endpoint was available for exclusive use in time",
                                NO_ENDPOINT_RETRY_MS,
                            ),
                        ),
                    );
                    return;
                }
                await new Promise<void>(release =>
                    resolve(ok({
                        ...slot,
                        release: event => {
                            slot.release(event);
                            this.creditPool.requestExclusive(service, false, requestedEndpoint);
                            release();
                        },
                    }))
                );
            });
        });
    }

    private async waitForExclusiveSlot(
        service: string,
        endpoint: string,
        request: SlotRequest,
    ): Promise<EndpointSlot | undefined> {
        const { abortController, workClass } = request.exchange;
        const untilMs = monotonicMs() + MAX_EXCLUSIVE_WAIT_MS;
        while (!abortController.signal.aborted && monotonicMs() < untilMs) {
            const candidate = this.creditPool.getCandidates(service).find(other => other.endpoint === endpoint);
            if (candidate?.isExclusive === true) {
                return this.creditPool.acquireSlot(endpoint, workClass, request.preempt);
            }
            await this.waitForCredits(
                AbortSignal.any([abortController.signal, AbortSignal.timeout(EXCLUSIVE_POLL_MS)]),
            );
        }
        return undefined;
    }

    private waitForCredits(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.creditWaiters.delete(finish);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            this.creditWaiters.add(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    private onCreditsChanged(): void {
        for (const [service, { classQueues }] of this.services) {
            if (classQueues.online.size + classQueues.batch.size > 0) {
                this.updateConcurrency(service);
            }
        }
        for (const wake of [...this.creditWaiters]) {
            wake();
        }
    }

    private updateConcurrency(service: string): void {
        const { classQueues, dequeued } = this.getQueues(service);
        const runningBatch = this.creditPool.countRunning(service, "batch");
        const credits = this.creditPool.countCredits(service);
        // Requests that found a free credit at once, or run alone on an endpoint, have bypassed the queue.
        const outsideQueue = this.creditPool.countRunning(service, "online") -
            (classQueues.online.pending - dequeued.online);
        setConcurrency(classQueues.online, credits - runningBatch - outsideQueue);
        setConcurrency(classQueues.batch, runningBatch + this.countFreeBatchSlots(service));
    }

    private getQueues(service: string): ServiceQueues {
        let queues = this.services.get(service);
        if (queues === undefined) {
            queues = {
                classQueues: { online: newClassQueue(), batch: newClassQueue() },
                dequeued: { online: 0, batch: 0 },
                exclusiveQueue: new PQueue({ concurrency: 1 }),
                meanSlotTimeMs: INITIAL_MEAN_SLOT_TIME_MS,
            };
            this.services.set(service, queues);
        }
        return queues;
    }
}

function newClassQueue(): ClassQueue {
    return new PQueue<FairQueue, FairQueueOptions>({ queueClass: FairQueue, autoStart: false });
}

function setConcurrency(classQueue: ClassQueue, concurrency: number): void {
    if (concurrency < 1) {
        classQueue.pause();
        return;
    }
    if (classQueue.concurrency !== concurrency) {
        classQueue.concurrency = concurrency;
    }
    if (classQueue.isPaused) {
        classQueue.start();
    }
}
