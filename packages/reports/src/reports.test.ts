import { newLogger } from "@heatherline/common";
import { MemoryStore, type StoredValue, StoreError } from "@heatherline/store";
import { err } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { useRealTime, useSimulatedTime } from "../../../standins/simulation/time";
import { AuditLog } from "./auditLog";
import { AuditReader } from "./auditReader";
import { computeBurnRates, findWorstServedOrganisation } from "./burnRate";
import { type SloEvent, SloTracker } from "./sloTracker";

beforeEach(() => useSimulatedTime(1));
afterEach(useRealTime);

class FailingStore extends MemoryStore {
    isDown = false;

    override async put(path: string, value: StoredValue, expected: number) {
        return this.isDown ? err(new StoreError("unavailable", "down")) : super.put(path, value, expected);
    }
}

async function readAllLines(store: MemoryStore): Promise<string[]> {
    const lines: string[] = [];
    for (let from: string | undefined = "2000-01-01T00:00"; from !== undefined;) {
        const page: { lines: readonly string[]; next?: string; } =
            (await new AuditReader(store).readPage(from, "2100-01-01T00:00"))._unsafeUnwrap();
        lines.push(...page.lines);
        from = page.next;
    }
    return lines;
}

describe("the audit log", () => {
    it("keeps every entry through a store outage, and can be read over any time range", async () => {
        const store = new FailingStore();
        const audit = new AuditLog(store, "one", newLogger("test", "fatal"));
        audit.start();
        for (let number = 0; number < 300; number += 1) {
            store.isDown = number > 100 && number < 200;
            audit.addEntry({ at: new Date().toISOString(), number });
            await vi.advanceTimersByTimeAsync(1_000);
        }
        await audit.stop();
        const numbers = (await readAllLines(store)).map(line => (JSON.parse(line) as { number: number; }).number);
        expect(numbers.sort((left, right) => left - right)).toEqual(Array.from({ length: 300 }, (_, index) => index));
        expect(audit.counts).toEqual({ noted: 300, written: 300, lost: 0 });
    });

    // Dropped the entries that had just been written, and then as many newer ones; the sizes that it kept were wrong from
    // then on, and once they said that an empty buffer is full, the process hung.
    it("accounts for each entry once when its buffer overflows during a write", async () => {
        const store = new FailingStore();
        const audit = new AuditLog(store, "one", newLogger("test", "fatal"));
        const numbers: number[] = [];
        const add = (sizeBytes: number) => {
            numbers.push(numbers.length);
            audit.addEntry({ at: "", number: numbers.length - 1, text: "x".repeat(sizeBytes) });
        };
        for (let round = 0; round < 3; round += 1) {
            Array.from({ length: 1_000 }, () => add(80));
            const flushed = audit.flush();
            Array.from({ length: 2_000 }, () => add(10_000));
            await flushed;
            await audit.flush();
            expect(audit.counts.written + audit.counts.lost).toBe(numbers.length);
        }
        const written = (await readAllLines(store))
            .map(line => JSON.parse(line) as { number?: number; })
            .flatMap(({ number }) => number ?? []);
        expect(new Set(written).size).toBe(written.length);
        expect(written.length).toBe(audit.counts.written);
        expect(numbers.slice(-1_000).every(number => written.includes(number))).toBe(true);
    });

    it("records how many entries were dropped when an outage outlasts its buffer", async () => {
        const store = new FailingStore();
        store.isDown = true;
        const audit = new AuditLog(store, "one", newLogger("test", "fatal"));
        for (let number = 0; number < 2_000; number += 1) {
            audit.addEntry({ at: "", text: "x".repeat(10_000) });
        }
        store.isDown = false;
        await audit.stop();
        const lostCounts = (await readAllLines(store)).flatMap(line =>
            (JSON.parse(line) as { lostEntries?: number; }).lostEntries ?? []
        );
        expect(audit.counts.lost).toBeGreaterThan(0);
        expect(lostCounts.reduce((total, lostCount) => total + lostCount, 0)).toBe(audit.counts.lost);
        expect(audit.counts.written + audit.counts.lost).toBe(2_000);
    });
});

const GOOD_EVENT: SloEvent = {
    service: "lm",
    organisation: "alpha",
    firstByteMs: 10,
    durationMs: 20,
    status: 200,
    code: undefined,
};
const CASES: { name: string; events: SloEvent[]; burn: number; alert: string; wronglyRefused: number; }[] = [
    {
        name: "is 0 when all requests are good",
        events: Array.from({ length: 100 }, () => GOOD_EVENT),
        burn: 0,
        alert: "none",
        wronglyRefused: 0,
    },
    {
        name: "is 1 when one request in 100 fails and the target is 99 %",
        events: [...Array.from({ length: 99 }, () => GOOD_EVENT), {
            ...GOOD_EVENT,
            status: 502,
            code: "endpoint-failed",
        }],
        burn: 1,
        alert: "none",
        wronglyRefused: 0,
    },
    {
        name: "is 100, with a page alert, when all requests are wrongly refused",
        events: Array.from({ length: 10 }, () => ({ ...GOOD_EVENT, status: 503, code: "no-endpoint" })),
        burn: 100,
        alert: "page",
        wronglyRefused: 10,
    },
    {
        name: "ignores rate-limited requests",
        events: [GOOD_EVENT, { ...GOOD_EVENT, status: 429, code: "rate-limited" }],
        burn: 0,
        alert: "none",
        wronglyRefused: 0,
    },
];

describe("the burn rate of an objective", () => {
    it.each(CASES)("$name", ({ events, burn, alert, wronglyRefused }) => {
        const tracker = new SloTracker(() => ({ firstByteMs: 100, durationMs: 100 }));
        events.forEach(event => tracker.recordEvent(event));
        const objectives = new Map([["lm", [{
            objective: "availability" as const,
            targetFraction: 0.99,
            windowDays: 28,
        }]]]);
        const rows = computeBurnRates(tracker.export(), objectives);
        const worst = findWorstServedOrganisation(rows);
        expect(worst?.burnRates[60]).toBeCloseTo(burn, 6);
        expect([worst?.alert, worst?.wronglyRefused]).toEqual([alert, wronglyRefused]);
    });
});
