import { getElapsedMs, type Timestamp } from "./ageTracker";
import type { EndpointEntry } from "./types";

/** Time in which callers that lost a stream's connection take the stream up, in milliseconds. */
const TAKE_UP_MS = 15_000;
/** Until a configuration says how long streams may last, in milliseconds. */
const DEFAULT_STREAM_MS = 5_000;
/**
 * A list of endpoints that is older than this may lack a version that has begun streams, in milliseconds. A version may
 * have come and gone unnoticed between two lists that lie further apart.
 */
const MAX_LIST_AGE_MS = 2_500;
/**
 * A version that joins others begins no streams for this long, so that no instance relies any more on a list without it;
 * in milliseconds.
 */
const JOIN_DELAY_MS = MAX_LIST_AGE_MS + 500;

/** Versions of the software that may have begun a stream of a service which can still be taken up. */
export interface ServiceVersions {
    readonly service: string;
    readonly softwareVersions: readonly string[];
    /** Those at which streams may begin. */
    readonly joinedVersions: readonly string[];
}

/** When a version was listed, on the monotonic clock. */
interface Listing {
    /** Since when it has been listed; negative infinity if it has been the only one. */
    readonly sinceMs: number;
    /** Infinite while it is listed. */
    untilMs: number;
}

/**
 * Which software versions have served lately, so that where a stream began is certain, without a record of the stream,
 * if only one version can have begun it. That holds at instances that are out of contact, too, since a version begins
 * streams only when no instance relies any more on a list of endpoints that lacks it.
 */
export class SoftwareVersions {
    /** By service and version. */
    private readonly listings = new Map<string, Map<string, Listing>>();
    /** The versions are known without a gap since then. */
    private knownSinceMs = Infinity;
    /** When the list of endpoints was last current, on two clocks, since this process may have been suspended. */
    private lastCurrentAt: Timestamp | undefined;
    private streamMs = DEFAULT_STREAM_MS;
    /** Versions of the endpoints that may be sent requests, by service. */
    private readyVersions = new Map<string, Set<string>>();

    /** How long the origin of a stream matters after the stream began, in milliseconds. */
    get retentionMs(): number {
        return this.streamMs + TAKE_UP_MS;
    }

    /**
     * @param streamMs - The longest time that a stream may last.
     */
    setStreamMs(streamMs: number): void {
        this.streamMs = streamMs;
    }

    /**
     * @param entries - All endpoints that are listed now.
     */
    setEndpoints(entries: readonly EndpointEntry[]): void {
        const nowMs = performance.now();
        for (const listings of this.listings.values()) {
            for (const [version, listing] of listings) {
                listing.untilMs = Math.min(listing.untilMs, nowMs);
                if (listing.untilMs <= nowMs - this.retentionMs) {
                    listings.delete(version);
                }
            }
        }
        this.readyVersions = groupByService(entries.filter(({ state }) => state === "ready"));
        for (const [service, versions] of groupByService(entries)) {
            versions.forEach(version => this.setListed(service, version, nowMs, versions.size > 1));
        }
    }

    /**
     * Records that the list of endpoints was current some time ago.
     *
     * @param ageMs - How long ago, in milliseconds.
     */
    markCurrent(ageMs = 0): void {
        if (ageMs > MAX_LIST_AGE_MS || ageMs >= this.listAgeMs) {
            return;
        }
        if (!this.isCurrent) {
            this.knownSinceMs = performance.now();
        }
        this.lastCurrentAt = { monotonicMs: performance.now() - ageMs, wallMs: Date.now() - ageMs };
    }

    /** Time since the list of endpoints was last known to be current, in milliseconds. */
    get listAgeMs(): number {
        return this.lastCurrentAt === undefined ? Infinity : getElapsedMs(this.lastCurrentAt);
    }

    /**
     * Adopts what an earlier coordinator has stored, with which the versions are known without a gap. Of a service without
     * stored versions no instance knows others than those that are listed.
     *
     * @param stored - Versions that had begun streams, or may have, when they were stored.
     */
    adopt(stored: readonly ServiceVersions[]): void {
        const nowMs = performance.now();
        const storedServices = new Set(stored.map(({ service }) => service));
        for (const [service, listings] of this.listings) {
            if (!storedServices.has(service)) {
                listings.forEach((listing, version) => listings.set(version, { ...listing, sinceMs: -Infinity }));
            }
        }
        for (const { service, softwareVersions, joinedVersions } of stored) {
            for (const version of softwareVersions) {
                const listing = this.getListing(service, version) ?? { sinceMs: nowMs, untilMs: nowMs };
                const sinceMs = joinedVersions.includes(version) ? -Infinity : listing.sinceMs;
                this.setListing(service, version, { sinceMs, untilMs: Math.max(listing.untilMs, nowMs) });
            }
        }
        this.knownSinceMs = -Infinity;
    }

    /**
     * @param service - A service.
     * @returns Versions that may have begun a stream which can still be taken up, as far as is known.
     */
    getPossible(service: string): string[] {
        const sinceMs = performance.now() - this.retentionMs;
        return [...this.listings.get(service) ?? []].filter(([, { untilMs }]) => untilMs > sinceMs)
            .map(([version]) => version).sort();
    }

    /** @returns The possible versions of all services. */
    getAll(): ServiceVersions[] {
        return [...this.listings.keys()].map(service => {
            const softwareVersions = this.getPossible(service);
            const joinedVersions = softwareVersions.filter(version => this.getJoinDelayMs(service, version) === 0);
            return { service, softwareVersions, joinedVersions };
        });
    }

    /**
     * @param entry - An endpoint.
     * @returns Milliseconds until streams may begin there: an instance that doesn't know its version yet would let them
     * go on at another one. While only versions that have just joined take requests, there is nothing to wait for.
     */
    getStreamDelayMs(entry: EndpointEntry): number {
        const delayMs = this.getJoinDelayMs(entry.service, getSoftwareVersion(entry));
        return delayMs > 0 && this.hasJoinedReady(entry.service) ? delayMs : 0;
    }

    /**
     * @param service - A service.
     * @returns The version that has begun all streams of the service that can still be taken up; `undefined` if that may
     * be several, or isn't certain.
     */
    getSole(service: string): string | undefined {
        const isKnown = this.isCurrent && performance.now() - this.knownSinceMs > this.retentionMs;
        const possible = this.getPossible(service);
        return isKnown && possible.length === 1 ? possible[0] : undefined;
    }

    private get isCurrent(): boolean {
        return this.listAgeMs <= MAX_LIST_AGE_MS;
    }

    private hasJoinedReady(service: string): boolean {
        const versions = [...this.readyVersions.get(service) ?? []];
        return versions.some(version => this.getJoinDelayMs(service, version) === 0);
    }

    private getJoinDelayMs(service: string, version: string): number {
        const { sinceMs, untilMs } = this.getListing(service, version) ?? { sinceMs: -Infinity, untilMs: Infinity };
        const listedUntilMs = Math.min(untilMs, performance.now());
        return Math.max(0, sinceMs + JOIN_DELAY_MS - listedUntilMs);
    }

    /**
     * A version that all instances have had the time to learn of needs no further delay when it returns. One that is the
     * only one has no delay: endpoints of others can't be reached.
     */
    private setListed(service: string, version: string, nowMs: number, hasOthers: boolean): void {
        const listing = this.getListing(service, version);
        const isStillListed = listing !== undefined && listing.untilMs >= nowMs;
        const keepsSince = isStillListed || this.getJoinDelayMs(service, version) === 0;
        const sinceMs = keepsSince ? listing?.sinceMs ?? nowMs : nowMs;
        this.setListing(service, version, { sinceMs: hasOthers ? sinceMs : -Infinity, untilMs: Infinity });
    }

    private getListing(service: string, version: string): Listing | undefined {
        return this.listings.get(service)?.get(version);
    }

    private setListing(service: string, version: string, listing: Listing): void {
        const listings = this.listings.get(service) ?? new Map<string, Listing>();
        listings.set(version, listing);
        this.listings.set(service, listings);
    }
}

/**
 * @param entry - An endpoint.
 * @returns Its software version; empty if its registration doesn't name one.
 */
export function getSoftwareVersion({ softwareVersion = "" }: EndpointEntry): string {
    return softwareVersion;
}

function groupByService(entries: readonly EndpointEntry[]): Map<string, Set<string>> {
    const versionsByService = new Map<string, Set<string>>();
    for (const entry of entries) {
        const versions = versionsByService.get(entry.service) ?? new Set();
        versionsByService.set(entry.service, versions.add(getSoftwareVersion(entry)));
    }
    return versionsByService;
}
