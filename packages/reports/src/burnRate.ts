import type { SloBucket } from "./sloTracker";

/** What an objective measures: successful responses, time to the first byte, or total duration. */
export type ObjectiveKind = "availability" | "first-byte" | "duration";

/** A service-level objective (SLO) of a service. */
export interface Objective {
    readonly objective: ObjectiveKind;
    /** Fraction of the requests that must be good, from 0 to 1. */
    readonly targetFraction: number;
    /** Period that the error budget covers, in days. */
    readonly windowDays: number;
}

/** Windows over which burn rates are computed, in minutes, shortest first. */
export const BURN_WINDOWS_MINUTES = [5, 30, 60, 360] as const;

/**
 * Multi-window, multi-burn-rate alerts: a rule fires when the burn rates of both its long and its short window exceed
 * `burnRate`.
 */
export const ALERT_RULES = [
    { severity: "page", longMinutes: 60, shortMinutes: 5, burnRate: 14.4 },
    { severity: "page", longMinutes: 360, shortMinutes: 30, burnRate: 6 },
    { severity: "ticket", longMinutes: 360, shortMinutes: 60, burnRate: 1 },
] as const;

const MINUTES_PER_DAY = 1_440;

/** Burn rates of one objective, for a whole service or for one organisation at that service. */
export interface BurnRow {
    readonly service: string;
    /** Absent in the row of the whole service. */
    readonly organisation?: string;
    readonly objective: ObjectiveKind;
    readonly targetFraction: number;
    /** Burn rate by window in minutes; a rate of 1 uses the error budget up exactly at the end of its period. */
    readonly burnRates: Readonly<Record<number, number>>;
    /** Requests that count for objectives, in all counts that the report is computed from. */
    readonly requests: number;
    /** Those of `requests` that were valid, within their rate limit, and refused nevertheless. */
    readonly wronglyRefused: number;
    /**
     * Fraction of the period's error budget that remains after the errors of the longest window, if requests arrive at
     * the rate of that window throughout the period.
     */
    readonly budgetLeftFraction: number;
    readonly alert: "page" | "ticket" | "none";
}

/**
 * Computes burn rates.
 *
 * @param buckets - Counts of all instances.
 * @param objectives - Objectives by service.
 * @returns A row for each objective of each service and of each of its organisations, the highest burn rate over the
 * longest window first.
 */
export function computeBurnRates(
    buckets: readonly SloBucket[],
    objectives: ReadonlyMap<string, readonly Objective[]>,
): BurnRow[] {
    const rows: BurnRow[] = [];
    for (const [service, serviceObjectives] of objectives) {
        const serviceBuckets = buckets.filter(bucket => bucket.service === service);
        const organisations = [...new Set(serviceBuckets.map(({ organisation }) => organisation))];
        for (const objective of serviceObjectives) {
            rows.push(computeRow(serviceBuckets, service, undefined, objective));
            for (const organisation of organisations) {
                rows.push(
                    computeRow(
                        serviceBuckets.filter(bucket => bucket.organisation === organisation),
                        service,
                        organisation,
                        objective,
                    ),
                );
            }
        }
    }
    const longestWindowMinutes = BURN_WINDOWS_MINUTES[BURN_WINDOWS_MINUTES.length - 1] ?? 0;
    return rows.sort((left, right) =>
        (right.burnRates[longestWindowMinutes] ?? 0) - (left.burnRates[longestWindowMinutes] ?? 0)
    );
}

/**
 * @param rows - Rows, worst first, as {@link computeBurnRates} returns them.
 * @returns The availability row of the organisation with the highest burn rate, or `undefined` if there is none.
 */
export function findWorstServedOrganisation(rows: readonly BurnRow[]): BurnRow | undefined {
    return rows.find(({ organisation, objective }) => organisation !== undefined && objective === "availability");
}

function computeRow(
    buckets: readonly SloBucket[],
    service: string,
    organisation: string | undefined,
    { objective, targetFraction, windowDays }: Objective,
): BurnRow {
    const burnRates: Record<number, number> = {};
    for (const minutes of BURN_WINDOWS_MINUTES) {
        const inWindow = buckets.filter(({ minutesAgo }) => minutesAgo < minutes);
        const total = sum(inWindow, bucket => bucket.total);
        const bad = sum(inWindow, bucket => countBad(bucket, objective));
        burnRates[minutes] = total === 0 ? 0 : bad / total / (1 - targetFraction);
    }
    const longestWindowMinutes = BURN_WINDOWS_MINUTES[BURN_WINDOWS_MINUTES.length - 1] ?? 0;
    const spentFraction = (burnRates[longestWindowMinutes] ?? 0) * longestWindowMinutes /
        (windowDays * MINUTES_PER_DAY);
    return {
        service,
        organisation,
        objective,
        targetFraction,
        burnRates,
        requests: sum(buckets, bucket => bucket.total),
        wronglyRefused: sum(buckets, bucket => bucket.wronglyRefused),
        budgetLeftFraction: Math.max(0, 1 - spentFraction),
        alert: getAlert(burnRates),
    };
}

function countBad(bucket: SloBucket, objective: ObjectiveKind): number {
    switch (objective) {
        case "availability":
            return bucket.failed;
        case "first-byte":
            return bucket.slowFirstByte;
        case "duration":
            return bucket.slowDuration;
    }
}

function getAlert(burnRates: Readonly<Record<number, number>>): BurnRow["alert"] {
    const rule = ALERT_RULES.find(({ longMinutes, shortMinutes, burnRate }) =>
        (burnRates[longMinutes] ?? 0) > burnRate && (burnRates[shortMinutes] ?? 0) > burnRate
    );
    return rule?.severity ?? "none";
}

function sum(buckets: readonly SloBucket[], get: (bucket: SloBucket) => number): number {
    return buckets.reduce((total, bucket) => total + get(bucket), 0);
}
