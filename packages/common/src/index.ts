export * from "./errors";
export * from "./idsAndHashes";
export * from "./invariant";
export * from "./logger";
export * from "./responseEnd";
export * from "./settings";
export * from "./timing";
export * from "./version";
