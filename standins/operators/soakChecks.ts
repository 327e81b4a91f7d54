import { type Engine, FILLER, type SeenRequest } from "./engine";
import { CONTACT_MS, type FaultLog } from "./faultLog";
import type { CallerResponse } from "./soakClient";

/** Description of a violated check, in one line. */
export type Violation = string;

/** Events of each stream and of each item's output. */
export const EVENT_COUNT = 12;

/** Grace period of a planned stop in the gateways' settings, in milliseconds. */
const GRACE_MS = 8_000;
const AFTER_GRACE_MS = 1_000;
/** A request that still runs this late in a planned stop, and was sent this soon after its start, may be cut. */
const LATE_STOP_MS = GRACE_MS * 5 / 6;
const EARLY_STOP_MS = 3_000;
/** A little less than the deadline and the route's time limit of all requests. */
const NEARLY_DUE_MS = 4_700;
/** An engine may still work on a request for this long after it went on at another one. */
const OVERLAP_MS = 400;
/** Requests with one crashing part that may reach engines from {@link CONTACT_MS} after so many crashes on. */
const CRASHES_OF_PART = 5;
const REQUESTS_AFTER_CRASHES = 3;
/** Requests on kept connections that may end without a response beside no fault at all. */
const MAX_UNANSWERED = 3;

/** An online request and its response. */
export interface CallResult extends CallerResponse {
    readonly requestId: string;
    readonly route: "once" | "again" | "lookup" | "write";
    /** The body that was sent. */
    readonly sentBody: string;
    /** Characters in each event beside the numbers. */
    readonly eventFillers: number;
}

/** A request that an engine accepted, with the engine. */
interface Run extends SeenRequest {
    readonly engine: Engine;
}

/** Checks online requests against what engines have seen and what the platform's rules say. */
export class SoakChecks {
    readonly violations: Violation[] = [];
    /** Responses that had begun and were cut, requests on kept connections without a response, and roll-outs by end. */
    readonly counts = { cut: 0, unanswered: 0, overlapping: 0, goodCompleted: 0, goodRolledBack: 0, badRolledBack: 0 };

    /**
     * @param engines - All engines; the checks read the requests that they recorded.
     * @param faults - What happened.
     */
    constructor(private readonly engines: readonly Engine[], private readonly faults: FaultLog) {}

    /**
     * @param violation - What was violated.
     */
    record(violation: Violation): void {
        this.violations.push(violation);
    }

    /**
     * Checks a request that has ended.
     *
     * @param call - The request.
     */
    checkCall(call: CallResult): void {
        const runs = this.getRuns([call.requestId]);
        const { requestId, route, status } = call;
        const isRefused = status === 503 || status === 429;
        if ((route === "once" || route === "write") && runs.length > 1) {
            this.record(`${requestId}: ran ${runs.length} times on /${route}/`);
        }
        if (isRefused && runs.length > 0 && (route === "once" || route === "write")) {
            this.record(`${requestId}: ran although it was refused with status ${status}`);
        }
        if (runs.some(({ headers }) => headers.authorization !== undefined || headers.tenant !== "alpha")) {
            this.record(`${requestId}: reached an engine with an API key or under another organisation`);
        }
        if (runs.some(({ body, path }) => body !== call.sentBody || path !== `/${route}/a`)) {
            this.record(`${requestId}: reached an engine with another path or body`);
        }
        if (isRefused && Number(call.retryAfter) >= 0 === false) {
            this.record(`${requestId}: refused without a valid Retry-After header`);
        }
        if ([401, 403, 404, 400, 413].includes(status)) {
            this.record(`${requestId}: a valid request was rejected with status ${status}`);
        }
        if (status === 200 && call.isComplete) {
            this.checkCompleteResponse(call);
        }
        this.checkVersions([requestId]);
        this.checkCut(call, runs);
        this.checkOverlap(call, runs);
    }

    /**
     * Checks that a stream has one version's events. Engines don't check which version began a stream; a run without a
     * last event begins it.
     *
     * @param requestIds - Requests of one stream.
     */
    checkVersions(requestIds: readonly string[]): void {
        const runs = this.getRuns(requestIds).filter(({ events }) => events > 0);
        let begunBy = runs[0]?.engine.options.version;
        for (const { engine: { options: { version } }, headers } of runs) {
            if (headers["last-event-id"] === undefined) {
                begunBy = version;
            }
            else if (version !== begunBy) {
                this.record(`${requestIds.join()}: a stream went on at another version`);
            }
        }
    }

    /**
     * Checks how often a part of prompts that crashes engines has reached them (BUDGET).
     *
     * @param part - The part.
     * @param getGateway - Returns the name of the gateway that connects from an address.
     */
    checkCrashingPart(part: string, getGateway: (sourceAddress: string) => string): void {
        const crashes = this.engines.flatMap(({ partCrashes }) => partCrashes)
            .filter(crash => crash.part === part)
            .sort((left, right) => left.atMs - right.atMs);
        const sinceMs = (crashes[CRASHES_OF_PART - 1]?.atMs ?? Infinity) + CONTACT_MS;
        const later = this.engines.flatMap(({ seen }) => seen).filter(({ headers, atMs, sourceAddress }) =>
            atMs > sinceMs && String(headers["prompt-prefix"]).split(",").some(each => each.split(":")[0] === part)
            && this.faults.isInTouch(getGateway(sourceAddress), atMs, atMs)
        );
        if (later.length > REQUESTS_AFTER_CRASHES) {
            this.record(`part ${part}: ${later.length} requests reached engines later than after its fifth crash`);
        }
    }

    private getRuns(requestIds: readonly string[]): Run[] {
        return this.engines
            .flatMap(engine =>
                engine.seen.filter(({ requestId }) => requestIds.includes(requestId)).map(run => ({ ...run, engine }))
            )
            .sort((left, right) => left.atMs - right.atMs);
    }

    private checkCompleteResponse({ requestId, route, body, signature, eventFillers }: CallResult): void {
        if (signature !== `sig.${requestId}`) {
            this.record(`${requestId}: a successful response without the engine's signature`);
        }
        const events = Array.from({ length: EVENT_COUNT }, (_, event) => toEvent(event, requestId, eventFillers));
        const expected = route === "once" || route === "again" ? events.join("") : `plain answer to ${requestId}`;
        if (body !== expected) {
            this.record(`${requestId}: a successful response whose body differs from the engine's`);
        }
    }

    /**
     * A gateway that stops as planned completes what it has passed on, while nothing unplanned happens; a silent engine
     * is no reason to end a response (LOST, "around planned work"). At any other time, a gateway in touch may close a
     * kept connection on a request that it has passed on to a sound engine up to three times (LOST, "at any time").
     */
    private checkCut(call: CallResult, runs: readonly Run[]): void {
        const { requestId, gateway, status, sentAtMs, endedAtMs, isGivenUp } = call;
        const isCut = status === 0 || (status === 200 && !call.isComplete);
        const isEngineAtFault = /BREAK|CRASH/.test(call.sentBody) ||
            runs.some(({ engine }) =>
                this.faults.hasFault(
                    sentAtMs,
                    endedAtMs,
                    ({ kind, target }) => kind === "unplanned" && target === `engine ${engine.id}`,
                )
            );
        if (!isCut || runs.length === 0 || isGivenUp || isEngineAtFault || endedAtMs - sentAtMs > NEARLY_DUE_MS) {
            return;
        }
        const what = status === 0 ? "no response" : `a response cut after ${countEvents(call.body)} events`;
        const stoppedAtMs = this.faults.getStopStart(gateway, endedAtMs);
        if (stoppedAtMs !== undefined) {
            const sinceStopMs = endedAtMs - stoppedAtMs;
            const mayBeCut = sinceStopMs > GRACE_MS + AFTER_GRACE_MS
                || (sinceStopMs > LATE_STOP_MS && sentAtMs < stoppedAtMs + EARLY_STOP_MS);
            const isExcused = this.faults.hasFault(sentAtMs, endedAtMs, ({ kind }) => kind === "unplanned");
            if (!mayBeCut && !isExcused) {
                this.record(`${requestId}: ${what}, ${sinceStopMs} ms after ${gateway} began to stop as planned`);
            }
            return;
        }
        if (!this.faults.isInTouch(gateway, sentAtMs, endedAtMs)) {
            return;
        }
        this.counts[status === 0 ? "unanswered" : "cut"] += 1;
        if (status === 0 && call.wasKept && this.counts.unanswered > MAX_UNANSWERED) {
            this.record(`${requestId}: ${what} from ${gateway}, which was in touch`);
        }
    }

    /** A request that goes on at another engine must have ended at the one before (TWICE). */
    private checkOverlap({ requestId, gateway, sentAtMs, endedAtMs }: CallResult, runs: readonly Run[]): void {
        for (const [index, { atMs, engine }] of runs.entries()) {
            const before = runs.slice(0, index).find(run =>
                run.engine !== engine && (run.endedAtMs ?? Date.now()) > atMs + OVERLAP_MS
            );
            const isOverlapping = before !== undefined && this.faults.isInTouch(gateway, sentAtMs, endedAtMs)
                && !this.faults.hasFault(
                    sentAtMs,
                    endedAtMs,
                    ({ target, kind }) => kind === "unplanned" && target.startsWith("gateway"),
                );
            if (isOverlapping && before.headers.model !== undefined) {
                this.counts.overlapping += 1;
                const overlapMs = Math.round((before.endedAtMs ?? Date.now()) - atMs);
                this.record(`${requestId}: ran at ${before.engine.id} and ${engine.id} for ${overlapMs} ms`);
            }
        }
    }
}

/**
 * @param eventId - ID of an event.
 * @param requestId - ID of the request.
 * @param fillers - Characters beside the numbers.
 * @returns The event as an engine sends it.
 */
export function toEvent(eventId: number, requestId: string, fillers: number): string {
    return `id: ${eventId}\ndata: ${toEventData(eventId, requestId, fillers)}\n\n`;
}

/**
 * @param eventId - ID of an event.
 * @param requestId - ID of the request.
 * @param fillers - Characters beside the numbers.
 * @returns The event's data.
 */
export function toEventData(eventId: number, requestId: string, fillers: number): string {
    return `event ${eventId} of ${requestId}${FILLER.repeat(fillers)}`;
}

function countEvents(body: string): number {
    return body.split("\n\n").length - 1;
}
