import type { StoredObject } from "@heatherline/store";
import { z } from "zod";
import type { RolloutRecord } from "./types";

/** Kind of the objects that describe roll-outs; named after their services. */
export const ROLLOUT_RECORD_KIND = "heatherline-rollouts";

const count = z.number().nonnegative();

/** Loose, so that fields that a later release adds are kept. */
const recordSchema = z.looseObject({
    service: z.string(),
    toVersion: z.string(),
    orderId: z.string(),
    orderedAt: z.number(),
    deadlineAt: z.number(),
    state: z.enum(["running", "completed", "rolled-back"]),
    epoch: count,
    share: z.number().min(0).max(1),
    exposedRequests: count,
    totalRequests: count,
    routes: z.array(z.object({
        route: z.string(),
        candidateAnswers: count,
        candidateBad: count,
        baselineAnswers: count,
        baselineBad: count,
    })),
    reason: z.string(),
    abandonedVersions: z.array(z.string()).optional(),
    replacedVersions: z.array(z.string()).optional(),
    isVoid: z.boolean().optional(),
});

/**
 * @param object - An object of kind {@link ROLLOUT_RECORD_KIND}.
 * @returns The record in it, or `undefined` if it holds none.
 */
export function decodeRolloutRecord({ path, value }: StoredObject): RolloutRecord | undefined {
    const parsed = recordSchema.safeParse(value);
    return parsed.success && path === `${ROLLOUT_RECORD_KIND}/${parsed.data.service}` ? parsed.data : undefined;
}
