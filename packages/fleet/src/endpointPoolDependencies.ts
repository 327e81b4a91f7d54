import type { EndpointMemoryDependencies } from "./endpointMemory";
import type { VersionGate } from "./rollouts/versionGate";
import type { EndpointEntry } from "./types";

/** What the pool needs from the rest of the instance. */
export interface EndpointPoolDependencies extends EndpointMemoryDependencies {
    /**
     * @param entry - An endpoint.
     * @returns Concurrent requests that it may be sent; 0 if it must not be used.
     */
    getCapacity(entry: EndpointEntry): number;
    /**
     * @param entry - An endpoint.
     * @returns Requests per second that it may be sent in case it is cold; 0 for no limit.
     */
    getColdRatePerS(entry: EndpointEntry): number;
    /**
     * @param entry - An endpoint.
     * @returns Requests per second that it may be sent of the limit that it has named; `undefined` without one.
     */
    getLimitPerS(entry: EndpointEntry): number | undefined;
    /**
     * @param entry - An endpoint.
     * @returns Milliseconds until streams that may be resumed may begin there; 0 if they may.
     */
    getStreamDelayMs(entry: EndpointEntry): number;
    /**
     * @param dataCentre - A data centre.
     * @returns Its region.
     */
    getRegion(dataCentre: string): string;
    /** Restricts requests to some software versions; absent where there are no roll-outs. */
    readonly versionGate?: VersionGate | undefined;
}
