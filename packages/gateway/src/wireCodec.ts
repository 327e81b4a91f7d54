import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";

/** The parsed headers of a caller's request. */
export interface CallerRequestHead {
    readonly requestId: string | undefined;
    readonly host: string;
    readonly apiKey: string | undefined;
    /** How long the caller waits for the response. */
    readonly timeLeftMs: number | undefined;
    /** Long polling: how long a read of results may wait for new ones. */
    readonly pollWaitMs: number;
    /** Id of the last event that the caller received, if it resumes a stream. */
    readonly lastEventId: number | undefined;
    /** Id of the request that brought the first event of the stream that the caller resumes, if the caller names it. */
    readonly resumedRequestId: string | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The caller's estimate of the output length, which is often inaccurate. */
    readonly expectedOutputTokens: number | undefined;
    /** Ids of the parts of the prompt that other requests may share, in order: all but the last. */
    readonly sharedPromptParts: readonly string[];
}

/** The headers that the gateway sets on a request to an endpoint. */
export interface EndpointRequestHead {
    readonly endpointId: string;
    readonly organisation: string | undefined;
    readonly timeLeftMs: number;
    /** Id of the event after which the endpoint resumes the stream. */
    readonly lastEventId: number | undefined;
    readonly bodyBytes: number;
}

/**
 * A response's statement about how many requests its endpoint takes from all instances together.
 *
 * - `named`: at most `ratePerS` requests per second.
 * - `none`: no limit is named.
 * - `unreadable`: the value is no number that makes sense; it says nothing.
 */
export type NamedRequestLimit =
    | { readonly kind: "named"; readonly ratePerS: number; }
    | { readonly kind: "none" | "unreadable"; };

/** The parsed headers of an endpoint's response. */
export interface EndpointResponseHead {
    readonly requestId: string | undefined;
    /** Whether the response carries the endpoint's signature. */
    readonly isSigned: boolean;
    /** Whether the endpoint states that it did not run the request. */
    readonly isNotExecuted: boolean;
    /** Whether the endpoint says that it leaves. */
    readonly isLeaving: boolean;
    /** What the response says of the requests that the endpoint takes. */
    readonly requestLimit: NamedRequestLimit;
    readonly endpointId: string | undefined;
    /** Time until the endpoint is warm. */
    readonly coldLeftMs: number | undefined;
}

/** One item of a batch job as submitted. */
export interface SubmittedItem {
    readonly itemId: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBase64: string;
    /** Sum of the prompt tokens and the maximum of output tokens. */
    readonly tokens: number;
}

/** A batch job as submitted. */
export interface BatchSubmission {
    readonly items: readonly SubmittedItem[];
}

/** The final result of a batch item. */
export interface ItemResult {
    readonly itemId: string;
    /** `dead`: the item can't be completed and is not retried any more. */
    readonly state: "completed" | "dead";
    /** Data of all events of the response stream, separated by line feeds; empty for dead items. */
    readonly output: string;
}

/** One page of a job's results. */
export interface ResultsPage {
    /** Number of items of the job. */
    readonly total: number;
    /** Position after the last result of this page. */
    readonly next: number;
    readonly results: readonly ItemResult[];
}

/**
 * Translates between the gateway's types and the header names, paths and body formats of callers and endpoints. Makes
 * no decisions about requests.
 */
export interface WireCodec {
    /** Path of the load balancer's readiness checks. */
    readonly readinessPath: string;
    /**
     * @param headers - Headers of a caller's request.
     * @returns The parsed headers.
     */
    parseRequestHead(headers: IncomingHttpHeaders): CallerRequestHead;
    /**
     * @param rawHeaders - The caller's headers, names and values alternating.
     * @param head - The headers that the gateway sets.
     * @returns Headers of the request to the endpoint, names and values alternating.
     */
    toEndpointHeaders(rawHeaders: readonly string[], head: EndpointRequestHead): string[];
    /**
     * @param host - Host that the job was submitted to.
     * @param itemId - The item.
     * @param itemHeaders - Headers that the item was submitted with.
     * @returns Headers as a caller would send them for this item, names and values alternating.
     */
    toItemHeaders(host: string, itemId: string, itemHeaders: Readonly<Record<string, string>>): string[];
    /**
     * @param headers - Headers of an endpoint's response.
     * @returns The parsed headers.
     */
    parseResponseHead(headers: IncomingHttpHeaders): EndpointResponseHead;
    /**
     * @param rawHeaders - Headers of an endpoint's response, names and values alternating.
     * @returns The headers that are passed on to the caller.
     */
    toCallerHeaders(rawHeaders: readonly string[]): string[];
    /**
     * @param requestId - Id of the request, if it has one.
     * @param retryAfterMs - Time after which the caller may retry, if a retry can help.
     * @returns Headers of a response that the gateway generates itself.
     */
    toLocalResponseHeaders(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
    /**
     * @param path - Path without query.
     * @returns The part of a batch job that the path names; `undefined` for all other paths.
     */
    parseBatchPath(path: string): { readonly resource: "results" | "body"; readonly jobId: string; } | undefined;
    /**
     * @param body - Body of a job submission.
     * @returns The job, or a message that says why the body is invalid.
     */
    parseSubmission(body: Buffer): Result<BatchSubmission, string>;
    /**
     * @param page - One page of results.
     * @returns The response body.
     */
    formatResults(page: ResultsPage): string;
}
