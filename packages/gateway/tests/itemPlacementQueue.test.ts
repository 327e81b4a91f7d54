import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ItemPlacementQueue, type ItemTiming } from "../src/jobs/itemPlacementQueue";

const REMAINING_MS = 5_000;
/** How long each place request waits while all places are taken. */
const PLACE_REQUEST_MS = 4_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Adds an item to the queue; its name is added to `sent` when its place request is sent. */
function addItem(
    queue: ItemPlacementQueue,
    sent: string[],
    name: string,
    timing: ItemTiming,
    service = "digests",
): void {
    void queue.add(service, timing, async () => {
        sent.push(name);
        await new Promise(resolve => setTimeout(resolve, PLACE_REQUEST_MS));
    });
}

describe("the place requests of batch items", () => {
    it("are sent at once for items that can be on time, despite a backlog of late items after an outage", async () => {
        const queue = new ItemPlacementQueue();
        const sent: string[] = [];
        for (let item = 0; item < 40; item += 1) {
            addItem(queue, sent, `late-${item}`, { dueInMs: -3_000 + item, remainingMs: REMAINING_MS });
        }
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `new-${item}`, { dueInMs: 18_000, remainingMs: REMAINING_MS });
        }
        await vi.advanceTimersByTimeAsync(1);
        expect(sent.filter(name => name.startsWith("new"))).toHaveLength(8);
    });

    it("are sent at once for items of a service, despite many of another one that has no endpoints", async () => {
        const queue = new ItemPlacementQueue();
        const sent: string[] = [];
        for (let item = 0; item < 40; item += 1) {
            addItem(queue, sent, `stuck-${item}`, { dueInMs: 18_000, remainingMs: REMAINING_MS }, "lost");
            addItem(queue, sent, `stuck-late-${item}`, { dueInMs: 0, remainingMs: REMAINING_MS }, "lost");
        }
        addItem(queue, sent, "on-time", { dueInMs: 20_000, remainingMs: REMAINING_MS });
        addItem(queue, sent, "late", { dueInMs: 1_000, remainingMs: REMAINING_MS });
        await vi.advanceTimersByTimeAsync(1);
        expect(sent.filter(name => !name.startsWith("stuck"))).toEqual(["on-time", "late"]);
        expect(sent).toHaveLength(2 + 8 + 2);
    });

    it("are sent for started items before unstarted ones that are due at the same time", async () => {
        const queue = new ItemPlacementQueue();
        const sent: string[] = [];
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `first-${item}`, { dueInMs: 18_000, remainingMs: REMAINING_MS });
        }
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `fresh-${item}`, { dueInMs: 18_000, remainingMs: REMAINING_MS });
        }
        addItem(queue, sent, "begun", { dueInMs: 18_000, remainingMs: 1_000 });
        await vi.advanceTimersByTimeAsync(PLACE_REQUEST_MS + 1);
        expect(sent[8]).toBe("begun");
    });

    it("are sent in the order of due times for items that can be on time", async () => {
        const queue = new ItemPlacementQueue();
        const sent: string[] = [];
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `first-${item}`, { dueInMs: 30_000, remainingMs: REMAINING_MS });
        }
        addItem(queue, sent, "later", { dueInMs: 25_000, remainingMs: REMAINING_MS });
        addItem(queue, sent, "sooner", { dueInMs: 15_000, remainingMs: REMAINING_MS });
        await vi.advanceTimersByTimeAsync(PLACE_REQUEST_MS + 1);
        expect(sent.slice(8)).toEqual(["sooner", "later"]);
    });

    it("are sent last, but are sent, for items that become late while they wait", async () => {
        const queue = new ItemPlacementQueue();
        const sent: string[] = [];
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `first-${item}`, { dueInMs: 10_000, remainingMs: REMAINING_MS });
        }
        addItem(queue, sent, "becomes-late", { dueInMs: REMAINING_MS + 1_000, remainingMs: REMAINING_MS });
        for (let item = 0; item < 8; item += 1) {
            addItem(queue, sent, `in-time-${item}`, { dueInMs: 20_000, remainingMs: REMAINING_MS });
        }
        await vi.advanceTimersByTimeAsync(PLACE_REQUEST_MS + 1);
        expect(sent).toHaveLength(8 + 8 + 1);
        expect(sent).toContain("becomes-late");
    });
});
