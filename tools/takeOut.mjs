// Mutation testing: disables the mechanisms of mechanisms.mjs one at a time in a temporary copy of the repository, and
// checks that the test of each then fails.
// Usage: node tools/takeOut.mjs [NAME...]; runs all mechanisms if no name is given. Prints a line for each; exits with 1
// if a test still passed or the copy couldn't be built.
import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { MECHANISMS } from "./mechanisms.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");
const COPIED_ENTRIES = ["packages", "standins", "bench", "tools", "package.json", "tsconfig.json", "vitest.config.ts", "KNOWN-RED.txt"];
const selectedNames = process.argv.slice(2);

function newScratchCopy() {
    const scratch = mkdtempSync(join(tmpdir(), "heatherline-take-out-"));
    for (const entry of COPIED_ENTRIES) {
        cpSync(join(ROOT, entry), join(scratch, entry), { recursive: true });
    }
    // Links the libraries of this repository, but the workspace packages of the copy.
    mkdirSync(join(scratch, "node_modules/@heatherline"), { recursive: true });
    for (const entry of readdirSync(join(ROOT, "node_modules"))) {
        if (entry !== "@heatherline") {
            symlinkSync(join(ROOT, "node_modules", entry), join(scratch, "node_modules", entry));
        }
    }
    for (const name of readdirSync(join(scratch, "packages"))) {
        symlinkSync(join(scratch, "packages", name), join(scratch, "node_modules/@heatherline", name));
    }
    return scratch;
}

function disableMechanism(scratch, { file, find, replace }) {
    const path = join(scratch, file);
    const text = readFileSync(path, "utf8");
    if (!text.includes(find)) {
        throw new Error(`${file} does not contain: ${find}`);
    }
    writeFileSync(path, text.replace(find, replace));
    return () => writeFileSync(path, text);
}

const scratch = newScratchCopy();
let undetectedCount = 0;
try {
    for (const mechanism of MECHANISMS.filter(({ name }) => selectedNames.length === 0 || selectedNames.includes(name))) {
        const restoreFile = disableMechanism(scratch, mechanism);
        const buildRun = spawnSync(process.execPath, ["tools/build.mjs"], { cwd: scratch });
        const { test, pattern } = mechanism;
        const filter = pattern === undefined ? [] : ["-t", pattern];
        const testRun = spawnSync(process.execPath, [join(ROOT, "node_modules/vitest/vitest.mjs"), "run", test, ...filter], { cwd: scratch });
        restoreFile();
        const verdict = buildRun.status !== 0 ? "NOT BUILT" : testRun.status === 0 ? "STILL GREEN" : "red";
        undetectedCount += verdict === "red" ? 0 : 1;
        process.stdout.write(`${verdict}\t${mechanism.name}\t${test}\n`);
    }
}
finally {
    rmSync(scratch, { recursive: true });
}
process.exit(undetectedCount === 0 ? 0 : 1);
