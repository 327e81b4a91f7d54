import { monotonicMs, sha256Hex } from "@heatherline/common";
import type { OrganisationSpec, RouteSpec, ServiceDocument } from "@heatherline/config";
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type { Refusal } from "./errors";

/** Receives the response: an HTTP response to a caller, or the result of a batch item. */
export interface ResponseSink {
    /** Whether a response has been begun, so that no other response can be sent. */
    readonly hasBegun: boolean;
    /**
     * Begins the response.
     *
     * @param status - HTTP status.
     * @param headers - Headers of the response.
     */
    begin(status: number, headers: Record<string, string>): void;
    /**
     * @param chunk - The next bytes of the response body.
     * @returns Under backpressure, a promise that resolves when more can be written; otherwise `undefined`.
     */
    write(chunk: Buffer): Promise<void> | undefined;
    /** Ends a complete response. */
    end(): void;
    /** Aborts a response that has begun, so that the receiver can tell that it is incomplete. */
    abort(): void;
}

/** Class of work; batch items run on the capacity that online requests leave idle. */
export type WorkClass = "online" | "batch";

/** Why this instance ended an exchange. */
export type EndReason = "caller-gone" | "deadline" | "key-withdrawn" | "preempted" | "cancelled" | "shutdown";

/** A request and the state of its processing. Filters set the optional fields as the request passes through them. */
export interface Exchange {
    readonly requestId: string;
    readonly workClass: WorkClass;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Replaced by filters that inspect the response. */
    sink: ResponseSink;
    readonly startedAtMs: number;
    /** Aborted with an {@link EndReason} when this instance ends the exchange early. */
    readonly abortController: AbortController;
    /** On the monotonic clock. */
    deadlineAtMs: number;
    service?: ServiceDocument;
    route?: RouteSpec;
    /** Path and query of the request to the endpoint. */
    upstreamPath?: string;
    organisation?: OrganisationSpec;
    keyId?: string;
    model?: string;
    isStream?: boolean;
    /** Requests with equal keys share a prompt prefix, so that an endpoint may have its computed state cached. */
    affinityKey?: string;
    /** Hashes of the parts of the prompt that other requests may share. */
    promptParts?: readonly string[];
    /** Computes the hash of the request's content; equal requests of one organisation have equal fingerprints. */
    readonly getFingerprint: () => string;
    /** Whether bytes of this request may have reached an endpoint. */
    isSent: boolean;
    /** When the request was admitted by the rate limit of its organisation, in milliseconds since the epoch. */
    admittedAt?: number;
    endpoint?: string;
    attempts: number;
    /** Time spent in the queue of the service, over all attempts. */
    queuedMs?: number;
    /** Time from the start of the exchange, with all waits, to the first byte of the last endpoint's response. */
    firstByteMs?: number;
    /** Bytes of response bodies received from endpoints, over all attempts. */
    answerBytes: number;
}

/** The response that was delivered to the caller. */
export interface DeliveredResponse {
    readonly status: number;
}

/** How an exchange ended. */
export type Outcome = Result<DeliveredResponse, Refusal>;

/** Runs the rest of the pipeline. */
export type Next = (exchange: Exchange) => Promise<Outcome>;

/** One step of the pipeline. */
export interface Filter {
    readonly name: string;
    /**
     * @param exchange - The request.
     * @param next - The rest of the pipeline.
     * @returns How the exchange ended.
     */
    handle(exchange: Exchange, next: Next): Promise<Outcome>;
}

/** The fields from which a new exchange is made. */
export type ExchangeInit = Pick<
    Exchange,
    "requestId" | "workClass" | "method" | "path" | "headers" | "body" | "sink" | "abortController" | "deadlineAtMs"
>;

/**
 * @param start - The initial fields.
 * @returns A new exchange.
 */
export function newExchange(start: ExchangeInit): Exchange {
    let fingerprint: string | undefined;
    const exchange: Exchange = {
        ...start,
        startedAtMs: monotonicMs(),
        isSent: false,
        attempts: 0,
        answerBytes: 0,
        getFingerprint: () => {
            fingerprint ??= computeFingerprint(exchange);
            return fingerprint;
        },
    };
    return exchange;
}

function computeFingerprint({ organisation, service, upstreamPath, body }: Exchange): string {
    const scope = `${organisation?.organisation ?? ""}\0${service?.service ?? ""}\0${upstreamPath ?? ""}`;
    return sha256Hex(`${scope}\0${sha256Hex(body)}`);
}

/**
 * @param exchange - An exchange.
 * @returns Why this instance ended it early, or `undefined` if it did not.
 */
export function getEndReason(exchange: Exchange): EndReason | undefined {
    return exchange.abortController.signal.aborted ? exchange.abortController.signal.reason as EndReason : undefined;
}
