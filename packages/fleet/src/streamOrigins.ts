import { sha256Hex } from "@heatherline/common";
import type { StreamOrigin, StreamOriginReport } from "./types";

/** Streams of one generation; with two generations they take some ten megabytes at most. */
const MAX_GENERATION_SIZE = 60_000;
/** Longer ids are kept and reported as their hashes, which have this length. */
const MAX_ID_LENGTH = 64;

/**
 * Where recent streams began, by the id of the request that brought their first event. Streams are forgotten after the
 * retention time, at the latest after twice that, or sooner if there are very many.
 */
export class StreamOrigins {
    private readonly origins: StreamOrigin[] = [];
    private readonly indexByKey = new Map<string, number>();
    /** Indices into `origins`, by request id. */
    private current = new Map<string, number>();
    private previous = new Map<string, number>();
    private generationBeganAtMs = performance.now();

    /**
     * @param getRetentionMs - Returns how long a stream must be remembered, in milliseconds.
     */
    constructor(private readonly getRetentionMs: () => number) {}

    /**
     * @param requestId - A request whose stream another request may go on with; recorded anew each time it is.
     * @param origin - Where it runs.
     */
    record(requestId: string, origin: StreamOrigin): void {
        this.startGenerationIfDue();
        this.current.set(shortenId(requestId), this.getIndex(origin));
    }

    /**
     * @param requestId - Id of a request.
     * @returns Where its stream began, if that is known.
     */
    get(requestId: string): StreamOrigin | undefined {
        this.startGenerationIfDue();
        const id = shortenId(requestId);
        return this.origins[this.current.get(id) ?? this.previous.get(id) ?? -1];
    }

    /**
     * Records streams that others report; what is known already stays.
     *
     * @param reports - The streams.
     */
    adopt(reports: readonly StreamOriginReport[]): void {
        for (const { service, softwareVersion, requestIds } of reports) {
            for (const requestId of requestIds) {
                if (this.get(requestId) === undefined) {
                    this.record(requestId, { service, softwareVersion });
                }
            }
        }
    }

    /** @returns All streams that are remembered. */
    getReports(): StreamOriginReport[] {
        this.startGenerationIfDue();
        const idsByIndex = new Map<number, string[]>();
        for (const [requestId, index] of new Map([...this.previous, ...this.current])) {
            const requestIds = idsByIndex.get(index) ?? [];
            requestIds.push(requestId);
            idsByIndex.set(index, requestIds);
        }
        return [...idsByIndex].map(([index, requestIds]) => ({
            ...this.origins[index] as StreamOrigin,
            requestIds,
        }));
    }

    private getIndex({ service, softwareVersion }: StreamOrigin): number {
        const key = `${service}\0${softwareVersion}`;
        let index = this.indexByKey.get(key);
        if (index === undefined) {
            index = this.origins.push({ service, softwareVersion }) - 1;
            this.indexByKey.set(key, index);
        }
        return index;
    }

    private startGenerationIfDue(): void {
        const ageMs = performance.now() - this.generationBeganAtMs;
        if (ageMs < this.getRetentionMs() && this.current.size < MAX_GENERATION_SIZE) {
            return;
        }
        this.previous = ageMs < 2 * this.getRetentionMs() ? this.current : new Map();
        this.current = new Map();
        this.generationBeganAtMs = performance.now();
    }
}

function shortenId(requestId: string): string {
    return requestId.length <= MAX_ID_LENGTH ? requestId : sha256Hex(requestId);
}
