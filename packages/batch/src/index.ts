export * from "./errors";
export * from "./intake";
export * from "./itemRunner";
export * from "./paths";
export * from "./reader";
export * from "./runner";
export * from "./types";
