/** One item of a job, as the caller submitted it in the line format of OpenAI batch files. */
export interface BatchItem {
    readonly customId: string;
    readonly method: "POST";
    /** Path of the request, which selects the route. */
    readonly path: string;
    readonly body: unknown;
}

/** A chunk of a job's items as stored. */
export interface Chunk {
    readonly items: readonly BatchItem[];
}

/**
 * - `open`: items are waiting or running.
 * - `cancelled`: no further item is run; results that are stored stay readable.
 * - `done`: every item has a result.
 */
export type JobState = "open" | "cancelled" | "done";

/** A job's manifest as stored. */
export interface JobManifest {
    readonly jobId: string;
    readonly organisation: string;
    readonly service: string;
    /** Identifies the upload that became the job; part of the paths of its chunks. */
    readonly uploadId: string;
    readonly contentSha256: string;
    readonly itemCount: number;
    readonly chunkCount: number;
    readonly createdAt: string;
    /** When the job is due, ISO 8601. */
    readonly dueAt: string;
    readonly state: JobState;
    /** Whether the items may be run again after a failure. */
    readonly isIdempotent: boolean;
}

/** The final result of one item. */
export interface ItemResult {
    readonly customId: string;
    readonly outcome: "completed" | "failed" | "cancelled";
    /** HTTP status of the response; absent when there was none. */
    readonly status?: number;
    readonly body?: unknown;
    /** Why the item failed. */
    readonly reason?: string;
    readonly attempts: number;
}

/** Results of one chunk as stored; written once. */
export interface ChunkResult {
    readonly results: readonly ItemResult[];
    /** Paths of the objects that hold the results, if they don't fit into this one. */
    readonly partPaths?: readonly string[];
    readonly completed: number;
    readonly failed: number;
    readonly runner: string;
}

/** Some results of a chunk whose results don't fit into one object. */
export type ResultPart = Pick<ChunkResult, "results">;

/** Progress of a job, as reported to callers. */
export interface JobStatus {
    readonly jobId: string;
    readonly organisation: string;
    readonly service: string;
    readonly state: JobState;
    readonly createdAt: string;
    readonly dueAt: string;
    readonly itemCount: number;
    readonly completed: number;
    readonly failed: number;
    readonly pending: number;
}
