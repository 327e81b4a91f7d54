import type { AttemptEnd } from "./retryPolicy";

/** The outcome of one attempt; `answered` means that the endpoint's response was delivered to the caller. */
export type AttemptOutcome =
    | { readonly kind: "answered"; readonly status: number; }
    | {
        readonly kind: "ended";
        readonly end: AttemptEnd;
        readonly reason: string;
        /** The error response, passed on to the caller if no later attempt succeeds. */
        readonly failure?: WholeResponse;
    };

/** A response of an endpoint that is no stream. */
export interface WholeResponse {
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}
