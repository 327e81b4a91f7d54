import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type BlockedPrompt, PromptPartTracker } from "./promptPartTracker";

/** A crash: the endpoint, and for each request that had produced nothing its own name and shared parts. */
type Step =
    | { readonly crash: string; readonly of: readonly (readonly [request: string, ...parts: string[]])[]; }
    | { readonly success: readonly string[]; }
    | { readonly waitMs: number; };

/** Longer than the time within which crashes have a common cause. */
const CRASH_GAP_MS = 101;

/** Reports of 512 crashes; as many as are told from repeated ones. */
const MANY_REPORTS = 2_048;
const REPORTS_PER_CRASH = 4;
/** Time within which an instance must respond again, in milliseconds. */
const CONTACT_MS = 3_000;

let changes: { prompt: BlockedPrompt; isEnded: boolean; }[];
let reports = 0;

beforeEach(() => {
    vi.useFakeTimers();
    changes = [];
});

afterEach(() => {
    vi.useRealTimers();
});

function newTracker(): PromptPartTracker {
    return new PromptPartTracker((prompt, isEnded) => changes.push({ prompt, isEnded }));
}

function play(tracker: PromptPartTracker, steps: readonly Step[], crashGapMs = CRASH_GAP_MS): void {
    for (const step of steps) {
        vi.advanceTimersByTime("crash" in step ? crashGapMs : 1);
        if ("waitMs" in step) {
            vi.advanceTimersByTime(step.waitMs);
        }
        else if ("success" in step) {
            tracker.recordSuccess(step.success);
        }
        else {
            for (const [fingerprint, ...promptParts] of step.of) {
                reports += 1;
                tracker.recordCrash({
                    reportId: `r${reports}`,
                    endpointId: step.crash,
                    fingerprint,
                    promptParts,
                    ageMs: 0,
                });
            }
        }
    }
}

/** Three crashes, of three requests whose prompts have nothing in common but `bad`. */
const THREE_CRASHES: readonly Step[] = [
    { crash: "e1", of: [["1", "a", "bad"]] },
    { crash: "e2", of: [["2", "b", "bad"]] },
    { crash: "e3", of: [["3", "c", "bad"]] },
];

describe("parts of prompts", () => {
    it.each<
        {
            what: string;
            steps: readonly Step[];
            gapMs?: number;
            blocked?: readonly string[][];
            served?: readonly string[][];
        }
    >([
        { what: "two crashes are not enough", steps: THREE_CRASHES.slice(0, 2), served: [["bad"]] },
        { what: "three are", steps: THREE_CRASHES, blocked: [["bad"], ["x", "bad"]], served: [["a"], ["b"], []] },
        {
            what: "the same request alone is not",
            steps: ["e1", "e2", "e3", "e4"].map(crash => ({ crash, of: [["1", "bad"]] as const })),
            served: [["bad"]],
        },
        {
            what: "connections to one endpoint that break together are one crash",
            steps: [{ crash: "e1", of: [["1", "bad"], ["2", "bad"], ["3", "bad"]] }],
            served: [["bad"]],
        },
        {
            what: "endpoints that crash together are one crash",
            steps: [{ crash: "e1", of: [["1", "all"]] }, { crash: "e2", of: [["2", "all"]] }, {
                crash: "e3",
                of: [["3", "all"]],
            }],
            gapMs: 30,
            served: [["all"]],
        },
        {
            what: "a part of all requests that others succeed with is not blamed",
            steps: [
                { success: ["all"] },
                { crash: "e1", of: [["1", "all", "bad"]] },
                { crash: "e2", of: [["2", "all", "bad"]] },
                { crash: "e3", of: [["3", "all", "bad"]] },
            ],
            blocked: [["all", "bad"], ["bad"]],
            served: [["all"], ["all", "x"]],
        },
        {
            what: "a part of all requests is cleared by a later success, if nothing was known before",
            steps: [
                { crash: "e1", of: [["1", "all", "bad"]] },
                { crash: "e2", of: [["2", "all", "bad"]] },
                { crash: "e3", of: [["3", "all", "bad"]] },
                { success: ["all"] },
            ],
            blocked: [["bad"], ["all", "bad"]],
            served: [["all"], ["all", "x"]],
        },
        {
            what: "while parts can't be told apart, requests with one of them are served",
            steps: [
                { crash: "e1", of: [["1", "all", "bad"]] },
                { crash: "e2", of: [["2", "all", "bad"]] },
                { crash: "e3", of: [["3", "all", "bad"]] },
            ],
            blocked: [["all", "bad"]],
            served: [["all"], ["bad"]],
        },
        {
            what: "requests that only ran beside them are not blamed",
            steps: [
                { crash: "e1", of: [["1", "bad"], ["4", "x"]] },
                { crash: "e2", of: [["2", "bad"], ["5", "x"]] },
                { crash: "e3", of: [["3", "bad"]] },
                { crash: "e4", of: [["6", "x"], ["7", "bad"]] },
            ],
            blocked: [["bad"]],
            served: [["x"]],
        },
        {
            what: "a success between crashes clears the part",
            steps: [...THREE_CRASHES.slice(0, 2), { success: ["bad"] }, { crash: "e4", of: [["4", "bad"]] }],
            served: [["bad"]],
        },
        {
            what: "a part that succeeded until ten seconds ago can be found",
            steps: [{ success: ["bad"] }, { waitMs: 10_001 }, ...THREE_CRASHES],
            blocked: [["bad"]],
        },
        {
            what: "a second part is found, too",
            steps: [
                ...THREE_CRASHES,
                { crash: "e5", of: [["5", "worse"]] },
                { crash: "e6", of: [["6", "worse"], ["7", "bad"]] },
                { crash: "e7", of: [["8", "worse"]] },
                { crash: "e8", of: [["9", "worse"]] },
            ],
            blocked: [["bad"], ["worse"]],
        },
        {
            what: "crashes ten minutes ago don't count",
            steps: [...THREE_CRASHES.slice(0, 2), { waitMs: 600_000 }, ...THREE_CRASHES.slice(2)],
            served: [["bad"]],
        },
        { what: "they stay blocked", steps: [...THREE_CRASHES, { waitMs: 5_900 }], blocked: [["bad"]] },
    ])("$what", ({ steps, gapMs, blocked = [], served = [] }) => {
        const tracker = newTracker();
        play(tracker, steps, gapMs);
        expect(blocked.map(parts => tracker.isBlocked(parts))).toEqual(blocked.map(() => true));
        expect(served.map(parts => tracker.isBlocked(parts))).toEqual(served.map(() => false));
    });

    it("are tried again seldom, so that few endpoints crash", () => {
        const tracker = newTracker();
        play(tracker, THREE_CRASHES);
        const triedAtMs: number[] = [];
        for (let atMs = 0; atMs < 120_000; atMs += 100) {
            vi.advanceTimersByTime(100);
            if (tracker.admit(["bad", "x"]) === "trial") {
                triedAtMs.push(atMs);
                play(tracker, [{ crash: `trial${atMs}`, of: [[`t${atMs}`, "bad", "x"]] }]);
            }
        }
        expect(triedAtMs.length).toBe(2);
        expect(tracker.admit(["x"])).toBe("run");
    });

    it("are tried by the next request if a trial was not run", () => {
        const tracker = newTracker();
        play(tracker, [...THREE_CRASHES, { waitMs: 6_000 }]);
        expect([tracker.admit(["bad"]), tracker.admit(["bad"])]).toEqual(["trial", "blocked"]);
        tracker.cancelTrial(["bad"]);
        expect([tracker.admit(["bad"]), tracker.admit(["bad"])]).toEqual(["trial", "blocked"]);
        expect(changes.at(-1)?.prompt.trials).toBe(1);
    });

    it("are reported to others without those that this instance knows to be sound", () => {
        const tracker = newTracker();
        tracker.recordSuccess(["all"]);
        const crash = { reportId: "r", endpointId: "e", fingerprint: "1" };
        expect(tracker.recordOwnCrash({ ...crash, promptParts: ["all", "bad"] })?.promptParts).toEqual(["bad"]);
        expect(tracker.recordOwnCrash({ ...crash, promptParts: ["all"] })).toBeUndefined();
    });

    it("are released by a trial that succeeds", () => {
        const tracker = newTracker();
        play(tracker, [...THREE_CRASHES, { waitMs: 6_000 }]);
        expect(tracker.admit(["bad"])).toBe("trial");
        play(tracker, [{ success: ["bad"] }]);
        expect(tracker.admit(["bad"])).toBe("run");
        expect(changes.at(-1)?.isEnded).toBe(true);
    });

    it("are known to another tracker that is told of the blocks, until they end", () => {
        const tracker = newTracker();
        const other = newTracker();
        play(tracker, THREE_CRASHES);
        const prompts = changes.map(({ prompt }) => prompt);
        other.adopt(prompts);
        expect(other.isBlocked(["bad"])).toBe(true);
        other.adopt([]);
        expect(other.isBlocked(["bad"])).toBe(false);
    });

    it("stay released while the store still lists the block", () => {
        const tracker = newTracker();
        play(tracker, THREE_CRASHES);
        const prompts = changes.map(({ prompt }) => prompt);
        tracker.adopt(prompts);
        play(tracker, [{ success: ["bad"] }]);
        tracker.adopt(prompts);
        expect(tracker.isBlocked(["bad"])).toBe(false);
    });

    it("that another tracker has told apart are told apart here, too", () => {
        const tracker = newTracker();
        const prompt = { blockId: "b", parts: ["all", "bad"], trials: 0, laterCrashes: 0, blockedAt: Date.now() };
        tracker.adopt([prompt]);
        expect(tracker.isBlocked(["bad"])).toBe(false);
        tracker.adopt([{ ...prompt, parts: ["bad"] }]);
        expect([tracker.isBlocked(["bad"]), tracker.isBlocked(["all"])]).toEqual([true, false]);
        tracker.adopt([prompt]);
        expect(tracker.isBlocked(["bad"])).toBe(true);
    });

    it("are found from reports that arrive twice and late", () => {
        const tracker = newTracker();
        const report = (reportId: string, fingerprint: string, ageMs: number) => ({
            reportId,
            endpointId: reportId,
            fingerprint,
            promptParts: ["bad"],
            ageMs,
        });
        [report("1", "1", 50_000), report("2", "2", 30_000), report("1", "1", 50_000), report("2", "2", 30_000)]
            .forEach(each => tracker.recordCrash(each));
        expect(tracker.isBlocked(["bad"])).toBe(false);
        tracker.recordCrash(report("3", "3", 0));
        expect(tracker.isBlocked(["bad"])).toBe(true);
    });

    // Guards against a coordinator that is blocked for seconds: each report went through all requests of all crashes.
    it.each([
        { what: "of their own", getPart: (report: number, position: number) => `${report}.${position}` },
        {
            what: "that others have, too",
            getPart: (report: number, position: number) => `${(report + position) % 900}`,
        },
    ])("are searched in time when there are many crashes, of requests with parts $what", ({ getPart }) => {
        vi.useRealTimers();
        const tracker = newTracker();
        const startedAtMs = performance.now();
        for (let report = 0; report < MANY_REPORTS && performance.now() - startedAtMs < CONTACT_MS; report += 1) {
            const crash = Math.floor(report / REPORTS_PER_CRASH);
            tracker.recordCrash({
                reportId: `many${report}`,
                endpointId: `e${crash}`,
                fingerprint: `${report}`,
                promptParts: [1, 2, 3, 4, 5, 6, 7, 8].map(position => getPart(report, position)),
                ageMs: (MANY_REPORTS / REPORTS_PER_CRASH - crash) * CRASH_GAP_MS,
            });
        }
        expect(performance.now() - startedAtMs).toBeLessThan(CONTACT_MS);
    });
});
