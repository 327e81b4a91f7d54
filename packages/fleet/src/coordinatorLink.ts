import type { PeerError } from "@heatherline/agreement";
import { type Logger, sleep, withJitter } from "@heatherline/common";
import type { Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import { getElapsedMs, newTimestamp, type Timestamp } from "./ageTracker";
import type { Announcement, SyncReply, SyncReport, SyncRequest } from "./messages";
import { getLongPollMs } from "./syncTiming";
import type { MemberEntry } from "./types";

/** Without a reply for this long beyond the long poll, the coordinator counts as unreachable, in milliseconds. */
const REPLY_TIMEOUT_MS = 450;
const RETRY_MS = 90;
/**
 * After the first sync without a reply, this much time for a late one, in milliseconds. The next sync then uses the same
 * connection; a busy coordinator takes longer to accept a new one than to reply over one that it has accepted.
 */
const LATE_REPLY_WAIT_MS = 450;
/** Each failed sync doubles the timeout and the pause before the next one, up to this factor. */
const MAX_BACKOFF_FACTOR = 8;
/** CPU time of a coordinator for one first sync; those of all instances are spread over that much time for each. */
const FIRST_SYNC_COST_MS = 2;
/** One in this many sync requests reports all places in use. */
const SYNCS_PER_FULL_REPORT = 4;
/** Failed attempts in a row that are logged, one by one; of those after them, one in so many is. */
const MAX_LOGGED_ATTEMPTS = 8;
const LOGGED_ATTEMPT_INTERVAL = 10;
/** Consecutive refused connections after which the coordinator's process counts as ended. */
const REFUSALS_FOR_ENDED_PROCESS = 2;

/** Makes JSON-RPC calls. */
export interface RpcCaller {
    /**
     * @param address - IP address of the instance to call.
     * @param port - Its RPC port.
     * @param method - RPC method.
     * @param params - Parameters of the method.
     * @param timeoutMs - Time limit of the call.
     * @param onLateReply - Called when the reply comes after the time limit.
     * @returns The reply, or why there is none.
     */
    callAddress<Reply>(
        address: string,
        port: number,
        method: string,
        params: object,
        timeoutMs: number,
        onLateReply?: () => void,
    ): Promise<Result<Reply, PeerError>>;
}

/** What the link needs from the rest of the instance. */
export interface LinkDependencies {
    readonly newSyncRequest: (report: SyncReport, waitMs: number) => SyncRequest;
    /** @returns Number of instances that follow the same one. */
    readonly getFollowerCount: () => number;
    readonly onSyncReply: (reply: Extract<SyncReply, { kind: "news"; }>, transitMs: number) => void;
    readonly onConnectionChange: (isConnected: boolean, reason: string) => void;
    readonly onProcessEnded: (incarnation: string) => void;
    /** Called when the followed instance replies that it is not the coordinator. */
    readonly onStepDown: () => void;
}

/** Connection of an instance to the coordinator or its deputy, kept up by sync requests (heartbeats). */
export class CoordinatorLink {
    private target: { readonly member: MemberEntry; readonly epoch: number; } | undefined;
    private isConnected = false;
    private disconnectController = newDisconnectController();
    private generation = 0;
    private lastReplyAt: Timestamp | undefined;
    /** Since when it has been without the coordinator; `undefined` while it is connected or follows none. */
    private disconnectedAt: Timestamp | undefined;
    private failedAttempts = 0;

    /**
     * @param role - Whether it follows the coordinator or the deputy of its data centre; names the events in the log.
     * @param syncMethod - RPC method of its sync requests.
     * @param rpc - Calls other instances.
     * @param deps - What the link needs from the rest of the instance.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly role: "coordinator" | "deputy",
        private readonly syncMethod: string,
        private readonly rpc: RpcCaller,
        private readonly deps: LinkDependencies,
        private readonly logger: Logger,
    ) {}

    /** The coordinator, while it is reachable. */
    get coordinator(): MemberEntry | undefined {
        return this.isConnected ? this.target?.member : undefined;
    }

    /** The coordinator and its epoch, while it is reachable. */
    get announcement(): Announcement | undefined {
        return this.isConnected && this.target !== undefined
            ? { coordinator: this.target.member, epoch: this.target.epoch }
            : undefined;
    }

    /** Time since the last sync request that the coordinator replied to was sent, in milliseconds. */
    get lastReplyAgeMs(): number {
        return this.lastReplyAt === undefined ? Infinity : getElapsedMs(this.lastReplyAt);
    }

    /** Aborted when the coordinator becomes unreachable. */
    get disconnectSignal(): AbortSignal {
        return this.disconnectController.signal;
    }

    /**
     * Follows a coordinator from now on.
     *
     * @param member - The coordinator.
     * @param epoch - Its epoch; older ones are ignored.
     */
    follow(member: MemberEntry, epoch: number): void {
        const isSame = this.target?.member.incarnation === member.incarnation && this.target.epoch === epoch;
        if (isSame || epoch < (this.target?.epoch ?? 0)) {
            return;
        }
        this.markDisconnected("another coordinator took over");
        this.target = { member, epoch };
        this.failedAttempts = 0;
        this.disconnectedAt ??= newTimestamp();
        this.generation += 1;
        void this.syncLoop(this.generation);
    }

    /**
     * Stops following.
     *
     * @param reason - Why, for the log.
     */
    stop(reason: string): void {
        this.generation += 1;
        this.markDisconnected(reason);
        this.target = undefined;
        this.disconnectedAt = undefined;
    }

    /**
     * Calls the coordinator.
     *
     * @param method - RPC method.
     * @param params - Parameters of the method.
     * @param timeoutMs - Time limit of the call.
     * @returns The reply, or `undefined` if the call failed or the coordinator became unreachable.
     */
    async call<Reply>(method: string, params: object, timeoutMs: number): Promise<Reply | undefined> {
        const { coordinator } = this;
        if (coordinator === undefined) {
            return undefined;
        }
        const { signal } = this.disconnectController;
        let onDisconnect = () => undefined as undefined;
        const disconnected = new Promise<undefined>(resolve => {
            onDisconnect = () => resolve(undefined) as undefined;
            signal.addEventListener("abort", onDisconnect, { once: true });
        });
        const replied = this.rpc.callAddress<Reply>(coordinator.host, coordinator.rpcPort, method, params, timeoutMs);
        const reply = await Promise.race([replied, disconnected]);
        signal.removeEventListener("abort", onDisconnect);
        return reply?.unwrapOr(undefined as Reply | undefined);
    }

    private async syncLoop(generation: number): Promise<void> {
        let syncCount = 0;
        let consecutiveRefusals = 0;
        let backoffFactor = 1;
        await sleep(Math.random() * this.deps.getFollowerCount() * FIRST_SYNC_COST_MS);
        while (generation === this.generation && this.target !== undefined) {
            const { member, epoch } = this.target;
            const isFull = syncCount % SYNCS_PER_FULL_REPORT === 0;
            const report = !this.isConnected ? "first" : isFull ? "full" : "changes";
            syncCount += 1;
            const waitMs = this.isConnected ? getLongPollMs(this.deps.getFollowerCount()) : 0;
            const sentAt = newTimestamp();
            const late = new AbortController();
            const request = this.deps.newSyncRequest(report, waitMs);
            const reply = await this.rpc.callAddress<SyncReply>(
                member.host,
                member.rpcPort,
                this.syncMethod,
                request,
                waitMs + REPLY_TIMEOUT_MS * backoffFactor,
                () => late.abort(),
            );
            if (generation !== this.generation) {
                return;
            }
            if (reply.isOk() && reply.value.kind === "news" && reply.value.epoch === epoch) {
                consecutiveRefusals = 0;
                backoffFactor = 1;
                this.lastReplyAt = sentAt;
                this.markConnected(getElapsedMs(sentAt));
                this.deps.onSyncReply(reply.value, getElapsedMs(sentAt));
                continue;
            }
            if (reply.isOk() && reply.value.kind === "news") {
                this.follow(reply.value.coordinator, reply.value.epoch);
                return;
            }
            this.recordFailure(reply.isErr() ? reply.error.toString() : "it is not the coordinator");
            if (reply.isOk()) {
                this.target = undefined;
                this.deps.onStepDown();
                return;
            }
            consecutiveRefusals = reply.error.kind === "unreachable" ? consecutiveRefusals + 1 : 0;
            if (consecutiveRefusals >= REFUSALS_FOR_ENDED_PROCESS && isConnectionRefused(reply.error)) {
                this.deps.onProcessEnded(member.incarnation);
            }
            await sleep(getRetryDelayMs(reply.error, backoffFactor), late.signal);
            // An overloaded coordinator replies late; tries that are given up too soon would keep it overloaded.
            backoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
        }
    }

    private markConnected(replyMs: number): void {
        if (!this.isConnected) {
            this.isConnected = true;
            this.disconnectController = newDisconnectController();
            const { member, epoch } = this.target ?? {};
            this.logger.info({
                event: `${this.role}-regained`,
                [this.role]: member?.instanceId,
                epoch,
                replyMs: Math.round(replyMs),
                disconnectedMs: Math.round(this.disconnectedAt === undefined ? 0 : getElapsedMs(this.disconnectedAt)),
                failedAttempts: this.failedAttempts,
            });
            this.failedAttempts = 0;
            this.disconnectedAt = undefined;
            this.deps.onConnectionChange(true, "");
        }
    }

    /** Logs failed attempts to reach the coordinator, fewer of them once there have been many. */
    private recordFailure(reason: string): void {
        const wasConnected = this.isConnected;
        this.markDisconnected(reason);
        this.failedAttempts += 1;
        const isLogged = this.failedAttempts <= MAX_LOGGED_ATTEMPTS ||
            this.failedAttempts % LOGGED_ATTEMPT_INTERVAL === 0;
        if (!wasConnected && isLogged) {
            const { member } = this.target ?? {};
            const attempt = this.failedAttempts;
            this.logger.info({ event: `${this.role}-unreached`, [this.role]: member?.instanceId, attempt, reason });
        }
    }

    private markDisconnected(reason: string): void {
        if (this.isConnected) {
            this.isConnected = false;
            this.disconnectedAt = newTimestamp();
            this.logger.info({ event: `${this.role}-lost`, [this.role]: this.target?.member.instanceId, reason });
            this.disconnectController.abort();
            this.deps.onConnectionChange(false, reason);
        }
    }
}

/** How long to wait after a failed sync; a late reply ends the wait. */
function getRetryDelayMs(error: PeerError, backoffFactor: number): number {
    if (backoffFactor === 1) {
        return isTimeout(error) ? LATE_REPLY_WAIT_MS : RETRY_MS;
    }
    return withJitter(RETRY_MS * backoffFactor);
}

/** Each waiting place request adds a listener, so their number has no limit. */
function newDisconnectController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}

/** Whether the request was sent, over a connection that is still open, and no reply came in time. */
function isTimeout(error: PeerError): boolean {
    return error.kind === "lost" && error.message.includes("no response within");
}

/** Whether no process listens on the coordinator's port any more, as opposed to a call without a reply. */
function isConnectionRefused(error: PeerError): boolean {
    return error.message.includes("ECONNREFUSED");
}
