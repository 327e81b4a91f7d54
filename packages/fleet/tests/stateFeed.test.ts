import { newLogger } from "@heatherline/common";
import { type ObjectStore, StoreError } from "@heatherline/store";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type EndpointEntry, FleetView, StateFeed, type StateSchema } from "../src";

const RENEWAL_MS = 1_200;
const OUTAGE_MS = 10_000;
/** Longest retry delay of the configuration feed, including jitter. */
const MAX_RETRY_DELAY_MS = 1_300;

const schema: StateSchema = {
    configKind: "config",
    configName: "main",
    endpointKind: "endpoints",
    evacuationKind: "evacuations",
    retirementKind: "retirements",
    retiredStatus: {},
    decodeConfig: () => err("not needed"),
    decodeEndpoint: (endpointId, value) => ({ endpointId, ...value as object } as EndpointEntry),
};

/** A store that counts calls by kind, and may be down. */
class CountingStore implements ObjectStore {
    isDown = false;
    refusedKind = "";
    endpoints: readonly string[] = ["a", "b", "c"];
    readonly calls = new Map<string, number>();
    private revision = 1;

    async get() {
        return ok(undefined);
    }

    async list(prefix: string) {
        return this.respond(prefix, () => ({
            revision: this.revision += 1,
            objects: prefix === "endpoints"
                ? this.endpoints.map(name => ({
                    path: `endpoints/${name}`,
                    value: { service: "lm", state: "ready", dataCentre: "east", slots: 8 },
                    version: 1,
                }))
                : [],
        }));
    }

    async put() {
        return ok(1);
    }

    async delete() {
        return ok(undefined);
    }

    async watch(prefix: string, afterRevision: number, waitMs: number) {
        await new Promise(resolve => setTimeout(resolve, this.isDown ? 0 : waitMs));
        return this.respond(prefix, () => ({ revision: afterRevision, events: [] }));
    }

    private respond<Value>(kind: string, newValue: () => Value) {
        this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
        return this.isDown || kind === this.refusedKind
            ? err(new StoreError("unavailable", "status 503"))
            : ok(newValue());
    }
}

let store: CountingStore;
let view: FleetView;
let feed: StateFeed;

beforeEach(async () => {
    vi.useFakeTimers();
    store = new CountingStore();
    view = new FleetView(RENEWAL_MS);
    const listeners = { onRetirements: () => undefined, onJobs: () => undefined };
    feed = new StateFeed(store, schema, view, listeners, () => false, newLogger("test", "fatal"));
    feed.setScope("essentials");
    await vi.advanceTimersByTimeAsync(3_000);
});

afterEach(() => {
    feed.setScope("nothing");
    vi.useRealTimers();
});

describe("while the store is down", () => {
    it("only the configuration feed retries often", async () => {
        store.isDown = true;
        store.calls.clear();
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        const [config = 0, endpoints = 0, evacuations = 0] = ["config", "endpoints", "evacuations"]
            .map(kind => store.calls.get(kind));
        expect(config).toBeGreaterThanOrEqual(OUTAGE_MS / MAX_RETRY_DELAY_MS);
        expect(endpoints + evacuations).toBeLessThan(config);
    });

    it("keeps lapsed endpoints, and reads all kinds soon after the outage", async () => {
        store.isDown = true;
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        store.isDown = false;
        store.endpoints = ["b"];
        store.calls.clear();
        await vi.advanceTimersByTimeAsync(MAX_RETRY_DELAY_MS);
        expect([...store.calls.keys()].sort()).toEqual(["config", "endpoints", "evacuations"]);
        expect(view.getLapsedIds().sort()).toEqual(["a", "c"]);
        expect(view.getEndpoints()).toHaveLength(3);
    });
});

describe("an instance that becomes the coordinator at the end of a store outage", () => {
    it("still knows how long the outage was", async () => {
        store.isDown = true;
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        feed.setScope("everything");
        store.isDown = false;
        store.endpoints = ["b", "c"];
        await vi.advanceTimersByTimeAsync(MAX_RETRY_DELAY_MS);
        // After a short outage, one missing endpoint of three would not count as lapsed.
        expect(view.getLapsedIds()).toEqual(["a"]);
    });
});

describe("while the store refuses one kind", () => {
    it("reads the endpoints at least every two seconds", async () => {
        store.refusedKind = "config";
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        const readsBefore = store.calls.get("endpoints") ?? 0;
        await vi.advanceTimersByTimeAsync(OUTAGE_MS);
        expect((store.calls.get("endpoints") ?? 0) - readsBefore).toBeGreaterThanOrEqual(OUTAGE_MS / 2_000);
    });
});
