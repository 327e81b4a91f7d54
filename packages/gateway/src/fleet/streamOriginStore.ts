import { type Logger, sleep, withJitter } from "@heatherline/common";
import { type FleetView, type ServiceVersions, STREAM_KIND, type StreamOriginReport } from "@heatherline/fleet";
import type { ObjectStore, StoredObject, StoredValue } from "@heatherline/store";
import { ObjectSizeLimit } from "../objectSize";
import { countStreams, PendingStreams } from "./pendingStreams";

const WRITE_INTERVAL_MS = 250;
/** Delay after a call that failed; doubles with each further one, since the store may be down. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;
/** Objects that are overwritten in turn; more only where streams last long. */
const MIN_RING_SIZE = 128;
const MAX_RING_SIZE = 1_024;
/** Limit of the streams in one object, which keeps it far below the largest size that the store takes. */
const MAX_OBJECT_BYTES = 500_000;
/** A single stream is not written if the store rejects it, so the limit may shrink until objects hold one. */
const MIN_OBJECT_BYTES = 1;

/**
 * How a write ended.
 *
 * - `rejected`: the store doesn't accept the object, however often it is written.
 * - `failed`: the store could not be reached, or another granter has written the object; it is to be written again.
 */
type WriteOutcome = "written" | "rejected" | "failed";

/** Who grants places for streams, and knows where they run. */
export interface StreamGranter {
    /** @param reports - Where streams began. */
    adoptStreams(reports: readonly StreamOriginReport[]): void;
    /** @returns Where recent streams began. */
    getStreams(): readonly StreamOriginReport[];
}

/**
 * Keeps in the store where streams began, for the time after all instances were killed at once. Which versions serve is
 * always kept, and written when it changes. Single streams are written only while several versions of their service may
 * have begun them, together a few times a second.
 */
export class StreamOriginStore {
    private readonly versionByPath = new Map<string, number>();
    private readonly writtenVersions = new Map<string, string>();
    /** Services of which several versions may have begun streams. */
    private mixedServices: ReadonlySet<string> = new Set();
    private readonly pendingStreams = new PendingStreams();
    private readonly sizeLimit = new ObjectSizeLimit(MAX_OBJECT_BYTES, MIN_OBJECT_BYTES);
    private granter: StreamGranter | undefined;
    private timer: NodeJS.Timeout | undefined;
    private isLoaded = false;
    private isWriting = false;
    /** Consecutive writes that failed. */
    private failures = 0;
    private retryAtMs = -Infinity;

    /**
     * @param store - The store.
     * @param view - Fleet view.
     * @param name - Distinguishes the objects of granters that may write at the same time.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly view: FleetView,
        private readonly name: string,
        private readonly logger: Logger,
    ) {}

    /**
     * Reads what is stored, and writes what changes from now on.
     *
     * @param granter - Who grants places from now on.
     */
    start(granter: StreamGranter): void {
        this.stop();
        this.granter = granter;
        this.isLoaded = false;
        this.mixedServices = new Set();
        void this.loadAndWrite(granter);
    }

    /** Stops writing. */
    stop(): void {
        clearInterval(this.timer);
        this.granter = undefined;
        this.pendingStreams.replace([]);
    }

    /**
     * @param report - Streams, and where they run.
     */
    add(report: StreamOriginReport): void {
        this.pendingStreams.add(report);
    }

    /** Number of streams that are yet to be written. */
    get pendingCount(): number {
        return this.pendingStreams.count;
    }

    private async loadAndWrite(granter: StreamGranter): Promise<void> {
        for (let failures = 0; this.granter === granter && !this.isLoaded; failures += 1) {
            this.isLoaded = await this.load(granter);
            if (!this.isLoaded) {
                this.dropOutdated();
                await sleep(getRetryDelayMs(failures));
            }
        }
        if (this.granter === granter) {
            this.timer = setInterval(() => void this.write(), WRITE_INTERVAL_MS).unref();
            void this.write();
        }
    }

    private async load(granter: StreamGranter): Promise<boolean> {
        const listing = await this.store.list(STREAM_KIND);
        if (listing.isErr()) {
            this.logger.info({ event: "streams-not-read", cause: listing.error.toString() });
            return false;
        }
        const { objects } = listing.value;
        for (const { path, version } of objects) {
            this.versionByPath.set(path, version);
        }
        const streams = objects.flatMap(object => this.decodeStreams(object));
        granter.adoptStreams(streams);
        this.view.softwareVersions.adopt(objects.flatMap(decodeVersions));
        this.logger.info({
            event: "streams-read",
            objects: objects.length,
            streams: countStreams(streams),
        });
        return true;
    }

    private decodeStreams({ value: { writtenAt, streams } }: StoredObject): StreamOriginReport[] {
        const isRecent = typeof writtenAt === "number" &&
            Date.now() - writtenAt < 2 * this.view.softwareVersions.retentionMs;
        return isRecent && Array.isArray(streams) ? streams.filter(isStreamOriginReport) : [];
    }

    private async write(): Promise<void> {
        if (this.isWriting || this.isRetryDelayed) {
            return;
        }
        this.isWriting = true;
        try {
            await this.writeVersions();
            if (!this.isRetryDelayed) {
                await this.writeStreams();
            }
        }
        finally {
            this.isWriting = false;
        }
    }

    private get isRetryDelayed(): boolean {
        return performance.now() < this.retryAtMs;
    }

    private async writeVersions(): Promise<void> {
        for (const versions of this.view.softwareVersions.getAll()) {
            const text = JSON.stringify(versions);
            const path = `${STREAM_KIND}/versions.${versions.service}`;
            if (this.writtenVersions.get(versions.service) === text) {
                continue;
            }
            const outcome = await this.put(path, { ...versions });
            if (outcome !== "failed") {
                this.writtenVersions.set(versions.service, text);
                this.logger.info({ event: "versions-stored", outcome, ...versions });
            }
        }
    }

    private async writeStreams(): Promise<void> {
        this.takeUpMixedServices();
        const streams = this.pendingStreams.take(this.sizeLimit.maxBytes);
        if (streams.length === 0) {
            return;
        }
        const outcome = await this.put(this.getPath(), { writtenAt: Date.now(), streams });
        if (outcome === "failed") {
            this.pendingStreams.putBack(streams);
            this.dropOutdated();
        }
        if (outcome === "rejected") {
            this.handleRejection(streams);
        }
    }

    /** Streams that the store doesn't accept in one object are written in smaller ones; a single one can't be written. */
    private handleRejection(streams: readonly StreamOriginReport[]): void {
        const count = countStreams(streams);
        this.logger.warn({ event: "streams-rejected", count, limitBytes: this.sizeLimit.maxBytes });
        if (count > 1) {
            this.pendingStreams.putBack(streams);
            this.sizeLimit.recordRejected();
        }
        this.dropOutdated();
    }

    /** The streams that run when a second version appears were begun before it, and are written, too. */
    private takeUpMixedServices(): void {
        const mixed = new Set(
            this.view.softwareVersions.getAll().filter(({ softwareVersions }) => softwareVersions.length > 1)
                .map(({ service }) => service),
        );
        const isNew = (service: string) => mixed.has(service) && !this.mixedServices.has(service);
        const reports = [...mixed].some(isNew) ? this.granter?.getStreams() ?? [] : [];
        this.pendingStreams.keepServices(service => mixed.has(service) && !isNew(service));
        reports.filter(({ service }) => isNew(service)).forEach(report => this.pendingStreams.add(report));
        this.mixedServices = mixed;
    }

    /** While the store can't be written, or rejects what is written, no more is kept than the granter itself remembers. */
    private dropOutdated(): void {
        const known = this.granter?.getStreams() ?? [];
        if (this.pendingStreams.count > countStreams(known)) {
            this.pendingStreams.replace(known);
        }
    }

    private getPath(): string {
        const { retentionMs } = this.view.softwareVersions;
        const size = Math.min(MAX_RING_SIZE, Math.max(MIN_RING_SIZE, Math.ceil(2 * retentionMs / WRITE_INTERVAL_MS)));
        return `${STREAM_KIND}/begun.${this.name}.${Math.floor(Date.now() / WRITE_INTERVAL_MS) % size}`;
    }

    private async put(path: string, value: StoredValue): Promise<WriteOutcome> {
        const written = await this.store.put(path, value, this.versionByPath.get(path) ?? 0);
        if (written.isOk()) {
            this.versionByPath.set(path, written.value);
            this.failures = 0;
            return "written";
        }
        this.logger.info({ event: "streams-not-stored", path, cause: written.error.toString() });
        if (written.error.kind === "rejected") {
            this.failures = 0;
            return "rejected";
        }
        this.retryAtMs = performance.now() + getRetryDelayMs(this.failures);
        this.failures += 1;
        // Another granter has written it, or this one has without a response; the next try uses its version.
        if (written.error.kind === "conflict" || written.error.kind === "unknown") {
            const current = await this.store.get(path);
            if (current.isOk()) {
                this.versionByPath.set(path, current.value?.version ?? 0);
            }
        }
        return "failed";
    }
}

function getRetryDelayMs(failures: number): number {
    return withJitter(Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures));
}

/** Earlier releases store no joined versions. */
function decodeVersions(
    { value: { service, softwareVersions, joinedVersions = [] } }: StoredObject,
): ServiceVersions[] {
    return typeof service === "string" && isStringArray(softwareVersions) && isStringArray(joinedVersions)
        ? [{ service, softwareVersions, joinedVersions }]
        : [];
}

function isStreamOriginReport(value: unknown): value is StreamOriginReport {
    const { service, softwareVersion, requestIds } = (value ?? {}) as Partial<StreamOriginReport>;
    return typeof service === "string" && typeof softwareVersion === "string" && isStringArray(requestIds);
}

function isStringArray(value: unknown): value is string[] {
    return Array.isArray(value) && value.every(element => typeof element === "string");
}
