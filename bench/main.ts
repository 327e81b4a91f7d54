import { benchLimits } from "./limits";
import { benchOverhead } from "./overhead";

const BENCHES: Record<string, () => Promise<void>> = {
    overhead: benchOverhead,
    limits: benchLimits,
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

void main();
