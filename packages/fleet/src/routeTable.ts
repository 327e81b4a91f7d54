import type { OrganisationSpec, Route, RoutingConfig } from "./types";

/** Index of the routes and API keys in one version of the configuration. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly organisationByKey = new Map<string, OrganisationSpec>();
    private readonly coldRatePerS = new Map<string, number>();
    private readonly memoryTokens = new Map<string, number>();

    /**
     * @param config - The configuration.
     */
    constructor(readonly config: RoutingConfig) {
        for (const route of config.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        for (const organisation of config.organisations ?? []) {
            for (const apiKey of organisation.apiKeys) {
                this.organisationByKey.set(apiKey, organisation);
            }
        }
        for (const { name, coldRatePerS, memoryTokens = 0 } of config.services) {
            this.coldRatePerS.set(name, coldRatePerS);
            this.memoryTokens.set(name, memoryTokens);
        }
    }

    /** The longest time that a caller waits for the end of a stream which may be resumed, in milliseconds. */
    get longestStreamMs(): number {
        const streams = this.config.routes.filter(({ kind, isResumable }) => kind === "streaming" && isResumable);
        return Math.max(0, ...streams.map(({ timeoutMs }) => timeoutMs));
    }

    /** Whether requests need an API key, except on public routes. */
    get hasKeys(): boolean {
        return this.config.organisations !== undefined;
    }

    /**
     * @param host - Host in lower case, without port.
     * @param path - Path without query.
     * @returns The route with the longest prefix of the path.
     */
    findRoute(host: string, path: string): Route | undefined {
        return this.routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    }

    /**
     * @param name - Name of a route.
     * @returns The route.
     */
    getRoute(name: string): Route | undefined {
        return this.config.routes.find(route => route.name === name);
    }

    /**
     * @param apiKey - Key that the caller sent.
     * @returns The organisation that it belongs to.
     */
    findOrganisation(apiKey: string): OrganisationSpec | undefined {
        return this.organisationByKey.get(apiKey);
    }

    /**
     * @param service - Name of a service.
     * @returns Requests per second that a cold endpoint of it can handle; 0 if endpoints are never cold.
     */
    getColdRatePerS(service: string): number {
        return this.coldRatePerS.get(service) ?? 0;
    }

    /**
     * @param service - Name of a service.
     * @returns Tokens that one endpoint of it holds; 0 for no limit.
     */
    getMemoryTokens(service: string): number {
        return this.memoryTokens.get(service) ?? 0;
    }
}

/**
 * @param route - A route.
 * @param random - Between 0 and 1.
 * @returns One of the route's services, chosen by weight.
 */
export function pickService(route: Route, random: number): string | undefined {
    const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = random * totalWeight;
    for (const { service, weight } of route.targets) {
        remaining -= weight;
        if (remaining < 0) {
            return service;
        }
    }
    return route.targets.find(({ weight }) => weight > 0)?.service;
}

/**
 * @param route - A route.
 * @returns The services that its requests may go to.
 */
export function getServices(route: Route): string[] {
    return route.targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
}

/**
 * Intersects the regions that a route and an organisation allow.
 *
 * @param route - Regions of the route; empty for all.
 * @param organisation - Regions of the organisation; empty for all.
 * @returns The regions that both allow, or `undefined` if there is none.
 */
export function intersectRegions(
    route: readonly string[],
    organisation: readonly string[],
): readonly string[] | undefined {
    if (route.length === 0 || organisation.length === 0) {
        return route.length === 0 ? organisation : route;
    }
    const both = route.filter(region => organisation.includes(region));
    return both.length === 0 ? undefined : both;
}
