import type { EndpointObstacle } from "../endpointAssessment";
import type { AdmitJobReply, AdmitJobRequest } from "../messages";
import type { PlaceRefusal } from "../placeDecisions";
import type { AllowedVersions } from "../rollouts/types";
import type { PlaceRequest } from "../types";

/** What would be decided on a request now. */
export type ExplainedDecision =
    | { readonly kind: "granted"; readonly endpointId: string; }
    | { readonly kind: "waits"; readonly expectedWaitMs: number; }
    | PlaceRefusal;

/** The queue of a service as a request would meet it. */
export interface ExplainedQueue {
    readonly waitingOnline: number;
    readonly waitingBatch: number;
    /** Online: requests that would be served before it. */
    readonly ahead: number;
    /** Free places at endpoints that it may use. */
    readonly free: number;
    /** Places at endpoints that it may use. */
    readonly capacity: number;
    /** Online: the forecast of its wait, in milliseconds; absent if no endpoint may be used. */
    readonly expectedWaitMs?: number | undefined;
    /** How long an online request keeps its place on average, in milliseconds. */
    readonly meanHoldMs: number;
}

/** An endpoint of the request's service, and what speaks for and against it. */
export interface ExplainedCandidate {
    readonly endpointId: string;
    readonly dataCentre: string;
    readonly isRemote: boolean;
    readonly softwareVersion: string;
    /** The usable endpoint with the lowest cost is chosen. */
    readonly cost: number;
    /** Why it can't be used now, if it can't. */
    readonly obstacle?: EndpointObstacle | undefined;
    readonly running: number;
    /** Concurrent requests that it may be sent. */
    readonly capacity: number;
    /** Factor on the service's mean time that is expected of it. */
    readonly slowness: number;
    /** Fraction of its requests that failed. */
    readonly failureRate: number;
    /** Remaining time of its pause in milliseconds; 0 without one. */
    readonly pauseLeftMs: number;
    /** Whether it is sent one request at a time until one succeeds. */
    readonly isTriedAgain: boolean;
    /** Requests per second that it may be sent in case it is cold; 0 for no limit. */
    readonly coldRatePerS: number;
    /** Requests per second that it may be sent of the limit that it has named. */
    readonly limitPerS?: number | undefined;
    /** Time until these rates admit a request, in milliseconds. */
    readonly sendWaitMs: number;
    /** Number of such requests that its memory has room for; absent without a limit. */
    readonly memoryRoom?: number | undefined;
    /** The part of the cost that a roll-out adds. */
    readonly rolloutCost: number;
}

/** What a dispatcher would decide on a request, and why. */
export interface DispatchExplanation {
    readonly decision: ExplainedDecision;
    readonly queue: ExplainedQueue;
    /** Usable endpoints in order of preference, then the others; at most 32. */
    readonly candidates: readonly ExplainedCandidate[];
    /** Number of endpoints of the service. */
    readonly candidateCount: number;
    /** Software versions that a roll-out lets the request use; absent where there are no roll-outs. */
    readonly allowedVersions?: AllowedVersions | undefined;
}

/** A rate limit as the granter enforces it. */
export interface ExplainedRate {
    readonly ratePerS: number;
    readonly burst: number;
    /** What is left of the burst. */
    readonly tokens: number;
}

/** What a granter would decide on a request, and why. */
export interface PlaceExplanation extends DispatchExplanation {
    /** Absent for batch items and organisations without a limit. */
    readonly rate?: ExplainedRate | undefined;
    /** Whether the request has a blocked part of a prompt, or would be the trial of one. */
    readonly prompt: "run" | "trial" | "blocked";
    /** Whether a job would be admitted; absent for online requests, and where only the store tells it. */
    readonly job?: Exclude<AdmitJobReply, { kind: "not-coordinator"; }> | undefined;
}

/** Asks a granter what it would decide; it answers at once. */
export interface ExplainRequest {
    readonly ask: PlaceRequest;
    /** Asks as well whether the job of the batch item would be admitted. */
    readonly job?: AdmitJobRequest | undefined;
}

/** Reply to an {@link ExplainRequest}. */
export type ExplainReply =
    | { readonly kind: "not-coordinator"; }
    | { readonly kind: "explained"; readonly explanation: PlaceExplanation; };
