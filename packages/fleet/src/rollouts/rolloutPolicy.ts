/** Shares of the traffic that the new version gets one after the other, after the canary phase. */
const SHARES = [0.25, 0.5, 1];
const MIN_STEP_MS = 300;
const MIN_STEP_ANSWERS = 20;
/** Time for the steps below 1: part of the duration, and its bounds in milliseconds. */
const STEPS_PART = 0.12;
const MIN_STEPS_MS = 1_200;
const MAX_STEPS_MS = 3_000;
/** Time for the old endpoints to drain: bounds as parts of the duration. */
const MIN_DRAIN_PART = 0.2;
const MAX_DRAIN_PART = 0.4;
/** The final state is decided at least this long before the deadline, so that it can be stored in time; in milliseconds. */
const FINAL_MARGIN_MS = 500;
/** Writes of the store after that decision: one that may be on its way, the record, and the status of the order. */
const FINAL_WRITES = 3;
/** Bound of the time reserved for them, as a part of the duration. */
const MAX_FINAL_PART = 0.15;
/** The new version gets all requests for this long before the roll-out is completed, in milliseconds. */
const MIN_MOVED_MS = 1_000;
/** Writes of the store that the steps wait for: one for each share, and one that may be on its way before. */
const WRITES_OF_STEPS = 4;
/** Bound of the time reserved for them, as a part of the duration. */
const MAX_WRITES_PART = 0.25;
/** Part of the duration for which missing evidence may delay the first step. */
const MAX_DELAY_PART = 0.1;

/** When a roll-out does what, in milliseconds after the order. */
export interface RolloutSchedule {
    /** The canary phase ends then if there is enough evidence. */
    readonly canaryMs: number;
    /** The canary phase ends then also if a route has had too few responses. */
    readonly latestStartMs: number;
    /** Longest duration of a step. */
    readonly stepMs: number;
    readonly finalMs: number;
}

/** What the next state of a roll-out depends on. */
export interface RolloutSituation {
    readonly elapsedMs: number;
    readonly share: number;
    /** Time since the share took effect. */
    readonly stepAgeMs: number;
    /** Responses of the new version since then. */
    readonly stepAnswers: number;
    /** Where the new version is worse; `undefined` if it isn't. */
    readonly excess: string | undefined;
    readonly isDoubtful: boolean;
    /** Whether endpoints of the new version are ready. */
    readonly hasCandidates: boolean;
    /** Whether they have room for all requests. */
    readonly hasCapacity: boolean;
    /** Responses of all routes together, or all that there were, are enough. */
    readonly hasEvidence: boolean;
    /** The same for each route. */
    readonly hasRouteEvidence: boolean;
    /** Requests that still run at other versions. */
    readonly oldPlaces: number;
    /** Whether the order can be followed. */
    readonly isVoid: boolean;
    /** Whether the store can't be written, so that nothing may grow. */
    readonly isHeld: boolean;
}

/** What a roll-out does next. */
export type RolloutDecision =
    | { readonly kind: "stay"; }
    | { readonly kind: "share"; readonly share: number; }
    | { readonly kind: "complete"; readonly reason: string; }
    | { readonly kind: "roll-back"; readonly reason: string; };

/**
 * @param durationMs - Time from the order to the deadline.
 * @param longestTimeoutMs - Longest timeout of the service's routes; 0 if it isn't known.
 * @param storeMs - How long a write of the store takes.
 * @returns The schedule of the roll-out.
 */
export function getRolloutSchedule(durationMs: number, longestTimeoutMs: number, storeMs: number): RolloutSchedule {
    const drainMs = Math.min(
        durationMs * MAX_DRAIN_PART,
        Math.max(longestTimeoutMs, durationMs * MIN_DRAIN_PART),
    );
    const stepsMs = Math.min(MAX_STEPS_MS, Math.max(MIN_STEPS_MS, durationMs * STEPS_PART));
    const finalWritesMs = Math.min(durationMs * MAX_FINAL_PART, storeMs * FINAL_WRITES);
    const finalMs = Math.max(0, durationMs - Math.max(FINAL_MARGIN_MS, finalWritesMs));
    const writesMs = Math.min(durationMs * MAX_WRITES_PART, storeMs * WRITES_OF_STEPS);
    const canaryMs = Math.max(0, finalMs - drainMs - stepsMs - writesMs);
    const shortestMs = durationMs * MIN_DRAIN_PART + stepsMs / 2 + writesMs;
    const latestStartMs = Math.max(canaryMs, Math.min(canaryMs + durationMs * MAX_DELAY_PART, finalMs - shortestMs));
    return { canaryMs, latestStartMs, stepMs: stepsMs / (SHARES.length - 1), finalMs };
}

/**
 * @param situation - The state of the roll-out.
 * @param schedule - Its schedule.
 * @returns What it does next.
 */
export function decideRollout(situation: RolloutSituation, schedule: RolloutSchedule): RolloutDecision {
    const { elapsedMs, share, excess, oldPlaces, stepAgeMs, isDoubtful } = situation;
    const isFinal = elapsedMs >= schedule.finalMs;
    if (excess !== undefined && !situation.isVoid) {
        return { kind: "roll-back", reason: `bad: ${excess}` };
    }
    if (share === 1 && isFinal && !isDoubtful) {
        return { kind: "complete", reason: "deadline" };
    }
    if (share === 1 && !isFinal) {
        const isProven = stepAgeMs >= MIN_MOVED_MS && isStepOver(situation, schedule) && !isDoubtful;
        return isProven && oldPlaces === 0 ? { kind: "complete", reason: "drained" } : { kind: "stay" };
    }
    if (isFinal) {
        return { kind: "roll-back", reason: getUnfinishedReason(situation) };
    }
    return mayGrow(situation, schedule)
        ? { kind: "share", share: SHARES.find(next => next > share) ?? 1 }
        : { kind: "stay" };
}

function mayGrow(situation: RolloutSituation, schedule: RolloutSchedule): boolean {
    const { elapsedMs, share, isVoid, isHeld, hasCandidates, isDoubtful } = situation;
    if (isVoid || isHeld || !hasCandidates || isDoubtful) {
        return false;
    }
    if (share === 0) {
        const isDue = elapsedMs >= (situation.hasRouteEvidence ? schedule.canaryMs : schedule.latestStartMs);
        return isDue && situation.hasEvidence;
    }
    const isBeforeLast = share === SHARES.at(-2);
    const isUrgent = elapsedMs >= schedule.latestStartMs + schedule.stepMs * 2;
    return isStepOver(situation, schedule) && (!isBeforeLast || situation.hasCapacity || isUrgent);
}

function isStepOver({ stepAgeMs, stepAnswers }: RolloutSituation, { stepMs }: RolloutSchedule): boolean {
    return stepAgeMs >= MIN_STEP_MS && (stepAnswers >= MIN_STEP_ANSWERS || stepAgeMs >= stepMs);
}

function getUnfinishedReason({ isVoid, hasCandidates, isDoubtful }: RolloutSituation): string {
    if (isVoid) {
        return "the service has endpoints of this version only";
    }
    if (!hasCandidates) {
        return "no endpoint of this version is ready";
    }
    return isDoubtful ? "it looks worse than the old version" : "too few responses before the deadline";
}
