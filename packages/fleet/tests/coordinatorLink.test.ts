import { PeerError } from "@heatherline/agreement";
import { newLogger } from "@heatherline/common";
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

function follow(rpc: RpcCaller, followerCount: number): CoordinatorLink[] {
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
        }, newLogger("test", "fatal"));
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

    it("asks a coordinator that doesn't reply less and less often", async () => {
        const rpc = new BusyCoordinator(Infinity);
        const [link] = follow(rpc, 1);
        await vi.advanceTimersByTimeAsync(20_000);
        link?.stop("over");
        await vi.advanceTimersByTimeAsync(10_000);
        expect(rpc.requests).toBeLessThan(10);
    });
});
