import type { CrashRecord, CrashTracker } from "./crashTracker";
import type { SyncOutbox } from "./syncOutbox";

/** What a {@link CrashExchange} depends on. */
export interface CrashExchangeDependencies {
    readonly crashTracker: CrashTracker;
    readonly outbox: SyncOutbox;
    /** @returns Ids of the instances that follow whoever decides. */
    readonly getFollowerIds: () => readonly string[];
}

/**
 * Spreads which requests are held back since endpoints crashed, so that all instances know them and this outlasts whoever
 * decides.
 */
export class CrashExchange {
    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: CrashExchangeDependencies) {
        deps.crashTracker.addListener(this.spread);
    }

    /** Ends the exchange. */
    stop(): void {
        this.deps.crashTracker.removeListener(this.spread);
    }

    /**
     * Takes over what an instance knows that begins to follow, and tells it of the requests that are held back.
     *
     * @param instanceId - The instance.
     * @param reported - What it knows.
     */
    exchange(instanceId: string, reported: readonly CrashRecord[]): void {
        const { crashTracker, outbox } = this.deps;
        reported.forEach(record => crashTracker.adopt(record));
        for (const { fingerprint } of crashTracker.getRecords("held")) {
            outbox.addCrashedRequest(instanceId, fingerprint);
        }
    }

    /**
     * @param fingerprints - Requests.
     * @returns What is known of them now.
     */
    getRecords(fingerprints: ReadonlySet<string>): CrashRecord[] {
        return [...fingerprints].flatMap(fingerprint => this.deps.crashTracker.getRecord(fingerprint) ?? []);
    }

    private readonly spread = ({ fingerprint }: CrashRecord): void => {
        for (const instanceId of this.deps.getFollowerIds()) {
            this.deps.outbox.addCrashedRequest(instanceId, fingerprint);
        }
    };
}
