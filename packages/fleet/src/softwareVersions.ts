import { getElapsedMs, newTimestamp, type Timestamp } from "./ageTracker";
import type { EndpointEntry } from "./types";

/** Time in which callers that lost a stream's connection take the stream up, in milliseconds. */
const TAKE_UP_MS = 15_000;
/** Until a configuration says how long streams may last, in milliseconds. */
const DEFAULT_STREAM_MS = 5_000;
/** A version that appeared while this instance heard nothing for longer than this may have begun streams unnoticed. */
const MAX_GAP_MS = 3_000;

/** Versions of the software that may have begun a stream of a service which can still be taken up. */
export interface ServiceVersions {
    readonly service: string;
    readonly softwareVersions: readonly string[];
}

/**
 * Which software versions have served lately, so that where a stream began is certain, without a record of the stream,
 * if only one version can have begun it.
 */
export class SoftwareVersions {
    /** By service and version: when it was last listed; infinite while it is. */
    private readonly lastListedAtMs = new Map<string, Map<string, number>>();
    /** The versions are known without a gap since then. */
    private knownSinceMs = Infinity;
    /** On two clocks, since this process may have been suspended. */
    private lastCurrentAt: Timestamp | undefined;
    private streamMs = DEFAULT_STREAM_MS;

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
        for (const versions of this.lastListedAtMs.values()) {
            for (const [version, atMs] of versions) {
                if (atMs > nowMs - this.retentionMs) {
                    versions.set(version, Math.min(atMs, nowMs));
                }
                else {
                    versions.delete(version);
                }
            }
        }
        for (const entry of entries) {
            this.setListedAt(entry.service, getSoftwareVersion(entry), Infinity);
        }
        if (this.knownSinceMs === Infinity) {
            this.knownSinceMs = nowMs;
            this.lastCurrentAt = newTimestamp();
        }
    }

    /** Records that the list of endpoints is current now. */
    markCurrent(): void {
        if (!this.isCurrent) {
            this.knownSinceMs = performance.now();
        }
        this.lastCurrentAt = newTimestamp();
    }

    /**
     * Adopts what an earlier coordinator has stored, with which the versions are known without a gap.
     *
     * @param stored - Versions that had begun streams, or may have, when they were stored.
     */
    adopt(stored: readonly ServiceVersions[]): void {
        const nowMs = performance.now();
        for (const { service, softwareVersions } of stored) {
            for (const version of softwareVersions) {
                this.setListedAt(service, version, nowMs);
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
        return [...this.lastListedAtMs.get(service) ?? []].filter(([, atMs]) => atMs > sinceMs)
            .map(([version]) => version).sort();
    }

    /** @returns The possible versions of all services. */
    getAll(): ServiceVersions[] {
        return [...this.lastListedAtMs.keys()].map(service => ({
            service,
            softwareVersions: this.getPossible(service),
        }));
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
        return this.lastCurrentAt !== undefined && getElapsedMs(this.lastCurrentAt) <= MAX_GAP_MS;
    }

    private setListedAt(service: string, version: string, atMs: number): void {
        const versions = this.lastListedAtMs.get(service) ?? new Map<string, number>();
        versions.set(version, Math.max(atMs, versions.get(version) ?? -Infinity));
        this.lastListedAtMs.set(service, versions);
    }
}

/**
 * @param entry - An endpoint.
 * @returns Its software version; empty if its registration doesn't name one.
 */
export function getSoftwareVersion({ softwareVersion = "" }: EndpointEntry): string {
    return softwareVersion;
}
