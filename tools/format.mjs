// Formats all TypeScript files with dprint's TypeScript plugin, or with --check only lists those that aren't formatted.
// Runs the plugin in Node.js, because the dprint executable isn't available for every platform.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const SKIPPED_FOLDERS = new Set(["node_modules", "dist", ".git"]);
const isCheck = process.argv.includes("--check");

const { typescript, indentWidth, lineWidth, newLineKind } = JSON.parse(readFileSync(join(ROOT, "dprint.json"), "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ indentWidth, lineWidth, newLineKind }, typescript);

function* findFiles(folder) {
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory() && !SKIPPED_FOLDERS.has(entry.name)) {
            yield* findFiles(path);
        }
        else if (entry.isFile() && entry.name.endsWith(".ts")) {
            yield path;
        }
    }
}

let unformattedCount = 0;
for (const filePath of findFiles(ROOT)) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        unformattedCount += 1;
        process.stdout.write(`${isCheck ? "not formatted" : "formatted"}: ${relative(ROOT, filePath)}\n`);
        if (!isCheck) {
            writeFileSync(filePath, formatted);
        }
    }
}
process.exit(isCheck && unformattedCount > 0 ? 1 : 0);
