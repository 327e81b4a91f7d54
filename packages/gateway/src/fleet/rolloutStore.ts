import { type Logger, newId, sleep } from "@heatherline/common";
import { decodeRolloutRecord, ROLLOUT_RECORD_KIND, type RolloutRecord } from "@heatherline/fleet";
import type { ObjectStore, StoredObject } from "@heatherline/store";

/**
 * Without a response for this long, a record is read to see whether it has been written, in milliseconds. The time limit
 * of a call is longer, and a roll-out near its deadline can't wait for it.
 */
const READ_BACK_AFTER_MS = 350;

/**
 * How a write of a record ended.
 *
 * - `stored`: the store holds it.
 * - `failed`: the store could not be reached, or held another version than expected; it is to be written again.
 * - `fenced`: the store holds a record of a later coordinator, or the final state of the same order; it stays.
 */
export type RecordWriteOutcome = "stored" | "failed" | "fenced";

/** Keeps the records of roll-outs in the store, which outlast their coordinators. */
export class RolloutStore {
    /** What the store holds, as far as is known, by path. */
    private readonly known = new Map<string, StoredObject>();

    /**
     * @param store - The store.
     * @param logger - Log of the instance.
     */
    constructor(private readonly store: ObjectStore, private readonly logger: Logger) {}

    /**
     * Reads all records, and writes the epoch of the new coordinator into those that may still change. An earlier
     * coordinator that doesn't know yet that it has lost its lease can't change them from then on.
     *
     * @param epoch - Epoch of the new coordinator.
     * @returns The records, or `undefined` if they could not be read or written, or a later coordinator has written them.
     */
    async load(epoch: number): Promise<RolloutRecord[] | undefined> {
        const listing = await this.store.list(ROLLOUT_RECORD_KIND);
        if (listing.isErr()) {
            this.logger.info({ event: "rollouts-not-read", cause: listing.error.toString() });
            return undefined;
        }
        const records: RolloutRecord[] = [];
        for (const object of listing.value.objects) {
            this.known.set(object.path, object);
            const record = decodeRolloutRecord(object);
            if (record === undefined) {
                this.logger.warn({ event: "rollout-unreadable", path: object.path });
                continue;
            }
            const claimed = await this.claim(record, epoch);
            if (claimed === undefined) {
                return undefined;
            }
            records.push(claimed);
        }
        return records;
    }

    /**
     * Writes a record. A lost response is resolved by reading the record again.
     *
     * @param record - The record.
     * @returns How it ended.
     */
    async save(record: RolloutRecord): Promise<RecordWriteOutcome> {
        const path = getPath(record.service);
        const value = { ...record, writeId: newId() };
        const current = this.known.get(path);
        const decided = compare(current, record);
        if (decided !== undefined) {
            return decided;
        }
        const writing = this.store.put(path, value, current?.version ?? 0);
        const early = await Promise.race([writing, sleep(READ_BACK_AFTER_MS).then(() => undefined)]);
        if (early === undefined && await this.resolve(record, value.writeId) === "stored") {
            return "stored";
        }
        const written = await writing;
        if (written.isOk()) {
            this.known.set(path, { path, value, version: written.value });
            return "stored";
        }
        const { service, state, epoch } = record;
        this.logger.info({
            event: "rollout-not-stored",
            service,
            state,
            epoch,
            cause: written.error.toString(),
        });
        return written.error.kind === "conflict" || written.error.kind === "unknown"
            ? this.resolve(record, value.writeId)
            : "failed";
    }

    private async resolve(record: RolloutRecord, writeId: string): Promise<RecordWriteOutcome> {
        const path = getPath(record.service);
        const read = await this.store.get(path);
        if (read.isErr()) {
            return "failed";
        }
        if (read.value === undefined) {
            this.known.delete(path);
            return "failed";
        }
        this.known.set(path, read.value);
        return read.value.value.writeId === writeId ? "stored" : compare(read.value, record) ?? "failed";
    }

    private async claim(record: RolloutRecord, epoch: number): Promise<RolloutRecord | undefined> {
        if (record.state !== "running") {
            return record;
        }
        if (record.epoch > epoch) {
            return undefined;
        }
        const claimed = { ...record, epoch };
        return await this.save(claimed) === "stored" ? claimed : undefined;
    }
}

function getPath(service: string): string {
    return `${ROLLOUT_RECORD_KIND}/${service}`;
}

/** @returns Whether the store holds the record's final state already, or what must stay; `undefined` if neither. */
function compare(object: StoredObject | undefined, record: RolloutRecord): "stored" | "fenced" | undefined {
    const current = object === undefined ? undefined : decodeRolloutRecord(object);
    if (current === undefined) {
        return undefined;
    }
    const { orderId, epoch, state } = record;
    if (current.state !== "running" && current.orderId === orderId) {
        return current.state === state ? "stored" : "fenced";
    }
    return current.epoch > epoch ? "fenced" : undefined;
}
