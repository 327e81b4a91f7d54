import { type Logger, startLoop, withJitter } from "@heatherline/common";
import type { ObjectStore, StoredObject, StoreError, StoreEvent } from "@heatherline/store";
import { getElapsedMs, newTimestamp, type Timestamp } from "./ageTracker";

/** Result of a read of the objects of one kind. */
export interface KindReading {
    /** All objects of the kind, by name. */
    readonly objects: ReadonlyMap<string, StoredObject>;
    readonly revision: number;
    /** Time since the read began, or since a watch without events reached its time limit, in milliseconds. */
    readonly ageMs: number;
    /** How long the store was unreachable before this read, in milliseconds; 0 if it was reachable. */
    readonly outageMs: number;
    /** Consecutive failed reads before this one. */
    readonly previousFailures: number;
}

/** Objects of one kind, kept up to date by listing and watching. */
export class KindFeed {
    private readonly objects = new Map<string, StoredObject>();
    private revision = 0;
    private consecutiveFailures = 0;
    /** Whether the last read was a watch without events, which the store replies to when its time limit has passed. */
    private isWatchIdle = false;
    private isStoreReachable = true;
    private lastSuccessAt: Timestamp = newTimestamp();
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param store - The store.
     * @param kind - Kind of the objects.
     * @param watchTimeoutMs - Time limit of one watch.
     * @param pauseMs - Pause between two reads.
     * @param hooks - Called after reads and failures.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly kind: string,
        private readonly watchTimeoutMs: number,
        private readonly pauseMs: number,
        private readonly hooks: {
            readonly onRead: (reading: KindReading) => void;
            readonly onFailure: (error: StoreError) => void;
            /** @returns Delay before the next try after so many consecutive failures, in milliseconds. */
            readonly getRetryDelayMs: (failures: number) => number;
        },
        private readonly logger: Logger,
    ) {}

    /** Starts reading. */
    start(): void {
        if (this.stopLoop === undefined) {
            this.lastSuccessAt = newTimestamp();
            this.stopLoop = this.startReading();
        }
    }

    /**
     * Retries at once if the last read failed.
     *
     * @param failures - Consecutive failures of another kind's feed, which count for this one, too.
     */
    retry(failures: number): void {
        if (this.stopLoop !== undefined && this.consecutiveFailures > 0) {
            void this.stopLoop();
            this.consecutiveFailures = Math.max(this.consecutiveFailures, failures);
            this.stopLoop = this.startReading();
        }
    }

    /** Stops and ignores the result of a read in flight. The next start begins with a list. */
    stop(): void {
        void this.stopLoop?.();
        this.stopLoop = undefined;
        this.revision = 0;
    }

    private startReading(): () => Promise<void> {
        return startLoop(() => this.getPauseMs(), signal => this.readSafely(signal));
    }

    /** What was read may be anything; if it can't be applied, the objects are listed again, and others can be read. */
    private async readSafely(signal: AbortSignal): Promise<void> {
        try {
            await this.readOnce(signal);
        }
        catch (error) {
            this.logger.error({ event: "feed-failed", kind: this.kind, error: String(error) });
            this.consecutiveFailures += 1;
            this.revision = 0;
        }
    }

    private async readOnce(signal: AbortSignal): Promise<void> {
        const sentAtMs = performance.now();
        const sentAtWallMs = Date.now();
        const failure = this.revision === 0 ? await this.list(signal) : await this.watch(signal);
        if (signal.aborted) {
            return;
        }
        if (failure === undefined) {
            const outageMs = this.getOutageMs();
            const previousFailures = this.consecutiveFailures;
            this.consecutiveFailures = 0;
            this.lastSuccessAt = newTimestamp();
            this.reportReachability(true, "");
            const durationMs = Math.max(performance.now() - sentAtMs, Date.now() - sentAtWallMs);
            const ageMs = this.isWatchIdle && durationMs >= this.watchTimeoutMs
                ? durationMs - this.watchTimeoutMs
                : durationMs;
            this.hooks.onRead({
                objects: this.objects,
                revision: this.revision,
                ageMs,
                outageMs,
                previousFailures,
            });
            return;
        }
        if (failure.kind === "compacted") {
            this.revision = 0;
            return;
        }
        this.consecutiveFailures += 1;
        this.reportReachability(false, failure.toString());
        this.hooks.onFailure(failure);
        // The store may have changed and compacted its history while the connection was broken, so the next read lists.
        this.revision = 0;
    }

    private async list(signal: AbortSignal): Promise<StoreError | undefined> {
        const listing = await this.store.list(this.kind);
        if (listing.isErr()) {
            return listing.error;
        }
        if (!signal.aborted) {
            this.objects.clear();
            for (const object of listing.value.objects) {
                this.objects.set(getName(object.path), object);
            }
            this.revision = listing.value.revision;
            this.isWatchIdle = false;
        }
        return undefined;
    }

    private async watch(signal: AbortSignal): Promise<StoreError | undefined> {
        const watched = await this.store.watch(this.kind, this.revision, this.watchTimeoutMs);
        if (watched.isErr()) {
            return watched.error;
        }
        if (!signal.aborted) {
            this.isWatchIdle = watched.value.events.length === 0;
            watched.value.events.forEach(event => this.apply(event));
            this.revision = Math.max(this.revision, watched.value.revision);
        }
        return undefined;
    }

    private apply({ path, version, value, ...metadata }: StoreEvent): void {
        const name = getName(path);
        if (value === undefined) {
            this.objects.delete(name);
        }
        else if (version >= (this.objects.get(name)?.version ?? 0)) {
            this.objects.set(name, { path, version, value, ...metadata });
        }
    }

    /** One failed call proves an outage no longer than its time limit: perhaps only its response was lost. */
    private getOutageMs(): number {
        if (this.consecutiveFailures === 0) {
            return 0;
        }
        const sinceSuccessMs = getElapsedMs(this.lastSuccessAt);
        return this.consecutiveFailures === 1 ? Math.min(sinceSuccessMs, this.watchTimeoutMs) : sinceSuccessMs;
    }

    private getPauseMs(): number {
        return this.consecutiveFailures === 0
            ? this.pauseMs
            : withJitter(this.hooks.getRetryDelayMs(this.consecutiveFailures));
    }

    private reportReachability(isReachable: boolean, cause: string): void {
        if (isReachable !== this.isStoreReachable) {
            this.isStoreReachable = isReachable;
            this.logger.info({ event: isReachable ? "store-regained" : "store-lost", kind: this.kind, cause });
        }
    }
}

function getName(path: string): string {
    return path.slice(path.indexOf("/") + 1);
}
