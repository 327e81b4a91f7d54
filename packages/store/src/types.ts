import type { Result } from "neverthrow";
import type { StoreError } from "./errors";

/** A JSON object as stored. */
export type StoredValue = Record<string, unknown>;

/** One object in the platform's store. */
export interface StoredObject {
    readonly path: string;
    readonly value: StoredValue;
    /** Number of writes to this path so far, deletions included; starts at 1. */
    readonly version: number;
    /** What the object's readers report back to its writer; absent where the store keeps no status or none was written. */
    readonly status?: StoredValue | undefined;
    /** Differs if the object was deleted and created again; absent where the store doesn't say so. */
    readonly creation?: number | undefined;
}

/** One change that a watch reports; a deletion has no value. */
export interface StoreEvent {
    readonly path: string;
    readonly version: number;
    readonly value?: StoredValue;
    readonly status?: StoredValue | undefined;
    readonly creation?: number | undefined;
}

/** Result of a watch call. */
export interface WatchBatch {
    /** Revision to continue the watch from. */
    readonly revision: number;
    readonly events: readonly StoreEvent[];
}

/** A listing at one revision of the store, which counts all writes to all paths. */
export interface Listing {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
}

/** Condition of a write: the version that the writer has read; 0 means that the path must not exist. */
export type ExpectedVersion = number;

/** Maximum size of a value, in bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Client of the platform's store, the only durable storage. Writes are conditional on a version. */
export interface ObjectStore {
    /**
     * @param path - Path of the object.
     * @returns The object, or `undefined` when there is none.
     */
    get(path: string): Promise<Result<StoredObject | undefined, StoreError>>;

    /**
     * @param prefix - Prefix of the paths to list.
     * @returns All objects whose paths start with the prefix.
     */
    list(prefix: string): Promise<Result<Listing, StoreError>>;

    /**
     * Writes an object if its version is the expected one. An `unknown` error means that the write may or may not have
     * taken effect.
     *
     * @param path - Path of the object.
     * @param value - The new value, at most {@link MAX_VALUE_BYTES} as JSON.
     * @param expected - The version that must be current.
     * @returns The new version.
     */
    put(path: string, value: StoredValue, expected: ExpectedVersion): Promise<Result<number, StoreError>>;

    /**
     * Deletes an object if its version is the expected one.
     *
     * @param path - Path of the object.
     * @param expected - The version that must be current.
     * @returns Nothing, or the error.
     */
    delete(path: string, expected: ExpectedVersion): Promise<Result<void, StoreError>>;

    /**
     * Waits for changes after a revision (long poll).
     *
     * @param prefix - Prefix of the paths to watch.
     * @param afterRevision - Revision from an earlier listing or watch.
     * @param waitMs - Maximum wait in milliseconds, after which an empty batch is returned.
     * @returns The changes and the revision after them.
     */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<WatchBatch, StoreError>>;
}

/** An instance in the platform's list, which may be out of date. */
export interface ListedInstance {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** IP address of the instance. */
    readonly address: string;
    /** Port for JSON-RPC between instances. */
    readonly peerPort: number;
    readonly state: "live" | "leaving";
}

/** The platform's list of instances, which may be out of date. */
export interface InstanceDirectory {
    /** @returns The instances that the platform believes to exist. */
    listInstances(): Promise<Result<readonly ListedInstance[], StoreError>>;
}
