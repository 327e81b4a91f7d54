import { invariant, sha256Hex } from "@heatherline/common";
import {
    CONFIG_PREFIX,
    type ConfigDocument,
    type DocumentKind,
    getDocumentPath,
    type KeyDocument,
    type ServiceDocument,
} from "./documents";
import { validateDocument } from "./validate";

/** A document with its version, as instances exchange it. The tombstone of a deleted document has no value. */
export interface VersionedDocument {
    readonly path: string;
    readonly version: number;
    readonly value?: Record<string, unknown>;
}

interface AppliedDocument {
    readonly version: number;
    readonly document?: ConfigDocument;
    readonly value?: Record<string, unknown>;
}

/**
 * Outcome of merging a document.
 *
 * - `applied`: it was newer and is now part of the copy.
 * - `stale`: it was not newer, or its path is not one of a configuration document.
 * - `invalid`: it was newer but invalid; the copy is unchanged.
 */
export type MergeOutcome = "applied" | "stale" | "invalid";

/**
 * One instance's copy of the configuration. The version of each path only increases, and an invalid document never
 * replaces a valid one.
 */
export class ConfigReplica {
    private readonly appliedDocuments = new Map<string, AppliedDocument>();
    private readonly invalidVersions = new Map<string, number>();
    private readonly listeners = new Set<(path: string, document: ConfigDocument | undefined) => void>();
    private digestCache: string | undefined;
    private hasQuarantinedRequestsCache: boolean | undefined;
    private servicesCache: ServiceDocument[] | undefined;
    private readonly serviceByModelCache = new Map<string, ServiceDocument>();

    /**
     * Merges a document into the copy if it is newer and valid.
     *
     * @param offered - A document from the store, a peer or the disk.
     * @returns What happened to it.
     */
    merge(offered: VersionedDocument): MergeOutcome {
        const current = this.appliedDocuments.get(offered.path);
        if (!offered.path.startsWith(CONFIG_PREFIX) || offered.version <= (current?.version ?? 0)) {
            return "stale";
        }
        if (offered.value === undefined) {
            this.install(offered.path, { version: offered.version });
            return "applied";
        }
        // Another writer may have left anything in the store, also null, which has no fields.
        const { writeIds: unusedWriteIds, ...content } = (offered.value as VersionedDocument["value"] | null) ?? {};
        const validated = validateDocument(content);
        if (validated.isErr()) {
            this.invalidVersions.set(offered.path, offered.version);
            return "invalid";
        }
        this.install(offered.path, { version: offered.version, document: validated.value, value: offered.value });
        return "applied";
    }

    /**
     * @param listener - Called after each change.
     * @returns A function that removes the listener.
     */
    onChange(listener: (path: string, document: ConfigDocument | undefined) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** @returns Versions of all applied documents by path, tombstones included. */
    getVersions(): Record<string, number> {
        return Object.fromEntries([...this.appliedDocuments].map(([path, { version }]) => [path, version]));
    }

    /** @returns A digest of all paths and versions; equal digests mean equal configurations. */
    getDigest(): string {
        this.digestCache ??= sha256Hex(
            [...this.appliedDocuments].map(([path, { version }]) => `${path}@${version}`).sort().join("\n"),
        );
        return this.digestCache;
    }

    /**
     * @param paths - Paths to export; all when omitted.
     * @returns The documents at these paths, for a peer or the disk.
     */
    export(paths?: readonly string[]): VersionedDocument[] {
        return (paths ?? [...this.appliedDocuments.keys()]).flatMap(path => {
            const entry = this.appliedDocuments.get(path);
            return entry === undefined ? [] : [{ path, version: entry.version, value: entry.value }];
        });
    }

    /**
     * @param path - A document's path.
     * @returns The version applied here; 0 when there is none.
     */
    getVersion(path: string): number {
        return this.appliedDocuments.get(path)?.version ?? 0;
    }

    /** @returns Documents whose newest version is invalid and was not applied: that version by path. */
    getInvalidVersions(): Record<string, number> {
        return Object.fromEntries(this.invalidVersions);
    }

    /** @returns All applied service documents. */
    getServices(): readonly ServiceDocument[] {
        this.servicesCache ??= this.getDocuments("service") as ServiceDocument[];
        return this.servicesCache;
    }

    /**
     * @param model - Name of a model, as in requests.
     * @returns The service that serves it, if any.
     */
    findServiceByModel(model: string): ServiceDocument | undefined {
        let service = this.serviceByModelCache.get(model);
        if (service === undefined) {
            service = this.getServices().find(other =>
                other.interface === "openai" && other.models.some(entry => entry.model === model)
            );
            if (service !== undefined) {
                this.serviceByModelCache.set(model, service);
            }
        }
        return service;
    }

    /**
     * @param keyId - ID of a key: the part of the key that is not secret.
     * @returns The key's document, if any.
     */
    getKey(keyId: string): KeyDocument | undefined {
        return this.appliedDocuments.get(getDocumentPath("key", keyId))?.document as KeyDocument | undefined;
    }

    /**
     * @param dataCentre - A data centre.
     * @returns Whether operators have taken it out of service.
     */
    isDataCentreOut(dataCentre: string): boolean {
        return this.isOut("data-centre", dataCentre);
    }

    /**
     * @param instance - An instance.
     * @returns Whether operators have taken it out of service.
     */
    isInstanceOut(instance: string): boolean {
        return this.isOut("instance", instance);
    }

    /** @returns Whether there is any quarantine document, including released ones. */
    hasQuarantinedRequests(): boolean {
        this.hasQuarantinedRequestsCache ??= this.getDocuments("quarantine").length > 0;
        return this.hasQuarantinedRequestsCache;
    }

    /**
     * @param fingerprint - Fingerprint of a request.
     * @returns Whether the request is quarantined because it crashes endpoints.
     */
    isQuarantined(fingerprint: string): boolean {
        const document = this.appliedDocuments.get(getDocumentPath("quarantine", fingerprint))?.document;
        return document?.kind === "quarantine" && document.state === "active";
    }

    private isOut(kind: "data-centre" | "instance", id: string): boolean {
        const document = this.appliedDocuments.get(getDocumentPath(kind, id))?.document;
        return document !== undefined && "state" in document && document.state !== "in";
    }

    /**
     * @param kind - Kind of documents.
     * @returns All applied documents of that kind.
     */
    getDocuments(kind: DocumentKind): ConfigDocument[] {
        const prefix = getDocumentPath(kind, "");
        return [...this.appliedDocuments].flatMap(([path, { document }]) =>
            document !== undefined && path.startsWith(prefix) ? [document] : []
        );
    }

    private install(path: string, entry: AppliedDocument): void {
        const before = this.appliedDocuments.get(path)?.version ?? 0;
        invariant("config-versions-rise", entry.version > before, () => `${path}: ${before} to ${entry.version}`);
        this.appliedDocuments.set(path, entry);
        if ((this.invalidVersions.get(path) ?? 0) <= entry.version) {
            this.invalidVersions.delete(path);
        }
        this.digestCache = undefined;
        this.servicesCache = undefined;
        this.hasQuarantinedRequestsCache = undefined;
        this.serviceByModelCache.clear();
        for (const listener of this.listeners) {
            listener(path, entry.document);
        }
    }
}
