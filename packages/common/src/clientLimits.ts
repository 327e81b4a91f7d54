import { getHeapStatistics } from "node:v8";

/** Memory and file descriptors that a process may use; those that aren't known don't limit anything. */
export interface ProcessResources {
    readonly memoryBytes?: number | undefined;
    readonly maxDescriptors?: number | undefined;
}

/** What clients may take of a process together. */
export interface ClientLimits {
    /** Open connections to the listener for callers. */
    readonly maxCallerConnections: number;
    /** Open connections to the listener for other instances. */
    readonly maxPeerConnections: number;
    /** Open connections to each listener for readiness or metrics. */
    readonly maxProbeConnections: number;
    /** Memory for bodies of requests. */
    readonly maxBodyBytes: number;
    /** Memory for bodies of requests of other instances. */
    readonly maxPeerBodyBytes: number;
    /** Bytes of heads that are not complete, and of what waits to be parsed, for each listener. */
    readonly maxHeadBytes: number;
    /** Bytes of responses that wait for their callers to read, beyond which no further large one is built. */
    readonly maxUnsentBytes: number;
}

/** Code, libraries and state of an instance without load. */
const BASE_MEMORY_BYTES = 90_000_000;
/** Part of the other memory that clients may take; the rest is for the work itself and for garbage. */
const MEMORY_FRACTION = 1 / 3;
const HEAP_FRACTION = 0.25;
const MIN_TOTAL_BYTES = 16_000_000;
const MAX_TOTAL_BYTES = 128_000_000;
/** For files, the store and the process itself. */
const RESERVED_DESCRIPTORS = 200;
/** A coordinator has several connections of each other instance, which outnumber its callers. */
const CALLER_DESCRIPTOR_FRACTION = 0.4;
const PEER_DESCRIPTOR_FRACTION = 0.5;
const MIN_CONNECTIONS = 32;
/** A load balancer and a collector of metrics have a few each. */
const PROBE_CONNECTIONS = 32;
/** Socket, parser and their objects of one connection that has sent nothing, or only complete requests. */
const CONNECTION_BYTES = 12_000;
const BODY_FRACTION = 0.5;
const PEER_BODY_FRACTION = 0.4;
const UNSENT_FRACTION = 0.3;
/** Each line of a head becomes objects that take several times its bytes. */
const HEAD_FRACTION = 0.1;

/**
 * @param resources - What the process may use.
 * @param heapLimitBytes - Limit of the heap.
 * @returns What clients may take of it.
 */
export function getClientLimits(
    { memoryBytes = Infinity, maxDescriptors = Infinity }: ProcessResources,
    heapLimitBytes = getHeapStatistics().heap_size_limit,
): ClientLimits {
    const memoryShareBytes = (memoryBytes - BASE_MEMORY_BYTES) * MEMORY_FRACTION;
    const upperBytes = Math.min(heapLimitBytes * HEAP_FRACTION, memoryShareBytes, MAX_TOTAL_BYTES);
    const totalBytes = Math.max(MIN_TOTAL_BYTES, upperBytes);
    const descriptors = Math.max(0, maxDescriptors - RESERVED_DESCRIPTORS);
    // The size of the heap isn't a limit here, since most of a connection's memory is outside of it.
    const connectionsInMemory = Math.max(MIN_TOTAL_BYTES, memoryShareBytes) / CONNECTION_BYTES;
    const getConnections = (fraction: number) =>
        Math.max(MIN_CONNECTIONS, Math.floor(Math.min(descriptors * fraction, connectionsInMemory)));
    return {
        maxCallerConnections: getConnections(CALLER_DESCRIPTOR_FRACTION),
        maxPeerConnections: getConnections(PEER_DESCRIPTOR_FRACTION),
        maxProbeConnections: PROBE_CONNECTIONS,
        maxBodyBytes: totalBytes * BODY_FRACTION,
        maxPeerBodyBytes: totalBytes * PEER_BODY_FRACTION,
        maxHeadBytes: totalBytes * HEAD_FRACTION,
        maxUnsentBytes: totalBytes * UNSENT_FRACTION,
    };
}

/** Why a client was refused or its connection closed. */
export type ClientLimitCause =
    /** No further connection could be accepted. */
    | "connection-limit"
    /** It had sent the least useful data for the longest time when another connection arrived. */
    | "least-useful"
    /** The head of one request was too large or had too many lines before it. */
    | "head-size"
    /** The heads of all connections, and what was read after pipelined requests, were too large together. */
    | "head-memory"
    /** The head of a request was not complete in time. */
    | "head-time"
    /** Its body stopped arriving, and other bodies needed the memory. */
    | "body-stalled"
    /** There was no memory for its body. */
    | "body-memory"
    /** Responses that nobody reads took the memory for its response. */
    | "unsent-memory";

/** Called for each client that is refused or whose connection is closed. */
export type ClientLimitObserver = (cause: ClientLimitCause) => void;
