import { sha256Hex } from "@heatherline/common";

/** Prefix of the markers of open jobs. */
export const OPEN_JOBS_PREFIX = "batch/open/";

/**
 * Derives the job ID from the organisation and the idempotency key, so that a job submitted again has the same ID.
 *
 * @param organisation - Organisation that submits the job.
 * @param idempotencyKey - The caller's idempotency key.
 * @returns The job ID.
 */
export function getJobId(organisation: string, idempotencyKey: string): string {
    return `batch_${sha256Hex(`${organisation}\0${idempotencyKey}`).slice(0, 32)}`;
}

/**
 * @param jobId - ID of a job.
 * @returns Path of its manifest.
 */
export function getManifestPath(jobId: string): string {
    return `batch/jobs/${jobId}`;
}

/**
 * @param jobId - ID of a job.
 * @returns Path of the marker that exists while the job is open.
 */
export function getOpenMarkerPath(jobId: string): string {
    return `${OPEN_JOBS_PREFIX}${jobId}`;
}

/**
 * @param jobId - ID of a job.
 * @param uploadId - ID of an upload of the job.
 * @param index - Index of the chunk, from 0.
 * @returns Path of the chunk.
 */
export function getChunkPath(jobId: string, uploadId: string, index: number): string {
    return `batch/chunks/${jobId}/${uploadId}/${padIndex(index)}`;
}

/**
 * @param jobId - ID of a job.
 * @param index - Index of the chunk; omitted for all chunks.
 * @returns Path of the results of the chunk, or the common prefix of all results.
 */
export function getResultPath(jobId: string, index?: number): string {
    return `batch/results/${jobId}/${index === undefined ? "" : padIndex(index)}`;
}

/**
 * @param jobId - ID of a job.
 * @param index - Index of the chunk.
 * @param writeId - Distinguishes the parts of one writer from those of another.
 * @param part - Index of the part.
 * @returns Path of a part of the results of the chunk, which don't fit into one object.
 */
export function getResultPartPath(jobId: string, index: number, writeId: string, part: number): string {
    return `batch/result-parts/${jobId}/${padIndex(index)}/${writeId}/${padIndex(part)}`;
}

/**
 * @param jobId - ID of a job.
 * @param index - Index of the chunk.
 * @returns Path of the intent record, which says that items of the chunk may have started to run.
 */
export function getIntentPath(jobId: string, index: number): string {
    return `batch/intents/${jobId}/${padIndex(index)}`;
}

const INDEX_DIGITS = 6;

function padIndex(index: number): string {
    return String(index).padStart(INDEX_DIGITS, "0");
}
