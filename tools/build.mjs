// Bundles each program of the repository into dist/, without the libraries from node_modules.
import { readFileSync } from "node:fs";
import { build } from "esbuild";

const { dependencies, devDependencies } = JSON.parse(readFileSync(new URL("../package.json", import.meta.url), "utf8"));

await build({
    entryPoints: {
        heatherlined: "packages/daemon/src/main.ts",
        heatherline: "packages/cli/src/main.ts",
        platform: "standins/platform.ts",
        endpoint: "standins/endpoint.ts",
        demo: "standins/demo.ts",
        soak: "standins/soak.ts",
        operatorsSoak: "standins/operators/runSoak.ts",
        bench: "bench/main.ts",
        bareServers: "bench/bareServers.ts",
        settings: "tools/writeSettings.ts",
    },
    outdir: "dist",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: true,
    external: [...Object.keys(dependencies), ...Object.keys(devDependencies)],
    logLevel: "warning",
});
