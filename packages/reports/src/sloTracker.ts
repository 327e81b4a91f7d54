/** The outcome of one request, as far as the objectives of its service depend on it. */
export interface SloEvent {
    readonly service: string;
    readonly organisation: string;
    /** Absent if no endpoint responded. */
    readonly firstByteMs: number | undefined;
    readonly durationMs: number;
    readonly status: number;
    /** Error code if the request was refused or failed; absent if an endpoint's response was returned. */
    readonly code: string | undefined;
}

/** Request counts of one service and organisation in one minute. */
export interface SloCounts {
    /** Requests that count for objectives. Those refused because of the caller's error or rate limit don't count. */
    total: number;
    /** Requests that count and were refused or failed, or whose response has a 5xx status. */
    failed: number;
    /** Valid requests within their rate limit that were refused nevertheless. */
    wronglyRefused: number;
    slowFirstByte: number;
    slowDuration: number;
}

/** Request counts of one minute in a report. */
export interface SloBucket extends SloCounts {
    readonly service: string;
    readonly organisation: string;
    /** Age in minutes when the report was made; 0 for the current minute. */
    readonly minutesAgo: number;
}

/** Highest latencies that count as good, in milliseconds. */
export interface SloThresholds {
    readonly firstByteMs: number;
    readonly durationMs: number;
}

const RETENTION_MINUTES = 360;
const MS_PER_MINUTE = 60_000;

/**
 * Error codes that don't count for objectives, because the caller caused them: an invalid request, its rate limit, or a
 * closed connection.
 */
const EXCLUDED_CODES = new Set([
    "bad-request",
    "body-too-large",
    "bad-deadline",
    "not-found",
    "method-not-allowed",
    "model-not-found",
    "key-missing",
    "key-invalid",
    "key-withdrawn",
    "organisation-not-allowed",
    "rate-limited",
    "quarantined",
    "idempotency-mismatch",
    "already-running",
    "caller-gone",
]);

/** Error codes of valid requests within their rate limit that the system refused. */
const WRONG_REFUSAL_CODES = new Set([
    "limit-unavailable",
    "idempotency-unavailable",
    "no-endpoint",
    "queue-full",
    "deadline-unreachable",
    "shutting-down",
    "store-unavailable",
]);

/** Counts requests per minute, service and organisation for SLO reports, and keeps six hours of counts in memory. */
export class SloTracker {
    private readonly countsByMinute = new Map<number, Map<string, SloCounts>>();

    /**
     * @param getThresholds - Returns the latency thresholds of a service.
     */
    constructor(private readonly getThresholds: (service: string) => SloThresholds) {}

    /**
     * Counts a request, unless the caller caused its error.
     *
     * @param event - Outcome of the request.
     */
    recordEvent(event: SloEvent): void {
        if (event.code !== undefined && EXCLUDED_CODES.has(event.code)) {
            return;
        }
        const counts = this.getCounts(`${event.service}|${event.organisation}`);
        const thresholds = this.getThresholds(event.service);
        const hasResponse = event.code === undefined;
        counts.total += 1;
        counts.failed += hasResponse && event.status < 500 ? 0 : 1;
        counts.wronglyRefused += event.code !== undefined && WRONG_REFUSAL_CODES.has(event.code) ? 1 : 0;
        counts.slowFirstByte += hasResponse && (event.firstByteMs ?? 0) <= thresholds.firstByteMs ? 0 : 1;
        counts.slowDuration += hasResponse && event.durationMs <= thresholds.durationMs ? 0 : 1;
    }

    /** @returns The counts of the last six hours. */
    export(): SloBucket[] {
        const currentMinute = this.getCurrentMinute();
        this.prune(currentMinute);
        return [...this.countsByMinute].flatMap(([minute, countsByKey]) =>
            [...countsByKey].map(([key, counts]) => {
                const [service = "", organisation = ""] = key.split("|");
                return { service, organisation, minutesAgo: currentMinute - minute, ...counts };
            })
        );
    }

    private getCounts(key: string): SloCounts {
        const minute = this.getCurrentMinute();
        let countsByKey = this.countsByMinute.get(minute);
        if (countsByKey === undefined) {
            countsByKey = new Map();
            this.countsByMinute.set(minute, countsByKey);
            this.prune(minute);
        }
        let counts = countsByKey.get(key);
        if (counts === undefined) {
            counts = { total: 0, failed: 0, wronglyRefused: 0, slowFirstByte: 0, slowDuration: 0 };
            countsByKey.set(key, counts);
        }
        return counts;
    }

    private prune(currentMinute: number): void {
        for (const minute of this.countsByMinute.keys()) {
            if (minute <= currentMinute - RETENTION_MINUTES) {
                this.countsByMinute.delete(minute);
            }
        }
    }

    private getCurrentMinute(): number {
        return Math.floor(performance.now() / MS_PER_MINUTE);
    }
}
