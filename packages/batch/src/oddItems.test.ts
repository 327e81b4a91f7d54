import { MemoryStore } from "@heatherline/store";
import { ok } from "neverthrow";
import { Readable } from "node:stream";
import { describe, expect, it } from "vitest";
import { JobSubmitter } from "./jobSubmitter";

// Such an item's run, or the write of its chunk, failed with an error that nobody handles.
describe("a job with an item that can't be sent or stored", () => {
    it.each([
        { what: "a space in its path", line: '{"custom_id":"a","url":"/v1/a b","body":{}}' },
        { what: "a line feed in its path", line: '{"custom_id":"a","url":"/v1/a\\nb","body":{}}' },
        { what: "a letter that no path holds", line: '{"custom_id":"a","url":"/v1/\\u4e00","body":{}}' },
        {
            what: "a body nested 100,000 levels",
            line: `{"custom_id":"a","url":"/v1/a","body":${"[".repeat(100_000)}${"]".repeat(100_000)}}`,
        },
    ])("is refused: $what", async ({ line }) => {
        const submitted = await new JobSubmitter(new MemoryStore()).submit({
            organisation: "alpha",
            idempotencyKey: "k",
            dueAt: new Date(Date.now() + 60_000),
            lines: Readable.from([line]),
            resolve: () => ok({ service: "s", isIdempotent: true }),
        });
        expect(submitted._unsafeUnwrapErr().kind).toBe("invalid");
    });
});
