// Bundles the programs for the operators' platform, each with its libraries in one file, because they must start fast.
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
    // Optional dependencies of bunyan, for DTrace probes and log rotation.
    alias: { "dtrace-provider": "./tools/absentModule.cjs", mv: "./tools/absentModule.cjs" },
    logLevel: "warning",
});
