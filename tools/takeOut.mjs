// Takes single mechanisms out of a scratch copy of the tree and checks that their tests then fail.
// Usage: node tools/takeOut.mjs [NAME...]; prints a line for each mechanism; exit 1 if a test stayed green.
import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { MECHANISMS } from "./mechanisms.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");
const COPIED = ["packages", "standins", "bench", "tools", "package.json", "tsconfig.json", "vitest.config.ts", "KNOWN-RED.txt"];
const wanted = process.argv.slice(2);

function newScratch() {
    const scratch = mkdtempSync(join(tmpdir(), "heatherline-take-out-"));
    for (const entry of COPIED) {
        cpSync(join(ROOT, entry), join(scratch, entry), { recursive: true });
    }
    // Libraries are shared; the workspace's own packages must be those of the copy.
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

function takeOut(scratch, { file, find, replace }) {
    const path = join(scratch, file);
    const text = readFileSync(path, "utf8");
    if (!text.includes(find)) {
        throw new Error(`${file} does not contain: ${find}`);
    }
    writeFileSync(path, text.replace(find, replace));
    return () => writeFileSync(path, text);
}

const scratch = newScratch();
let green = 0;
try {
    for (const mechanism of MECHANISMS.filter(({ name }) => wanted.length === 0 || wanted.includes(name))) {
        const putBack = takeOut(scratch, mechanism);
        const built = spawnSync(process.execPath, ["tools/build.mjs"], { cwd: scratch });
        const { test, pattern } = mechanism;
        const filter = pattern === undefined ? [] : ["-t", pattern];
        const run = spawnSync(process.execPath, [join(ROOT, "node_modules/vitest/vitest.mjs"), "run", test, ...filter], { cwd: scratch });
        putBack();
        const verdict = built.status !== 0 ? "NOT BUILT" : run.status === 0 ? "STILL GREEN" : "red";
        green += verdict === "red" ? 0 : 1;
        process.stdout.write(`${verdict}\t${mechanism.name}\t${test}\n`);
    }
}
finally {
    rmSync(scratch, { recursive: true });
}
process.exit(green === 0 ? 0 : 1);
