import { err, ok, type Result } from "neverthrow";
import type { SubmittedItem } from "../wireCodec";
import { type BodyPart, encodeContent, MAX_PART_FRACTION, splitBodies } from "./jobBodies";
import { findSizeFault, getManifestBytes, type JobManifest } from "./jobStore";

/** All instances read the objects of all jobs, so that paths and headers that make one larger are stored apart. */
const MAX_MANIFEST_BYTES = 131_072;
/** The same as a fraction of the largest object. */
const MAX_MANIFEST_FRACTION = 0.5;

/** What a submission says of a job, without its items. */
export type JobHead = Pick<JobManifest, "jobId" | "organisation" | "route" | "host" | "path">;

/** A job that is yet to be stored. */
export interface NewJob {
    readonly manifest: JobManifest;
    readonly parts: readonly BodyPart[];
}

/**
 * Why a job can't be stored.
 *
 * - `too-large`: the store can't keep it.
 * - `not-yet`: some instances, which are of an earlier release, would run parts of its items.
 */
export interface NewJobFault {
    readonly kind: "too-large" | "not-yet";
    readonly detail: string;
}

/** Limits of the objects that a job is stored in. */
export interface JobStorageLimits {
    /** Limit of the size of an object that the store accepts. */
    readonly maxObjectBytes: number;
    /** Whether all instances run items that are split over several objects. */
    readonly canSplitItems: boolean;
}

/**
 * Decides in which objects the store keeps a job.
 *
 * @param head - The job.
 * @param items - Its items.
 * @param limits - Limits of its objects.
 * @returns The job with its objects, or why it can't be stored.
 */
export function newJob(
    head: JobHead,
    items: readonly SubmittedItem[],
    { maxObjectBytes, canSplitItems }: JobStorageLimits,
): Result<NewJob, NewJobFault> {
    const maxManifestBytes = Math.min(MAX_MANIFEST_BYTES, MAX_MANIFEST_FRACTION * maxObjectBytes);
    const maxPartBytes = MAX_PART_FRACTION * maxObjectBytes;
    const jobWithBodies = newJobWithBodies(head, items, maxPartBytes);
    const keepsHeaders = canSplitItems
        ? getManifestBytes(jobWithBodies.manifest) <= maxManifestBytes
        : findSizeFault(jobWithBodies.manifest, maxObjectBytes) === undefined;
    const job = keepsHeaders ? jobWithBodies : newJobWithContents(head, items, maxPartBytes);
    const sizeFault = findSizeFault(job.manifest, maxObjectBytes);
    if (sizeFault !== undefined) {
        return err({ kind: "too-large", detail: sizeFault });
    }
    return canSplitItems || !needsSplitItemSupport(job.manifest)
        ? ok(job)
        : err({ kind: "not-yet", detail: "instances of an earlier release would run parts of the items" });
}

/** Whether an item is stored in several objects, which instances of earlier releases read as one. */
function needsSplitItemSupport({ areContentsInParts, bodyParts, firstParts = [] }: JobManifest): boolean {
    return areContentsInParts === true
        || firstParts.some((first, index) => (firstParts[index + 1] ?? bodyParts) - first > 1);
}

function newJobWithBodies(head: JobHead, items: readonly SubmittedItem[], maxPartBytes: number): NewJob {
    const { parts, firstParts } = splitBodies(
        new Map(items.map(({ itemId, bodyBase64 }) => [itemId, bodyBase64])),
        maxPartBytes,
    );
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

function newJobWithContents(head: JobHead, items: readonly SubmittedItem[], maxPartBytes: number): NewJob {
    const bareItems = items.map(({ itemId, tokens }) => ({ itemId, path: "", headers: {}, bodyBase64: "", tokens }));
    const { parts, firstParts } = splitBodies(
        new Map(items.map(item => [item.itemId, encodeContent(item)])),
        maxPartBytes,
    );
    const { manifest } = newJobWithBodies(head, bareItems, maxPartBytes);
    return { manifest: { ...manifest, bodyParts: parts.length, firstParts, areContentsInParts: true }, parts };
}
