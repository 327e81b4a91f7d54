import type { EndpointEntry, PlaceRequest } from "../types";
import type { AllowedVersions, RolloutRecord } from "./types";

type CompletedRollout = Pick<RolloutRecord, "toVersion" | "replacedVersions">;

/** Decides which software versions the endpoints of a request may have. */
export interface VersionGate {
    /**
     * @param request - A request for a place.
     * @param isReadOnly - Whether the decision is only explained and must have no effect on later requests.
     * @returns The software versions that it may use now.
     */
    getAllowedVersions(request: PlaceRequest, isReadOnly?: boolean): AllowedVersions;
    /**
     * @param entry - An endpoint that a request may use.
     * @returns Added to the endpoint's cost, so that canary requests meet at few endpoints; 0 for no preference.
     */
    getExtraCost?(entry: EndpointEntry): number;
    /**
     * @param service - A service.
     * @param softwareVersion - A version of its software.
     * @returns Whether a roll-out has ended the use of the version for good.
     */
    isClosed?(service: string, softwareVersion: string): boolean;
}

/**
 * @param rollout - A completed roll-out.
 * @returns The software versions that requests may use from then on.
 */
export function getVersionsAfter({ toVersion, replacedVersions }: CompletedRollout): AllowedVersions {
    return replacedVersions === undefined
        ? { kind: "only", versions: [toVersion] }
        : { kind: "all-but", versions: replacedVersions };
}

/**
 * @param allowed - Software versions that a request may use.
 * @param softwareVersion - A software version.
 * @returns Whether it is among them.
 */
export function isVersionAllowed(allowed: AllowedVersions, softwareVersion: string): boolean {
    return allowed.kind === "any"
        || allowed.versions.includes(softwareVersion) === (allowed.kind === "only");
}

/**
 * @param allowed - Software versions that a request may use; `undefined` without roll-outs.
 * @returns The restriction, for the detail of a refusal; empty without one.
 */
export function describeVersions(allowed: AllowedVersions | undefined): string {
    return allowed === undefined || allowed.kind === "any" || allowed.versions.length === 0
        ? ""
        : `, versions ${allowed.kind} ${allowed.versions.join()}`;
}
