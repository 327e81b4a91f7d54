import type { RateBounds } from "../../packages/fleet/src";

/** A phase of a load pattern with a constant load and a constant number of endpoints. */
export interface LoadPhase {
    readonly lengthMs: number;
    readonly onlinePerS: number;
    /** Number of endpoints. */
    readonly endpoints: number;
    /** Additional requests per second of the organisation that has a rate limit; none if undefined. */
    readonly limitedPerS?: number;
}

/** A fault that occurs at a point in time of a replay. */
export type LoadEvent =
    /** The coordinator, which places requests for all instances, is killed. */
    | { readonly kind: "coordinator-killed"; readonly atMs: number; }
    /** A fraction of the instances is killed at once, starting with the coordinator; they restart a second later. */
    | { readonly kind: "instances-killed"; readonly atMs: number; readonly fraction: number; }
    /** A data centre is cut off from the others for `forMs`. */
    | { readonly kind: "data-centre-cut"; readonly atMs: number; readonly forMs: number; }
    /** All endpoints are cold for `forMs`; each takes only `ratePerS` requests per second. */
    | { readonly kind: "endpoints-cold"; readonly atMs: number; readonly forMs: number; readonly ratePerS: number; };

/** Size of the fleet in a replay. */
export interface FleetSize {
    readonly instances: number;
    readonly dataCentres: number;
    /** Organisations that send the online requests; each has a rate limit. None if undefined. */
    readonly organisations?: number;
    /** Rate limit of each organisation. */
    readonly rate?: RateBounds;
}

/** A load that {@link LoadReplay} replays in virtual time. */
export interface LoadPattern {
    readonly name: string;
    readonly phases: readonly LoadPhase[];
    readonly events?: readonly LoadEvent[];
    /** Number of batch items, all submitted at the start. */
    readonly batchItems: number;
    /** `SMALL_FLEET` if undefined. */
    readonly fleet?: FleetSize;
}

/** The fleet of the first milestone's patterns, without rate limits but that of one organisation. */
export const SMALL_FLEET: FleetSize = { instances: 6, dataCentres: 3 };

/** Slots of each endpoint. */
export const SLOTS_PER_ENDPOINT = 8;
/** Mean time for which an online request holds its place, in milliseconds. */
export const ONLINE_HOLD_MS = 700;
/** Time for which a batch item must hold a place until it is done, in milliseconds. */
export const BATCH_HOLD_MS = 4_800;
/** Latency objective of online requests, in milliseconds. */
export const TARGET_LATENCY_MS = 300;
/** Time at which batch items are due, from the start of the replay, in milliseconds. */
export const BATCH_DUE_AT_MS = 18_000;
/** Rate limit of the one organisation that has one. */
export const RATE_LIMIT: RateBounds = { ratePerS: 12, burst: 6 };

const ENDPOINTS = 6;
const trough: LoadPhase = { lengthMs: 3_800, onlinePerS: 14, endpoints: ENDPOINTS };
const peak: LoadPhase = { lengthMs: 2_800, onlinePerS: 62, endpoints: ENDPOINTS };
const busy: LoadPhase = { lengthMs: 9_000, onlinePerS: 45, endpoints: ENDPOINTS };

/** The load patterns on which placement strategies are compared. Keys and names appear in reports and pictures. */
export const PATTERNS = {
    steps: { name: "steps", phases: [trough, peak, trough, peak], batchItems: 60 },
    burst: {
        name: "burst",
        phases: [trough, { ...trough, lengthMs: 1_000, onlinePerS: 200 }, { ...trough, lengthMs: 5_000 }],
        batchItems: 20,
    },
    hotOrganisation: {
        name: "hot organisation",
        phases: [trough, { ...busy, limitedPerS: 60 }, trough],
        batchItems: 20,
    },
    endpointsLost: {
        name: "a third of endpoints lost",
        phases: [trough, { ...peak, endpoints: 4 }, trough],
        batchItems: 40,
    },
    allCold: {
        name: "all cold",
        phases: [trough, busy, trough],
        events: [{ kind: "endpoints-cold", atMs: 5_000, forMs: 4_000, ratePerS: 4 }],
        batchItems: 20,
    },
    moreBatchThanFits: {
        name: "more batch than fits",
        phases: [trough, peak, trough, peak, trough, peak],
        batchItems: 130,
    },
    dataCentreCut: {
        name: "data centre cut",
        phases: [trough, busy, trough],
        events: [{ kind: "data-centre-cut", atMs: 6_000, forMs: 4_000 }],
        batchItems: 20,
    },
    deciderKilled: {
        name: "decider killed",
        phases: [trough, busy, trough],
        events: [{ kind: "coordinator-killed", atMs: 7_000 }],
        batchItems: 20,
    },
    herdKilled: {
        name: "herd kill",
        phases: [trough, busy, trough],
        events: [{ kind: "instances-killed", atMs: 7_000, fraction: 0.6 }],
        batchItems: 20,
    },
} as const satisfies Record<string, LoadPattern>;

const LARGE_ONLINE_PER_S = 330;
const LARGE_ORGANISATIONS = 140;
/** How far the rate limits exceed the usual load of an organisation. */
const RATE_HEADROOM = 1.6;
const largeRatePerS = RATE_HEADROOM * LARGE_ONLINE_PER_S / LARGE_ORGANISATIONS;
const largeFleet: FleetSize = {
    instances: 165,
    dataCentres: 5,
    organisations: LARGE_ORGANISATIONS,
    rate: { ratePerS: largeRatePerS, burst: largeRatePerS },
};
const largeBusy: LoadPhase = { lengthMs: 9_000, onlinePerS: LARGE_ONLINE_PER_S, endpoints: 55 };

/** Load patterns of a fleet with hundreds of instances. */
export const LARGE_PATTERNS = {
    dataCentreCut: {
        name: "165 instances, data centre cut",
        phases: [largeBusy],
        events: [{ kind: "data-centre-cut", atMs: 2_000, forMs: 6_000 }],
        batchItems: 0,
        fleet: largeFleet,
    },
    deciderKilled: {
        name: "165 instances, decider killed",
        phases: [largeBusy],
        events: [{ kind: "coordinator-killed", atMs: 4_000 }],
        batchItems: 0,
        fleet: largeFleet,
    },
} as const satisfies Record<string, LoadPattern>;
