import { describe, expect, it } from "vitest";
import { Soak, type SoakVariant } from "./soak";

/** Seeds that each test run replays. A seed that has ever failed stays, with a comment on the cause. */
const SEEDS: { seed: number; variant: SoakVariant; }[] = [
    { seed: 1, variant: "plain" },
    // Endpoints that stopped sending before their response headers kept batch items forever.
    { seed: 100, variant: "plain" },
    { seed: 1, variant: "versions-and-limits" },
    { seed: 100, variant: "versions-and-limits" },
];
const LENGTH_MS = 12_000;

describe("gateways under faults", () => {
    it.each(SEEDS)("violate none of the soak's checks: seed $seed, $variant", async ({ seed, variant }) => {
        const report = await new Soak(seed, LENGTH_MS, variant).run();
        expect(report.violations, JSON.stringify(report)).toEqual([]);
        expect(report.faults.length).toBeGreaterThan(3);
        expect(report.counts.served).toBeGreaterThan(50);
    }, 90_000);
});
