import { type Logger, startLoop, withJitter } from "@heatherline/common";
import type { ObjectStore, StoredObject, StoreError, StoreEvent } from "@heatherline/store";
import type { Result } from "neverthrow";
import { getElapsedMs, type Moment, newMoment } from "./freshness";
import type { EndpointEntry, MemberEntry, RoutingConfig } from "./types";
import type { FleetView } from "./view";

/** How the platform keeps what this system reads. */
export interface StateSchema {
    readonly configKind: string;
    readonly configName: string;
    readonly endpointKind: string;
    readonly evacuationKind: string;
    readonly retirementKind: string;
    /** Status of a retirement after which the instance may be removed. */
    readonly retiredStatus: Record<string, unknown>;
    /**
     * @param value - Content of the configuration object.
     * @returns The configuration, or why it can't be read.
     */
    decodeConfig(value: unknown): Result<RoutingConfig, string>;
    /**
     * @param endpointId - Name of the object.
     * @param value - Its content.
     * @returns The endpoint, or `undefined` where it names none that could be used.
     */
    decodeEndpoint(endpointId: string, value: unknown): EndpointEntry | undefined;
}

/** Kind of the objects in which instances register. */
export const MEMBER_KIND = "heatherline-instances";
/** Kind of the objects that describe batch jobs. */
export const JOB_KIND = "heatherline-jobs";

/** The configuration must be known to be current every second, so its watch waits no longer. */
const CONFIG_WAIT_MS = 1_000;
/**
 * A watch that waits proves nothing, and one that the store forgets is noticed only when its time is over: an endpoint
 * that leaves must have been heard of within two seconds, a list and a second try included.
 */
const ENDPOINT_WAIT_MS = 700;
const STATE_WAIT_MS = 2_000;
const SLOW_STATE_WAIT_MS = 5_000;
/** Jobs come and end in quick succession; whoever must know of one at once is told directly. */
const JOB_PAUSE_MS = 500;
const FIRST_RETRY_MS = 120;
const MAX_RETRY_MS = 800;
/** Without any read for this long the store is taken for away, in milliseconds. */
const AWAY_MS = 1_500;
/** While one kind of object finds out when the store is back, the others wait for it, but no longer; in milliseconds. */
const PARKED_RETRY_MS = 6_000;

/** What a read of one kind of object has shown. */
export interface KindReading {
    /** All objects of the kind, by name. */
    readonly objects: ReadonlyMap<string, StoredObject>;
    readonly revision: number;
    /** How long ago the read began, or the wait of a quiet watch ended, in milliseconds. */
    readonly ageMs: number;
    /** How long the store was out of reach before this read; 0 if it was not, in milliseconds. */
    readonly outageMs: number;
    /** Failures in a row before this read. */
    readonly failuresBefore: number;
}

/** Objects of one kind, kept up to date by listing and watching. */
export class KindFeed {
    private readonly objects = new Map<string, StoredObject>();
    private revision = 0;
    private failures = 0;
    /** Whether the last read was a watch that waited its whole time for nothing, and so was answered at its end. */
    private isQuiet = false;
    private hadContact = true;
    private lastContactAt: Moment = newMoment();
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param store - The store.
     * @param kind - Kind of the objects.
     * @param waitMs - Longest wait of one watch.
     * @param pauseMs - Pause between two reads.
     * @param hooks - What to call after a read, and after a failure.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly kind: string,
        private readonly waitMs: number,
        private readonly pauseMs: number,
        private readonly hooks: {
            readonly onRead: (reading: KindReading) => void;
            readonly onFailure: (error: StoreError) => void;
            /** @returns Pause after so many failures in a row, in milliseconds. */
            readonly getRetryMs: (failures: number) => number;
        },
        private readonly logger: Logger,
    ) {}

    /** Starts reading. */
    start(): void {
        if (this.stopLoop === undefined) {
            this.lastContactAt = newMoment();
            this.stopLoop = this.startReading();
        }
    }

    /**
     * Reads at once, if the last read failed.
     *
     * @param failures - Failures in a row that another kind has had, which count for this one, too.
     */
    retry(failures: number): void {
        if (this.stopLoop !== undefined && this.failures > 0) {
            void this.stopLoop();
            this.failures = Math.max(this.failures, failures);
            this.stopLoop = this.startReading();
        }
    }

    /** Stops; a read that is under way is ignored. The next start lists anew. */
    stop(): void {
        void this.stopLoop?.();
        this.stopLoop = undefined;
        this.revision = 0;
    }

    private startReading(): () => Promise<void> {
        return startLoop(() => this.getPauseMs(), signal => this.readOnce(signal));
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
            const failuresBefore = this.failures;
            this.failures = 0;
            this.lastContactAt = newMoment();
            this.noteContact(true, "");
            const tookMs = Math.max(performance.now() - sentAtMs, Date.now() - sentAtWallMs);
            const ageMs = this.isQuiet && tookMs >= this.waitMs ? tookMs - this.waitMs : tookMs;
            this.hooks.onRead({ objects: this.objects, revision: this.revision, ageMs, outageMs, failuresBefore });
            return;
        }
        if (failure.kind === "compacted") {
            this.revision = 0;
            return;
        }
        this.failures += 1;
        this.noteContact(false, failure.toString());
        this.hooks.onFailure(failure);
        // A connection that broke may have hidden changes together with the history that would show them.
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
            this.isQuiet = false;
        }
        return undefined;
    }

    private async watch(signal: AbortSignal): Promise<StoreError | undefined> {
        const batch = await this.store.watch(this.kind, this.revision, this.waitMs);
        if (batch.isErr()) {
            return batch.error;
        }
        if (!signal.aborted) {
            this.isQuiet = batch.value.events.length === 0;
            batch.value.events.forEach(event => this.apply(event));
            this.revision = Math.max(this.revision, batch.value.revision);
        }
        return undefined;
    }

    private apply({ path, version, value }: StoreEvent): void {
        const name = getName(path);
        if (value === undefined) {
            this.objects.delete(name);
        }
        else if (version >= (this.objects.get(name)?.version ?? 0)) {
            this.objects.set(name, { path, version, value });
        }
    }

    /** One failed call shows no longer an outage than the call may wait: its answer may just be lost. */
    private getOutageMs(): number {
        if (this.failures === 0) {
            return 0;
        }
        const withoutContactMs = getElapsedMs(this.lastContactAt);
        return this.failures === 1 ? Math.min(withoutContactMs, this.waitMs) : withoutContactMs;
    }

    private getPauseMs(): number {
        return this.failures === 0
            ? this.pauseMs
            : withJitter(this.hooks.getRetryMs(this.failures));
    }

    private noteContact(hasContact: boolean, cause: string): void {
        if (hasContact !== this.hadContact) {
            this.hadContact = hasContact;
            this.logger.info({ event: hasContact ? "store-regained" : "store-lost", kind: this.kind, cause });
        }
    }
}

/** How much of the store an instance reads by itself. */
export type FeedScope = "nothing" | "essentials" | "everything";

/** Keeps the view up to date from the store, as far as nobody else does. */
export class StateFeed {
    private readonly essentials: readonly KindFeed[];
    private readonly extras: readonly KindFeed[];
    private scope: FeedScope = "nothing";
    private lastReadAtMs = -Infinity;
    private lastFailureAtMs = -Infinity;
    private hasParked = false;

    /**
     * @param store - The store.
     * @param schema - How the platform keeps its objects.
     * @param view - Gets what is read.
     * @param listeners - Get objects that only the coordinator handles.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly schema: StateSchema,
        private readonly view: FleetView,
        listeners: {
            readonly onRetirements: (names: readonly string[]) => void;
            readonly onJobs: (objects: ReadonlyMap<string, StoredObject>) => void;
        },
        private readonly logger: Logger,
    ) {
        const newFeed = (
            kind: string,
            waitMs: number,
            onRead: (reading: KindReading) => void,
            pauseMs = 0,
            getRetryMs = (failures: number) => this.park() ?? getBackoffMs(failures),
        ) => new KindFeed(store, kind, waitMs, pauseMs, {
            onRead: reading => {
                this.lastReadAtMs = performance.now();
                onRead(reading);
                this.unpark(reading.failuresBefore);
            },
            onFailure: () => {
                this.lastFailureAtMs = performance.now();
            },
            getRetryMs,
        }, logger);
        this.essentials = [
            newFeed(schema.configKind, CONFIG_WAIT_MS, reading => this.readConfig(reading), 0, getBackoffMs),
            newFeed(
                schema.endpointKind,
                ENDPOINT_WAIT_MS,
                reading => this.readEndpoints(reading),
            ),
            newFeed(
                schema.evacuationKind,
                STATE_WAIT_MS,
                ({ objects, revision }) => view.applyEvacuated({ revision, value: [...objects.keys()] }),
            ),
        ];
        this.extras = [
            newFeed(
                MEMBER_KIND,
                SLOW_STATE_WAIT_MS,
                ({ objects, revision }) =>
                    view.applyMembers({ revision, value: [...objects.values()].flatMap(readMember) }),
            ),
            newFeed(
                schema.retirementKind,
                SLOW_STATE_WAIT_MS,
                ({ objects }) => listeners.onRetirements([...objects.keys()]),
            ),
            newFeed(JOB_KIND, STATE_WAIT_MS, ({ objects }) => listeners.onJobs(objects), JOB_PAUSE_MS),
        ];
    }

    /** @returns The pause of a kind that leaves it to the configuration to find out when the store is back. */
    private park(): number | undefined {
        const isAway = performance.now() - this.lastReadAtMs > AWAY_MS;
        this.hasParked ||= isAway;
        return isAway ? PARKED_RETRY_MS : undefined;
    }

    /** The store is back. */
    private unpark(failures: number): void {
        if (this.hasParked) {
            this.hasParked = false;
            [...this.essentials, ...this.extras].forEach(feed => feed.retry(failures));
        }
    }

    /** Whether the last call to the store failed. */
    get isStoreFailing(): boolean {
        return this.lastFailureAtMs > this.lastReadAtMs;
    }

    /**
     * @param scope - What to read from now on.
     */
    setScope(scope: FeedScope): void {
        if (scope === this.scope) {
            return;
        }
        this.logger.info({ event: "feed-scope", from: this.scope, to: scope });
        this.scope = scope;
        for (const feed of this.essentials) {
            setRunning(feed, scope !== "nothing");
        }
        for (const feed of this.extras) {
            setRunning(feed, scope === "everything");
        }
    }

    /** Reads once who is registered; changes are told by the coordinator. */
    async readMembers(): Promise<void> {
        const listing = await this.store.list(MEMBER_KIND);
        if (listing.isErr()) {
            this.logger.info({ event: "members-not-read", cause: listing.error.toString() });
            return;
        }
        const { revision, objects } = listing.value;
        this.view.applyMembers({ revision, value: objects.flatMap(readMember) });
    }

    private readConfig({ objects, ageMs }: KindReading): void {
        const object = objects.get(this.schema.configName);
        if (object === undefined) {
            return;
        }
        if (object.version > this.view.getRevisions().config) {
            const decoded = this.schema.decodeConfig(object.value);
            if (decoded.isErr()) {
                this.logger.error({ event: "config-unreadable", revision: object.version, reason: decoded.error });
                return;
            }
            this.logger.info({ event: "config-read", version: decoded.value.version, revision: object.version, ageMs });
            this.view.applyConfig({ revision: object.version, value: decoded.value });
        }
        this.view.noteConfigCurrent(ageMs);
    }

    private readEndpoints({ objects, revision, outageMs }: KindReading): void {
        if (outageMs > 0) {
            this.view.noteStoreReturn(outageMs);
        }
        const entries: EndpointEntry[] = [];
        for (const [name, object] of objects) {
            const entry = this.schema.decodeEndpoint(name, object.value);
            if (entry !== undefined) {
                entries.push(entry);
            }
        }
        this.view.applyEndpoints({ revision, value: entries });
    }
}

function getBackoffMs(failures: number): number {
    return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (failures - 1));
}

function setRunning(feed: KindFeed, isRunning: boolean): void {
    if (isRunning) {
        feed.start();
    }
    else {
        feed.stop();
    }
}

function getName(path: string): string {
    return path.slice(path.indexOf("/") + 1);
}

function readMember({ value }: StoredObject): MemberEntry[] {
    const { instanceId, incarnation, host, rpcPort, dataCentre, processorShare } = value;
    const isComplete = typeof instanceId === "string" && typeof incarnation === "string" && typeof host === "string"
        && typeof rpcPort === "number" && typeof dataCentre === "string"
        && typeof processorShare === "number";
    return isComplete ? [{ instanceId, incarnation, host, rpcPort, dataCentre, processorShare }] : [];
}
