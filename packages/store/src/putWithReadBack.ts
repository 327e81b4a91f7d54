import { newId, sleep, withJitter } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import { StoreError } from "./errors";
import type { ExpectedVersion, ObjectStore, StoredObject, StoredValue } from "./types";

/** Field that holds the IDs of the last writes of an object, newest first. */
const WRITE_IDS_FIELD = "writeIds";
const MAX_WRITE_IDS = 16;
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_DELAY_MS = 100;

/**
 * Makes a conditional write and resolves an unknown outcome. When the store's response is lost, the object is read back
 * and the ID of the write tells whether it took effect. The object keeps the IDs of its last {@link MAX_WRITE_IDS}
 * writes, so that a newer write does not hide this one.
 *
 * @param store - The store.
 * @param path - Path of the object.
 * @param value - The new value, without the field of write IDs.
 * @param current - The object as read, or `undefined` to create it.
 * @returns The version that this write created; `conflict` if another writer was first; `unknown` if the outcome can't
 * be determined.
 */
export async function putWithReadBack(
    store: ObjectStore,
    path: string,
    value: StoredValue,
    current: StoredObject | undefined,
): Promise<Result<number, StoreError>> {
    const writeId = newId();
    const expected: ExpectedVersion = current?.version ?? 0;
    const valueWithWriteIds = {
        ...value,
        [WRITE_IDS_FIELD]: [writeId, ...getWriteIds(current)].slice(0, MAX_WRITE_IDS),
    };
    const written = await store.put(path, valueWithWriteIds, expected);
    if (written.isOk() || written.error.kind !== "unknown") {
        return written;
    }
    return readBackWrite(store, path, writeId, expected, written.error);
}

async function readBackWrite(
    store: ObjectStore,
    path: string,
    writeId: string,
    expected: ExpectedVersion,
    cause: StoreError,
): Promise<Result<number, StoreError>> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
        await sleep(withJitter(READ_BACK_DELAY_MS * 2 ** attempt));
        const read = await store.get(path);
        if (read.isErr()) {
            continue;
        }
        const position = getWriteIds(read.value).indexOf(writeId);
        if (position >= 0) {
            return ok((read.value?.version ?? 0) - position);
        }
        const version = read.value?.version ?? 0;
        if (version - expected >= MAX_WRITE_IDS) {
            break;
        }
        if (version !== expected) {
            return err(new StoreError("conflict", `${path} is at version ${version}, not ${expected}`, cause));
        }
        // The version is unchanged, but a delayed write may still take effect. Only a new version or the ID of this
        // write tells the outcome, so the next iteration reads again.
    }
    return err(new StoreError("unknown", `${path}: the outcome of the write is unknown`, cause));
}

/**
 * @param object - A stored object.
 * @returns The IDs of its last writes, newest first.
 */
export function getWriteIds(object: StoredObject | undefined): string[] {
    const writeIds = object?.value[WRITE_IDS_FIELD];
    return Array.isArray(writeIds) ? writeIds.filter(writeId => typeof writeId === "string") : [];
}
