import { type BlockedPrompt, type Logger, withJitter } from "@heatherline/common";
import type { ObjectStore, StoredObject } from "@heatherline/store";
import type { Result } from "neverthrow";
import type { FleetView } from "./fleetView";
import { KindFeed, type KindReading } from "./kindFeed";
import type { StoreCheck } from "./messages";
import { RolloutOrderReader } from "./rollouts/rolloutOrderReader";
import { decodeRolloutRecord, ROLLOUT_RECORD_KIND } from "./rollouts/rolloutRecords";
import type { RolloutSchema } from "./rollouts/rolloutSchema";
import type { EndpointEntry, MemberEntry, RoutingConfig } from "./types";

/** How the platform stores the objects that this system reads. */
export interface StateSchema {
    readonly configKind: string;
    readonly configName: string;
    readonly endpointKind: string;
    readonly evacuationKind: string;
    readonly retirementKind: string;
    /** Status of a retirement object after which the platform may remove the instance. */
    readonly retiredStatus: Record<string, unknown>;
    /** Absent where roll-outs are off; their objects are not read then. */
    readonly rollouts?: RolloutSchema | undefined;
    /**
     * @param value - Content of the configuration object.
     * @returns The configuration, or why it is invalid.
     */
    decodeConfig(value: unknown): Result<RoutingConfig, string>;
    /**
     * @param endpointId - Name of the object.
     * @param value - Its content.
     * @returns The endpoint, or `undefined` if the object describes none that can be used.
     */
    decodeEndpoint(endpointId: string, value: unknown): EndpointEntry | undefined;
}

/** Kind of the objects in which instances register. */
export const MEMBER_KIND = "heatherline-instances";
/** Kind of the objects that describe batch jobs. */
export const JOB_KIND = "heatherline-jobs";
/** Kind of the objects that say where streams began, and which versions may have begun them. */
export const STREAM_KIND = "heatherline-streams";
/** Kind of the objects that describe blocked prompts. */
export const BLOCKED_PROMPT_KIND = "heatherline-blocked-prompts";

/** The configuration must be confirmed as current every second, so its watch lasts no longer. */
const CONFIG_WATCH_MS = 1_000;
/**
 * A watch confirms nothing until it returns, and one that the store has dropped is noticed only when its time limit has
 * passed. The removal of an endpoint must be known within two seconds, including a list and a second try.
 */
const ENDPOINT_WATCH_MS = 700;
const WATCH_MS = 2_000;
const SLOW_WATCH_MS = 5_000;
/** Jobs change in quick succession, so watches are spaced; those that must know of a change at once get an RPC. */
const JOB_PAUSE_MS = 500;
/** Instances register in quick succession when many start, and changes are needed less soon than they come. */
const MEMBER_PAUSE_MS = 200;
const FIRST_RETRY_MS = 120;
const MAX_RETRY_MS = 800;
/** Without a successful read for this long the store counts as down, in milliseconds. */
const STORE_DOWN_MS = 1_500;
/** Retry delay of parked feeds, which wait for the configuration feed to find the store up again, in milliseconds. */
const PARKED_RETRY_MS = 6_000;

/** Retry delay of an instance that another one sends the state, while neither reaches the store; in milliseconds. */
const FOLLOWER_RETRY_MS = 1_200;

const MAX_PORT = 65_535;

/** How much an instance reads from the store itself, rather than from the coordinator's updates. */
export type FeedScope = "nothing" | "essentials" | "everything";

/** Keeps the fleet view up to date from the store, as far as no other instance does it for this one. */
export class StateFeed {
    private readonly essentialFeeds: readonly KindFeed[];
    private readonly coordinatorFeeds: readonly KindFeed[];
    private scope: FeedScope = "nothing";
    private lastReadAtMs = -Infinity;
    private lastFailureAtMs = -Infinity;
    private hasParkedFeeds = false;
    private readonly orderReader: RolloutOrderReader | undefined;
    private isReadingOrders = false;

    /**
     * @param store - The store.
     * @param schema - How the platform stores its objects.
     * @param view - Fleet view to update.
     * @param listeners - Receive objects that only the coordinator handles.
     * @param isFollower - Whether another instance sends this one the state as soon as it reaches the store.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly schema: StateSchema,
        private readonly view: FleetView,
        listeners: {
            readonly onRetirements: (names: readonly string[]) => void;
            readonly onJobs: (objects: ReadonlyMap<string, StoredObject>) => void;
            /** Receives the orders of roll-outs, also those that are invalid. */
            readonly onRollouts?: (objects: ReadonlyMap<string, StoredObject>) => void;
        },
        isFollower: () => boolean,
        private readonly logger: Logger,
    ) {
        const newFeed = (
            kind: string,
            watchTimeoutMs: number,
            onRead: (reading: KindReading) => void,
            pauseMs = 0,
            getRetryDelayMs = (failures: number) => this.getParkedRetryMs() ?? getBackoffMs(failures),
        ) => new KindFeed(store, kind, watchTimeoutMs, pauseMs, {
            onRead: reading => {
                this.lastReadAtMs = performance.now();
                onRead(reading);
                this.resumeParkedFeeds(reading.previousFailures);
            },
            onFailure: () => {
                this.lastFailureAtMs = performance.now();
            },
            getRetryDelayMs,
        }, logger);
        const getConfigRetryMs = (failures: number) =>
            isFollower() ? withJitter(FOLLOWER_RETRY_MS) : getBackoffMs(failures);
        const { rollouts } = schema;
        this.orderReader = rollouts === undefined ? undefined : new RolloutOrderReader(rollouts, view, logger);
        const rolloutFeeds = rollouts === undefined ? [] : [
            newFeed(rollouts.kind, WATCH_MS, ({ objects, revision }) => {
                this.orderReader?.apply(objects, revision);
                listeners.onRollouts?.(objects);
            }),
            newFeed(
                ROLLOUT_RECORD_KIND,
                WATCH_MS,
                ({ objects, revision }) =>
                    view.applyRolloutRecords({
                        revision,
                        value: [...objects.values()].flatMap(object => decodeRolloutRecord(object) ?? []),
                    }),
            ),
        ];
        this.essentialFeeds = [
            newFeed(schema.configKind, CONFIG_WATCH_MS, reading => this.applyConfig(reading), 0, getConfigRetryMs),
            newFeed(
                schema.endpointKind,
                ENDPOINT_WATCH_MS,
                reading => this.applyEndpoints(reading),
            ),
            newFeed(
                schema.evacuationKind,
                WATCH_MS,
                ({ objects, revision }) => view.applyEvacuated({ revision, value: [...objects.keys()] }),
            ),
            ...rolloutFeeds,
        ];
        this.coordinatorFeeds = [
            newFeed(
                MEMBER_KIND,
                SLOW_WATCH_MS,
                ({ objects, revision }) =>
                    view.applyMembers({ revision, value: [...objects.values()].flatMap(decodeMember) }),
                MEMBER_PAUSE_MS,
            ),
            newFeed(
                schema.retirementKind,
                SLOW_WATCH_MS,
                ({ objects }) => listeners.onRetirements([...objects.keys()]),
            ),
            newFeed(
                BLOCKED_PROMPT_KIND,
                SLOW_WATCH_MS,
                ({ objects, revision }) =>
                    view.applyBlockedPrompts({ revision, value: [...objects.values()].flatMap(decodeBlockedPrompt) }),
            ),
            newFeed(JOB_KIND, WATCH_MS, ({ objects }) => listeners.onJobs(objects), JOB_PAUSE_MS),
        ];
    }

    /**
     * Parks a feed while the store is down: until it is up again, only the configuration feed retries often.
     *
     * @returns The retry delay of a parked feed in milliseconds, or `undefined` if the store isn't down.
     */
    private getParkedRetryMs(): number | undefined {
        const isStoreDown = performance.now() - this.lastReadAtMs > STORE_DOWN_MS;
        this.hasParkedFeeds ||= isStoreDown;
        return isStoreDown ? PARKED_RETRY_MS : undefined;
    }

    /** Retries all failed feeds at once when the store is up again. */
    private resumeParkedFeeds(consecutiveFailures: number): void {
        if (this.hasParkedFeeds) {
            this.hasParkedFeeds = false;
            [...this.essentialFeeds, ...this.coordinatorFeeds].forEach(feed => feed.retry(consecutiveFailures));
        }
    }

    /** What this instance's own reads have shown of the store recently; `undefined` if it has not read. */
    get storeCheck(): StoreCheck | undefined {
        const lastCallAtMs = Math.max(this.lastReadAtMs, this.lastFailureAtMs);
        const isRecent = performance.now() - lastCallAtMs < STORE_DOWN_MS;
        return isRecent ? this.isStoreFailing ? "failing" : "reachable" : undefined;
    }

    /** Whether the last call to the store failed. */
    get isStoreFailing(): boolean {
        return this.lastFailureAtMs > this.lastReadAtMs;
    }

    /**
     * @param scope - What to read from the store from now on.
     */
    setScope(scope: FeedScope): void {
        if (scope === this.scope) {
            return;
        }
        this.logger.info({ event: "feed-scope", from: this.scope, to: scope });
        this.scope = scope;
        for (const feed of this.essentialFeeds) {
            setRunning(feed, scope !== "nothing");
        }
        for (const feed of this.coordinatorFeeds) {
            setRunning(feed, scope === "everything");
        }
    }

    /** Reads the registered instances once; later changes come with the coordinator's updates. */
    async readMembers(): Promise<void> {
        const listing = await this.store.list(MEMBER_KIND);
        if (listing.isErr()) {
            this.logger.info({ event: "members-not-read", cause: listing.error.toString() });
            return;
        }
        const { revision, objects } = listing.value;
        this.view.applyMembers({ revision, value: objects.flatMap(decodeMember) });
    }

    /** Reads the blocked prompts once, for an instance that decides about places without a coordinator. */
    async readBlockedPrompts(): Promise<void> {
        const listing = await this.store.list(BLOCKED_PROMPT_KIND);
        if (listing.isErr()) {
            this.logger.info({ event: "blocked-prompts-not-read", cause: listing.error.toString() });
            return;
        }
        const { revision, objects } = listing.value;
        this.view.applyBlockedPrompts({ revision, value: objects.flatMap(decodeBlockedPrompt) });
    }

    /**
     * Reads the orders of roll-outs once.
     *
     * @returns Whether they were read.
     */
    async readRolloutOrders(): Promise<boolean> {
        const { rollouts } = this.schema;
        const listing = rollouts === undefined ? undefined : await this.store.list(rollouts.kind);
        if (listing === undefined || listing.isErr()) {
            this.logger.info({ event: "rollout-orders-not-read", cause: listing?.error.toString() ?? "" });
            return false;
        }
        const { revision, objects } = listing.value;
        this.orderReader?.apply(new Map(objects.map(object => [getName(object.path), object])), revision);
        return true;
    }

    /** A watch for orders may last some seconds before it confirms that there are none, so they are listed. */
    private async readAwaitedOrders(): Promise<void> {
        if (this.view.isWaitingForOrders && !this.isReadingOrders) {
            this.isReadingOrders = true;
            await this.readRolloutOrders();
            this.isReadingOrders = false;
        }
    }

    private applyConfig({ objects, ageMs }: KindReading): void {
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
        this.view.markConfigCurrent(ageMs);
    }

    private applyEndpoints({ objects, revision, ageMs, outageMs }: KindReading): void {
        if (outageMs > 0) {
            this.view.recordStoreRecovery(outageMs);
        }
        const entries: EndpointEntry[] = [];
        for (const [name, object] of objects) {
            const entry = this.schema.decodeEndpoint(name, object.value);
            if (entry !== undefined) {
                entries.push(entry);
            }
        }
        this.view.applyEndpoints({ revision, value: entries });
        void this.readAwaitedOrders();
        this.view.markEndpointsCurrent(ageMs);
    }
}

function getBackoffMs(failures: number): number {
    return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (failures - 1));
}

function getName(path: string): string {
    return path.slice(path.indexOf("/") + 1);
}

function setRunning(feed: KindFeed, isRunning: boolean): void {
    if (isRunning) {
        feed.start();
    }
    else {
        feed.stop();
    }
}

function decodeMember({ path, value }: StoredObject): MemberEntry[] {
    const { instanceId, incarnation, host, rpcPort, dataCentre, processorShare, canRunSplitItems } = value;
    const isComplete = typeof instanceId === "string" && typeof incarnation === "string" && typeof host === "string"
        && isPort(rpcPort) && typeof dataCentre === "string" && Number.isFinite(processorShare)
        && path === `${MEMBER_KIND}/${instanceId}`;
    return isComplete
        ? [{
            instanceId,
            incarnation,
            host,
            rpcPort,
            dataCentre,
            processorShare: Number(processorShare),
            ...canRunSplitItems === true ? { canRunSplitItems } : {},
        }]
        : [];
}

function isPort(value: unknown): value is number {
    return typeof value === "number" && Number.isInteger(value) && value > 0 && value <= MAX_PORT;
}

function decodeBlockedPrompt({ path, value }: StoredObject): BlockedPrompt[] {
    const { parts, trials, laterCrashes, blockedAt } = value;
    const isComplete = Array.isArray(parts) && parts.length > 0 && parts.every(part => typeof part === "string")
        && [trials, laterCrashes, blockedAt].every(Number.isFinite);
    const blockId = path.slice(path.indexOf("/") + 1);
    return isComplete
        ? [{
            blockId,
            parts,
            trials: Number(trials),
            laterCrashes: Number(laterCrashes),
            blockedAt: Number(blockedAt),
        }]
        : [];
}
