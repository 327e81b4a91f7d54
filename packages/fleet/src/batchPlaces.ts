import type { Place } from "./place";

/** Places held by batch items, by service and by organisation. */
export class BatchPlaces {
    private readonly byService = new Map<string, Set<Place>>();
    private readonly byOrganisation = new Map<string, number>();

    /**
     * @param place - A place granted to a batch item.
     */
    add(place: Place): void {
        const places = this.byService.get(place.service) ?? new Set();
        places.add(place);
        this.byService.set(place.service, places);
        this.byOrganisation.set(place.organisation, this.getRunningCount(place.organisation) + 1);
    }

    /**
     * @param place - A place released by a batch item.
     */
    remove(place: Place): void {
        if (this.byService.get(place.service)?.delete(place) !== true) {
            return;
        }
        const remaining = this.getRunningCount(place.organisation) - 1;
        if (remaining > 0) {
            this.byOrganisation.set(place.organisation, remaining);
        }
        else {
            this.byOrganisation.delete(place.organisation);
        }
    }

    /**
     * @param organisation - An organisation.
     * @returns Number of its running items.
     */
    getRunningCount(organisation: string): number {
        return this.byOrganisation.get(organisation) ?? 0;
    }

    /**
     * @param service - A service.
     * @returns Number of places that items hold there.
     */
    getServiceCount(service: string): number {
        return this.byService.get(service)?.size ?? 0;
    }

    /**
     * Chooses batch items to preempt: first those that will be late anyway, then those that got their places last, since
     * they have done the least work; of these, the ones with the most slack.
     *
     * @param service - A service.
     * @param requestCount - Number of online requests that wait there; places already preempted count towards it.
     * @param countSendable - Returns how many requests an endpoint may be sent now; places beyond that are of no use.
     * @returns Places to preempt now.
     */
    pickForPreemption(
        service: string,
        requestCount: number,
        countSendable: (endpointId: string) => number = () => Infinity,
    ): Place[] {
        const places = this.byService.get(service);
        if (places === undefined || places.size === 0) {
            return [];
        }
        const candidates = [...places].filter(({ isPreempted }) => !isPreempted);
        const missingCount = requestCount - (places.size - candidates.length);
        return missingCount <= 0
            ? []
            : takeSendable(candidates.sort(compareForPreemption), countSendable).slice(0, missingCount);
    }
}

function takeSendable(places: readonly Place[], countSendable: (endpointId: string) => number): Place[] {
    const leftByEndpoint = new Map<string, number>();
    return places.filter(({ endpointId }) => {
        const left = leftByEndpoint.get(endpointId) ?? countSendable(endpointId);
        leftByEndpoint.set(endpointId, left - 1);
        return left >= 1;
    });
}

function compareForPreemption(left: Place, right: Place): number {
    return Number(!isLate(left)) - Number(!isLate(right)) || right.grantedAtMs - left.grantedAtMs
        || getSlackMs(right) - getSlackMs(left);
}

function isLate(place: Place): boolean {
    return getSlackMs(place) < 0;
}

function getSlackMs({ dueAtMs, finishAtMs }: Place): number {
    return dueAtMs - finishAtMs;
}
