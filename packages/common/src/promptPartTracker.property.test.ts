import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type BlockedPrompt, PromptPartTracker } from "./promptPartTracker";

/** A request of which nothing had arrived when an endpoint crashed. */
interface SeenRequest {
    readonly fingerprint: string;
    readonly parts: readonly string[];
}

/** What happens some time after the step before: a crash under some requests, or a success. */
type Step =
    & { readonly afterMs: number; }
    & ({ readonly crashUnder: readonly SeenRequest[]; } | { readonly success: readonly string[]; });

const PARTS = ["a", "b", "c", "d", "e"];
/** Crashes and requests that are enough to blame a part, as in the tracker. */
const CRASHES_TO_BLOCK = 3;
const REQUESTS_TO_BLOCK = 2;
/** A part is not blamed for this long after a success. */
const SUCCESS_TRUST_MS = 10_000;

/** Feeds a tracker and checks each block against what it has been told. */
class CheckedTracker {
    readonly blocked: BlockedPrompt[] = [];
    private readonly crashes: (readonly SeenRequest[])[] = [];
    private readonly lastSuccessAtMs = new Map<string, number>();
    private readonly tracker = new PromptPartTracker(prompt => this.onChange(prompt));

    play(steps: readonly Step[]): void {
        for (const step of steps) {
            vi.advanceTimersByTime(step.afterMs);
            if ("success" in step) {
                step.success.forEach(part => this.lastSuccessAtMs.set(part, performance.now()));
                this.tracker.recordSuccess(step.success);
            }
            else {
                this.crash(step.crashUnder);
            }
        }
    }

    private crash(requests: readonly SeenRequest[]): void {
        this.crashes.push(requests);
        const index = this.crashes.length;
        requests.forEach(({ fingerprint, parts }, position) =>
            this.tracker.recordCrash({
                reportId: `${index}.${position}`,
                endpointId: `e${index}`,
                fingerprint,
                promptParts: parts,
                ageMs: 0,
            })
        );
    }

    private onChange(prompt: BlockedPrompt): void {
        if (this.blocked.some(({ blockId }) => blockId === prompt.blockId)) {
            return;
        }
        this.blocked.push(prompt);
        const name = prompt.parts.join("+");
        const explained = this.crashes
            .map(requests => requests.filter(({ parts }) => prompt.parts.every(part => parts.includes(part))))
            .filter(requests => requests.length > 0);
        const fingerprints = new Set(explained.flat().map(({ fingerprint }) => fingerprint));
        expect(explained.length, `crashes under a request with ${name}`).toBeGreaterThanOrEqual(CRASHES_TO_BLOCK);
        expect(fingerprints.size, `requests with ${name}`).toBeGreaterThanOrEqual(REQUESTS_TO_BLOCK);
        for (const part of prompt.parts) {
            const lastSuccessAtMs = this.lastSuccessAtMs.get(part) ?? -Infinity;
            expect(performance.now() - lastSuccessAtMs, `time since a success with ${part}`).toBeGreaterThanOrEqual(
                SUCCESS_TRUST_MS,
            );
        }
    }
}

const request = fc.record({
    fingerprint: fc.integer({ min: 0, max: 9 }).map(String),
    parts: fc.uniqueArray(fc.constantFrom(...PARTS), { minLength: 1, maxLength: 3 }),
});
const afterMs = fc.oneof(fc.constant(200), fc.integer({ min: 101, max: 12_000 }));
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ afterMs, crashUnder: fc.array(request, { minLength: 1, maxLength: 4 }) }) },
    {
        weight: 1,
        arbitrary: fc.record({ afterMs, success: fc.uniqueArray(fc.constantFrom(...PARTS), { minLength: 1 }) }),
    },
);

/** A crash some time after the one before, under requests that have one part each. */
function crash(waitMs: number, ...parts: string[]): Step {
    return { afterMs: waitMs, crashUnder: parts.map(part => ({ fingerprint: `${part}${waitMs}`, parts: [part] })) };
}

beforeEach(() => {
    vi.useFakeTimers();
});

afterEach(() => {
    vi.useRealTimers();
});

// Guards against a coordinator that answers nothing any more, for good, as a block that explains no crash is found again and again.
describe("CONFIG, a coordinator that hangs after crashes: each block of parts", () => {
    // Parts with the same number of crashes, but no common request, were blocked together again and again, without end.
    it.each<{ what: string; steps: readonly Step[]; blocked: string[]; }>([
        {
            what: "two parts count from the same moment on, each in crashes of its own",
            steps: [
                { afterMs: 0, success: ["a", "b"] },
                crash(500, "a"),
                crash(1_500, "b"),
                crash(1_501, "a"),
                crash(1_502, "b"),
                crash(1_503, "a"),
                crash(1_504, "b"),
                crash(3_000, "c"),
            ],
            blocked: ["a", "b"],
        },
        {
            what: "two parts occur in the same crashes, in requests of their own",
            steps: [
                { afterMs: 0, success: ["a", "b"] },
                crash(200, "a", "b"),
                crash(201, "a", "b"),
                crash(202, "a", "b"),
                crash(10_000, "c"),
            ],
            blocked: ["a", "b"],
        },
        {
            what: "two of three parts stand in the same requests",
            steps: [
                { afterMs: 0, success: ["a", "b", "c"] },
                ...[200, 201, 202].map((waitMs): Step => ({
                    afterMs: waitMs,
                    crashUnder: [{ fingerprint: `${waitMs}`, parts: ["a", "b"] }],
                })),
                crash(200, "c"),
                crash(201, "c"),
                crash(202, "c"),
                crash(10_000, "d"),
            ],
            blocked: ["a+b", "c"],
        },
    ])("explains crashes: $what", ({ steps, blocked }) => {
        const checked = new CheckedTracker();
        checked.play(steps);
        expect(checked.blocked.map(({ parts }) => parts.join("+")).sort()).toEqual(blocked);
    });

    it("explains crashes, whatever the order of crashes and successes", () => {
        fc.assert(
            fc.property(fc.array(step, { minLength: 4, maxLength: 60 }), steps => new CheckedTracker().play(steps)),
            { numRuns: 300 },
        );
    });
});
