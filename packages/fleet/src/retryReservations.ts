/** A reservation that isn't claimed this long after its time goes to other requests, in milliseconds. */
const RESERVATION_EXPIRY_MS = 500;
/** A caller that comes back this much before its time is served as well, in milliseconds. */
const EARLY_CLAIM_MS = 20;

interface Reservation {
    readonly fingerprint: string;
    readonly atMs: number;
}

/**
 * Tokens of one rate limit that are reserved for refused callers that have been asked to come back. Answers the load of an
 * organisation far above its rate: callers that are all told the time of the next token come back together, and all but
 * one are refused again.
 */
export class RetryReservations {
    private reservations: Reservation[] = [];

    /** Number of tokens that are reserved, also for times yet to come. */
    get count(): number {
        return this.getCurrent().length;
    }

    /** @returns Number of tokens that callers may claim now. */
    countDue(): number {
        const nowMs = performance.now();
        return this.getCurrent().filter(({ atMs }) => atMs <= nowMs).length;
    }

    /**
     * @param fingerprint - Identifies the request.
     * @returns Whether its caller has a reservation and comes no earlier than asked to.
     */
    mayClaim(fingerprint: string): boolean {
        const reservation = this.getCurrent().find(current => current.fingerprint === fingerprint);
        return reservation !== undefined && performance.now() >= reservation.atMs - EARLY_CLAIM_MS;
    }

    /**
     * Reserves a token.
     *
     * @param fingerprint - Identifies the request across its attempts.
     * @param atMs - When the token is available, on the monotonic clock.
     */
    reserve(fingerprint: string, atMs: number): void {
        this.reservations = [...this.getCurrent(), { fingerprint, atMs }];
    }

    /**
     * Takes a reservation back when its caller has come, at its time or not.
     *
     * @param fingerprint - Identifies the request.
     * @returns Whether the caller had a reservation and has come no earlier than asked to.
     */
    claim(fingerprint: string): boolean {
        const isInTime = this.mayClaim(fingerprint);
        this.reservations = this.getCurrent();
        const position = this.reservations.findIndex(reservation => reservation.fingerprint === fingerprint);
        if (position >= 0) {
            this.reservations.splice(position, 1);
        }
        return isInTime;
    }

    private getCurrent(): Reservation[] {
        const expiredBeforeMs = performance.now() - RESERVATION_EXPIRY_MS;
        return this.reservations.filter(({ atMs }) => atMs >= expiredBeforeMs);
    }
}
