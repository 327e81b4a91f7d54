/** Kind of a route; it alone decides which requests may be retried. */
export type RouteKind = "streaming" | "idempotent" | "non-idempotent" | "batch";

/** A service and its weight among the targets of a route. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

/** One route of the configuration. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller waits for a response. */
    readonly timeoutMs: number;
    /** Latency objective: until the whole response, or until the first event of a stream. */
    readonly targetLatencyMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly WeightedService[];
    /** Maximum number of attempts at a request, without those that did not run it. Batch: of failed runs of an item. */
    readonly maxAttempts: number;
    readonly isPublic: boolean;
    /** Whether slow requests are sent to a second endpoint where the process allows it; absent as `true`. */
    readonly isHedged?: boolean | undefined;
    /** Whether a broken stream may resume at another endpoint after its last event. */
    readonly isResumable: boolean;
    /** Regions that requests may be processed in; empty for all. */
    readonly allowedRegions: readonly string[];
    /** Batch: time from submission until all results are due. */
    readonly completionTargetMs: number;
    /** Batch: time from submission after which unfinished items may be abandoned. */
    readonly retentionMs: number;
    /** Batch: maximum number of waiting tokens of one organisation; 0 for no limit. */
    readonly maxWaitingTokens: number;
}

/** Configuration of a service. */
export interface ServiceSpec {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one endpoint accepts in total. */
    readonly maxConnections: number;
    /** Requests per second that a cold endpoint can handle; 0 if endpoints are never cold. */
    readonly coldRatePerS: number;
    /** Tokens that one endpoint holds of the requests that run there; absent or 0 for no limit. */
    readonly memoryTokens?: number | undefined;
}

/** Configuration of an organisation: its keys and its rate limit. */
export interface OrganisationSpec {
    readonly name: string;
    readonly apiKeys: readonly string[];
    readonly priority: number | undefined;
    /** 0 for no limit. */
    readonly ratePerS: number;
    readonly burst: number;
    readonly allowedRegions: readonly string[];
}

/** Limits on requests from callers. */
export interface IngressLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface RoutingConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceSpec[];
    /** Absent where requests need no key. */
    readonly organisations: readonly OrganisationSpec[] | undefined;
    readonly limits: IngressLimits;
}

/** Registration of an endpoint. */
export interface EndpointEntry {
    readonly endpointId: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Time until the endpoint is warm, counted from when the entry was written. */
    readonly coldLeftMs: number;
    /** When its process started, in milliseconds since the epoch; absent if it doesn't say so. */
    readonly startedAt?: number | undefined;
    /** Version of its software; absent from instances of earlier releases. */
    readonly softwareVersion?: string | undefined;
}

/** An endpoint that has said in a response that it leaves. */
export type LeavingEndpoint = Pick<EndpointEntry, "endpointId" | "startedAt">;

/**
 * What an endpoint has said of the requests that it takes from all instances together. A limit holds for one process of
 * the endpoint, until a later response names another one or none.
 */
export interface EndpointLimit extends LeavingEndpoint {
    /** Requests per second; `undefined` if the endpoint no longer names a limit. */
    readonly ratePerS: number | undefined;
    /** Age of the statement: of the response that names the limit, or of the request whose response names none. */
    readonly ageMs: number;
}

/** Where a stream began. Only endpoints of that service with that software version can go on with it. */
export interface StreamOrigin {
    readonly service: string;
    readonly softwareVersion: string;
}

/** Streams that began there, by the ids of the requests that brought their first events. */
export interface StreamOriginReport extends StreamOrigin {
    readonly requestIds: readonly string[];
}

/** A stream that a caller takes up. */
export interface ResumedStream {
    /** The request that brought its first event; empty if the caller doesn't name it. */
    readonly requestId: string;
    /** Services that the route allows. */
    readonly services: readonly string[];
}

/** Registration of an instance of this system. */
export interface MemberEntry {
    readonly instanceId: string;
    /** Unique to each start of the process. */
    readonly incarnation: string;
    readonly host: string;
    readonly rpcPort: number;
    readonly dataCentre: string;
    /** CPU available to the instance, in cores. */
    readonly processorShare: number;
    /**
     * Whether it runs jobs whose items are split over several objects; absent from instances of earlier releases, which
     * would run parts of such items.
     */
    readonly canRunSplitItems?: boolean | undefined;
}

/** Description of a batch job that all instances need. */
export interface JobSummary {
    readonly jobId: string;
    readonly organisation: string;
    readonly route: string;
    /** Milliseconds since the epoch. */
    readonly submittedAt: number;
    readonly itemTokens: readonly number[];
    readonly state: "open" | "ended";
}

/** Class of work; batch runs on capacity that online requests leave idle. */
export type WorkClass = "online" | "batch";

/**
 * A request for a place at an endpoint. A place is the right to run one request there, and takes one of the endpoint's
 * slots until it is released.
 */
export interface PlaceRequest {
    readonly askId: string;
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly workClass: WorkClass;
    readonly organisation: string;
    readonly priority: number;
    /** Online: remaining time in which a place still meets the latency objective. */
    readonly usefulForMs: number;
    /** Latency objective of the route. */
    readonly targetLatencyMs: number;
    /** Time after which the request for a place is abandoned. */
    readonly giveUpAfterMs: number;
    /** Batch: remaining time until the result is due. */
    readonly dueInMs: number;
    /** Batch: expected time that the item still needs at an endpoint. */
    readonly remainingMs: number;
    /** Endpoints that must not be used again for this request, or that the requesting instance can't reach. */
    readonly excluded: readonly string[];
    /** Regions that the request may be processed in; empty for all. */
    readonly allowedRegions: readonly string[];
    /** Identifies a request across its attempts; empty if attempts can't be recognised. */
    readonly fingerprint: string;
    /** Name of the request's route; absent from instances of earlier releases. */
    readonly route?: string | undefined;
    /** Shared parts of the request's prompt; absent for batch items and from instances of earlier releases. */
    readonly promptParts?: readonly string[] | undefined;
    /** The request goes on with what this software version began. */
    readonly softwareVersion?: string | undefined;
    /** Id of a request whose stream another request may go on with. */
    readonly streamId?: string | undefined;
    /** The stream that the request goes on with, where the requesting instance doesn't know its origin. */
    readonly resumedStream?: ResumedStream | undefined;
    /** An endpoint could not be reached for the request, so that it isn't sent to one that is only being tried again. */
    readonly wasUnreachable?: boolean | undefined;
    /** Tokens of the prompt; of a batch item, all its tokens. Absent from instances of earlier releases. */
    readonly promptTokens?: number | undefined;
    /** Maximum of output tokens. */
    readonly outputTokens?: number | undefined;
    /** Whether this is the request's first attempt; absent where requests are not hedged. */
    readonly isFirstAttempt?: boolean | undefined;
    /** The place of an attempt that goes on: another place is requested only if it may be hedged. */
    readonly hedgeOf?: string | undefined;
    /** Rate limit that the request takes a token from; `undefined` if it takes none. */
    readonly rate: RateBounds | undefined;
    /** Online: how much the request asks of an endpoint; absent from instances of earlier releases. */
    readonly work?: RequestWork | undefined;
    /** Online: the organisation's weight when places are short; absent without a rate limit. */
    readonly weight?: number | undefined;
}

/** How much a request asks of an endpoint. */
export interface RequestWork {
    readonly promptTokens: number;
    /** Expected number of output tokens. */
    readonly outputTokens: number;
}

/** Rate limit of an organisation. */
export interface RateBounds {
    readonly ratePerS: number;
    readonly burst: number;
}

/** How far admitted requests of an organisation may exceed its rate limit within a window. */
export interface RateTolerance {
    readonly windowMs: number;
    /** Allowed excess as a fraction of what rate and burst admit in the window. */
    readonly overPart: number;
    readonly extraRequests: number;
}

/** Why a place request is refused. */
export type RefusalReason =
    | "overloaded"
    | "no-endpoint"
    | "rate-limited"
    | "crashes-endpoints"
    | "version-gone"
    | "too-many-tokens"
    | "no-hedge"
    | "origin-unknown"
    | "unavailable";

/** Decision on a place request. */
export type PlaceOutcome =
    | {
        readonly kind: "placed";
        readonly placeId: string;
        readonly endpointId: string;
        /** Online: the wait that was forecast when the place was requested, in milliseconds. */
        readonly expectedWaitMs: number;
        /** The limit that the endpoint has named, so that the instance can tell when a response no longer names it. */
        readonly limit?: EndpointLimit | undefined;
        /** Whether whoever granted the place decides on hedges; absent from instances of earlier releases. */
        readonly mayHedge?: boolean | undefined;
        /** Where the stream began that the request goes on with. */
        readonly origin?: StreamOrigin | undefined;
    }
    | {
        readonly kind: "refused";
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
        /** Figures behind the decision, for the log. */
        readonly detail: string;
    };

/**
 * How a request that held a place ended.
 *
 * - `done`: the endpoint responded, or the instance cancelled the request.
 * - `unreachable`: no connection could be made; the request did not run.
 * - `rejected`: the endpoint did not run it.
 * - `broken`: the connection broke after the request had been sent, or the response was invalid.
 * - `failed`: the endpoint responded with a failure, or was silent for too long before the caller left or the deadline
 *   passed.
 * - `silent`: cancelled because the endpoint sent nothing in time.
 * - `lost`: says nothing about the endpoint's health: the place was not used, the instance that held it is gone, or the
 *   request ended in a way that the endpoint is not blamed for.
 */
export type RequestEnd = "done" | "unreachable" | "rejected" | "broken" | "failed" | "silent" | "lost";

/** Release of a place. */
export interface PlaceRelease {
    readonly placeId: string;
    readonly end: RequestEnd;
    readonly fingerprint: string;
    /** Time from the grant of the place to the first part of the response; `undefined` if there was none. */
    readonly firstAnswerMs: number | undefined;
    /** Shared parts of the prompt, if the endpoint has produced a part of the response. */
    readonly succeededParts?: readonly string[] | undefined;
    /** Events of the response; absent from instances of earlier releases, and if there was none. */
    readonly events?: number | undefined;
    /** The response was a failure, or broke, also where the endpoint's health is not blamed for it. */
    readonly hasFailed?: boolean | undefined;
    /** Time from the grant of the place until the whole response; absent if it isn't whole. */
    readonly durationMs?: number | undefined;
}

/** Figures of a response that tell the speed of its endpoint. */
export type ResponseFigures = Pick<PlaceRelease, "events" | "hasFailed" | "durationMs">;

/** A place in use, as its instance reports it to a coordinator that may not know of it. */
export interface PlaceSummary {
    readonly placeId: string;
    readonly endpointId: string;
    readonly service: string;
    readonly workClass: WorkClass;
    readonly organisation: string;
    readonly dueInMs: number;
    /** Batch: expected time until the item is finished. */
    readonly remainingMs: number;
    /** Prompt tokens and maximum of output tokens; absent from instances of earlier releases. */
    readonly tokens?: number | undefined;
    /** Name of the request's route; absent from instances of earlier releases. */
    readonly route?: string | undefined;
}

/** Progress of a job, reported by the instance that runs it. */
export interface JobProgress {
    readonly jobId: string;
    /** Tokens of the finished items. */
    readonly finishedTokens: number;
    /** Instance that handed the job over to the reporting one; empty if none did. */
    readonly handedOverBy: string;
}
