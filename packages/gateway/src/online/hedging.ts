import type { Logger } from "@heatherline/common";
import type { HedgeDelays, HeldPlace, Route } from "@heatherline/fleet";
import type { GatewayMetrics } from "../metrics";
import { HedgedSend, type HedgeEvent, type HedgePlan, type Sent } from "./hedgedSend";
import type { RetryPolicy } from "./retryPolicy";

/** What {@link Hedging} depends on. */
export interface HedgingDependencies {
    /** Says when a request is slow; absent if none is hedged. */
    readonly hedgeDelays?: HedgeDelays | undefined;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
}

/** The second attempts at one request. */
export class Hedging {
    private current: HedgedSend | undefined;
    private sentCount = 0;

    /**
     * @param deps - What it depends on.
     * @param requestId - Id of the request, for the log.
     * @param retryPolicy - Counts the attempts at the request.
     */
    constructor(
        private readonly deps: HedgingDependencies,
        private readonly requestId: string | undefined,
        private readonly retryPolicy: RetryPolicy,
    ) {}

    /** Whether a second attempt goes on, or a place for it is awaited. */
    get isActive(): boolean {
        return this.current?.isHedging === true;
    }

    /** Second attempts that were sent. */
    get attempts(): number {
        return this.sentCount;
    }

    /**
     * @param route - The request's route.
     * @param place - The place of an attempt that is about to begin.
     * @returns Whether the request may be sent to a second endpoint if the attempt is slow.
     */
    mayHedge({ isHedged }: Route, place: HeldPlace): boolean {
        return this.deps.hedgeDelays !== undefined && place.mayHedge === true && isHedged !== false
            && this.retryPolicy.mayRetryOnSilence();
    }

    /**
     * Sends the request, and a second time if that is slow.
     *
     * @param route - The request's route.
     * @param place - The place of the first attempt.
     * @param controller - Cancels the first attempt.
     * @param plan - What the attempts need to know of the request.
     * @returns The attempt whose response the caller may get.
     */
    async run(
        route: Route,
        place: HeldPlace,
        controller: AbortController,
        plan: Omit<HedgePlan, "delayMs" | "isStream" | "onEvent" | "onObserved">,
    ): Promise<Sent> {
        const { hedgeDelays } = this.deps;
        this.current = new HedgedSend({
            ...plan,
            delayMs: hedgeDelays?.getDelayMs(route.name, place.endpoint.endpointId),
            isStream: route.kind === "streaming",
            onObserved: ({ endpoint }, tookMs) => hedgeDelays?.record(route.name, endpoint.endpointId, tookMs),
            onEvent: (what, other, cause) => this.record(what, other, cause),
        });
        return this.current.run(place, controller);
    }

    private record(what: HedgeEvent, place: HeldPlace | undefined, cause = ""): void {
        this.sentCount += what === "sent" ? 1 : 0;
        if (what === "won" || what === "cancelled") {
            this.retryPolicy.recordCancelled();
        }
        this.deps.metrics.recordHedge(what, cause);
        const { requestId } = this;
        this.deps.logger.info({ event: "hedge", requestId, what, endpoint: place?.endpoint.endpointId, cause });
    }
}
