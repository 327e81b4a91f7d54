export * from "./documents";
export * from "./errors";
export * from "./keys";
export * from "./replica";
export * from "./spreader";
export * from "./validate";
export * from "./writer";
