import type { RateTolerance, RolloutLimits, StateSchema } from "@heatherline/fleet";
import type { ObjectStore } from "@heatherline/store";
import type { WireCodec } from "./wireCodec";

/** Settings of a gateway instance. */
export interface GatewaySettings {
    readonly instanceId: string;
    readonly host: string;
    readonly dataCentre: string;
    /** CPU available to the instance, in cores. */
    readonly processorShare: number;
    /** Memory that the process may use; unknown if absent. */
    readonly memoryBytes?: number | undefined;
    /** File descriptors that the process may use; unknown if absent. */
    readonly maxDescriptors?: number | undefined;
    /** Region of each data centre. */
    readonly regions: Readonly<Record<string, string>>;
    /** Listen address for callers. */
    readonly callers: { readonly host: string; readonly port: number; };
    /** Listen address for readiness checks. */
    readonly readiness: { readonly host: string; readonly port: number; };
    /** Listen address for other instances. */
    readonly peers: { readonly host: string; readonly port: number; };
    /** Port for metrics, on `host`. */
    readonly metricsPort: number;
    /** Addresses of the instances that a new instance contacts first. */
    readonly seeds: readonly { readonly host: string; readonly port: number; }[];
    /** Whether this is the first start of the whole fleet. */
    readonly isFirstStart: boolean;
    /** Limit of the size of an object that the store accepts, with its metadata. */
    readonly maxObjectBytes: number;
    /** How often an endpoint renews its registration, in milliseconds. */
    readonly endpointRenewalMs: number;
    /** Time within which the revocation of an API key must take effect. */
    readonly revokeMs: number;
    /** Time between the request to stop and the kill of the process. */
    readonly graceMs: number;
    /** How long a batch job stays readable after its submission. */
    readonly jobReadableMs: number;
    /** What an organisation may get beyond its rate limit. */
    readonly rateTolerance: RateTolerance;
    /** Whether responses are read from endpoints as they arrive, and held for callers that read slowly. */
    readonly bufferForSlowCallers?: boolean;
    /** Second attempts at slow requests as a fraction of all requests; 0 for none. */
    readonly hedgeExtraFraction?: number;
    /** Whether batch items are held back while the online load varies in steps; true if absent. */
    readonly holdsBatchStarts?: boolean;
    /** How long a caller may read nothing although data is waiting, in milliseconds. */
    readonly maxCallerUnreadMs?: number;
    /** Limits of roll-outs; absent where the feature is off. */
    readonly rollouts?: RolloutLimits | undefined;
}

/** Settings that may change while the process runs. */
export type ReloadableSettings = Pick<
    GatewaySettings,
    "seeds" | "regions" | "revokeMs" | "graceMs" | "jobReadableMs" | "rateTolerance"
>;

/** What a gateway gets from the process that runs it: the store and the platform's formats. */
export interface GatewayDependencies {
    readonly store: ObjectStore;
    readonly schema: StateSchema;
    readonly wire: WireCodec;
    /** @returns Number of store calls by kind. */
    readonly getStoreCalls: () => Readonly<Record<string, number>>;
    /**
     * Replaces the status of a store object, if its version is the expected one where one is given; returns whether the
     * store accepted it.
     */
    readonly putStatus: (path: string, status: Record<string, unknown>, expected?: number) => Promise<boolean>;
}
