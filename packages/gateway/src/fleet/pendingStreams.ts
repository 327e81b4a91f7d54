import type { StreamOriginReport } from "@heatherline/fleet";
import { getJsonBytes } from "../objectSize";

/** Service, version and field names of the streams of one version in an object, and the comma after each id. */
const GROUP_FRAMING_BYTES = 64;
const ID_FRAMING_BYTES = 1;

/** Streams that are yet to be written to the store, in the order in which they began. */
export class PendingStreams {
    private reports: StreamOriginReport[] = [];

    /** Number of streams. */
    get count(): number {
        return countStreams(this.reports);
    }

    /**
     * @param report - Streams that began.
     */
    add(report: StreamOriginReport): void {
        this.reports.push(report);
    }

    /**
     * @param reports - All streams that are to be written instead of those before.
     */
    replace(reports: readonly StreamOriginReport[]): void {
        this.reports = [...reports];
    }

    /**
     * @param isKept - Whether the streams of a service are still to be written.
     */
    keepServices(isKept: (service: string) => boolean): void {
        this.reports = this.reports.filter(({ service }) => isKept(service));
    }

    /**
     * @param reports - Streams that were taken and are not written.
     */
    putBack(reports: readonly StreamOriginReport[]): void {
        this.reports.unshift(...reports);
    }

    /**
     * Takes as many streams as one object holds, those of one version together.
     *
     * @param maxBytes - Limit of their size as JSON in UTF-8; one stream is taken even if it is larger.
     * @returns The streams; none if none are pending.
     */
    take(maxBytes: number): StreamOriginReport[] {
        const taken = new Map<string, StreamOriginReport & { requestIds: string[]; }>();
        let leftBytes = maxBytes;
        let count = 0;
        while (this.reports.length > 0) {
            const { service, softwareVersion, requestIds } = this.reports.shift() as StreamOriginReport;
            const key = `${service}\0${softwareVersion}`;
            const group = taken.get(key) ?? { service, softwareVersion, requestIds: [] };
            leftBytes -= taken.has(key)
                ? 0
                : getJsonBytes(service) + getJsonBytes(softwareVersion) + GROUP_FRAMING_BYTES;
            for (const [index, requestId] of requestIds.entries()) {
                leftBytes -= getJsonBytes(requestId) + ID_FRAMING_BYTES;
                if (leftBytes < 0 && count > 0) {
                    this.reports.unshift({ service, softwareVersion, requestIds: requestIds.slice(index) });
                    return [...taken.values()];
                }
                group.requestIds.push(requestId);
                taken.set(key, group);
                count += 1;
            }
        }
        return [...taken.values()];
    }
}

/**
 * @param reports - Streams.
 * @returns How many they are.
 */
export function countStreams(reports: readonly StreamOriginReport[]): number {
    return reports.reduce((count, { requestIds }) => count + requestIds.length, 0);
}
