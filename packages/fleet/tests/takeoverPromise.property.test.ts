import { newLogger } from "@heatherline/common";
import { MemoryStore, type ObjectStore, type StoredValue, StoreError } from "@heatherline/store";
import fc from "fast-check";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CoordinatorLease, HeartbeatMonitor, type MemberEntry, type StoreCheck, type TakeoverPromise } from "../src";

const INSTANCES = 3;
const STEP_MS = 20;
const DURATION_MS = 12_000;
const STORE_DELAY_MS = 4;
const SYNC_INTERVAL_MS = 250;
const LINK_DELAY_MS = 1;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 5_000;
const TERM_AND_MARGIN_MS = 1_900;
const PROPERTY_SEED = 20_261_204;

/** One instance: its lease, its path to the store and, while it holds the lease, its view of the others' promises. */
class SimulatedInstance {
    isStoreDown = false;
    /** Whether the instance reads from the store itself, as it does once the coordinator's updates are old. */
    readsStore = false;
    linkDelayMs = LINK_DELAY_MS;
    readonly lease: CoordinatorLease;
    private monitor: HeartbeatMonitor | undefined;
    private promise: TakeoverPromise | undefined;

    constructor(
        private readonly shared: ObjectStore,
        readonly self: MemberEntry,
        private readonly members: readonly MemberEntry[],
    ) {
        this.lease = new CoordinatorLease(
            this as unknown as ObjectStore,
            self,
            {
                getMembers: () => members,
                isTakeoverImpossible: () => this.monitor?.isTakeoverImpossible() ?? false,
                onChange: isHolder => {
                    this.monitor = isHolder ? new HeartbeatMonitor(self, () => members, () => false) : undefined;
                },
                onOtherHolder: () => undefined,
                isCoordinatorReachable: () => false,
            },
            newLogger("test", "fatal"),
        );
    }

    async get(path: string) {
        await sleep(STORE_DELAY_MS);
        return this.isStoreDown ? err(new StoreError("unavailable", "down")) : this.shared.get(path);
    }

    async put(path: string, value: StoredValue, expected: number) {
        await sleep(STORE_DELAY_MS);
        return this.isStoreDown ? err(new StoreError("unavailable", "down")) : this.shared.put(path, value, expected);
    }

    /** Sends one heartbeat to the holder and receives its reply, each after the delay of this instance's link. */
    async sync(holder: SimulatedInstance): Promise<void> {
        const { promise } = this;
        await sleep(this.linkDelayMs);
        const { epoch } = holder.lease;
        const stamp = holder.lease.isHolder
            ? holder.receive(
                this.self,
                promise,
                this.readsStore ? this.isStoreDown ? "failing" : "reachable" : undefined,
            )
            : undefined;
        await sleep(this.linkDelayMs);
        if (stamp !== undefined) {
            this.lease.promise();
            this.promise = { epoch, stamp };
        }
    }

    private receive(
        member: MemberEntry,
        promise: TakeoverPromise | undefined,
        storeCheck: StoreCheck | undefined,
    ): number | undefined {
        const stamp = promise?.epoch === this.lease.epoch ? promise.stamp : undefined;
        this.monitor?.recordHeartbeat(member, stamp, storeCheck);
        return this.monitor?.newStamp();
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function startFleet(): SimulatedInstance[] {
    const members: MemberEntry[] = Array.from({ length: INSTANCES }, (_, index) => ({
        instanceId: `instance-${index}`,
        incarnation: `${index}`,
        host: "127.0.0.1",
        rpcPort: 1,
        dataCentre: "east",
        processorShare: 1,
    }));
    const shared = new MemoryStore();
    const instances = members.map(member => new SimulatedInstance(shared, member, members));
    instances.forEach(({ lease }) => lease.start(0));
    return instances;
}

function getHolders(instances: readonly SimulatedInstance[]): SimulatedInstance[] {
    return instances.filter(({ lease }) => lease.isHolder);
}

/** Advances virtual time; instances send heartbeats to each holder, and at most one holds the lease at any time. */
async function run(
    instances: readonly SimulatedInstance[],
    durationMs: number,
    onStep: (atMs: number) => void = () => undefined,
): Promise<void> {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
        onStep(atMs);
        if (atMs % SYNC_INTERVAL_MS < STEP_MS) {
            for (const holder of getHolders(instances)) {
                instances.filter(other => other !== holder).forEach(other => void other.sync(holder));
            }
        }
        await vi.advanceTimersByTimeAsync(STEP_MS);
        expect(getHolders(instances).length).toBeLessThanOrEqual(1);
    }
}

async function stop(instances: readonly SimulatedInstance[]): Promise<void> {
    const stopped = Promise.all(instances.map(({ lease }) => lease.stop()));
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    await stopped;
}

describe("the coordinator's lease while it can't be renewed", () => {
    beforeEach(() => vi.useFakeTimers());
    afterEach(() => vi.useRealTimers());

    it(
        "is kept through an outage for all while the others promise not to take it over and one has seen the outage",
        async () => {
            const instances = startFleet();
            await run(instances, SETTLE_MS);
            const [holder] = getHolders(instances);
            const [checking] = instances.filter(instance => instance !== holder);
            instances.forEach(instance => instance.isStoreDown = true);
            (checking as SimulatedInstance).readsStore = true;
            await run(instances, OUTAGE_MS);
            expect(getHolders(instances)).toEqual([holder]);
            instances.forEach(instance => instance.isStoreDown = false);
            await run(instances, SETTLE_MS);
            expect(getHolders(instances)).toEqual([holder]);
            await stop(instances);
        },
    );

    it.each([
        { what: "no other instance has checked the store", isOutageForAll: true, checking: 0 },
        { what: "another instance reaches the store", isOutageForAll: false, checking: 1 },
        { what: "both others reach the store", isOutageForAll: false, checking: 2 },
    ])("expires with its term when it can't be renewed and $what", async ({ isOutageForAll, checking }) => {
        const instances = startFleet();
        await run(instances, SETTLE_MS);
        const [holder] = getHolders(instances);
        const others = instances.filter(instance => instance !== holder);
        others.slice(0, checking).forEach(other => other.readsStore = true);
        (holder as SimulatedInstance).isStoreDown = true;
        others.forEach(other => other.isStoreDown = isOutageForAll);
        await run(instances, TERM_AND_MARGIN_MS);
        expect(getHolders(instances)).not.toContain(holder);
        instances.forEach(instance => instance.isStoreDown = false);
        await run(instances, SETTLE_MS);
        expect(getHolders(instances)).toHaveLength(1);
        await stop(instances);
    });

    it("is taken over when the coordinator can't renew it and another instance reads from the store", async () => {
        const instances = startFleet();
        await run(instances, SETTLE_MS);
        const [holder] = getHolders(instances);
        (holder as SimulatedInstance).isStoreDown = true;
        instances.forEach(instance => instance.readsStore = true);
        await run(instances, OUTAGE_MS);
        const [successor] = getHolders(instances);
        expect(successor).toBeDefined();
        expect(successor).not.toBe(holder);
        await stop(instances);
    });

    it("is taken over when the coordinator can't renew it and reaches not all others", async () => {
        const instances = startFleet();
        await run(instances, SETTLE_MS);
        const [holder] = getHolders(instances);
        const [cutOff] = instances.filter(instance => instance !== holder);
        (holder as SimulatedInstance).isStoreDown = true;
        (cutOff as SimulatedInstance).linkDelayMs = DURATION_MS;
        await run(instances, OUTAGE_MS);
        const [successor] = getHolders(instances);
        expect(successor).toBeDefined();
        expect(successor).not.toBe(holder);
        await stop(instances);
    });

    it("is never held by two under any outages of the store and delays of messages", async () => {
        const fault = fc.record({
            instance: fc.nat(INSTANCES - 1),
            kind: fc.constantFrom("store", "link"),
            atMs: fc.nat(DURATION_MS),
            durationMs: fc.integer({ min: 100, max: 5_000 }),
            delayMs: fc.integer({ min: 1, max: 2_500 }),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(fault, { maxLength: 8 }), async faults => {
                const instances = startFleet();
                await run(instances, DURATION_MS, atMs => {
                    for (const [index, instance] of instances.entries()) {
                        const active = faults.filter(other =>
                            other.instance === index && other.atMs <= atMs && atMs < other.atMs + other.durationMs
                        );
                        instance.isStoreDown = active.some(({ kind }) => kind === "store");
                        instance.linkDelayMs = active.find(({ kind }) => kind === "link")?.delayMs ?? LINK_DELAY_MS;
                    }
                });
                await stop(instances);
            }),
            { seed: PROPERTY_SEED, numRuns: 60 },
        );
    }, 120_000);
});

describe("the lease after an outage of the store for all", () => {
    beforeEach(() => vi.useFakeTimers());
    afterEach(() => vi.useRealTimers());

    it("goes to the instance with the most CPU, not to the first one that reaches the store", async () => {
        const members: MemberEntry[] = [1, 1, 1, 4].map((processorShare, index) => ({
            instanceId: `instance-${index}`,
            incarnation: `${index}`,
            host: "127.0.0.1",
            rpcPort: 1,
            dataCentre: "east",
            processorShare,
        }));
        const shared = new MemoryStore();
        await shared.put(
            "heatherline-leases/coordinator",
            {
                holder: { ...members[0], instanceId: "gone", incarnation: "gone" },
                epoch: 3,
                renewal: 1,
                isReleased: false,
            },
            0,
        );
        const instances = members.map(member => new SimulatedInstance(shared, member, members));
        instances.forEach(({ lease }) => lease.start(0));
        await vi.advanceTimersByTimeAsync(500);
        instances.forEach(instance => instance.isStoreDown = true);
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        instances.forEach(instance => instance.isStoreDown = false);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect(getHolders(instances).map(({ self }) => self.instanceId)).toEqual(["instance-3"]);
        await stop(instances);
    });
});
