export * from "./auditLog";
export * from "./auditReader";
export * from "./burnChart";
export * from "./burnRate";
export * from "./sloTracker";
