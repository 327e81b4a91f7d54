export * from "./errors";
export * from "./itemRunner";
export * from "./jobReader";
export * from "./jobRunner";
export * from "./jobSubmitter";
export * from "./paths";
export * from "./types";
