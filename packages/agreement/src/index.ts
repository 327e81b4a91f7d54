export * from "./agreement";
export * from "./agreementDependencies";
export * from "./coverage";
export * from "./errors";
export * from "./ownership";
export * from "./peerRpc";
export * from "./types";
