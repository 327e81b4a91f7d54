import { newLogger } from "@heatherline/common";
import fc from "fast-check";
import { ok } from "neverthrow";
import { Readable } from "node:stream";
import { afterEach, describe, expect, it, vi } from "vitest";
import { arbitraryFaults, scheduleFaults } from "../../../standins/simulation/faults";
import { type SimulatedHost, SimulatedNetwork } from "../../../standins/simulation/network";
import { advanceTime, useRealTime, useSimulatedTime } from "../../../standins/simulation/time";
import { type ItemOutcome, MAX_ITEM_ATTEMPTS, runItem } from "./itemRunner";
import { JobReader } from "./jobReader";
import { JobRunner } from "./jobRunner";
import { type JobSubmission, JobSubmitter } from "./jobSubmitter";

const SEED = 20_261_204;
const ITEM_COUNT = 30;
const RUN_MS = 30_000;
/** Long enough for runners to give up on a lost runner of items that must not run twice. */
const SETTLE_MS = 600_000;
const HOSTS = ["one", "two"];

function newSubmission(key: string, isIdempotent: boolean, content = ""): JobSubmission {
    const lines = Array.from(
        { length: ITEM_COUNT },
        (_, index) => JSON.stringify({ custom_id: `${key}-${index}`, url: "/x", body: content }),
    );
    return {
        organisation: "alpha",
        idempotencyKey: key,
        dueAt: new Date(Date.now() + 60_000),
        lines: Readable.from([lines.join("\n")]),
        resolve: () => ok({ service: "s", isIdempotent }),
    };
}

/** Two instances with a job runner each. Which one runs the jobs is chosen at random every 4 s. */
class Fleet {
    readonly runsByItem = new Map<string, number>();
    readonly network: SimulatedNetwork;
    readonly submitters: JobSubmitter[];
    readonly reader: JobReader;
    runnerId = HOSTS[0];
    startedAfterCancelMs = 0;

    constructor(seed: number) {
        this.network = new SimulatedNetwork(seed);
        const hosts = HOSTS.map(id => this.network.addHost(id, id));
        this.submitters = hosts.map(host => new JobSubmitter(this.network.newStore(host)));
        this.reader = new JobReader(this.network.store);
        for (const host of hosts) {
            const executor = { execute: (item: { customId: string; }) => this.execute(host, item.customId) };
            const placement = { isRunner: () => this.runnerId === host.id };
            new JobRunner(this.network.newStore(host), executor, placement, newLogger("test", "fatal")).start();
        }
        setInterval(() => {
            this.runnerId = HOSTS[Math.floor(this.network.random() * HOSTS.length)];
        }, 4_000);
    }

    private async execute(host: SimulatedHost, customId: string): Promise<ItemOutcome> {
        if (host.isFrozen) {
            await new Promise<void>(resolve => host.resumeCallbacks.push(resolve));
        }
        this.runsByItem.set(customId, (this.runsByItem.get(customId) ?? 0) + 1);
        await new Promise(resolve => setTimeout(resolve, this.network.random() * 800));
        return { kind: "answered", status: 200, body: customId };
    }
}

describe("batch jobs under faults", () => {
    afterEach(useRealTime);

    it("gives every accepted item one result, and runs items that must not run twice at most once", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                arbitraryFaults(RUN_MS, 5),
                fc.boolean(),
                async (seed, faults, isIdempotent) => {
                    useSimulatedTime(seed);
                    try {
                        const fleet = new Fleet(seed);
                        const accepted = Promise.all(
                            [0, 1].map(index => fleet.submitters[index]?.submit(newSubmission("job", isIdempotent))),
                        );
                        await advanceTime(3_000, 100, () => undefined);
                        const jobIds = (await accepted).flatMap(result =>
                            result?.isOk() ? [result.value.manifest.jobId] : []
                        );
                        expect(new Set(jobIds).size).toBe(1);
                        scheduleFaults(fleet.network, faults);
                        await advanceTime(RUN_MS, 100, () => undefined);
                        fleet.network.heal();
                        await vi.advanceTimersByTimeAsync(SETTLE_MS);
                        const status = (await fleet.reader.getStatus("alpha", jobIds[0] ?? ""))._unsafeUnwrap();
                        expect([status.state, status.completed + status.failed]).toEqual(["done", ITEM_COUNT]);
                        const page = (await fleet.reader.getResults("alpha", jobIds[0] ?? "", 0))._unsafeUnwrap();
                        expect(new Set(page.results.map(({ customId }) => customId)).size).toBe(ITEM_COUNT);
                        expect([...fleet.runsByItem.values()].filter(count => !isIdempotent && count > 1)).toEqual([]);
                    }
                    finally {
                        useRealTime();
                    }
                },
            ),
            { seed: SEED, numRuns: Number(process.env.PROPERTY_RUNS ?? 15), endOnFailure: true },
        );
    }, 120_000);

    it("stops a cancelled job and keeps its results", async () => {
        useSimulatedTime(SEED);
        const fleet = new Fleet(SEED);
        const submitted = fleet.submitters[0]?.submit(newSubmission("job", true));
        await vi.advanceTimersByTimeAsync(200);
        const { jobId } = (await submitted)?._unsafeUnwrap().manifest ?? { jobId: "" };
        await vi.advanceTimersByTimeAsync(300);
        expect((await fleet.reader.cancel("alpha", jobId))._unsafeUnwrap().state).toBe("cancelled");
        await vi.advanceTimersByTimeAsync(3_000);
        const before = new Map(fleet.runsByItem);
        await vi.advanceTimersByTimeAsync(30_000);
        expect(fleet.runsByItem).toEqual(before);
        expect((await fleet.reader.getStatus("alpha", jobId))._unsafeUnwrap().state).toBe("cancelled");
    });

    it.each([
        { name: "the same content returns the same job", content: "", expected: true },
        { name: "different content is rejected", content: "other", expected: "conflict" },
    ])("handles a job submitted again under its key: $name", async ({ content, expected }) => {
        const network = new SimulatedNetwork(SEED);
        const submitter = new JobSubmitter(network.store);
        expect((await submitter.submit(newSubmission("job", true)))._unsafeUnwrap().isRepeated).toBe(false);
        const again = await submitter.submit(newSubmission("job", true, content));
        expect(again.isOk() ? again.value.isRepeated : again.error.kind).toBe(expected);
    });
});

const RUN_ITEM_CASES: {
    name: string;
    outcomes: ItemOutcome[];
    isIdempotent: boolean;
    outcome: string;
    attempts: number;
}[] = [
    {
        name: "completes an item with a successful response",
        outcomes: [{ kind: "answered", status: 200, body: 1 }],
        isIdempotent: true,
        outcome: "completed",
        attempts: 1,
    },
    {
        name: "fails an item after the maximum number of attempts",
        outcomes: [{ kind: "answered", status: 500, body: 1 }],
        isIdempotent: true,
        outcome: "failed",
        attempts: MAX_ITEM_ATTEMPTS,
    },
    {
        name: "doesn't retry a client error",
        outcomes: [{ kind: "answered", status: 422, body: 1 }],
        isIdempotent: true,
        outcome: "failed",
        attempts: 1,
    },
    {
        name: "doesn't retry an item that must not run twice",
        outcomes: [{ kind: "failed", reason: "reset" }],
        isIdempotent: false,
        outcome: "failed",
        attempts: 1,
    },
    {
        name: "doesn't count preempted attempts, nor attempts that sent the item to no endpoint",
        outcomes: [{ kind: "preempted" }, { kind: "preempted" }, { kind: "not-run", retryAfterMs: 1 }, {
            kind: "answered",
            status: 200,
            body: 1,
        }],
        isIdempotent: true,
        outcome: "completed",
        attempts: 1,
    },
    {
        name: "runs an item again however often endpoints crashed under it",
        outcomes: [
            ...Array.from({ length: 2 * MAX_ITEM_ATTEMPTS }, () => ({ kind: "failed", reason: "reset" }) as const),
            { kind: "answered", status: 200, body: 1 },
        ],
        isIdempotent: true,
        outcome: "completed",
        attempts: 2 * MAX_ITEM_ATTEMPTS + 1,
    },
    {
        name: "fails an item at once if no attempt can succeed",
        outcomes: [{ kind: "impossible", reason: "no model" }],
        isIdempotent: true,
        outcome: "failed",
        attempts: 0,
    },
];

describe("runItem", () => {
    it.each(RUN_ITEM_CASES)("$name", async ({ outcomes, isIdempotent, outcome, attempts }) => {
        useSimulatedTime(SEED);
        let index = 0;
        const execute = async () => outcomes[Math.min(index++, outcomes.length - 1)] ?? { kind: "cancelled" as const };
        const running = runItem({ execute }, { customId: "i", method: "POST", path: "/", body: 1 }, {
            organisation: "a",
            service: "s",
            isIdempotent,
        }, new AbortController().signal);
        await vi.advanceTimersByTimeAsync(60_000);
        const result = await running;
        expect([result.outcome, result.attempts]).toEqual([outcome, attempts]);
        useRealTime();
    });
});
