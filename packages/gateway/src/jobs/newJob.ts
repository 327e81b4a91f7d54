import { err, ok, type Result } from "neverthrow";
import type { SubmittedItem } from "../wireCodec";
import { type BodyPart, encodeContent, splitBodies } from "./jobBodies";
import { findSizeFault, getManifestBytes, type JobManifest } from "./jobStore";

/** All instances read the objects of all jobs, so that paths and headers that make one larger are stored apart. */
const MAX_MANIFEST_BYTES = 131_072;

/** What a submission says of a job, without its items. */
export type JobHead = Pick<JobManifest, "jobId" | "organisation" | "route" | "host" | "path">;

/** A job that is yet to be stored. */
export interface NewJob {
    readonly manifest: JobManifest;
    readonly parts: readonly BodyPart[];
}

/**
 * Decides in which objects the store keeps a job.
 *
 * @param head - The job.
 * @param items - Its items.
 * @returns The job with its objects, or why the store can't keep it.
 */
export function newJob(head: JobHead, items: readonly SubmittedItem[]): Result<NewJob, string> {
    const jobWithBodies = newJobWithBodies(head, items);
    const job = getManifestBytes(jobWithBodies.manifest) <= MAX_MANIFEST_BYTES
        ? jobWithBodies
        : newJobWithContents(head, items);
    const sizeFault = findSizeFault(job.manifest);
    return sizeFault === undefined ? ok(job) : err(sizeFault);
}

function newJobWithBodies(head: JobHead, items: readonly SubmittedItem[]): NewJob {
    const { parts, firstParts } = splitBodies(new Map(items.map(({ itemId, bodyBase64 }) => [itemId, bodyBase64])));
    const manifest: JobManifest = {
        ...head,
        submittedAt: Date.now(),
        itemTokens: items.map(({ tokens }) => tokens),
        state: "open",
        items: items.map(({ itemId, path, headers, tokens }) => ({ itemId, path, headers, tokens })),
        bodyParts: parts.length,
        firstParts,
        isEndedByCaller: false,
    };
    return { manifest, parts };
}

function newJobWithContents(head: JobHead, items: readonly SubmittedItem[]): NewJob {
    const bareItems = items.map(({ itemId, tokens }) => ({ itemId, path: "", headers: {}, bodyBase64: "", tokens }));
    const { parts, firstParts } = splitBodies(new Map(items.map(item => [item.itemId, encodeContent(item)])));
    const { manifest } = newJobWithBodies(head, bareItems);
    return { manifest: { ...manifest, bodyParts: parts.length, firstParts, areContentsInParts: true }, parts };
}
