import { newLogger } from "@heatherline/common";
import type { MemberEntry } from "@heatherline/fleet";
import { ok } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import { SyncMessages, type SyncMessagesDependencies } from "../src/fleet/syncMessages";
import { type JobHandover, JobRunner, type JobRunnerDependencies } from "../src/jobs/jobRunner";
import type { JobManifest } from "../src/jobs/jobStore";

/** Largest message that an instance accepts, in bytes. */
const MAX_MESSAGE_BYTES = 4_000_000;
const OTHER = { instanceId: "other", host: "h", rpcPort: 1 } as MemberEntry;

const getBytes = (message: unknown) => Buffer.byteLength(JSON.stringify(message));

// Guards against an instance that no coordinator ever hears of, since its first report is larger than a message may be.
describe("the first report to a coordinator", () => {
    const newCrashes = (count: number, partLength: number) =>
        Array.from({ length: count }, (_, index) => ({
            crashId: `${index}`,
            requests: [{ name: `${index}`, parts: ["p".repeat(partLength)] }],
        }));
    const newCrashRecords = (count: number) =>
        Array.from({ length: count }, (_, index) => ({
            fingerprint: `${index}`.padEnd(32, "f"),
            crashes: Array.from({ length: 8 }, (__, crash) => ({ crashId: `${index}-${crash}`.padEnd(16), ageMs: 1 })),
        }));
    const newStreams = (count: number, idLength: number) => [{
        service: "lm",
        softwareVersion: "v1",
        requestIds: Array.from({ length: count }, (_, index) => `${index}`.padEnd(idLength, "i")),
    }];

    it.each([
        {
            what: "crashes under prompts with long parts",
            crashes: newCrashes(64, 100_000),
            streams: [],
            isWhole: false,
        },
        { what: "streams with long ids", crashes: [], streams: newStreams(10_000, 1_000), isWhole: false },
        {
            what: "usual crashes and streams",
            crashes: newCrashes(64, 40),
            streams: newStreams(10_000, 20),
            isWhole: true,
        },
    ])("is accepted, with the newest crashes: $what", ({ crashes, streams, isWhole }) => {
        const crashRecords = newCrashRecords(4_096);
        const messages = new SyncMessages({
            self: OTHER,
            view: { getRevisions: () => ({}) },
            feed: {},
            placement: {
                getPlaces: () => [],
                getRecentCrashes: () => [...crashes],
                statements: { getLimits: () => [] },
                crashTracker: { getRecords: () => crashRecords },
                getStreams: () => streams,
            },
            runner: { getProgress: () => [] },
        } as unknown as SyncMessagesDependencies);
        const report = messages.newRequest("first", 0);
        expect(getBytes(report)).toBeLessThan(MAX_MESSAGE_BYTES);
        expect(report.crashes?.at(-1)).toEqual(crashes.at(-1));
        expect(report.crashRecords?.length).toBeGreaterThan(900);
        expect(report.crashRecords?.[0]).toEqual(crashRecords[0]);
        const streamCount = report.streams?.[0]?.requestIds.length ?? 0;
        expect(streamCount).toBeGreaterThan(streams.length === 0 ? -1 : 900);
        expect(report.crashes?.length === crashes.length && streamCount === (streams[0]?.requestIds.length ?? 0)).toBe(
            isWhole,
        );
    });
});

// Guards against a planned stop after which all items of a job run again, since its progress is larger than a message may be.
describe("the progress of a job that is handed over", () => {
    it.each([
        { what: "whole if it fits", outputBytes: 10_000, handedOver: 10 },
        { what: "as far as it fits", outputBytes: 700_000, handedOver: 4 },
    ])("is accepted, $what", async ({ outputBytes, handedOver }) => {
        const handovers: JobHandover[] = [];
        const itemIds = Array.from({ length: 10 }, (_, index) => `item-${index}`);
        const runner = new JobRunner({
            store: { writeChunk: () => new Promise(() => undefined) },
            rpc: {
                callAddress: async (
                    unusedHost: string,
                    unusedPort: number,
                    unusedMethod: string,
                    handover: JobHandover,
                ) => {
                    handovers.push(handover);
                    return ok(getBytes(handover) < MAX_MESSAGE_BYTES);
                },
            },
            logger: newLogger("test", "fatal"),
            isSoleRunner: () => true,
        } as unknown as JobRunnerDependencies);
        const manifest: JobManifest = {
            jobId: "job",
            organisation: "",
            route: "jobs",
            submittedAt: Date.now(),
            itemTokens: itemIds.map(() => 1),
            state: "open",
            host: "api",
            items: itemIds.map(itemId => ({ itemId, path: "/", headers: {}, tokens: 1 })),
            bodyParts: 1,
            isEndedByCaller: false,
        };
        const finished = itemIds.map(itemId => ({
            itemId,
            state: "completed" as const,
            output: "o".repeat(outputBytes),
        }));
        runner.add(manifest, [{}], { jobId: "job", by: "", items: [], finished });
        await vi.waitFor(() => expect(runner.getActiveJobIds()).toEqual(["job"]));
        await runner.handOver([OTHER]);
        expect(handovers.map(handover => [handover.finished.length, getBytes(handover) < MAX_MESSAGE_BYTES]))
            .toEqual([[handedOver, true]]);
    });
});
