import type { GranterReports } from "./granterReports";
import type { PlaceDecision, PlaceReply } from "./messages";
import type { PlaceGranter } from "./placeGranter";
import type { PlaceOutcome, PlaceRequest } from "./types";

/** A decision is awaited this much longer than the request may wait for a place at the coordinator, in milliseconds. */
const DECISION_GRACE_MS = 400;
/** Timeout of a call that requests a place; the coordinator replies at once, if only `queued`. In milliseconds. */
const REQUEST_TIMEOUT_MS = 500;

/** Requests places from a coordinator or deputy that is another instance. */
export class RemotePlacement {
    private readonly pendingDecisions = new Map<string, (outcome: PlaceOutcome) => void>();

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
        const reply = await link.call<PlaceReply>(placeMethod, { ask: request }, REQUEST_TIMEOUT_MS);
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
