import { err, ok, type Result } from "neverthrow";
import { StoreError } from "./errors";
import {
    type ExpectedVersion,
    type Listing,
    MAX_VALUE_BYTES,
    type ObjectStore,
    type StoredObject,
    type StoredValue,
    type StoreEvent,
    type WatchBatch,
} from "./types";

const MAX_HISTORY_EVENTS = 20_000;

interface Entry {
    /** The value as JSON text, so that no caller shares objects with the store; absent for a deleted object. */
    text?: string;
    version: number;
}

interface HistoryEvent {
    readonly path: string;
    readonly version: number;
    /** The value as JSON text; absent for a deletion. */
    readonly text: string | undefined;
    readonly revision: number;
}

/** An object store in memory, used by a daemon without a platform and by the simulated platform in tests and demos. */
export class MemoryStore implements ObjectStore {
    private readonly entries = new Map<string, Entry>();
    private readonly watchers = new Set<() => void>();
    private history: HistoryEvent[] = [];
    private revision = 0;

    async get(path: string): Promise<Result<StoredObject | undefined, StoreError>> {
        return ok(this.read(path));
    }

    async list(prefix: string): Promise<Result<Listing, StoreError>> {
        const objects = [...this.entries.keys()]
            .filter(path => path.startsWith(prefix))
            .sort()
            .map(path => this.read(path))
            .filter(object => object !== undefined);
        return ok({ revision: this.revision, objects });
    }

    async put(path: string, value: StoredValue, expected: ExpectedVersion): Promise<Result<number, StoreError>> {
        const text = JSON.stringify(value);
        if (Buffer.byteLength(text) > MAX_VALUE_BYTES) {
            return err(new StoreError("rejected", `${path} would exceed ${MAX_VALUE_BYTES} bytes`));
        }
        return this.writeEntry(path, text, expected);
    }

    async delete(path: string, expected: ExpectedVersion): Promise<Result<void, StoreError>> {
        return this.writeEntry(path, undefined, expected).map(() => undefined);
    }

    async watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
        const first = this.getEventsAfter(prefix, afterRevision);
        if (first.isErr() || first.value.events.length > 0) {
            return first;
        }
        await this.waitForChange(prefix, waitMs);
        return this.getEventsAfter(prefix, afterRevision);
    }

    private read(path: string): StoredObject | undefined {
        const entry = this.entries.get(path);
        if (entry?.text === undefined) {
            return undefined;
        }
        return { path, version: entry.version, value: JSON.parse(entry.text) as StoredValue };
    }

    private writeEntry(path: string, text: string | undefined, expected: ExpectedVersion): Result<number, StoreError> {
        const entry = this.entries.get(path) ?? { version: 0 };
        const current = entry.text === undefined ? 0 : entry.version;
        if (current !== expected) {
            return err(new StoreError("conflict", `${path} is at version ${current}, not ${expected}`));
        }
        entry.version += 1;
        entry.text = text;
        this.entries.set(path, entry);
        this.revision += 1;
        this.history.push({ path, version: entry.version, text, revision: this.revision });
        if (this.history.length > MAX_HISTORY_EVENTS) {
            this.history = this.history.slice(-MAX_HISTORY_EVENTS / 2);
        }
        for (const wake of [...this.watchers]) {
            wake();
        }
        return ok(entry.version);
    }

    private getEventsAfter(prefix: string, afterRevision: number): Result<WatchBatch, StoreError> {
        const oldest = this.history[0]?.revision ?? this.revision + 1;
        if (afterRevision > this.revision || afterRevision < oldest - 1) {
            return err(new StoreError("compacted", `revision ${afterRevision} is not in the history`));
        }
        const events: StoreEvent[] = [];
        for (let index = this.history.length - 1; index >= 0; index -= 1) {
            const event = this.history[index];
            if (event === undefined || event.revision <= afterRevision) {
                break;
            }
            if (event.path.startsWith(prefix)) {
                const value = event.text === undefined ? undefined : JSON.parse(event.text) as StoredValue;
                events.unshift({ path: event.path, version: event.version, value });
            }
        }
        return ok({ revision: this.revision, events });
    }

    private async waitForChange(prefix: string, waitMs: number): Promise<void> {
        const startRevision = this.revision;
        await new Promise<void>(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.watchers.delete(wake);
                resolve();
            };
            const wake = () => {
                if (this.history.some(event => event.revision > startRevision && event.path.startsWith(prefix))) {
                    finish();
                }
            };
            const timer = setTimeout(finish, waitMs);
            timer.unref();
            this.watchers.add(wake);
        });
    }
}
