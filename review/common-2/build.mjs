// Bundles the project's stand-ins of the store and of the servers for the scripts of review/6 to review/10.
import { readFileSync } from "node:fs";
import { build } from "esbuild";

const { dependencies, devDependencies } = JSON.parse(readFileSync("package.json", "utf8"));

await build({
    entryPoints: { engine: "standins/operators/engine.ts", objectApi: "standins/operators/objectApi.ts" },
    outdir: "dist/review-2",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    external: [...Object.keys(dependencies), ...Object.keys(devDependencies)],
    logLevel: "warning",
});
