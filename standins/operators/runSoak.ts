import { parseArgs } from "node:util";
import { Soak } from "./soak";
import { isSoakVariant, SOAK_VARIANTS, type SoakVariant } from "./soakVariants";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: String(Date.now() % 1_000_000) },
        runs: { type: "string", default: "1" },
        seconds: { type: "string", default: "20" },
        variant: { type: "string", default: "versions-and-limits" satisfies SoakVariant },
        commit: { type: "string", default: "" },
    },
});

const { variant, commit } = values;
if (!isSoakVariant(variant)) {
    throw new Error(`--variant must be one of ${SOAK_VARIANTS.join(", ")}, not ${variant}`);
}
if (variant === "mixed-builds" && commit === "") {
    throw new Error("--variant mixed-builds needs a --commit");
}
let failed = 0;
for (let index = 0; index < Number(values.runs); index += 1) {
    const report = await new Soak(Number(values.seed) + index, Number(values.seconds) * 1_000, variant, commit).run();
    const { seed, faults, counts, violations, logLines } = report;
    process.stdout.write(`${JSON.stringify({ seed, faults: faults.length, ...counts, violations })}\n`);
    if (violations.length > 0) {
        failed += 1;
        process.stdout.write([...faults, ...logLines].map(line => `  ${line}\n`).join(""));
    }
}
process.exitCode = failed === 0 ? 0 : 1;
