import type { OrganisationSpec, PlaceRequestOptions, RateBounds } from "@heatherline/fleet";
import type { AdmittedRequest } from "../callers/admission";

/** The part of a place request that follows from what the configuration grants, the service and the time. */
export type AdmittedOptions = Pick<
    PlaceRequestOptions,
    | "service"
    | "workClass"
    | "organisation"
    | "priority"
    | "usefulForMs"
    | "targetLatencyMs"
    | "dueInMs"
    | "remainingMs"
    | "allowedRegions"
    | "route"
    | "weight"
>;

/**
 * @param admitted - What the configuration grants an online request.
 * @param service - The service that it goes to.
 * @param elapsedMs - Time since it arrived, in milliseconds.
 * @param leftMs - Time until it must be answered, in milliseconds.
 * @returns The part of its place request that follows from these.
 */
export function newAdmittedOptions(
    { route, organisation, allowedRegions, priority }: AdmittedRequest,
    service: string,
    elapsedMs: number,
    leftMs: number,
): AdmittedOptions {
    return {
        service,
        workClass: "online",
        organisation: organisation?.name ?? "",
        priority,
        usefulForMs: route.targetLatencyMs - elapsedMs,
        targetLatencyMs: route.targetLatencyMs,
        dueInMs: leftMs,
        remainingMs: 0,
        allowedRegions,
        route: route.name,
        weight: getRate(organisation)?.ratePerS,
    };
}

/**
 * @param organisation - Organisation of a request; `undefined` if it needs none.
 * @returns The rate limit that the request counts towards; `undefined` without one.
 */
export function getRate(organisation: OrganisationSpec | undefined): RateBounds | undefined {
    return organisation !== undefined && organisation.ratePerS > 0
        ? { ratePerS: organisation.ratePerS, burst: organisation.burst }
        : undefined;
}
