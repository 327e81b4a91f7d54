/** Limits of a {@link ConnectionBudget}. */
export interface ConnectionBudgetLimits {
    readonly maxConnections: number;
    /** Bytes of incomplete heads, and of what waits to be parsed, on all connections together. */
    readonly maxHeadBytes: number;
}

/** A connection is not closed in favour of others sooner than this after its latest useful bytes. */
const MIN_STALL_MS = 1_000;
/** The same between requests, so that the next request of a client that uses its connection isn't lost. */
const MIN_IDLE_MS = 5_000;
/** Fewer useful bytes than this don't count as progress. */
const PROGRESS_BYTES = 1_024;
/** Part of the memory for heads that may be taken by what waits to be parsed; the rest is left for callers that don't pipeline. */
const WAITING_FRACTION = 0.5;

interface ConnectionState {
    headBytes: number;
    /** Memory of bytes that were read and are not parsed yet. */
    waitingBytes: number;
    /** Useful bytes since the latest progress. */
    usefulBytes: number;
    progressAtMs: number;
    /** Whether there is a complete request without a complete response. */
    isBusy: boolean;
    hasBeenServed: boolean;
}

/** Decides which connections of a listener are kept when connections or the memory for heads are short. */
export class ConnectionBudget<Connection> {
    /** In the order of their latest progress. */
    private readonly states = new Map<Connection, ConnectionState>();
    private totalHeadBytes = 0;
    private totalWaitingBytes = 0;

    /**
     * @param limits - What all connections may take together.
     * @param close - Closes a connection in favour of another one.
     */
    constructor(
        private readonly limits: ConnectionBudgetLimits,
        private readonly close: (connection: Connection) => void,
    ) {}

    /** Number of connections. */
    get count(): number {
        return this.states.size;
    }

    /** Bytes of incomplete heads, and of what waits to be parsed, on all connections. */
    get headBytes(): number {
        return this.totalHeadBytes + this.totalWaitingBytes;
    }

    /**
     * Adds a connection, in place of the least useful one if there are too many.
     *
     * @param connection - The new connection.
     * @returns Whether it is accepted.
     */
    add(connection: Connection): boolean {
        if (this.states.size >= this.limits.maxConnections && !this.closeLeastUseful()) {
            return false;
        }
        const state = {
            headBytes: 0,
            waitingBytes: 0,
            usefulBytes: 0,
            progressAtMs: now(),
            isBusy: false,
            hasBeenServed: false,
        };
        this.states.set(connection, state);
        return true;
    }

    /**
     * Records bytes of a head that is not complete.
     *
     * @param connection - Where they arrived.
     * @param sizeBytes - Their number.
     * @returns Whether the connection may be kept.
     */
    addHeadBytes(connection: Connection, sizeBytes: number): boolean {
        const state = this.states.get(connection);
        if (state === undefined) {
            return false;
        }
        state.headBytes += sizeBytes;
        this.totalHeadBytes += sizeBytes;
        return this.makeHeadRoom(connection);
    }

    /**
     * Records the memory of bytes that were read and are not parsed yet.
     *
     * @param connection - Where they arrived.
     * @param sizeBytes - All that wait on this connection.
     * @returns Whether they may be kept.
     */
    setWaitingBytes(connection: Connection, sizeBytes: number): boolean {
        const state = this.states.get(connection);
        if (state === undefined || state.waitingBytes === sizeBytes) {
            return state !== undefined || sizeBytes === 0;
        }
        const hasGrown = sizeBytes > state.waitingBytes;
        this.totalWaitingBytes += sizeBytes - state.waitingBytes;
        state.waitingBytes = sizeBytes;
        if (!hasGrown) {
            return true;
        }
        return this.totalWaitingBytes <= this.limits.maxHeadBytes * WAITING_FRACTION && this.makeHeadRoom(connection);
    }

    /**
     * @param connection - A connection.
     * @returns Bytes of the head that is arriving on it.
     */
    getHeadBytes(connection: Connection): number {
        return this.states.get(connection)?.headBytes ?? 0;
    }

    /**
     * Records that a head is complete.
     *
     * @param connection - Where it arrived.
     */
    endHead(connection: Connection): void {
        const state = this.states.get(connection);
        if (state !== undefined) {
            this.totalHeadBytes -= state.headBytes;
            state.headBytes = 0;
            this.recordProgress(connection, state);
        }
    }

    /**
     * Records bytes of a body, without those that only frame it.
     *
     * @param connection - Where they arrived.
     * @param sizeBytes - Their number.
     */
    addUsefulBytes(connection: Connection, sizeBytes: number): void {
        const state = this.states.get(connection);
        if (state === undefined) {
            return;
        }
        state.usefulBytes += sizeBytes;
        if (state.usefulBytes >= PROGRESS_BYTES) {
            this.recordProgress(connection, state);
        }
    }

    /**
     * Protects a connection while there is a complete request without a complete response.
     *
     * @param connection - The connection.
     * @param isBusy - Whether there is one.
     */
    setBusy(connection: Connection, isBusy: boolean): void {
        const state = this.states.get(connection);
        if (state !== undefined) {
            state.hasBeenServed ||= state.isBusy;
            state.isBusy = isBusy;
            this.recordProgress(connection, state);
        }
    }

    /**
     * Forgets a connection that has been closed.
     *
     * @param connection - The connection.
     */
    remove(connection: Connection): void {
        const { headBytes = 0, waitingBytes = 0 } = this.states.get(connection) ?? {};
        this.totalHeadBytes -= headBytes;
        this.totalWaitingBytes -= waitingBytes;
        this.states.delete(connection);
    }

    /** @returns Whether there is memory for what the connection has sent. */
    private makeHeadRoom(connection: Connection): boolean {
        while (this.headBytes > this.limits.maxHeadBytes) {
            if (!this.closeLeastUseful(connection, true)) {
                return false;
            }
        }
        return true;
    }

    private recordProgress(connection: Connection, state: ConnectionState): void {
        state.usefulBytes = 0;
        state.progressAtMs = now();
        this.states.delete(connection);
        this.states.set(connection, state);
    }

    /** @returns Whether there was a connection that may be closed. */
    private closeLeastUseful(except?: Connection, hasHead = false): boolean {
        let idle: Connection | undefined;
        for (const [connection, state] of this.states) {
            const stallMs = now() - state.progressAtMs;
            if (stallMs < MIN_STALL_MS) {
                break;
            }
            if (state.isBusy || connection === except || (hasHead && state.headBytes === 0)) {
                continue;
            }
            if (!state.hasBeenServed || state.headBytes > 0) {
                this.closeFor(connection);
                return true;
            }
            idle ??= stallMs >= MIN_IDLE_MS ? connection : undefined;
        }
        if (idle === undefined) {
            return false;
        }
        this.closeFor(idle);
        return true;
    }

    private closeFor(connection: Connection): void {
        this.remove(connection);
        this.close(connection);
    }
}

function now(): number {
    return performance.now();
}
