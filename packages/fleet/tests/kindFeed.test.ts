import { newLogger } from "@heatherline/common";
import { MemoryStore } from "@heatherline/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { KindFeed } from "../src/kindFeed";

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// The error ended the process, since nobody handles the promise of the loop.
describe("a feed whose objects can't be applied", () => {
    it("lists them again and goes on following them", async () => {
        const store = new MemoryStore();
        const seen: number[] = [];
        const feed = new KindFeed(store, "kind", 100, 0, {
            onRead: ({ objects }) => {
                if (objects.has("odd")) {
                    throw new RangeError("Maximum call stack size exceeded");
                }
                seen.push(objects.size);
            },
            onFailure: () => undefined,
            getRetryDelayMs: () => 10,
        }, newLogger("test", "fatal"));
        await store.put("kind/good", { a: 1 }, 0);
        const odd = await store.put("kind/odd", { a: 1 }, 0);
        feed.start();
        await vi.advanceTimersByTimeAsync(200);
        expect(seen).toEqual([]);
        await store.delete("kind/odd", odd._unsafeUnwrap());
        await vi.advanceTimersByTimeAsync(200);
        expect(seen.at(-1)).toBe(1);
        feed.stop();
    });
});
