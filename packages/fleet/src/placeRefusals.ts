import type { CrashTracker } from "./crashTracker";
import type { PlaceRefusal } from "./placeDecisions";
import type { RateDecision } from "./tokenBuckets";
import type { PlaceRequest } from "./types";

/**
 * @param request - A request for a place.
 * @param crashTracker - What is known of requests whose endpoints crashed.
 * @returns The refusal of the request, if it is held back.
 */
export function findCrashRefusal(
    { workClass, fingerprint }: Pick<PlaceRequest, "workClass" | "fingerprint">,
    crashTracker: CrashTracker,
): PlaceRefusal | undefined {
    if (workClass !== "online" || crashTracker.mayRun(fingerprint)) {
        return undefined;
    }
    const detail = "connections to endpoints broke while they ran this request";
    return { kind: "refused", reason: "crashes-endpoints", retryAfterMs: 0, detail };
}

/**
 * @param parts - Shared parts of a request's prompt, among them blocked ones.
 * @returns The refusal of the request.
 */
export function newBlockedPromptRefusal(parts: readonly string[]): PlaceRefusal {
    const detail = `endpoints crashed when they began to respond to prompts with parts of ${parts.join()}`;
    return { kind: "refused", reason: "crashes-endpoints", retryAfterMs: 0, detail };
}

/**
 * @param decision - Why no token was taken.
 * @param detail - The rate limit, for the log.
 * @returns The refusal of the request.
 */
export function newRateRefusal(
    { retryAfterMs }: Extract<RateDecision, { isTaken: false; }>,
    detail: string,
): PlaceRefusal {
    return { kind: "refused", reason: "rate-limited", retryAfterMs, detail };
}
