import type { Place } from "../place";

/** A place and what a roll-out needs to know of it. */
export interface TrackedPlace {
    readonly place: Place;
    /** `undefined` if its endpoint isn't listed. */
    readonly softwareVersion: string | undefined;
    /** Whether its endpoint was in full use when the place was granted. */
    readonly isUnderLoad: boolean;
    /** Whether it has been counted as slow before its request has ended. */
    isCountedSlow: boolean;
}

/** Part of the slots in use from which an endpoint is in full use. */
const FULL_USE = 0.75;

/** The places of all services, by service, with the version of their endpoints. */
export class RolloutPlaces {
    private readonly byService = new Map<string, Map<string, TrackedPlace>>();
    private readonly runningByEndpoint = new Map<string, number>();

    /**
     * @param place - A place that is granted or adopted.
     * @param softwareVersion - Version of its endpoint, if known.
     * @param slots - Slots of its endpoint.
     */
    add(place: Place, softwareVersion: string | undefined, slots: number): void {
        const places = this.byService.get(place.service) ?? new Map<string, TrackedPlace>();
        const running = (this.runningByEndpoint.get(place.endpointId) ?? 0) + 1;
        places.set(place.placeId, {
            place,
            softwareVersion,
            isUnderLoad: running >= slots * FULL_USE,
            isCountedSlow: false,
        });
        this.byService.set(place.service, places);
        this.runningByEndpoint.set(place.endpointId, running);
    }

    /**
     * @param place - A place that is released.
     * @returns What is known of it.
     */
    remove({ service, placeId, endpointId }: Place): TrackedPlace | undefined {
        const places = this.byService.get(service);
        const tracked = places?.get(placeId);
        if (tracked === undefined) {
            return undefined;
        }
        places?.delete(placeId);
        const running = (this.runningByEndpoint.get(endpointId) ?? 1) - 1;
        if (running > 0) {
            this.runningByEndpoint.set(endpointId, running);
        }
        else {
            this.runningByEndpoint.delete(endpointId);
        }
        return tracked;
    }

    /**
     * @param service - A service.
     * @returns Its places.
     */
    get(service: string): readonly TrackedPlace[] {
        return [...this.byService.get(service)?.values() ?? []];
    }
}
