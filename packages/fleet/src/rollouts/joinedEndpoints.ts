import { getSoftwareVersion } from "../softwareVersions";
import type { EndpointEntry } from "../types";

/**
 * Holds back endpoints whose software version has joined a service that had endpoints of another version, until the
 * orders have been read at a revision at which the endpoint was already listed. An order comes before its endpoints, but
 * the two lists are read independently, so that the endpoints may be known first.
 */
export class JoinedEndpoints {
    /** Versions that may be used, by service. */
    private usable = new Map<string, Set<string>>();
    /** Revision at which a version that may not be used was first listed, by service and version. */
    private held = new Map<string, Map<string, number>>();
    private ordersRevision = 0;

    /** Whether a version is held back. */
    get hasHeld(): boolean {
        return this.held.size > 0;
    }

    /**
     * @param entries - All endpoints that are listed now.
     * @param revision - Revision at which they were listed.
     */
    setEndpoints(entries: readonly EndpointEntry[], revision: number): void {
        const usable = new Map<string, Set<string>>();
        const held = new Map<string, Map<string, number>>();
        for (const service of new Set(entries.map(entry => entry.service))) {
            const ofService = entries.filter(entry => entry.service === service);
            const versions = [...new Set(ofService.map(getSoftwareVersion))];
            const known = this.usable.get(service) ?? new Set([getOldestVersion(ofService)]);
            usable.set(service, new Set(versions.filter(version => known.has(version))));
            const joined = versions.filter(version => !known.has(version));
            if (joined.length > 0) {
                const previous = this.held.get(service);
                held.set(service, new Map(joined.map(version => [version, previous?.get(version) ?? revision])));
            }
        }
        this.usable = usable;
        this.held = held;
        this.release();
    }

    /**
     * @param revision - Revision at which the orders were read.
     */
    setOrdersRevision(revision: number): void {
        this.ordersRevision = Math.max(this.ordersRevision, revision);
        this.release();
    }

    /**
     * @param entry - An endpoint.
     * @returns Whether it must not be used yet.
     */
    isHeld(entry: EndpointEntry): boolean {
        return this.held.get(entry.service)?.has(getSoftwareVersion(entry)) === true;
    }

    private release(): void {
        for (const [service, versions] of this.held) {
            for (const [version, listedRevision] of versions) {
                if (listedRevision <= this.ordersRevision) {
                    versions.delete(version);
                    this.usable.get(service)?.add(version);
                }
            }
            if (versions.size === 0) {
                this.held.delete(service);
            }
        }
    }
}

/** An instance that has just started doesn't know which version has joined; it is the one whose endpoints are younger. */
function getOldestVersion(entries: readonly EndpointEntry[]): string {
    const oldest = entries.reduce((first, entry) => (entry.startedAt ?? 0) < (first.startedAt ?? 0) ? entry : first);
    return getSoftwareVersion(oldest);
}
