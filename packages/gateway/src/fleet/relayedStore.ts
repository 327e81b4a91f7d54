import type { Logger } from "@heatherline/common";
import { type MemberEntry, METHODS, type RpcCaller } from "@heatherline/fleet";
import {
    type ExpectedVersion,
    type Listing,
    type ObjectStore,
    type StoredObject,
    type StoredValue,
    StoreError,
    type StoreErrorKind,
    type WatchBatch,
} from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";

/**
 * The store responds within some tens of milliseconds; a call without a response for this long is also made over the
 * other path.
 */
const HEDGE_DELAY_MS = 400;
/** After a failed direct call, the relay is tried first for this long. */
const AVOID_DIRECT_MS = 2_000;
const RELAY_TIMEOUT_MS = 1_500;

/** A store call that one instance makes on behalf of another. */
export type StoreCall =
    | { readonly operation: "get"; readonly path: string; }
    | { readonly operation: "list"; readonly prefix: string; }
    | {
        readonly operation: "put";
        readonly path: string;
        readonly value: StoredValue;
        readonly expected: ExpectedVersion;
    };

/** The result of a {@link StoreCall}. */
export type StoreCallReply =
    | { readonly kind: "done"; readonly value: unknown; }
    | { readonly kind: "failed"; readonly reason: StoreErrorKind; readonly message: string; };

/** What a {@link RelayedStore} depends on. */
export interface RelayedStoreDependencies {
    /** The store, reached directly. */
    readonly directStore: ObjectStore;
    readonly rpc: RpcCaller;
    /**
     * @returns The instance that relays calls, over its own connection to the store; `undefined` if it is this one or
     * can't be reached.
     */
    readonly getRelay: () => MemberEntry | undefined;
    readonly logger: Logger;
}

/**
 * Reaches the store through the coordinator when direct calls fail or are slow. All writes are conditional, so a write
 * that is made over both paths takes effect once. Deletes and watches are only made directly.
 */
export class RelayedStore implements ObjectStore {
    private avoidDirectUntilMs = -Infinity;

    /**
     * @param deps - What the relayed store depends on.
     */
    constructor(private readonly deps: RelayedStoreDependencies) {}

    async get(path: string): Promise<Result<StoredObject | undefined, StoreError>> {
        const outcome = await this.call<StoredObject | undefined | null>(
            { operation: "get", path },
            () => this.deps.directStore.get(path),
        );
        return outcome.map(object => object ?? undefined);
    }

    list(prefix: string): Promise<Result<Listing, StoreError>> {
        return this.call({ operation: "list", prefix }, () => this.deps.directStore.list(prefix));
    }

    put(path: string, value: StoredValue, expected: ExpectedVersion): Promise<Result<number, StoreError>> {
        const call: StoreCall = { operation: "put", path, value, expected };
        return this.call(call, () => this.deps.directStore.put(path, value, expected));
    }

    delete(path: string, expected: ExpectedVersion): Promise<Result<void, StoreError>> {
        return this.deps.directStore.delete(path, expected);
    }

    watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
        return this.deps.directStore.watch(prefix, afterRevision, waitMs);
    }

    private async call<Value>(
        call: StoreCall,
        callDirectly: () => Promise<Result<Value, StoreError>>,
    ): Promise<Result<Value, StoreError>> {
        const relay = this.deps.getRelay();
        if (relay === undefined) {
            return callDirectly();
        }
        const direct = async () => this.recordDirectOutcome(await callDirectly(), relay);
        const relayed = () => this.callThroughRelay<Value>(relay, call);
        return performance.now() < this.avoidDirectUntilMs ? hedge(relayed, direct) : hedge(direct, relayed);
    }

    private recordDirectOutcome<Value>(
        outcome: Result<Value, StoreError>,
        relay: MemberEntry,
    ): Result<Value, StoreError> {
        if (outcome.isErr() && !isConclusive(outcome)) {
            if (performance.now() >= this.avoidDirectUntilMs) {
                const cause = outcome.error.toString();
                this.deps.logger.info({ event: "store-relayed", helper: relay.instanceId, cause });
            }
            this.avoidDirectUntilMs = performance.now() + AVOID_DIRECT_MS;
        }
        return outcome;
    }

    private async callThroughRelay<Value>(relay: MemberEntry, call: StoreCall): Promise<Result<Value, StoreError>> {
        const reply = await this.deps.rpc.callAddress<StoreCallReply>(
            relay.host,
            relay.rpcPort,
            METHODS.callStore,
            call,
            RELAY_TIMEOUT_MS,
        );
        if (reply.isErr()) {
            return err(new StoreError("unknown", `via ${relay.instanceId}: ${reply.error.message}`, reply.error));
        }
        return reply.value.kind === "done"
            ? ok(reply.value.value as Value)
            : err(new StoreError(reply.value.reason, `via ${relay.instanceId}: ${reply.value.message}`));
    }
}

/**
 * Makes a store call on behalf of another instance.
 *
 * @param store - The store, reached directly.
 * @param call - The call.
 * @returns The result of the call.
 */
export async function handleStoreCall(store: ObjectStore, call: StoreCall): Promise<StoreCallReply> {
    const outcome = await callStore(store, call);
    return outcome.isOk()
        ? { kind: "done", value: outcome.value ?? null }
        : { kind: "failed", reason: outcome.error.kind, message: outcome.error.message };
}

function callStore(store: ObjectStore, call: StoreCall): Promise<Result<unknown, StoreError>> {
    switch (call.operation) {
        case "get":
            return store.get(call.path);
        case "list":
            return store.list(call.prefix);
        case "put":
            return store.put(call.path, call.value, call.expected);
    }
}

/** Returns the first conclusive outcome; the second call starts when the first one has failed or is late. */
function hedge<Value>(
    first: () => Promise<Result<Value, StoreError>>,
    second: () => Promise<Result<Value, StoreError>>,
): Promise<Result<Value, StoreError>> {
    return new Promise(resolve => {
        const failures: StoreError[] = [];
        let isSecondStarted = false;
        const startSecond = () => {
            if (!isSecondStarted) {
                isSecondStarted = true;
                void second().then(onOutcome);
            }
        };
        const timer = setTimeout(startSecond, HEDGE_DELAY_MS);
        const onOutcome = (outcome: Result<Value, StoreError>) => {
            if (outcome.isErr() && !isConclusive(outcome)) {
                failures.push(outcome.error);
                startSecond();
                if (failures.length < 2) {
                    return;
                }
            }
            clearTimeout(timer);
            // If either call may have taken effect, the outcome is unknown, even if the last one certainly failed.
            const unknown = failures.find(({ kind }) => kind === "unknown");
            resolve(outcome.isErr() && !isConclusive(outcome) && unknown !== undefined ? err(unknown) : outcome);
        };
        void first().then(onOutcome);
    });
}

/** Whether the store itself decided the call, so that another path would give the same outcome. */
function isConclusive(outcome: Result<unknown, StoreError>): boolean {
    return outcome.isOk() || (outcome.error.kind !== "unavailable" && outcome.error.kind !== "unknown");
}
