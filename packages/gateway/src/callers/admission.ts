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
    admit({ apiKey, ...target }: AdmissionRequest): Result<AdmittedRequest, Refusal> {
        return this.admitBy(target, (table, detail) => {
            if (apiKey === undefined) {
                return err(newRefusal("key-missing", detail));
            }
            const organisation = table.findOrganisation(apiKey);
            return organisation === undefined ? err(newRefusal("key-unknown", detail)) : ok(organisation);
        });
    }

    /**
     * Tells what a request with a key of an organisation would be granted.
     *
     * @param target - Host and path of the request.
     * @param organisation - Name of the organisation.
     * @returns What the configuration grants it, or the refusal; the one for an unknown key if there is no such
     * organisation, or it has no key.
     */
    admitOrganisation(
        target: Omit<AdmissionRequest, "apiKey">,
        organisation: string,
    ): Result<AdmittedRequest, Refusal> {
        return this.admitBy(target, (table, detail) => {
            const found = table.config.organisations?.find(({ name, apiKeys }) =>
                name === organisation && apiKeys.length > 0
            );
            return found === undefined ? err(newRefusal("key-unknown", detail)) : ok(found);
        });
    }

    private admitBy(
        request: Omit<AdmissionRequest, "apiKey">,
        identify: (table: RouteTable, detail: string) => Result<OrganisationSpec, Refusal>,
    ): Result<AdmittedRequest, Refusal> {
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
        return identify(table, detail).andThen(organisation => this.toAdmitted(table, route, organisation, detail));
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
