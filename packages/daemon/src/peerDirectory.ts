import type { PeerAddress, RpcPeerTransport } from "@heatherline/agreement";
import { type Logger, monotonicMs, startLoop } from "@heatherline/common";
import type { InstanceDirectory } from "@heatherline/store";

const REFRESH_INTERVAL_MS = 1_500;
const HELLO_TIMEOUT_MS = 700;
/** How long an instance that the platform does not list stays known after the last contact, in milliseconds. */
const CONTACT_TTL_MS = 20_000;

/** Identity and address of an instance, as `peer.hello` exchanges them. */
export interface Hello extends PeerAddress {
    readonly incarnation: string;
}

/**
 * The instances that this one knows: those in the platform's list, which may be out of date, and those that were in
 * contact recently, among them the ones at the addresses in the settings.
 */
export class PeerDirectory {
    private listedInstances = new Map<string, PeerAddress>();
    private readonly recentContacts = new Map<string, { readonly address: PeerAddress; readonly atMs: number; }>();
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param getSelf - Returns the address of this instance.
     * @param directory - The platform's list of instances; `undefined` without a platform.
     * @param seeds - Addresses of further instances, `IP:PORT`.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly getSelf: () => PeerAddress,
        private readonly directory: InstanceDirectory | undefined,
        private readonly seeds: readonly string[],
        private readonly logger: Logger,
    ) {}

    /**
     * Reads the platform's list and contacts the seeds, then repeats both periodically.
     *
     * @param transport - Calls to other instances.
     */
    async start(transport: RpcPeerTransport): Promise<void> {
        await this.refresh(transport);
        this.stopLoop = startLoop(() => REFRESH_INTERVAL_MS, () => this.refresh(transport));
    }

    /** Stops the periodic refresh. */
    stop(): void {
        void this.stopLoop?.();
    }

    /**
     * @param instanceId - An instance.
     * @returns Its address, if it is known.
     */
    getAddress(instanceId: string): PeerAddress | undefined {
        return this.getAll().get(instanceId);
    }

    /** @returns All known instances except this one. */
    getPeers(): PeerAddress[] {
        const all = this.getAll();
        all.delete(this.getSelf().instanceId);
        return [...all.values()];
    }

    /**
     * @param dataCentre - A data centre.
     * @returns The other instances in it.
     */
    getPeersIn(dataCentre: string): PeerAddress[] {
        return this.getPeers().filter(peer => peer.dataCentre === dataCentre);
    }

    /** @returns This instance and all known instances of its data centre. */
    getDataCentreInstances(): string[] {
        const { instanceId, dataCentre } = this.getSelf();
        return [...new Set([instanceId, ...this.getPeersIn(dataCentre).map(peer => peer.instanceId)])];
    }

    /**
     * Records a contact with an instance.
     *
     * @param address - The address of the instance.
     */
    recordContact(address: PeerAddress): void {
        this.recentContacts.set(address.instanceId, { address, atMs: monotonicMs() });
    }

    private getAll(): Map<string, PeerAddress> {
        const all = new Map(this.listedInstances);
        for (const [instanceId, { address, atMs }] of this.recentContacts) {
            if (monotonicMs() - atMs < CONTACT_TTL_MS) {
                all.set(instanceId, address);
            }
        }
        return all;
    }

    private async refresh(transport: RpcPeerTransport): Promise<void> {
        const listing = await this.directory?.listInstances();
        if (listing?.isOk()) {
            this.listedInstances = new Map(listing.value.map(instance => [instance.instanceId, instance]));
        }
        await Promise.all(this.seeds.map(async seed => {
            const separatorIndex = seed.lastIndexOf(":");
            const address = seed.slice(0, separatorIndex).replace(/^\[|\]$/g, "");
            const port = Number(seed.slice(separatorIndex + 1));
            const hello = await transport.callAddress<Hello>(
                address,
                port,
                "peer.hello",
                this.getSelf(),
                HELLO_TIMEOUT_MS,
            );
            if (hello.isOk()) {
                this.recordContact(hello.value);
            }
            else {
                this.logger.debug({ seed, error: hello.error.toString() }, "seed instance is unreachable");
            }
        }));
    }
}
