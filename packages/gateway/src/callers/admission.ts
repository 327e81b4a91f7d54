import {
    type FleetView,
    intersectRegions,
    type OrganisationSpec,
    type Route,
    type RouteTable,
} from "@heatherline/fleet";
import { err, ok, type Result } from "neverthrow";
import { newRefusal, type Refusal } from "./refusal";

/**
 * Highest age of the configuration at which keys are accepted, as a fraction of the time within which the revocation of
 * a key must take effect. The rest is left for requests that are already admitted and on their way.
 */
const MAX_CONFIG_AGE_FRACTION = 0.9;

/** The parts of a request that decide whether it may run. */
export interface AdmissionRequest {
    readonly host: string;
    /** Path without query. */
    readonly path: string;
    readonly apiKey: string | undefined;
}

/** What the configuration grants an admitted request. */
export interface AdmittedRequest {
    readonly route: Route;
    readonly organisation: OrganisationSpec | undefined;
    readonly allowedRegions: readonly string[];
    readonly priority: number;
    readonly configVersion: number;
}

/** Decides from the configuration whether a request may run: route, API key and allowed regions. */
export class Admission {
    private maxConfigAgeMs = 0;

    /**
     * @param view - This instance's view of the fleet, with the configuration.
     * @param revokeMs - Time within which the revocation of a key must take effect, in milliseconds.
     */
    constructor(private readonly view: FleetView, revokeMs: number) {
        this.setRevokeMs(revokeMs);
    }

    /**
     * @param revokeMs - Time within which the revocation of a key must take effect, in milliseconds.
     */
    setRevokeMs(revokeMs: number): void {
        this.maxConfigAgeMs = revokeMs * MAX_CONFIG_AGE_FRACTION;
    }

    /** Whether the configuration is known and recent enough to accept API keys. */
    get isConfigFresh(): boolean {
        return this.view.routes !== undefined && this.view.getConfigAgeMs() <= this.maxConfigAgeMs;
    }

    /**
     * Admits or refuses a request.
     *
     * @param request - The request.
     * @returns What the configuration grants it, or the refusal.
     */
    admit(request: AdmissionRequest): Result<AdmittedRequest, Refusal> {
        const table = this.view.routes;
        if (table === undefined) {
            return err(newRefusal("config-unknown"));
        }
        const ageMs = Math.round(this.view.getConfigAgeMs());
        const detail = `config version ${table.config.version}, age ${ageMs} ms`;
        const route = table.findRoute(request.host, request.path);
        if (route === undefined) {
            return err(newRefusal(this.isConfigFresh ? "no-route" : "config-stale", detail));
        }
        if (route.isPublic || !table.hasKeys) {
            return this.toAdmitted(table, route, undefined, detail);
        }
        if (!this.isConfigFresh) {
            return err(newRefusal("config-stale", detail));
        }
        if (request.apiKey === undefined) {
            return err(newRefusal("key-missing", detail));
        }
        const organisation = table.findOrganisation(request.apiKey);
        return organisation === undefined
            ? err(newRefusal("key-unknown", detail))
            : this.toAdmitted(table, route, organisation, detail);
    }

    private toAdmitted(
        table: RouteTable,
        route: Route,
        organisation: OrganisationSpec | undefined,
        detail: string,
    ): Result<AdmittedRequest, Refusal> {
        const allowedRegions = intersectRegions(route.allowedRegions, organisation?.allowedRegions ?? []);
        if (allowedRegions === undefined) {
            return err(newRefusal("region-not-allowed", detail));
        }
        return ok({
            route,
            organisation,
            allowedRegions,
            priority: organisation?.priority ?? route.priority,
            configVersion: table.config.version,
        });
    }
}
