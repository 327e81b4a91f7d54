import { LRUCache } from "lru-cache";
import type { EndpointEntry, LeavingEndpoint } from "./types";

/** An endpoint leaves within seconds, at times many, after it has said so, in milliseconds. */
const MARK_TTL_MS = 600_000;
const MAX_MARKS = 1_024;

interface Mark {
    readonly startedAt: number | undefined;
    readonly untilMs: number;
}

/**
 * Endpoints that have said in a response that they leave, whatever the store lists. A mark stays while the store's list
 * of endpoints comes and goes, and counts for one process of the endpoint: a new one may have the same id.
 */
export class LeavingEndpoints {
    private readonly marks = new LRUCache<string, Mark>({ max: MAX_MARKS });

    /**
     * @param endpoint - An endpoint that has said that it leaves.
     * @returns Whether this was not known yet.
     */
    mark({ endpointId, startedAt }: LeavingEndpoint): boolean {
        const isKnown = this.has({ endpointId, startedAt });
        this.marks.set(endpointId, { startedAt, untilMs: performance.now() + MARK_TTL_MS });
        return !isKnown;
    }

    /**
     * @param endpoint - An endpoint as listed.
     * @returns Whether this process of it has said that it leaves.
     */
    has({ endpointId, startedAt }: LeavingEndpoint): boolean {
        const mark = this.marks.get(endpointId);
        return mark !== undefined && mark.startedAt === startedAt && performance.now() < mark.untilMs;
    }

    /**
     * @param getEntry - Returns an endpoint as listed, or `undefined` if it isn't.
     * @returns Ids of the listed endpoints that leave.
     */
    getIds(getEntry: (endpointId: string) => EndpointEntry | undefined): string[] {
        return [...this.marks.keys()].filter(endpointId => {
            const entry = getEntry(endpointId);
            return entry !== undefined && this.has(entry);
        });
    }
}
