import type { ClientLimitCause, ClientLimitObserver, Logger } from "@heatherline/common";

const INTERVAL_MS = 5_000;

/** Listener of an instance. */
export type ListenerName = "callers" | "peers" | "readiness" | "metrics";

/** Logs clients that are refused or whose connections are closed, at most one line for each cause in an interval. */
export class ClientLimitReport {
    private readonly counts = new Map<string, { listener: ListenerName; cause: ClientLimitCause; count: number; }>();
    private timer: NodeJS.Timeout | undefined;

    /**
     * @param count - Counts each of them.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly count: (listener: ListenerName, cause: ClientLimitCause) => void,
        private readonly logger: Logger,
    ) {}

    /**
     * @param listener - A listener.
     * @returns What its clients are reported to.
     */
    getObserver(listener: ListenerName): ClientLimitObserver {
        return cause => {
            this.count(listener, cause);
            const key = `${listener} ${cause}`;
            const entry = this.counts.get(key) ?? { listener, cause, count: 0 };
            entry.count += 1;
            this.counts.set(key, entry);
            this.timer ??= setTimeout(() => this.log(), INTERVAL_MS).unref();
        };
    }

    private log(): void {
        this.timer = undefined;
        for (const entry of this.counts.values()) {
            this.logger.info({ event: "client-limit", ...entry });
        }
        this.counts.clear();
    }
}
