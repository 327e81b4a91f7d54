import type { ResponseFigures } from "@heatherline/fleet";
import type { AttemptOutcome } from "./attemptOutcome";

/** Circumstances of an attempt that decide on what its response shows of the endpoint's software version. */
export interface AttemptCircumstances {
    readonly durationMs: number;
    /** Whether this instance ended the attempt, since the caller left, the deadline passed, or it stops. */
    readonly wasAborted: boolean;
    /** Whether the response begins with its first event; the duration of the rest of a stream can't be compared. */
    readonly isFromStart: boolean;
}

/**
 * @param outcome - How the attempt ended.
 * @param circumstances - Its circumstances.
 * @returns What is known of the response. A stream that broke after several events is a failure too.
 */
export function getResponseFigures(
    outcome: AttemptOutcome,
    { durationMs, wasAborted, isFromStart }: AttemptCircumstances,
): ResponseFigures {
    if (outcome.kind === "answered") {
        return isFromStart ? { durationMs } : {};
    }
    const isFailure = outcome.end === "failed" || outcome.end === "broken";
    return isFailure && !wasAborted ? { hasFailed: true } : {};
}
