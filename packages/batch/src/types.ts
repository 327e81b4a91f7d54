/** One item of a job, as the caller gave it (the line format of OpenAI's batch files). */
export interface BatchItem {
    readonly customId: string;
    readonly method: "POST";
    /** Path of the route that the item goes to. */
    readonly path: string;
    readonly body: unknown;
}

/** A chunk of a job's items in the store. */
export interface Chunk {
    readonly items: readonly BatchItem[];
}

/**
 * - `open`: items are waiting or running.
 * - `cancelled`: nothing runs any more; complete results stay readable.
 * - `done`: every item has a result.
 */
export type JobState = "open" | "cancelled" | "done";

/** A job's manifest in the store. */
export interface JobManifest {
    readonly jobId: string;
    readonly organisation: string;
    readonly service: string;
    /** Names the chunk objects of the upload that became the job. */
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
    /** HTTP status of the answer, absent where there was none. */
    readonly status?: number;
    readonly body?: unknown;
    /** Why the item failed. */
    readonly reason?: string;
    readonly attempts: number;
}

/** Results of one chunk in the store; written once. */
export interface ChunkResult {
    readonly results: readonly ItemResult[];
    readonly completed: number;
    readonly failed: number;
    readonly runner: string;
}

/** Progress of a job as callers see it. */
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
