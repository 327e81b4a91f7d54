import { PeerError } from "@heatherline/agreement";
import { newLogger, sleep } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CoordinatorLink, type MemberEntry, METHODS, type RpcCaller, type SyncReply, type SyncRequest } from "../src";

const SYNC_COST_MS = 2;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

function newMember(instanceId: string): MemberEntry {
    return { instanceId, incarnation: "1", host: "127.0.0.1", rpcPort: 1, dataCentre: "east", processorShare: 1 };
}

const COORDINATOR = newMember("coordinator");

/** A coordinator that works through sync requests one at a time, also those whose senders have given up. */
class BusyCoordinator implements RpcCaller {
    requests = 0;
    /** Syncs that got no reply in time. */
    timeouts = 0;
    private freeAtMs = 0;

    constructor(private readonly costMs: number) {}

    callAddress<Reply>(
        _address: string,
        _port: number,
        _method: string,
        params: object,
        timeoutMs: number,
    ): Promise<Result<Reply, PeerError>> {
        this.requests += 1;
        const nowMs = performance.now();
        this.freeAtMs = Math.max(nowMs, this.freeAtMs) + this.costMs;
        const replyAfterMs = this.freeAtMs - nowMs + (params as SyncRequest).waitMs;
        this.timeouts += replyAfterMs <= timeoutMs ? 0 : 1;
        return new Promise(resolve => {
            setTimeout(
                () =>
                    resolve(
                        replyAfterMs <= timeoutMs ? ok(newReply() as Reply) : err(new PeerError("lost", "no reply")),
                    ),
                Math.min(replyAfterMs, timeoutMs),
            );
        });
    }
}

/** A coordinator that replies over its one old connection only, once of them late. */
class UnacceptingCoordinator implements RpcCaller {
    /** When the late reply comes. */
    lateReplyAtMs = Infinity;
    private nextDelayMs = 0;
    private isOldConnectionInUse = false;

    delayNextReply(delayMs: number): void {
        this.nextDelayMs = delayMs;
    }

    async callAddress<Reply>(
        _address: string,
        _port: number,
        _method: string,
        params: object,
        timeoutMs: number,
        onLateReply?: () => void,
    ): Promise<Result<Reply, PeerError>> {
        const timeout = new PeerError("lost", `no response within ${timeoutMs} ms`);
        if (this.isOldConnectionInUse) {
            await sleep(timeoutMs);
            return err(timeout);
        }
        const replyAfterMs = this.nextDelayMs === 0 ? (params as SyncRequest).waitMs : this.nextDelayMs;
        this.nextDelayMs = 0;
        if (replyAfterMs <= timeoutMs) {
            await sleep(replyAfterMs);
            return ok(newReply() as Reply);
        }
        this.isOldConnectionInUse = true;
        this.lateReplyAtMs = performance.now() + replyAfterMs;
        setTimeout(() => {
            this.isOldConnectionInUse = false;
            onLateReply?.();
        }, replyAfterMs);
        await sleep(timeoutMs);
        return err(timeout);
    }
}

function newReply(): SyncReply {
    return {
        kind: "news",
        coordinator: COORDINATOR,
        epoch: 1,
        leaseVersion: 1,
        news: { configAgeMs: 0 },
        calledBack: [],
        endedJobs: [],
        takenJobs: [],
        assignedJobs: [],
        decisions: [],
    };
}

function follow(rpc: RpcCaller, followerCount: number, logger = newLogger("test", "fatal")): CoordinatorLink[] {
    return Array.from({ length: followerCount }, (_, index) => {
        const link = new CoordinatorLink("coordinator", METHODS.sync, rpc, {
            newSyncRequest: (_isFull, waitMs) => ({
                member: newMember(`instance-${index}`),
                known: { config: 0, endpoints: 0, evacuated: 0, members: 0 },
                places: undefined,
                jobs: [],
                isStoreFailing: false,
                waitMs,
            }),
            getFollowerCount: () => followerCount,
            onSyncReply: () => undefined,
            onConnectionChange: () => undefined,
            onProcessEnded: () => undefined,
            onStepDown: () => undefined,
        }, logger);
        link.follow(COORDINATOR, 1);
        return link;
    });
}

describe("the link to a coordinator", () => {
    it.each([
        { followers: 7, costMs: SYNC_COST_MS },
        { followers: 165, costMs: SYNC_COST_MS },
        { followers: 165, costMs: 1.25 * SYNC_COST_MS },
    ])("connects $followers instances that start to follow at once, at $costMs ms a sync, within 4 s", async (
        { followers, costMs },
    ) => {
        const links = follow(new BusyCoordinator(costMs), followers);
        await vi.advanceTimersByTimeAsync(4_000);
        const connected = links.filter(({ coordinator }) => coordinator !== undefined).length;
        links.forEach(link => link.stop("over"));
        await vi.advanceTimersByTimeAsync(4_000);
        expect(connected).toBe(followers);
    });

    it("leaves a coordinator that needs 2.5 ms a sync time for 165 instances, none of which loses it", async () => {
        const rpc = new BusyCoordinator(1.25 * SYNC_COST_MS);
        const links = follow(rpc, 165);
        await vi.advanceTimersByTimeAsync(4_000);
        rpc.timeouts = 0;
        await vi.advanceTimersByTimeAsync(6_000);
        links.forEach(link => link.stop("over"));
        await vi.advanceTimersByTimeAsync(4_000);
        expect(rpc.timeouts).toBe(0);
    });

    it("sends a coordinator of 165 instances no more syncs than one core handles at 2.5 ms each", async () => {
        const rpc = new BusyCoordinator(0);
        const links = follow(rpc, 165);
        await vi.advanceTimersByTimeAsync(4_000);
        rpc.requests = 0;
        await vi.advanceTimersByTimeAsync(6_000);
        const { requests } = rpc;
        links.forEach(link => link.stop("over"));
        await vi.advanceTimersByTimeAsync(4_000);
        expect(requests).toBeLessThan(6_000 / (1.25 * SYNC_COST_MS));
    });

    it("spreads the first syncs of 165 instances over the time that they take", async () => {
        const rpc = new BusyCoordinator(SYNC_COST_MS);
        const links = follow(rpc, 165);
        await vi.advanceTimersByTimeAsync(20);
        const firstRequests = rpc.requests;
        links.forEach(link => link.stop("over"));
        await vi.advanceTimersByTimeAsync(4_000);
        expect(firstRequests).toBeLessThan(165 / 4);
    });

    it("asks a coordinator that doesn't reply less and less often", async () => {
        const rpc = new BusyCoordinator(Infinity);
        const [link] = follow(rpc, 1);
        await vi.advanceTimersByTimeAsync(20_000);
        link?.stop("over");
        await vi.advanceTimersByTimeAsync(10_000);
        expect(rpc.requests).toBeLessThan(10);
    });

    it.each([
        { minutes: 0.2, minLines: 3, maxLines: 6 },
        { minutes: 10, minLines: 9, maxLines: 25 },
    ])("logs each attempt at first and some later while there is no reply for $minutes min", async (
        { minutes, minLines, maxLines },
    ) => {
        const logger = newLogger("test", "fatal");
        const log = vi.spyOn(logger, "info").mockReturnValue(undefined);
        const [link] = follow(new BusyCoordinator(Infinity), 1, logger);
        await vi.advanceTimersByTimeAsync(minutes * 60_000);
        link?.stop("over");
        await vi.advanceTimersByTimeAsync(10_000);
        const reasons = log.mock.calls.map(([line]) => line as unknown as { event: string; reason: string; })
            .filter(({ event }) => event === "coordinator-unreached").map(({ reason }) => reason);
        expect(reasons.length).toBeGreaterThanOrEqual(minLines);
        expect(reasons.length).toBeLessThanOrEqual(maxLines);
        expect(new Set(reasons)).toEqual(new Set(["peer/lost: no reply"]));
    });

    it.each([
        { replyAfterMs: 750, regainedWithinMs: 100 },
        { replyAfterMs: 1_000, regainedWithinMs: 100 },
        { replyAfterMs: 1_700, regainedWithinMs: 1_300 },
    ])("regains a coordinator that replies after $replyAfterMs ms and accepts no new connection", async (
        { replyAfterMs, regainedWithinMs },
    ) => {
        const rpc = new UnacceptingCoordinator();
        const [link] = follow(rpc, 1);
        await vi.advanceTimersByTimeAsync(2_000);
        expect(link?.coordinator).toBeDefined();
        rpc.delayNextReply(replyAfterMs);
        while (link?.coordinator !== undefined) {
            await vi.advanceTimersByTimeAsync(10);
        }
        await vi.advanceTimersByTimeAsync(rpc.lateReplyAtMs - performance.now() + regainedWithinMs);
        expect(link?.coordinator).toBeDefined();
        link?.stop("over");
        await vi.advanceTimersByTimeAsync(10_000);
    });
});
