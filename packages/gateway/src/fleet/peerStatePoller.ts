import { sleep } from "@heatherline/common";
import {
    type Announcement,
    type FleetView,
    getElapsedMs,
    METHODS,
    newTimestamp,
    type RpcCaller,
    type StateReply,
    type StateRequest,
} from "@heatherline/fleet";

/** Randomly chosen instances that are polled in addition to the seeds. */
const MEMBERS_PER_POLL = 2;
const POLL_INTERVAL_MS = 200;
/** Poll interval of an instance that follows a deputy, which looks for a coordinator, too. */
const FOLLOWER_POLL_INTERVAL_MS = 1_000;
const POLL_TIMEOUT_MS = 400;

/** Where an instance listens for others. */
export interface PeerAddress {
    readonly host: string;
    readonly port: number;
}

/** What a {@link PeerStatePoller} depends on. */
export interface PeerStatePollerDependencies {
    readonly rpc: RpcCaller;
    readonly view: FleetView;
    readonly ownAddress: PeerAddress;
    readonly getSeeds: () => readonly PeerAddress[];
    /** Whether this instance lacks state that others may have. */
    readonly isStateIncomplete: () => boolean;
    /** Whether a deputy sends this instance the state that it has. */
    readonly isFollowingDeputy: () => boolean;
    readonly onCoordinator: (announcement: Announcement) => void;
    readonly isStopping: () => boolean;
}

/**
 * Fetches state from other instances while neither the store nor the coordinator provides it, and sends those that know
 * an older list of instances its own: each data centre needs one deputy, so all must choose from the same list.
 */
export class PeerStatePoller {
    /**
     * @param deps - What the poller depends on.
     */
    constructor(private readonly deps: PeerStatePollerDependencies) {}

    /** Polls other instances whenever state is incomplete, until this instance stops. */
    async run(): Promise<void> {
        while (!this.deps.isStopping()) {
            if (this.deps.isStateIncomplete()) {
                await Promise.all(this.pickPeers().map(address => this.pollPeer(address)));
            }
            await sleep(this.deps.isFollowingDeputy() ? FOLLOWER_POLL_INTERVAL_MS : POLL_INTERVAL_MS);
        }
    }

    /**
     * @param address - An address.
     * @returns Whether it is this instance's own.
     */
    isOwnAddress({ host, port }: PeerAddress): boolean {
        const { ownAddress } = this.deps;
        return host === ownAddress.host && port === ownAddress.port;
    }

    private pickPeers(): PeerAddress[] {
        const members = this.deps.view.members.map(({ host, rpcPort }) => ({ host, port: rpcPort }));
        const sample = members.sort(() => Math.random() - 0.5).slice(0, MEMBERS_PER_POLL);
        return [...this.deps.getSeeds(), ...sample].filter(address => !this.isOwnAddress(address));
    }

    private async pollPeer({ host, port }: PeerAddress): Promise<void> {
        const { rpc, view } = this.deps;
        const request: StateRequest = { known: view.getRevisions() };
        const sentAt = newTimestamp();
        const reply = await rpc.callAddress<StateReply>(host, port, METHODS.state, request, POLL_TIMEOUT_MS);
        if (reply.isErr()) {
            return;
        }
        view.applyUpdate(reply.value.news, getElapsedMs(sentAt));
        if (reply.value.deciding !== undefined) {
            this.deps.onCoordinator(reply.value.deciding);
        }
        if ((reply.value.known?.members ?? Infinity) < view.getRevisions().members) {
            void rpc.callAddress(host, port, METHODS.informMembers, view.versionedMembers, POLL_TIMEOUT_MS);
        }
    }
}
