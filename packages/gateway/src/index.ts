export * from "./callers/admission";
export * from "./gateway";
export * from "./gatewaySettings";
export * from "./jobs/jobStore";
export * from "./online/eventStreamParser";
export * from "./online/retryPolicy";
export * from "./wireCodec";
