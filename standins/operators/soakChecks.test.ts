import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Engine } from "./engine";
import { type FaultKind, FaultLog, type FaultTarget } from "./faultLog";
import { type CallResult, SoakChecks } from "./soakChecks";

const EPOCH_MS = 1_700_000_000_000;
const SENT_AT_MS = 10_000;
const SENT_BODY = " events=12";

/** A fault from one time to another, in milliseconds since the test began. */
type Fault = readonly [kind: FaultKind, target: FaultTarget, fromMs: number, toMs: number];

/** When a request ran at an engine, in milliseconds since the test began. */
interface TestRun {
    readonly engine: number;
    readonly fromMs: number;
    readonly toMs: number;
}

const STOP: Fault = ["planned", "gateway g", SENT_AT_MS + 100, Infinity];

function newCall(changes: Partial<CallResult> = {}): CallResult {
    return {
        requestId: "r",
        route: "again",
        gateway: "g",
        sentBody: SENT_BODY,
        eventFillers: 0,
        status: 200,
        isComplete: false,
        body: "id: 0\ndata: event 0 of r\n\n",
        signature: "sig.r",
        retryAfter: undefined,
        wasKept: true,
        isGivenUp: false,
        ...changes,
        sentAtMs: EPOCH_MS + (changes.sentAtMs ?? SENT_AT_MS),
        endedAtMs: EPOCH_MS + (changes.endedAtMs ?? SENT_AT_MS + 1_500),
    };
}

function newChecks(faults: readonly Fault[], runs: readonly TestRun[]): SoakChecks {
    const log = new FaultLog();
    for (const [kind, target, fromMs, toMs] of faults) {
        vi.setSystemTime(EPOCH_MS + fromMs);
        log.begin(kind, target, "", 0).endedAtMs = EPOCH_MS + toMs;
    }
    const engines = [1, 2].map(number => new Engine(`i-${number}`, { service: "lm", dataCentre: "east" }));
    for (const { engine, fromMs, toMs } of runs) {
        engines[engine - 1]?.seen.push({
            requestId: "r",
            method: "POST",
            path: "/again/a",
            body: SENT_BODY,
            headers: { model: "m", tenant: "alpha" },
            sourceAddress: "127.0.1.1",
            atMs: EPOCH_MS + fromMs,
            endedAtMs: EPOCH_MS + toMs,
            events: 1,
        });
    }
    return new SoakChecks(engines, log);
}

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

describe("the soak's checks", () => {
    const run: TestRun = { engine: 1, fromMs: SENT_AT_MS + 10, toMs: SENT_AT_MS + 1_500 };
    const next: TestRun = { engine: 2, fromMs: SENT_AT_MS + 600, toMs: SENT_AT_MS + 1_500 };

    it.each<
        {
            what: string;
            faults?: readonly Fault[];
            call?: Partial<CallResult>;
            runs?: readonly TestRun[];
            broken: number;
        }
    >([
        { what: "a response is cut at a gateway that stops as planned", faults: [STOP], broken: 1 },
        { what: "it has no response there", faults: [STOP], call: { status: 0, body: "" }, broken: 1 },
        { what: "it had not been passed on", faults: [STOP], runs: [], broken: 0 },
        { what: "the engine was silent", faults: [STOP, ["sound", "engine i-1", 10_200, 11_400]], broken: 1 },
        { what: "the engine broke off", faults: [STOP, ["unplanned", "engine i-1", 10_200, 11_400]], broken: 0 },
        { what: "the caller gave up", faults: [STOP], call: { isGivenUp: true }, broken: 0 },
        {
            what: "the store was in trouble shortly before",
            faults: [STOP, ["unplanned", "store", 5_000, 7_500]],
            broken: 0,
        },
        {
            what: "the store was in trouble long before",
            faults: [STOP, ["unplanned", "store", 5_000, 6_500]],
            broken: 1,
        },
        { what: "another gateway stops as planned", faults: [["planned", "gateway h", 10_100, Infinity]], broken: 0 },
        { what: "its deadline was reached", faults: [STOP], call: { endedAtMs: SENT_AT_MS + 4_900 }, broken: 0 },
        {
            what: "the stop had lasted for nearly the grace period",
            faults: [["planned", "gateway g", SENT_AT_MS - 2_500, Infinity]],
            call: { endedAtMs: SENT_AT_MS + 4_400 },
            broken: 0,
        },
        { what: "nothing happens at all", broken: 0 },
        { what: "it runs at two engines for long", runs: [run, next], broken: 1 },
        { what: "it runs at two engines for a moment", runs: [{ ...run, toMs: next.fromMs + 390 }, next], broken: 0 },
        {
            what: "it runs at two engines, beside a gateway that was frozen",
            faults: [["unplanned", "gateway g", 9_000, 9_500]],
            runs: [run, next],
            broken: 0,
        },
    ])("find $broken faults if $what", ({ faults = [], call, runs = [run], broken }) => {
        const checks = newChecks(faults, runs);
        checks.checkCall(newCall(call));
        expect(checks.violations, checks.violations.join()).toHaveLength(broken);
    });

    it("allow three requests without a response on kept connections beside no fault", () => {
        const checks = newChecks([], [run]);
        const counts = [1, 2, 3, 4, 5].map(() => {
            checks.checkCall(newCall({ status: 0, body: "" }));
            return checks.violations.length;
        });
        expect(counts).toEqual([0, 0, 0, 1, 2]);
    });
});
