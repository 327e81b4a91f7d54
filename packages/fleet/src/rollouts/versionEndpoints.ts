import { getSoftwareVersion } from "../softwareVersions";
import type { EndpointEntry } from "../types";

/** The list of endpoints is indexed again after this time, in milliseconds. */
const MAX_INDEX_AGE_MS = 100;

/** The listed endpoints by service, indexed so that a decision doesn't go through all endpoints. */
export class VersionEndpoints {
    private byService = new Map<string, EndpointEntry[]>();
    private byId = new Map<string, EndpointEntry>();
    /** Ready endpoints, by service and version. */
    private readonly ready = new Map<string, readonly EndpointEntry[]>();
    private readonly ranks = new Map<string, number>();
    private indexedAtMs = -Infinity;

    /**
     * @param getEndpoints - Returns all endpoints that are listed now.
     */
    constructor(private readonly getEndpoints: () => readonly EndpointEntry[]) {}

    /** Indexes the endpoints again at the next use. */
    invalidate(): void {
        this.indexedAtMs = -Infinity;
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Its entry.
     */
    get(endpointId: string): EndpointEntry | undefined {
        this.update();
        return this.byId.get(endpointId);
    }

    /**
     * @param service - A service.
     * @returns All its endpoints.
     */
    getAll(service: string): readonly EndpointEntry[] {
        this.update();
        return this.byService.get(service) ?? [];
    }

    /**
     * @param service - A service.
     * @param softwareVersion - A version of its software.
     * @returns The endpoints of that version that may be used, in a fixed order.
     */
    getReady(service: string, softwareVersion: string): readonly EndpointEntry[] {
        this.update();
        const key = JSON.stringify([service, softwareVersion]);
        let entries = this.ready.get(key);
        if (entries === undefined) {
            entries = (this.byService.get(service) ?? []).filter(entry =>
                entry.state === "ready" && getSoftwareVersion(entry) === softwareVersion
            );
            this.ready.set(key, entries);
            entries.forEach(({ endpointId }, index) => this.ranks.set(endpointId, index));
        }
        return entries;
    }

    /**
     * @param entry - An endpoint.
     * @param first - Number of the endpoint that comes first.
     * @returns Its place in the order of the ready endpoints of its version, counted from there.
     */
    getRank(entry: EndpointEntry, first: number): number {
        const count = this.getReady(entry.service, getSoftwareVersion(entry)).length;
        return ((this.ranks.get(entry.endpointId) ?? 0) + first) % Math.max(1, count);
    }

    private update(): void {
        if (performance.now() - this.indexedAtMs < MAX_INDEX_AGE_MS) {
            return;
        }
        this.indexedAtMs = performance.now();
        this.ready.clear();
        this.ranks.clear();
        const entries = [...this.getEndpoints()].sort((left, right) => left.endpointId < right.endpointId ? -1 : 1);
        this.byId = new Map(entries.map(entry => [entry.endpointId, entry]));
        this.byService = new Map();
        for (const entry of entries) {
            const ofService = this.byService.get(entry.service) ?? [];
            ofService.push(entry);
            this.byService.set(entry.service, ofService);
        }
    }
}
