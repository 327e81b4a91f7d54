import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type Coordinator, type CrashRecord, CrashTracker, type MemberEntry, type SyncReply } from "../src";
import { startTestCoordinator, TEST_MEMBER } from "./testCoordinator";
import { newTestEndpoint } from "./testEndpoint";
import { newTestRequest } from "./testRequest";

const FINGERPRINT = "bad";
/** How long a request is held back after its third crash. */
const HOLD_MS = 20_000;
/** The process that decides ends this long after the third crash. */
const END_AFTER_MS = 4_000;
/** How often, and for how long, the request comes again where only its record is played. */
const AGAIN_MS = 1_000;
const PRESS_MS = 2_400_000;
const OTHERS = ["b", "c"].map(instanceId => ({ ...TEST_MEMBER, instanceId, incarnation: instanceId }));

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** An instance; it knows what its process knows, whoever decides. */
class Instance {
    readonly crashTracker = new CrashTracker();
    granter: Coordinator | undefined;

    constructor(readonly member: MemberEntry) {}

    begin(epoch: number): Coordinator {
        this.granter = startTestCoordinator({
            epoch,
            self: this.member,
            members: [TEST_MEMBER, ...OTHERS],
            endpoints: [newTestEndpoint()],
            crashTracker: this.crashTracker,
        });
        return this.granter;
    }

    /** Sends one sync request and takes the reply over. */
    async sync(granter: Coordinator, report: "first" | "changes"): Promise<void> {
        const reply = granter.handleSync({
            member: this.member,
            known: { config: 0, endpoints: 1, evacuated: 0, members: 1, blockedPrompts: 0 },
            places: [],
            crashRecords: report === "first" ? this.crashTracker.getRecords("all") : undefined,
            jobs: [],
            isStoreFailing: false,
            waitMs: 0,
        });
        await vi.advanceTimersByTimeAsync(1);
        const { crashRecords = [] } = await reply as Extract<SyncReply, { kind: "news"; }>;
        crashRecords.forEach(record => this.crashTracker.adopt(record));
    }
}

function newFleet(): [Instance, Instance, Instance] {
    const [second, third] = OTHERS as [MemberEntry, MemberEntry];
    return [new Instance(TEST_MEMBER), new Instance(second), new Instance(third)];
}

async function place(granter: Coordinator): Promise<string> {
    const outcome = await granter.place(newTestRequest({ fingerprint: FINGERPRINT, giveUpAfterMs: 1_000 }));
    return outcome.kind === "placed" ? outcome.placeId : outcome.reason;
}

/** Runs the request once, in which its endpoint crashes or answers. */
async function run(granter: Coordinator, end: "broken" | "done"): Promise<void> {
    const placeId = await place(granter);
    granter.handleRelease({
        releases: [{ placeId, end, fingerprint: FINGERPRINT, firstAnswerMs: undefined }],
        withdrawnAsks: [],
        silentPlaces: [],
    });
    await vi.advanceTimersByTimeAsync(100);
}

/** Runs the request until its third crash; a hold of three seconds lies before it. */
async function crashThrice(granter: Coordinator): Promise<void> {
    await run(granter, "broken");
    await run(granter, "broken");
    await vi.advanceTimersByTimeAsync(3_000);
    await run(granter, "broken");
}

// Fails if a request that crashes endpoints is known only to who decides, so that it crashes as many again under the next one.
describe("a request that has crashed three endpoints", () => {
    it.each([
        { what: "the next coordinator", epoch: 3 },
        { what: "a deputy", epoch: 0 },
    ])("is held back by $what that has not heard of any crash itself", async ({ epoch }) => {
        const [first, second] = newFleet();
        const coordinator = first.begin(2);
        await second.sync(coordinator, "first");
        await crashThrice(coordinator);
        await second.sync(coordinator, "changes");
        await vi.advanceTimersByTimeAsync(END_AFTER_MS);
        coordinator.stop();
        const next = second.begin(epoch);
        expect(await place(next)).toBe("crashes-endpoints");
        await vi.advanceTimersByTimeAsync(HOLD_MS - END_AFTER_MS);
        expect(await place(next)).not.toBe("crashes-endpoints");
        next.stop();
    });

    it("is held back by one whose process has just started, as soon as any other reports to it", async () => {
        const [first, second, third] = newFleet();
        const coordinator = first.begin(2);
        await second.sync(coordinator, "first");
        await crashThrice(coordinator);
        await second.sync(coordinator, "changes");
        coordinator.stop();
        const next = third.begin(3);
        await second.sync(next, "first");
        expect(await place(next)).toBe("crashes-endpoints");
        next.stop();
    });

    it("is known to an instance that has joined since, once it follows", async () => {
        const [first, second] = newFleet();
        const coordinator = first.begin(2);
        await crashThrice(coordinator);
        await second.sync(coordinator, "first");
        expect(second.crashTracker.mayRun(FINGERPRINT)).toBe(false);
        coordinator.stop();
    });

    it("is no longer held back anywhere once an endpoint has answered it, whatever others report later", async () => {
        const [first, second, third] = newFleet();
        const coordinator = first.begin(2);
        await second.sync(coordinator, "first");
        await crashThrice(coordinator);
        await second.sync(coordinator, "changes");
        third.crashTracker.adopt(second.crashTracker.getRecord(FINGERPRINT) as CrashRecord);
        await vi.advanceTimersByTimeAsync(HOLD_MS);
        await run(coordinator, "done");
        await second.sync(coordinator, "changes");
        expect(second.crashTracker.mayRun(FINGERPRINT)).toBe(true);
        await third.sync(coordinator, "first");
        expect([first, second, third].map(({ crashTracker }) => crashTracker.isSuspected(FINGERPRINT)))
            .toEqual([false, false, false]);
        coordinator.stop();
    });
});

describe("records of crashes", () => {
    const record = (crashIds: readonly string[], answeredAgeMs?: number): CrashRecord => ({
        fingerprint: FINGERPRINT,
        crashes: crashIds.map((crashId, index) => ({ crashId, ageMs: 1_000 * (index + 1) })),
        answeredAgeMs,
    });

    it.each([
        { what: "once", records: [record(["a", "b", "c"])], mayRun: false },
        { what: "twice", records: [record(["a", "b"]), record(["b", "a"])], heldMs: 2_000, mayRun: false },
        { what: "in parts that overlap", records: [record(["a", "b"]), record(["b", "c"])], mayRun: false },
        { what: "with one crash", records: [record(["a"]), record(["a"])], mayRun: true },
        { what: "with a later answer", records: [record(["a", "b"]), record([], 500)], mayRun: true },
        { what: "after a later answer", records: [record([], 500), record(["a", "b"])], mayRun: true },
        { what: "with an earlier answer", records: [record(["a", "b"]), record([], 5_000)], mayRun: false },
        { what: "without a fingerprint", records: [{ ...record(["a", "b"]), fingerprint: "" }], mayRun: true },
    ])("count each crash once, in any order: $what", ({ records, mayRun }) => {
        vi.advanceTimersByTime(10_000);
        const tracker = new CrashTracker();
        records.forEach(known => tracker.adopt(known));
        expect(tracker.mayRun(FINGERPRINT)).toBe(mayRun);
        const reversed = new CrashTracker();
        records.toReversed().forEach(known => reversed.adopt(known));
        expect(reversed.getRecord(FINGERPRINT)?.crashes.length).toBe(tracker.getRecord(FINGERPRINT)?.crashes.length);
        expect(reversed.mayRun(FINGERPRINT)).toBe(mayRun);
    });

    it("are told only of requests that are held back, and once for each change", () => {
        const tracker = new CrashTracker();
        const told: number[] = [];
        tracker.addListener(({ crashes }) => told.push(crashes.length));
        tracker.recordCrash(FINGERPRINT, "a");
        tracker.recordCrash(FINGERPRINT, "b");
        tracker.recordCrash(FINGERPRINT, "b");
        tracker.recordCrash(FINGERPRINT, "c");
        vi.advanceTimersByTime(1);
        tracker.recordResponse(FINGERPRINT);
        tracker.recordResponse(FINGERPRINT);
        tracker.recordResponse("other");
        expect(told).toEqual([2, 3, 0]);
    });

    it.each([
        { crashes: 1, endMs: 120_000 },
        { crashes: 3, endMs: 140_000 },
    ])("end two minutes after the request may run again: $crashes crashes", ({ crashes, endMs }) => {
        const tracker = new CrashTracker();
        for (let crash = 0; crash < crashes; crash += 1) {
            tracker.recordCrash(FINGERPRINT, String(crash));
        }
        vi.advanceTimersByTime(endMs);
        expect(tracker.getRecords("all")).toHaveLength(1);
        vi.advanceTimersByTime(1);
        expect([tracker.getRecords("all"), tracker.getRecord(FINGERPRINT)]).toEqual([[], undefined]);
    });

    it("let a request that comes again for 40 minutes run three times later than 3 s after its third crash", () => {
        const tracker = new CrashTracker();
        const crashTimesMs: number[] = [];
        for (let atMs = 0; atMs < PRESS_MS; atMs += AGAIN_MS) {
            if (tracker.mayRun(FINGERPRINT)) {
                tracker.recordCrash(FINGERPRINT, String(atMs));
                crashTimesMs.push(atMs);
            }
            vi.advanceTimersByTime(AGAIN_MS);
        }
        const thirdMs = crashTimesMs[2] ?? Infinity;
        expect(crashTimesMs.filter(atMs => atMs > thirdMs + 3_000).length).toBeLessThanOrEqual(3);
    });
});
