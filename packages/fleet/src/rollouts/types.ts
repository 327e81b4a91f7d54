/** An operator's order to move a service's traffic to the endpoints of one software version. */
export interface RolloutOrder {
    readonly service: string;
    readonly toVersion: string;
    /** Time from the order until the traffic must have moved. */
    readonly durationMs: number;
    /** Distinguishes orders for one service; stays the same when the status of the order is written. */
    readonly orderId: string;
    /** Milliseconds since the epoch. */
    readonly orderedAt: number;
}

/** State of a roll-out; only `running` is followed by another. */
export type RolloutState = "running" | "completed" | "rolled-back";

/** Responses to the requests of one route since the order, at the new version and at the others. */
export interface RolloutRouteCounts {
    readonly route: string;
    readonly candidateAnswers: number;
    readonly candidateBad: number;
    readonly baselineAnswers: number;
    readonly baselineBad: number;
}

/** State of a roll-out that outlasts its coordinator. */
export interface RolloutRecord {
    readonly service: string;
    readonly toVersion: string;
    readonly orderId: string;
    /** Milliseconds since the epoch. */
    readonly orderedAt: number;
    /** Milliseconds since the epoch. */
    readonly deadlineAt: number;
    readonly state: RolloutState;
    /** Epoch of the coordinator that wrote the record. */
    readonly epoch: number;
    /** Fraction of new requests that go to the new version; 0 during the canary phase. */
    readonly share: number;
    /** Upper bound of the requests that the new version has been sent. */
    readonly exposedRequests: number;
    /** Requests that have reached the service since the order. */
    readonly totalRequests: number;
    readonly routes: readonly RolloutRouteCounts[];
    /** Why the record has its state and share, for the log. */
    readonly reason: string;
    /** Versions of earlier orders that were replaced before they were completed; they get no requests either. */
    readonly abandonedVersions?: readonly string[] | undefined;
    /**
     * Versions that the service had beside the new one when the roll-out was completed. Versions that join it later, without
     * an order, may be used.
     */
    readonly replacedVersions?: readonly string[] | undefined;
    /**
     * The order can't be followed, since the service had endpoints of that version only. The record restricts nothing
     * then; its final state is `rolled-back`.
     */
    readonly isVoid?: boolean | undefined;
}

/** Limits on the use of a version that may turn out to be bad. */
export interface RolloutLimits {
    /** Fraction of a service's requests that a bad version may be sent. */
    readonly exposedFraction: number;
    /** Requests that a bad version may be sent in addition. */
    readonly exposedSlack: number;
    /** Time after the 50th bad response in which a bad version may still be sent requests. */
    readonly rollbackMs: number;
}

/** Software versions that a request may use. */
export type AllowedVersions =
    | { readonly kind: "any"; }
    | { readonly kind: "all-but"; readonly versions: readonly string[]; }
    | { readonly kind: "only"; readonly versions: readonly string[]; };
