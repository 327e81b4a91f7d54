import { rankByRendezvous } from "@heatherline/common";
import type { LimitBounds } from "./types";

/**
 * Divides a fleet's rate and burst into fixed shares, one per data centre. The burst is divided into whole tokens; the
 * data centres ranked first get one of the remaining tokens each. The rate is divided in proportion to the burst: a
 * share that can't hold a token gets no rate.
 *
 * @param subject - The subject of the rate.
 * @param bounds - Rate and burst of the whole fleet.
 * @param dataCentres - All data centres that have a share.
 * @returns The share of each data centre; the shares add up to the whole.
 */
export function divideBounds(
    subject: string,
    bounds: LimitBounds,
    dataCentres: readonly string[],
): ReadonlyMap<string, LimitBounds> {
    const ranked = rankByRendezvous(subject, dataCentres);
    const base = Math.floor(bounds.burst / ranked.length);
    const remainder = bounds.burst - base * ranked.length;
    return new Map(ranked.map((dataCentre, rank) => {
        const burst = base + (rank < remainder ? 1 : 0);
        return [dataCentre, { burst, ratePerS: bounds.ratePerS * burst / bounds.burst }];
    }));
}

/**
 * @param subject - The subject of the rate.
 * @param dataCentres - All data centres.
 * @returns The group of the subject: all subjects about which the same data centre decides while it can be reached. It
 * is named after that data centre.
 */
export function getGroup(subject: string, dataCentres: readonly string[]): string {
    return rankByRendezvous(subject, dataCentres)[0] ?? "";
}

/**
 * @param group - A group of subjects.
 * @param dataCentres - All data centres.
 * @returns The data centres in the order in which they take over the decisions about the group.
 */
export function getFailoverOrder(group: string, dataCentres: readonly string[]): string[] {
    return [group, ...rankByRendezvous(group, dataCentres.filter(dataCentre => dataCentre !== group))];
}
