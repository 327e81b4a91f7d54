import type { BlockedPrompt } from "@heatherline/common";
import type { Logger } from "@heatherline/common";
import { BLOCKED_PROMPT_KIND } from "@heatherline/fleet";
import { MemoryStore, type ObjectStore, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BlockedPromptStore } from "../src/fleet/blockedPromptStore";

const logger = { info: () => undefined, warn: () => undefined } as unknown as Logger;
const PROMPT: BlockedPrompt = { blockId: "b", parts: ["all", "bad"], trials: 0, laterCrashes: 0, blockedAt: 1 };
const PATH = `${BLOCKED_PROMPT_KIND}/b`;
/** Longer than all delays between the attempts that a case needs. */
const SETTLE_MS = 10_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** A store whose first writes fail, although some take effect. */
class FailingStore extends MemoryStore {
    constructor(private failuresLeft: number, private readonly takesEffect: boolean) {
        super();
    }

    override async put(...args: Parameters<ObjectStore["put"]>): ReturnType<ObjectStore["put"]> {
        if (this.failuresLeft === 0) {
            return super.put(...args);
        }
        this.failuresLeft -= 1;
        if (this.takesEffect) {
            await super.put(...args);
        }
        return err(new StoreError("unknown", "the response was lost"));
    }
}

describe("a block of a prompt in the store", () => {
    it.each([
        { what: "is written", failures: 0, takesEffect: false },
        { what: "is written once the store takes writes", failures: 3, takesEffect: false },
        { what: "is written although responses of the store are lost", failures: 2, takesEffect: true },
    ])("$what", async ({ failures, takesEffect }) => {
        const store = new FailingStore(failures, takesEffect);
        new BlockedPromptStore(store, logger).save(PROMPT, false);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        const { blockId: unusedBlockId, ...value } = PROMPT;
        expect((await store.get(PATH))._unsafeUnwrap()?.value).toEqual(value);
    });

    it("is the latest one if it changes while the store fails", async () => {
        const store = new FailingStore(3, false);
        const blocks = new BlockedPromptStore(store, logger);
        blocks.save(PROMPT, false);
        blocks.save({ ...PROMPT, parts: ["bad"] }, false);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect((await store.get(PATH))._unsafeUnwrap()?.value.parts).toEqual(["bad"]);
    });

    it("is removed when it ends, also while it is being written", async () => {
        const store = new FailingStore(2, true);
        const blocks = new BlockedPromptStore(store, logger);
        blocks.save(PROMPT, false);
        blocks.save(PROMPT, true);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        expect((await store.get(PATH))._unsafeUnwrap()).toBeUndefined();
    });
});

/** A store that doesn't accept blocks of many parts; counts the writes. */
class RejectingStore extends MemoryStore {
    writes = 0;

    override async put(...args: Parameters<ObjectStore["put"]>): ReturnType<ObjectStore["put"]> {
        this.writes += 1;
        const isTooLarge = (args[1].parts as string[]).length > 1;
        return isTooLarge ? err(new StoreError("rejected", "too large")) : super.put(...args);
    }
}

// Guards against a store that is called again and again for minutes with a block that it has rejected for good.
describe("a block that the store rejects", () => {
    it.each([
        { what: "isn't written again", laterParts: undefined, writes: 1, stored: undefined },
        { what: "is written once it has changed", laterParts: ["bad"], writes: 2, stored: ["bad"] },
    ])("$what", async ({ laterParts, writes, stored }) => {
        const store = new RejectingStore();
        const blocks = new BlockedPromptStore(store, logger);
        blocks.save(PROMPT, false);
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
        if (laterParts !== undefined) {
            blocks.save({ ...PROMPT, parts: laterParts }, false);
            await vi.advanceTimersByTimeAsync(SETTLE_MS);
        }
        expect(store.writes).toBe(writes);
        expect((await store.get(PATH))._unsafeUnwrap()?.value.parts).toEqual(stored);
    });
});
