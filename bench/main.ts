import { benchBatch } from "./batch";
import { printCapacity } from "./capacity";
import { benchControl } from "./control";
import { benchHarvest } from "./harvest";
import { benchLimits } from "./limits";
import { benchOverhead } from "./overhead";
import { benchOverload } from "./overload";
import { benchTail } from "./tail";

const BENCHES: Record<string, () => Promise<void>> = {
    overhead: benchOverhead,
    limits: benchLimits,
    tail: benchTail,
    control: benchControl,
    harvest: benchHarvest,
    batch: benchBatch,
    overload: benchOverload,
    capacity: printCapacity,
};

async function main(): Promise<void> {
    const name = process.argv[2] ?? "";
    const bench = BENCHES[name];
    if (bench === undefined) {
        process.stderr.write(`usage: npm run bench -- ${Object.keys(BENCHES).join("|")}\n`);
        process.exit(2);
    }
    await bench();
    process.exit(0);
}

main().catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
});
