import { newLogger } from "@heatherline/common";
import { MemoryStore } from "@heatherline/store";
import { ok } from "neverthrow";
import { Readable } from "node:stream";
import { describe, expect, it, vi } from "vitest";
import { JobReader } from "./jobReader";
import { JobRunner } from "./jobRunner";
import { JobSubmitter } from "./jobSubmitter";

// Guards against sound results of a job that are all listed as failed, since together they don't fit into one object.
describe("results of a chunk", () => {
    it.each([
        { what: "that fit into one object", sizes: Array.from({ length: 30 }, () => 1_000), failed: 0 },
        { what: "that don't fit into one object", sizes: Array.from({ length: 30 }, () => 60_000), failed: 0 },
        {
            what: "of several bytes a character",
            sizes: Array.from({ length: 30 }, () => 20_000),
            letter: "録",
            failed: 0,
        },
        { what: "of which one fits into none", sizes: [1_000, 1_200_000, 2_000], failed: 1 },
    ])("$what are listed whole", async ({ sizes, letter = "r", failed }) => {
        const store = new MemoryStore();
        const newBody = (customId: string) => `${customId}: `.padEnd(sizes[Number(customId)] ?? 0, letter);
        const runner = new JobRunner(
            store,
            { execute: async ({ customId }) => ({ kind: "answered", status: 200, body: newBody(customId) }) },
            { isRunner: () => true },
            newLogger("test", "fatal"),
        );
        const lines = sizes.map((_, index) => JSON.stringify({ custom_id: `${index}`, url: "/x", body: "" }));
        const submitted = await new JobSubmitter(store).submit({
            organisation: "alpha",
            idempotencyKey: "key",
            dueAt: new Date(Date.now() + 60_000),
            lines: Readable.from([lines.join("\n")]),
            resolve: () => ok({ service: "s", isIdempotent: true }),
        });
        const { jobId } = submitted._unsafeUnwrap().manifest;
        runner.start();
        const reader = new JobReader(store);
        const getStatus = async () => (await reader.getStatus("alpha", jobId))._unsafeUnwrap();
        await vi.waitUntil(async () => (await getStatus()).pending === 0, { timeout: 10_000, interval: 100 });
        runner.stop();
        const { completed, failed: failedCount } = await getStatus();
        expect({ completed, failed: failedCount }).toEqual({ completed: sizes.length - failed, failed });
        const { results } = (await reader.getResults("alpha", jobId, 0))._unsafeUnwrap();
        expect(results.map(({ customId }) => customId)).toEqual(sizes.map((_, index) => `${index}`));
        const sound = results.filter(({ outcome }) => outcome === "completed");
        expect(sound.filter(({ customId, body }) => body !== newBody(customId))).toEqual([]);
    });
});
