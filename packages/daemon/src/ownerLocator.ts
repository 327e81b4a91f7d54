import type { DataCentreAgreement, MemberTable, PeerTransport } from "@heatherline/agreement";
import { monotonicMs, rankByRendezvous } from "@heatherline/common";
import type { PeerDirectory } from "./peerDirectory";

const TABLE_TTL_MS = 1_500;
const TABLE_REQUEST_TIMEOUT_MS = 600;
const TABLE_ATTEMPTS = 2;
/** Time without a reply after which a data centre counts as unreachable and others take over its work. */
const UNREACHABLE_AFTER_MS = 10_000;

interface CachedTable {
    readonly table: MemberTable | undefined;
    readonly atMs: number;
}

/**
 * Finds the instance that owns a subject: the first member by rendezvous hashing. The members of other data centres are
 * known from cached copies of their member tables.
 */
export class OwnerLocator {
    private readonly cachedTables = new Map<string, CachedTable>();
    private readonly lastReplyAtMs = new Map<string, number>();
    private readonly pendingFetches = new Map<string, Promise<MemberTable | undefined>>();

    /**
     * @param dataCentre - This data centre.
     * @param agreement - The agreement on members of this data centre.
     * @param peerDirectory - Known instances.
     * @param transport - Calls to them.
     */
    constructor(
        private readonly dataCentre: string,
        private readonly agreement: DataCentreAgreement,
        private readonly peerDirectory: Pick<PeerDirectory, "getPeersIn">,
        private readonly transport: PeerTransport,
    ) {}

    /**
     * @param dataCentre - A data centre.
     * @param subject - The subject.
     * @returns Id of the instance that probably owns the subject; `undefined` if no member table is known.
     */
    async getOwner(dataCentre: string, subject: string): Promise<string | undefined> {
        if (dataCentre === this.dataCentre) {
            return this.agreement.getLikelyOwner(subject);
        }
        const table = await this.getTable(dataCentre);
        return table === undefined ? undefined : rankByRendezvous(subject, table.members)[0];
    }

    /**
     * @param dataCentre - A data centre.
     * @returns Its member table: the active one here, or for another data centre a copy that one of its instances
     * returned in the last 1.5 s; `undefined` if there is none.
     */
    async getTable(dataCentre: string): Promise<MemberTable | undefined> {
        if (dataCentre === this.dataCentre) {
            return this.agreement.getActiveTable();
        }
        const cached = this.cachedTables.get(dataCentre);
        if (cached !== undefined && monotonicMs() - cached.atMs < TABLE_TTL_MS) {
            return cached.table;
        }
        let pending = this.pendingFetches.get(dataCentre);
        if (pending === undefined) {
            pending = this.fetchTable(dataCentre).finally(() => this.pendingFetches.delete(dataCentre));
            this.pendingFetches.set(dataCentre, pending);
        }
        return pending;
    }

    /**
     * Tells whether a data centre is unreachable. Refreshes its member table in the background if the copy is too old.
     *
     * @param dataCentre - Another data centre.
     * @returns Whether none of its instances has returned a member table for 10 s.
     */
    isUnreachable(dataCentre: string): boolean {
        const cached = this.cachedTables.get(dataCentre);
        if (cached === undefined || monotonicMs() - cached.atMs >= TABLE_TTL_MS) {
            void this.getTable(dataCentre);
        }
        return monotonicMs() - (this.lastReplyAtMs.get(dataCentre) ?? -Infinity) > UNREACHABLE_AFTER_MS;
    }

    /**
     * Removes a cached member table that has turned out to be wrong.
     *
     * @param dataCentre - The data centre of the table.
     */
    invalidate(dataCentre: string): void {
        this.cachedTables.delete(dataCentre);
    }

    private async fetchTable(dataCentre: string): Promise<MemberTable | undefined> {
        const peers = this.peerDirectory.getPeersIn(dataCentre).sort(() => Math.random() - 0.5);
        for (const peer of peers.slice(0, TABLE_ATTEMPTS)) {
            const reply = await this.transport.call<MemberTable | undefined>(
                peer.instanceId,
                "agreement.table",
                {},
                TABLE_REQUEST_TIMEOUT_MS,
            );
            if (reply.isOk() && reply.value) {
                this.cachedTables.set(dataCentre, { table: reply.value, atMs: monotonicMs() });
                this.lastReplyAtMs.set(dataCentre, monotonicMs());
                return reply.value;
            }
        }
        this.cachedTables.set(dataCentre, { table: undefined, atMs: monotonicMs() });
        return undefined;
    }
}
