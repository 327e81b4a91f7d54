import type { CoordinatorLink } from "./coordinatorLink";
import type { GranterReports } from "./granterReports";
import type { PlaceDecision, PlaceReply } from "./messages";
import type { PlaceGranter } from "./placeGranter";
import type { PlaceOutcome, PlaceRequest } from "./types";

/** A decision is awaited this much longer than the request may wait for a place at the coordinator, in milliseconds. */
const DECISION_GRACE_MS = 400;
/** Timeout of a call that requests a place; the coordinator replies at once, if only `queued`. In milliseconds. */
const REQUEST_TIMEOUT_MS = 500;
/**
 * The same while the coordinator leaves calls unanswered, since it is overloaded or about to be lost. Callers with short
 * deadlines are then still served without it.
 */
const UNRESPONSIVE_TIMEOUT_MS = 100;
/** How often a call is given the longer time nevertheless, which shows whether the coordinator answers late or never. */
const PROBE_INTERVAL_MS = 500;

/** Requests places from a coordinator or deputy that is another instance. */
export class RemotePlacement {
    private readonly pendingDecisions = new Map<string, (outcome: PlaceOutcome) => void>();
    /** When the next call is given the longer time, for links whose latest such call has had no reply. */
    private readonly nextProbesAtMs = new WeakMap<CoordinatorLink, number>();

    /**
     * @param reports - Reports of places and requests that are no longer needed.
     */
    constructor(private readonly reports: GranterReports) {}

    /**
     * @param granter - The coordinator or the deputy.
     * @param request - The request.
     * @returns The decision, or `undefined` if there is none.
     */
    async request({ link, placeMethod }: PlaceGranter, request: PlaceRequest): Promise<PlaceOutcome | undefined> {
        if (link.coordinator === undefined) {
            return undefined;
        }
        const { disconnectSignal } = link;
        let onDisconnect: (() => void) | undefined;
        const decision = new Promise<PlaceOutcome | undefined>(resolve => {
            this.pendingDecisions.set(request.askId, resolve);
            onDisconnect = () => resolve(undefined);
            disconnectSignal.addEventListener("abort", onDisconnect, { once: true });
        });
        const timer = setTimeout(() => onDisconnect?.(), request.giveUpAfterMs + DECISION_GRACE_MS);
        const timeoutMs = this.pickTimeoutMs(link);
        const reply = await link.call<PlaceReply>(placeMethod, { ask: request }, timeoutMs);
        if (reply !== undefined || disconnectSignal.aborted) {
            this.nextProbesAtMs.delete(link);
        }
        else if (timeoutMs === REQUEST_TIMEOUT_MS) {
            this.nextProbesAtMs.set(link, performance.now() + PROBE_INTERVAL_MS);
        }
        const outcome = reply?.kind === "outcome"
            ? reply.outcome
            : reply?.kind === "queued"
            ? await decision
            : undefined;
        clearTimeout(timer);
        this.pendingDecisions.delete(request.askId);
        if (onDisconnect !== undefined) {
            disconnectSignal.removeEventListener("abort", onDisconnect);
        }
        if (outcome === undefined) {
            this.reports.addWithdrawal(request.askId);
        }
        return outcome;
    }

    /**
     * @param granter - The coordinator or the deputy.
     * @returns Whether it leaves calls unanswered although it is connected.
     */
    isUnresponsive({ link }: PlaceGranter): boolean {
        return link.coordinator !== undefined && this.nextProbesAtMs.has(link);
    }

    private pickTimeoutMs(link: CoordinatorLink): number {
        const nextProbeAtMs = this.nextProbesAtMs.get(link);
        if (nextProbeAtMs === undefined) {
            return REQUEST_TIMEOUT_MS;
        }
        if (performance.now() < nextProbeAtMs) {
            return UNRESPONSIVE_TIMEOUT_MS;
        }
        // Others don't wait for the outcome.
        this.nextProbesAtMs.set(link, performance.now() + PROBE_INTERVAL_MS);
        return REQUEST_TIMEOUT_MS;
    }

    /**
     * Handles the decision of the coordinator or the deputy on a queued place request.
     *
     * @param decision - The decision.
     */
    handleDecision({ askId, outcome }: PlaceDecision): void {
        const resolve = this.pendingDecisions.get(askId);
        if (resolve !== undefined) {
            resolve(outcome);
        }
        else if (outcome.kind === "placed") {
            const { placeId } = outcome;
            this.reports.addRelease({ placeId, end: "lost", fingerprint: "", firstAnswerMs: undefined });
        }
    }
}
