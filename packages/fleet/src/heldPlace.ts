import type { PlaceDecider } from "./placeGranter";
import type { EndpointEntry, PlaceOutcome, PlaceRequest, RequestEnd, ResponseFigures } from "./types";

/** A place that this instance holds. */
export interface HeldPlace {
    readonly placeId: string;
    readonly endpoint: EndpointEntry;
    /** Who granted the place. */
    readonly givenBy: PlaceDecider;
    /** The wait that was forecast when the place was requested, in milliseconds. */
    readonly expectedWaitMs: number;
    /** Whether a second place may be requested for the request. */
    readonly mayHedge?: boolean | undefined;
    /** Aborted when the place is preempted and must be released at once. */
    readonly preemptSignal: AbortSignal;
    /** Reports that the endpoint has sent nothing for too long; the request goes on. */
    reportSilence(): void;
    /**
     * Releases the place; later calls do nothing.
     *
     * @param end - How the request ended.
     * @param firstAnswerMs - Time from the grant of the place to the first part of the response.
     * @param hasResponded - Whether the endpoint produced enough to show that the request doesn't crash it.
     * @param figures - Further figures of the response.
     */
    release(end: RequestEnd, firstAnswerMs?: number, hasResponded?: boolean, figures?: ResponseFigures): void;
    /** Reports, also after the release, that the endpoint crashed while nothing of the response had arrived. */
    reportCrash(): void;
}

/** Result of a place request. */
export type PlacementOutcome =
    | { readonly kind: "placed"; readonly place: HeldPlace; }
    | (Extract<PlaceOutcome, { kind: "refused"; }> & { readonly decidedBy: PlaceDecider; });

/** A place request without the fields that `PlacementClient` fills in. */
export type PlaceRequestOptions = Omit<PlaceRequest, "askId" | "instanceId" | "dataCentre" | "excluded"> & {
    readonly excluded?: readonly string[];
    /** Aborted when the caller disconnects; withdraws the request. */
    readonly signal: AbortSignal;
};
