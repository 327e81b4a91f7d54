import { type Logger, monotonicMs, startLoop, withJitter } from "@heatherline/common";
import type { ObjectStore } from "@heatherline/store";
import { CONFIG_PREFIX } from "./documents";
import type { ConfigReplica, VersionedDocument } from "./replica";

const WATCH_WAIT_MS = 20_000;
const RETRY_DELAY_MS = 500;
const PEER_SYNC_INTERVAL_MS = 1_000;

/** Request to synchronise configuration with a peer. */
export interface ConfigSyncRequest {
    /** Digest of the sender's configuration. */
    readonly digest: string;
    /** Documents that may be newer than the peer's. */
    readonly documents: readonly VersionedDocument[];
    /** Versions of the sender's documents by path; sent once the digests are known to differ. */
    readonly versions?: Record<string, number>;
}

/** A peer's reply. */
export interface ConfigSyncReply {
    /** Digest of the peer's configuration. */
    readonly digest: string;
    /** Documents of which the requester has no version or an older one. */
    readonly documents: readonly VersionedDocument[];
    /** Paths of documents that the peer requests in return. */
    readonly wanted: readonly string[];
    /** Milliseconds since the store last confirmed that the peer's copy is current; absent when it never has. */
    readonly ageMs?: number;
}

/** Sends synchronisation requests to peers. */
export interface ConfigPeers {
    /** @returns IDs of all known instances except this one. */
    getPeerIds(): string[];
    /**
     * @param peerId - A peer.
     * @param request - The request.
     * @returns The reply, or `undefined` when there is none.
     */
    sync(peerId: string, request: ConfigSyncRequest): Promise<ConfigSyncReply | undefined>;
}

/**
 * Keeps an instance's copy of the configuration current in two ways: it watches the store, and it exchanges digests
 * with peers, so that an instance that is cut off from the store still receives the updates that its peers have.
 */
export class ConfigSynchroniser {
    private readonly stopLoops: (() => Promise<void>)[] = [];
    private revision: number | undefined;
    private lastConfirmedAtMs = -Infinity;
    private nextPeerIndex = 0;

    /**
     * @param store - The platform's store.
     * @param replica - This instance's copy of the configuration.
     * @param peers - The other instances.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly replica: ConfigReplica,
        private readonly peers: ConfigPeers,
        private readonly logger: Logger,
    ) {}

    /** Starts watching the store and synchronising with peers. */
    start(): void {
        this.stopLoops.push(
            startLoop(() => this.revision === undefined ? withJitter(RETRY_DELAY_MS) : 0, () => this.watchOnce()),
        );
        this.stopLoops.push(startLoop(() => withJitter(PEER_SYNC_INTERVAL_MS), () => this.syncWithNextPeer()));
    }

    /** Stops watching and synchronising; does not wait for a watch call that is still open. */
    stop(): void {
        for (const stop of this.stopLoops) {
            void stop();
        }
    }

    /** @returns Milliseconds since the store last confirmed that this copy is current. */
    getStoreAgeMs(): number {
        return monotonicMs() - this.lastConfirmedAtMs;
    }

    /**
     * Sends documents to every peer immediately, after a change.
     *
     * @param documents - The changed documents.
     */
    push(documents: readonly VersionedDocument[]): void {
        for (const peerId of this.peers.getPeerIds()) {
            void this.peers.sync(peerId, { digest: this.replica.getDigest(), documents });
        }
    }

    /**
     * Handles a peer's synchronisation request.
     *
     * @param request - The request.
     * @returns The reply.
     */
    handleSync(request: ConfigSyncRequest): ConfigSyncReply {
        this.mergeAll(request.documents, "peer");
        const digest = this.replica.getDigest();
        if (request.versions === undefined) {
            return { digest, documents: [], wanted: [], ageMs: this.getFiniteAgeMs() };
        }
        const peerVersions = request.versions;
        const ownVersions = this.replica.getVersions();
        const newerPaths = Object.keys(ownVersions).filter(path =>
            (ownVersions[path] ?? 0) > (peerVersions[path] ?? 0)
        );
        const wanted = Object.keys(peerVersions).filter(path => (peerVersions[path] ?? 0) > (ownVersions[path] ?? 0));
        return { digest, documents: this.replica.export(newerPaths), wanted, ageMs: this.getFiniteAgeMs() };
    }

    /**
     * Records that this copy was current some time ago, according to a peer or to the copy on disk.
     *
     * @param ageMs - How long ago, in milliseconds.
     */
    recordAge(ageMs: number): void {
        this.lastConfirmedAtMs = Math.max(this.lastConfirmedAtMs, monotonicMs() - ageMs);
    }

    private getFiniteAgeMs(): number | undefined {
        const ageMs = this.getStoreAgeMs();
        return Number.isFinite(ageMs) ? ageMs : undefined;
    }

    private async watchOnce(): Promise<void> {
        if (this.revision === undefined) {
            const listing = await this.store.list(CONFIG_PREFIX);
            if (listing.isErr()) {
                return;
            }
            this.mergeAll(listing.value.objects, "store");
            this.recordConfirmation(listing.value.revision);
            return;
        }
        const batch = await this.store.watch(CONFIG_PREFIX, this.revision, WATCH_WAIT_MS);
        if (batch.isErr()) {
            this.revision = undefined;
            return;
        }
        const changed = this.mergeAll(batch.value.events, "store");
        this.recordConfirmation(batch.value.revision);
        if (changed.length > 0) {
            this.push(changed);
        }
    }

    private recordConfirmation(revision: number): void {
        this.revision = revision;
        this.lastConfirmedAtMs = monotonicMs();
    }

    private async syncWithNextPeer(): Promise<void> {
        const peerIds = this.peers.getPeerIds();
        const peerId = peerIds[this.nextPeerIndex % Math.max(peerIds.length, 1)];
        this.nextPeerIndex += 1;
        if (peerId === undefined) {
            return;
        }
        const sentAtMs = monotonicMs();
        const digestReply = await this.peers.sync(peerId, { digest: this.replica.getDigest(), documents: [] });
        if (digestReply === undefined) {
            return;
        }
        if (digestReply.digest === this.replica.getDigest()) {
            if (digestReply.ageMs !== undefined) {
                this.recordAge(digestReply.ageMs + monotonicMs() - sentAtMs);
            }
            return;
        }
        const digest = this.replica.getDigest();
        const reply = await this.peers.sync(peerId, { digest, documents: [], versions: this.replica.getVersions() });
        if (reply === undefined) {
            return;
        }
        this.mergeAll(reply.documents, "peer");
        if (reply.wanted.length > 0) {
            await this.peers.sync(peerId, {
                digest: this.replica.getDigest(),
                documents: this.replica.export(reply.wanted),
            });
        }
    }

    private mergeAll(documents: readonly VersionedDocument[], source: string): VersionedDocument[] {
        const applied: VersionedDocument[] = [];
        for (const document of documents) {
            const outcome = this.replica.merge(document);
            if (outcome === "applied") {
                applied.push(document);
                this.logger.info({ path: document.path, version: document.version, source }, "configuration applied");
            }
            else if (outcome === "invalid") {
                this.logger.error(
                    { path: document.path, version: document.version, source },
                    "configuration document is invalid and was not applied",
                );
            }
        }
        return applied;
    }
}
