/** Time after the request to stop during which the load balancer may still send new connections. */
const BALANCER_DRAIN_MS = 2_600;
/**
 * Requests that come later than this after the request to stop are taken only if they end in time, since callers may
 * rely on their responses.
 */
const LATE_REQUEST_MS = 2_900;
/** Margin between the end of the graceful stop and the kill of the process. */
const KILL_MARGIN_MS = 700;

/** When an instance that has been asked to stop accepts no more connections, and when it gives up open requests. */
export class StopSchedule {
    private startedAtMs = Infinity;

    /**
     * @param getGraceMs - Returns the time from the request to stop to the kill of the process, in milliseconds.
     */
    constructor(private readonly getGraceMs: () => number) {}

    /** Whether the instance has been asked to stop. */
    get isStopping(): boolean {
        return this.startedAtMs < Infinity;
    }

    /** Records that the instance has been asked to stop. */
    start(): void {
        this.startedAtMs = performance.now();
    }

    /** Time until no more connections are accepted, in milliseconds; infinite before the stop. */
    get acceptingLeftMs(): number {
        return Math.min(this.startedAtMs + BALANCER_DRAIN_MS - performance.now(), this.leftMs);
    }

    /** Time until open requests are given up, in milliseconds; infinite before the stop. */
    get leftMs(): number {
        return this.startedAtMs + this.getGraceMs() - KILL_MARGIN_MS - performance.now();
    }

    /** How long a request that comes now may take, in milliseconds; infinite unless it comes late in the stop. */
    get maxDurationMs(): number {
        return performance.now() < this.startedAtMs + LATE_REQUEST_MS ? Infinity : this.leftMs;
    }
}
