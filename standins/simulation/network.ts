import { PeerError, type PeerTransport } from "@heatherline/agreement";
import { sleep } from "@heatherline/common";
import { MemoryStore, type ObjectStore, StoreError } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

type Handler = (params: never) => unknown;

const MAX_DELAY_MS = 20;
const STORE_TIMEOUT_MS = 2_000;

/**
 * A simulated instance. While it is frozen, it neither sends nor receives; calls wait and go on when it is resumed, as
 * after a process was stopped and continued.
 */
export interface SimulatedHost {
    readonly id: string;
    readonly dataCentre: string;
    readonly handlers: Map<string, Handler>;
    isFrozen: boolean;
    isStoreCut: boolean;
    isDead: boolean;
    /** Called once when the instance is resumed. */
    readonly resumeCallbacks: (() => void)[];
}

/**
 * Carries messages between simulated instances and their calls to one store, with delays, network partitions, frozen
 * instances and lost responses.
 */
export class SimulatedNetwork {
    readonly hosts = new Map<string, SimulatedHost>();
    readonly store = new MemoryStore();
    isStoreDown = false;
    /** Fraction of the store's writes that take effect but whose response is lost. */
    lostAnswerFraction = 0;
    private readonly cutLinks = new Set<string>();
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    /**
     * @param seed - Seed of the random delays and losses.
     * @param maxDelayMs - Longest one-way delay of a message, in milliseconds.
     */
    constructor(seed: number, private readonly maxDelayMs = MAX_DELAY_MS) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @returns A random number from 0 up to 1. */
    random(): number {
        return (this.generator.next() >>> 0) / 2 ** 32;
    }

    /**
     * Adds an instance to the network.
     *
     * @param id - Its id.
     * @param dataCentre - Its data centre.
     * @returns The instance, without handlers.
     */
    addHost(id: string, dataCentre: string): SimulatedHost {
        const host = {
            id,
            dataCentre,
            handlers: new Map(),
            isFrozen: false,
            isStoreCut: false,
            isDead: false,
            resumeCallbacks: [],
        };
        this.hosts.set(id, host);
        return host;
    }

    /**
     * Cuts or restores the link between two instances or two data centres, in both directions.
     *
     * @param left - An instance or data centre.
     * @param right - Another of the same kind.
     * @param isCut - Whether messages between them are lost.
     */
    setCut(left: string, right: string, isCut: boolean): void {
        for (const key of [`${left}|${right}`, `${right}|${left}`]) {
            if (isCut) {
                this.cutLinks.add(key);
            }
            else {
                this.cutLinks.delete(key);
            }
        }
    }

    /**
     * Freezes an instance, or resumes it.
     *
     * @param host - The instance.
     * @param isFrozen - Whether it is frozen from now on.
     */
    setFrozen(host: SimulatedHost, isFrozen: boolean): void {
        host.isFrozen = isFrozen;
        if (!isFrozen) {
            for (const resume of host.resumeCallbacks.splice(0)) {
                resume();
            }
        }
    }

    /** Ends all faults; dead instances stay dead. */
    heal(): void {
        this.cutLinks.clear();
        this.isStoreDown = false;
        this.lostAnswerFraction = 0;
        for (const host of this.hosts.values()) {
            host.isStoreCut = false;
            this.setFrozen(host, false);
        }
    }

    /**
     * @param from - The calling instance.
     * @returns A transport over which it calls the others.
     */
    newTransport(from: SimulatedHost): PeerTransport {
        return {
            call: <Reply>(peerId: string, method: string, params: object, timeoutMs: number) =>
                this.call<Reply>(from, peerId, method, params, timeoutMs),
        };
    }

    /**
     * @param host - The calling instance.
     * @returns A client of the store that all instances share.
     */
    newStore(host: SimulatedHost): ObjectStore {
        const callStore = async <Value>(
            isWrite: boolean,
            run: () => Promise<Result<Value, StoreError>>,
        ): Promise<Result<Value, StoreError>> => {
            await this.waitUntilResumed(host);
            await this.delay();
            if (this.isStoreDown || host.isStoreCut) {
                return err(new StoreError("unavailable", "store is down"));
            }
            const result = await run();
            await this.delay();
            await this.waitUntilResumed(host);
            if (isWrite && this.random() < this.lostAnswerFraction) {
                await sleep(STORE_TIMEOUT_MS);
                return err(new StoreError("unknown", "response lost"));
            }
            return result;
        };
        return {
            get: path => callStore(false, () => this.store.get(path)),
            list: prefix => callStore(false, () => this.store.list(prefix)),
            put: (path, value, expected) => callStore(true, () => this.store.put(path, value, expected)),
            delete: (path, expected) => callStore(true, () => this.store.delete(path, expected)),
            watch: (prefix, after, waitMs) => callStore(false, () => this.store.watch(prefix, after, waitMs)),
        };
    }

    private async call<Reply>(
        from: SimulatedHost,
        peerId: string,
        method: string,
        params: object,
        timeoutMs: number,
    ): Promise<Result<Reply, PeerError>> {
        await this.waitUntilResumed(from);
        const timeout = sleep(timeoutMs).then(() => err(new PeerError("lost", `${method} to ${peerId}`)));
        const reply = await Promise.race([timeout, this.deliver<Reply>(from, peerId, method, structuredClone(params))]);
        await this.waitUntilResumed(from);
        return reply;
    }

    private async deliver<Reply>(
        from: SimulatedHost,
        peerId: string,
        method: string,
        params: object,
    ): Promise<Result<Reply, PeerError>> {
        await this.delay();
        const target = this.hosts.get(peerId);
        if (target === undefined || target.isDead || this.isCut(from, target)) {
            return sleep(MAX_DELAY_MS).then(() => err(new PeerError("unreachable", peerId)));
        }
        await this.waitUntilResumed(target);
        const reply = await target.handlers.get(method)?.(params as never);
        await this.delay();
        if (this.isCut(from, target) || from.isDead) {
            // The reply is lost; the call ends by its timeout.
            return new Promise(() => undefined);
        }
        return ok((reply === undefined ? undefined : structuredClone(reply)) as Reply);
    }

    private isCut(left: SimulatedHost, right: SimulatedHost): boolean {
        return this.cutLinks.has(`${left.id}|${right.id}`) ||
            this.cutLinks.has(`${left.dataCentre}|${right.dataCentre}`);
    }

    private delay(): Promise<void> {
        return sleep(this.random() * this.maxDelayMs);
    }

    private waitUntilResumed(host: SimulatedHost): Promise<void> {
        return host.isFrozen ? new Promise(resolve => host.resumeCallbacks.push(resolve)) : Promise.resolve();
    }
}
