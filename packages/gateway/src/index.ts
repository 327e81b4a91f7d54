export * from "./admission";
export * from "./eventReader";
export * from "./gateway";
export * from "./gatewaySettings";
export * from "./jobStore";
export * from "./repeat";
export * from "./wireCodec";
