export * from "./documents";
export * from "./errors";
export * from "./keys";
export * from "./replica";
export * from "./synchroniser";
export * from "./validate";
export * from "./writer";
