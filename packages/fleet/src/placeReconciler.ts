import type { Logger } from "@heatherline/common";
import type { Dispatcher } from "./dispatcher";
import type { PlaceSummary } from "./types";

/** A place younger than this may still be on its way to its instance, and is kept if not reported; in milliseconds. */
const PLACE_IN_TRANSIT_MS = 1_200;

/** Brings the places that a dispatcher knows in line with those that instances report. */
export class PlaceReconciler {
    /**
     * @param dispatcher - The dispatcher.
     * @param logger - Log of the instance.
     */
    constructor(private readonly dispatcher: Dispatcher, private readonly logger: Logger) {}

    /**
     * Adopts reported places that the dispatcher doesn't know, which an earlier coordinator granted or the instance itself in
     * fallback mode, and frees known places that are no longer reported.
     *
     * @param instanceId - The instance that reports.
     * @param reported - The places that it holds.
     */
    reconcile(instanceId: string, reported: readonly PlaceSummary[]): void {
        const nowMs = performance.now();
        const reportedIds = new Set(reported.map(({ placeId }) => placeId));
        for (const summary of reported) {
            this.dispatcher.adopt({
                placeId: summary.placeId,
                endpointId: summary.endpointId,
                instanceId,
                service: summary.service,
                workClass: summary.workClass,
                organisation: summary.organisation,
                route: summary.route,
                grantedAtMs: nowMs,
                dueAtMs: nowMs + summary.dueInMs,
                finishAtMs: nowMs + summary.remainingMs,
                tokens: summary.tokens,
                isPreempted: false,
            });
        }
        for (const place of this.dispatcher.getPlaces()) {
            const isOld = nowMs - place.grantedAtMs > PLACE_IN_TRANSIT_MS;
            if (place.instanceId === instanceId && isOld && !reportedIds.has(place.placeId)) {
                this.dispatcher.release(place.placeId, "lost");
            }
        }
    }

    /**
     * Frees all places of an instance.
     *
     * @param instanceId - The instance.
     * @param reason - Why, for the log.
     */
    releaseAll(instanceId: string, reason: string): void {
        const places = this.dispatcher.getPlaces().filter(place => place.instanceId === instanceId);
        for (const { placeId } of places) {
            this.dispatcher.release(placeId, "lost");
        }
        if (places.length > 0) {
            this.logger.info({ event: "places-freed", instance: instanceId, count: places.length, reason });
        }
    }
}
