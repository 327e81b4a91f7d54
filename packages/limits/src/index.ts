export * from "./errors";
export * from "./grantLimiter";
export * from "./limitOwner";
export * from "./loans";
export * from "./sharedBucket";
export * from "./shares";
export * from "./staticSplitLimiter";
export * from "./types";
