import type { Result } from "neverthrow";
import type { StoreError } from "./errors";

/** A JSON value as the store keeps it. */
export type StoredValue = Record<string, unknown>;

/** One object of the platform's store. */
export interface StoredObject {
    readonly path: string;
    readonly value: StoredValue;
    /** Counts the writes of this path, from 1, deletions included. */
    readonly version: number;
}

/** One change that a watch reports; a deletion carries no value. */
export interface StoreEvent {
    readonly path: string;
    readonly version: number;
    readonly value?: StoredValue;
}

/** What a watch returns. */
export interface WatchBatch {
    /** Position in the store's history to continue from. */
    readonly revision: number;
    readonly events: readonly StoreEvent[];
}

/** A listing at one position of the store's history. */
export interface Listing {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
}

/** Write condition: the version that the writer read; 0 means that the path must not exist. */
export type ExpectedVersion = number;

/** Largest value that the store takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** The platform's store: the only place in which anything lasts. */
export interface ObjectStore {
    /**
     * @param path - Path of the object.
     * @returns The object, or `undefined` where there is none.
     */
    get(path: string): Promise<Result<StoredObject | undefined, StoreError>>;

    /**
     * @param prefix - Only paths that begin with it.
     * @returns All objects below the prefix.
     */
    list(prefix: string): Promise<Result<Listing, StoreError>>;

    /**
     * Writes on condition. An `unknown` error means that the write may or may not have taken effect.
     *
     * @param path - Path of the object.
     * @param value - The new value, under {@link MAX_VALUE_BYTES} as JSON.
     * @param expected - The version that must be current.
     * @returns The new version.
     */
    put(path: string, value: StoredValue, expected: ExpectedVersion): Promise<Result<number, StoreError>>;

    /**
     * @param path - Path of the object.
     * @param expected - The version that must be current.
     * @returns Nothing.
     */
    delete(path: string, expected: ExpectedVersion): Promise<Result<void, StoreError>>;

    /**
     * Waits for changes after a position.
     *
     * @param prefix - Only paths that begin with it.
     * @param afterRevision - Position from an earlier listing or watch.
     * @param waitMs - Longest wait in milliseconds; an empty batch is returned then.
     * @returns The changes and the position after them.
     */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<WatchBatch, StoreError>>;
}

/** An instance as the platform's lagging list shows it. */
export interface ListedInstance {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** IP address of the instance. */
    readonly address: string;
    /** Port for JSON-RPC between instances. */
    readonly peerPort: number;
    readonly state: "live" | "leaving";
}

/** The platform's lagging list of instances. */
export interface InstanceDirectory {
    /** @returns The instances that the platform believes to exist. */
    listInstances(): Promise<Result<readonly ListedInstance[], StoreError>>;
}
