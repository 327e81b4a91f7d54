export * from "./errors";
export * from "./httpCall";
export * from "./httpStore";
export * from "./memoryStore";
export * from "./putWithReadBack";
export * from "./types";
