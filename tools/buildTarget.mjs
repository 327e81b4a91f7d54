// Bundles the programs for the operators' platform, each with its libraries in one file: start-up counts there.
import { build } from "esbuild";

await build({
    entryPoints: { gateway: "platform/main.ts", idle: "platform/idle.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    minify: true,
    keepNames: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // bunyan's optional parts: tracing by the operating system, and rotated files.
    alias: { "dtrace-provider": "./tools/absentModule.cjs", mv: "./tools/absentModule.cjs" },
    logLevel: "warning",
});
