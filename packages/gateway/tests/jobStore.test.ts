import { newLogger } from "@heatherline/common";
import { MemoryStore, type ObjectStore, type StoredValue, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { JobStore } from "../src/jobStore";

const OUTAGE_MS = 5_000;
/** The store should have a result this soon after it is reachable again. */
const MAX_DELAY_MS = 1_200;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** A store that refuses all writes until an outage is over. */
class StoreWithOutage {
    refused = 0;
    private readonly store = new MemoryStore();

    put(path: string, value: StoredValue, expected: number) {
        if (performance.now() < OUTAGE_MS) {
            this.refused += 1;
            return Promise.resolve(err(new StoreError("unavailable", "down")));
        }
        return this.store.put(path, value, expected);
    }
}

describe("writing results while the store is down", () => {
    it("is tried less and less often, and succeeds soon after the outage", async () => {
        const store = new StoreWithOutage();
        const jobs = new JobStore(store as unknown as ObjectStore, newLogger("test", "fatal"));
        let writtenAtMs: number | undefined;
        const startedAtMs = performance.now();
        void jobs.writeChunk("job", 0, [], new AbortController().signal).then(() => {
            writtenAtMs = performance.now() - startedAtMs;
        });
        await vi.advanceTimersByTimeAsync(OUTAGE_MS + MAX_DELAY_MS);
        expect(writtenAtMs).toBeLessThanOrEqual(OUTAGE_MS + MAX_DELAY_MS);
        expect(store.refused).toBeLessThan(10);
    });
});
