import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/**/*.test.ts", "standins/**/*.test.ts", "bench/**/*.test.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        maxWorkers: 3,
    },
});
