import { LRUCache } from "lru-cache";

/** How long a request is held back after its second crash, third crash and so on, in milliseconds. */
const HOLDS_MS = [3_000, 20_000, 60_000, 600_000, 1_800_000];
/**
 * After this many crashes only one that comes after the hold counts as a further one. Many callers may send the same request, and
 * endpoints that go down with all of these say no more of it than one.
 */
const MAX_CRASHES_AT_ONCE = 4;
/** Crashes from which on a request is held back. */
const MIN_HELD_CRASHES = 2;
/**
 * The record of a request is dropped this long after its last crash or response, but not before the request has had the time to
 * come again after it was held back, in milliseconds.
 */
const RECORD_TTL_MS = 120_000;
/** Maximum number of remembered requests. */
const MAX_REMEMBERED = 4_096;
/** Remembered crashes of a request, the latest ones. */
const MAX_CRASHES = 32;

/** Crash of an endpoint while it ran a request, as one instance tells it to another. */
export interface RequestCrash {
    /** Equal in all reports of the crash. */
    readonly crashId: string;
    readonly ageMs: number;
}

/** What is known of a request whose endpoints crashed. */
export interface CrashRecord {
    /** Identifies the request across its attempts. */
    readonly fingerprint: string;
    /** The crashes since its last response. */
    readonly crashes: readonly RequestCrash[];
    /** Age of its last response; `undefined` if there was none. */
    readonly answeredAgeMs?: number | undefined;
}

/** Called with the record of a request that is held back, or no longer is. */
export type CrashListener = (record: CrashRecord) => void;

interface TrackedRequest {
    /** Monotonic times of the crashes by their ids. */
    readonly crashTimesMs: Map<string, number>;
    answeredAtMs: number;
}

/**
 * Tracks online requests whose endpoint crashed while it ran them, so that a request that crashes any endpoint is not
 * sent to all of them. Endpoints also crash for other reasons, so a request is only held back, longer after each crash.
 * A response clears its record. Batch items are not tracked: each is owed until its retention time is over.
 *
 * Each instance has one, whoever decides. Those who decide spread the records of requests that are held back, so that these
 * outlast any single process, and each instance reports its own to those who begin to decide. Records can be applied in
 * any order and more than once.
 */
export class CrashTracker {
    private readonly requests = new LRUCache<string, TrackedRequest>({ max: MAX_REMEMBERED });
    private readonly listeners = new Set<CrashListener>();

    /**
     * @param listener - Told of each change of a request that is held back.
     */
    addListener(listener: CrashListener): void {
        this.listeners.add(listener);
    }

    /**
     * @param listener - Told of no more changes.
     */
    removeListener(listener: CrashListener): void {
        this.listeners.delete(listener);
    }

    /**
     * Records a crash, unless the fingerprint is empty.
     *
     * @param fingerprint - The request whose connection broke after it had been sent.
     * @param crashId - Identifies the crash; one that is known is ignored.
     */
    recordCrash(fingerprint: string, crashId: string): void {
        this.adopt({ fingerprint, crashes: [{ crashId, ageMs: 0 }] });
    }

    /**
     * @param fingerprint - A request that an endpoint answered.
     */
    recordResponse(fingerprint: string): void {
        if (this.requests.has(fingerprint)) {
            this.adopt({ fingerprint, crashes: [], answeredAgeMs: 0 });
        }
    }

    /**
     * Adds what another instance knows of a request.
     *
     * @param record - The record.
     */
    adopt({ fingerprint, crashes, answeredAgeMs = Infinity }: CrashRecord): void {
        if (fingerprint === "") {
            return;
        }
        const nowMs = performance.now();
        const tracked = this.find(fingerprint) ?? { crashTimesMs: new Map(), answeredAtMs: -Infinity };
        const wasHeld = isHeld(tracked);
        const newCrashes = crashes.filter(({ crashId, ageMs }) =>
            !tracked.crashTimesMs.has(crashId) && nowMs - ageMs > tracked.answeredAtMs
        );
        const isAnswered = nowMs - answeredAgeMs > tracked.answeredAtMs;
        newCrashes.forEach(({ crashId, ageMs }) => tracked.crashTimesMs.set(crashId, nowMs - ageMs));
        tracked.answeredAtMs = Math.max(tracked.answeredAtMs, nowMs - answeredAgeMs);
        forgetOld(tracked);
        this.requests.set(fingerprint, tracked);
        if ((newCrashes.length > 0 && isHeld(tracked)) || (isAnswered && wasHeld)) {
            const record = toRecord(fingerprint, tracked);
            this.listeners.forEach(listener => listener(record));
        }
    }

    /**
     * @param scope - All records, or those of requests that are held back.
     * @returns The records, the latest first.
     */
    getRecords(scope: "all" | "held"): CrashRecord[] {
        return [...this.requests.entries()]
            .filter(([, tracked]) => !isExpired(tracked) && (scope === "all" || isHeld(tracked)))
            .map(([fingerprint, tracked]) => toRecord(fingerprint, tracked));
    }

    /**
     * @param fingerprint - Fingerprint of a request.
     * @returns Its record, if there is one.
     */
    getRecord(fingerprint: string): CrashRecord | undefined {
        const tracked = this.find(fingerprint);
        return tracked === undefined ? undefined : toRecord(fingerprint, tracked);
    }

    /**
     * @param fingerprint - Fingerprint of a request.
     * @returns Whether connections have broken while endpoints ran it.
     */
    isSuspected(fingerprint: string): boolean {
        return (this.find(fingerprint)?.crashTimesMs.size ?? 0) > 0;
    }

    /**
     * @param fingerprint - Fingerprint of a request.
     * @returns Whether it may be sent to an endpoint now.
     */
    mayRun(fingerprint: string): boolean {
        const tracked = this.find(fingerprint);
        if (tracked === undefined || !isHeld(tracked)) {
            return true;
        }
        return performance.now() - getLastCrashMs(tracked) >= getHoldMs(tracked);
    }

    private find(fingerprint: string): TrackedRequest | undefined {
        const tracked = this.requests.get(fingerprint);
        if (tracked !== undefined && isExpired(tracked)) {
            this.requests.delete(fingerprint);
            return undefined;
        }
        return tracked;
    }
}

function isHeld({ crashTimesMs }: TrackedRequest): boolean {
    return crashTimesMs.size >= MIN_HELD_CRASHES;
}

function getHoldMs({ crashTimesMs }: TrackedRequest): number {
    let level = 0;
    let lastMs = -Infinity;
    for (const atMs of [...crashTimesMs.values()].toSorted((left, right) => left - right)) {
        const isAfterHold = atMs - lastMs >= getLevelHoldMs(level);
        level += level < MAX_CRASHES_AT_ONCE || isAfterHold ? 1 : 0;
        lastMs = atMs;
    }
    return getLevelHoldMs(level);
}

function getLevelHoldMs(crashes: number): number {
    return HOLDS_MS[Math.min(crashes - MIN_HELD_CRASHES, HOLDS_MS.length - 1)] ?? 0;
}

function isExpired(tracked: TrackedRequest): boolean {
    const lastMs = Math.max(tracked.answeredAtMs, getLastCrashMs(tracked));
    return performance.now() - lastMs > getHoldMs(tracked) + RECORD_TTL_MS;
}

function getLastCrashMs({ crashTimesMs }: TrackedRequest): number {
    return Math.max(-Infinity, ...crashTimesMs.values());
}

/** Forgets the crashes before the last response, and the first ones beyond the limit. */
function forgetOld({ crashTimesMs, answeredAtMs }: TrackedRequest): void {
    const oldestFirst = [...crashTimesMs].toSorted(([, left], [, right]) => left - right);
    for (const [crashId, atMs] of oldestFirst) {
        if (atMs <= answeredAtMs || crashTimesMs.size > MAX_CRASHES) {
            crashTimesMs.delete(crashId);
        }
    }
}

function toRecord(fingerprint: string, { crashTimesMs, answeredAtMs }: TrackedRequest): CrashRecord {
    const nowMs = performance.now();
    const crashes = [...crashTimesMs].map(([crashId, atMs]) => ({ crashId, ageMs: nowMs - atMs }));
    return { fingerprint, crashes, ...answeredAtMs > -Infinity ? { answeredAgeMs: nowMs - answeredAtMs } : {} };
}
