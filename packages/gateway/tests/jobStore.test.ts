import { newLogger } from "@heatherline/common";
import { MemoryStore, type ObjectStore, type StoredValue, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type JobManifest, JobStore } from "../src/jobs/jobStore";

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
        void jobs.writeChunk("job", 0, { results: [] }, new AbortController().signal).then(() => {
            writtenAtMs = performance.now() - startedAtMs;
        });
        await vi.advanceTimersByTimeAsync(OUTAGE_MS + MAX_DELAY_MS);
        expect(writtenAtMs).toBeLessThanOrEqual(OUTAGE_MS + MAX_DELAY_MS);
        expect(store.refused).toBeLessThan(10);
    });
});

/** A job store whose store accepts some deletions, of any version as on the platform, and refuses all after them. */
function newJobStore(store: MemoryStore, acceptedDeletions: number): JobStore {
    let left = acceptedDeletions;
    const deleteAnyVersion = async (path: string) => {
        left -= 1;
        const version = (await store.get(path))._unsafeUnwrap()?.version ?? 0;
        return left < 0 ? err(new StoreError("unavailable", "down")) : store.delete(path, version);
    };
    const failing = Object.assign(Object.create(store) as MemoryStore, { delete: deleteAnyVersion });
    return new JobStore(failing, newLogger("test", "fatal"));
}

describe("removing a job", () => {
    it("leaves nothing behind when it is interrupted after any number of deletions and tried again", async () => {
        for (let deletions = 0; deletions < 6; deletions += 1) {
            const store = new MemoryStore();
            const manifest = { jobId: "job", bodyParts: 1 } as JobManifest;
            await store.put("heatherline-jobs/job", {}, 0);
            await store.put("heatherline-job-bodies/job.0", {}, 0);
            for (const index of [0, 1, 2]) {
                await store.put(`heatherline-job-results/job.${index}`, { results: [], writeId: "w" }, 0);
            }
            await newJobStore(store, deletions).remove(manifest);
            await newJobStore(store, Infinity).remove(manifest);
            for (const kind of ["heatherline-jobs", "heatherline-job-bodies", "heatherline-job-results"]) {
                const { objects } = (await store.list(kind))._unsafeUnwrap();
                expect(objects, `${kind} after ${deletions} deletions`).toEqual([]);
            }
        }
    });
});
