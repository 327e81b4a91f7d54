export * from "./adminApi";
export * from "./daemon";
export * from "./settings";
