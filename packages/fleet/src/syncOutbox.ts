import type { FleetView } from "./fleetView";
import type { PlaceDecision, SyncRequest } from "./messages";
import type { PlaceOutcome } from "./types";

interface PendingSync {
    readonly request: SyncRequest;
    readonly reply: () => void;
}

/** Messages queued for the next sync reply to one instance. */
interface Outbox {
    calledBack: string[];
    decisions: PlaceDecision[];
    /** Fingerprints of requests whose record has changed. */
    crashedRequests: Set<string>;
}

/**
 * Queues messages for each instance until its next sync reply, and holds back sync replies (long polls) while there is
 * nothing urgent to send.
 */
export class SyncOutbox {
    private readonly outboxes = new Map<string, Outbox>();
    private readonly pendingSyncs = new Set<PendingSync>();

    /**
     * @param view - Fleet view; an instance that lacks a revision of it is sent an update.
     */
    constructor(private readonly view: FleetView) {}

    /**
     * Queues the preemption of a batch item.
     *
     * @param instanceId - The instance that runs the item.
     * @param placeId - The place that it has to release.
     */
    addPreemption(instanceId: string, placeId: string): void {
        this.getOutbox(instanceId).calledBack.push(placeId);
        this.replyToReady();
    }

    /**
     * Adds the decision on a queued place request.
     *
     * @param instanceId - The requesting instance.
     * @param askId - Id of the place request.
     * @param outcome - The decision.
     */
    addDecision(instanceId: string, askId: string, outcome: PlaceOutcome): void {
        this.getOutbox(instanceId).decisions.push({ askId, outcome });
        this.replyToReady();
    }

    /**
     * Queues the record of a request whose endpoints crashed.
     *
     * @param instanceId - The instance that is to know it.
     * @param fingerprint - The request.
     */
    addCrashedRequest(instanceId: string, fingerprint: string): void {
        this.getOutbox(instanceId).crashedRequests.add(fingerprint);
        this.replyToReady();
    }

    /**
     * Removes and returns the messages for an instance.
     *
     * @param instanceId - An instance.
     * @returns Its messages, which count as delivered.
     */
    takeMessages(instanceId: string): Readonly<Outbox> {
        const outbox = this.getOutbox(instanceId);
        this.outboxes.delete(instanceId);
        return outbox;
    }

    /**
     * Drops the messages for an instance that is silent; which requests' records have changed it may still have to know.
     *
     * @param instanceId - The instance.
     */
    drop(instanceId: string): void {
        const { crashedRequests } = this.takeMessages(instanceId);
        crashedRequests.forEach(fingerprint => this.addCrashedRequest(instanceId, fingerprint));
    }

    /**
     * Waits until there is an update for the sender, or the request's `waitMs` is over.
     *
     * @param request - The sync request.
     */
    async waitForUpdate(request: SyncRequest): Promise<void> {
        if (this.hasUpdateFor(request)) {
            return;
        }
        await new Promise<void>(resolve => {
            const pendingSync: PendingSync = {
                request,
                reply: () => {
                    clearTimeout(timer);
                    this.pendingSyncs.delete(pendingSync);
                    resolve();
                },
            };
            const timer = setTimeout(pendingSync.reply, request.waitMs);
            this.pendingSyncs.add(pendingSync);
        });
    }

    /** Replies to pending sync requests for whose senders there is an update. */
    replyToReady(): void {
        for (const pendingSync of [...this.pendingSyncs]) {
            if (this.hasUpdateFor(pendingSync.request)) {
                pendingSync.reply();
            }
        }
    }

    /** Replies to all pending sync requests. */
    replyToAll(): void {
        for (const pendingSync of [...this.pendingSyncs]) {
            pendingSync.reply();
        }
    }

    private hasUpdateFor({ member, known }: SyncRequest): boolean {
        return this.outboxes.has(member.instanceId) || this.view.hasUrgentUpdateFor(known);
    }

    private getOutbox(instanceId: string): Outbox {
        let outbox = this.outboxes.get(instanceId);
        if (outbox === undefined) {
            outbox = { calledBack: [], decisions: [], crashedRequests: new Set() };
            this.outboxes.set(instanceId, outbox);
        }
        return outbox;
    }
}
