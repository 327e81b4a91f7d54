import type { EndpointEntry } from "../src";

/**
 * @param changes - Fields that differ from an ordinary endpoint.
 * @returns An endpoint that is ready.
 */
export function newTestEndpoint(changes: Partial<EndpointEntry> = {}): EndpointEntry {
    return {
        endpointId: "e",
        service: "lm",
        host: "127.0.0.1",
        port: 1,
        dataCentre: "east",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        ...changes,
    };
}
