import type { RpcPeerServer } from "@heatherline/agreement";
import type { Logger } from "@heatherline/common";
import {
    type EndpointEntry,
    type EndpointStatements,
    type FleetView,
    getSoftwareVersion,
    type MemberEntry,
    METHODS,
    type RpcCaller,
} from "@heatherline/fleet";
import type { HeldBodies } from "../heldBodies";
import type { GatewayMetrics } from "../metrics";
import type { WireCodec } from "../wireCodec";
import { EndpointClient, type EndpointSender } from "./endpointClient";
import { EndpointLinks } from "./endpointLinks";
import { LinkedEndpointClient, type ReachCheck } from "./linkedEndpointClient";
import { RelayClient } from "./relayClient";
import { RelayPeers } from "./relayPeers";
import { RELAY_PATH, type RelayRequestHead } from "./relayProtocol";
import { RelayServer } from "./relayServer";

/** The other instance tries to connect, and then to connect to other endpoints. */
const CHECK_TIMEOUT_MS = 700;

/** What an {@link EndpointAccess} depends on. */
export interface EndpointAccessDependencies {
    readonly self: MemberEntry;
    readonly view: FleetView;
    readonly statements: EndpointStatements;
    readonly getRegion: (dataCentre: string) => string;
    readonly rpc: RpcCaller;
    readonly wire: WireCodec;
    readonly getMetrics: () => GatewayMetrics;
    readonly isStopping: () => boolean;
    /** Counts the bodies in memory. */
    readonly bodies: HeldBodies;
    readonly logger: Logger;
}

/**
 * Access to endpoints: over this instance's own connections, through other instances while it doesn't reach them, and for
 * other instances that don't.
 */
export class EndpointAccess {
    /** Sends the requests of this instance. */
    readonly sender: EndpointSender;
    private readonly direct: EndpointClient;
    private readonly links: EndpointLinks;
    private readonly relayServer: RelayServer;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: EndpointAccessDependencies) {
        const { self, view, statements, getRegion, rpc, wire, getMetrics, isStopping, bodies, logger } = deps;
        const direct = new EndpointClient(wire, statements, event => getMetrics().recordConnection(event));
        const links = new EndpointLinks({
            getEndpoints: () => view.getEndpoints(),
            canConnect: endpoint => direct.canConnect(endpoint),
            logger,
        });
        this.direct = direct;
        this.links = links;
        this.sender = new LinkedEndpointClient({
            direct,
            links,
            peers: new RelayPeers({ self, getMembers: () => view.members, getRegion }),
            relays: new RelayClient(self.instanceId),
            askPeer: async ({ host, rpcPort }, endpointId) => {
                const params = { endpointId };
                const reply = await rpc.callAddress<ReachCheck>(
                    host,
                    rpcPort,
                    METHODS.checkEndpoint,
                    params,
                    CHECK_TIMEOUT_MS,
                );
                return reply.isOk() ? reply.value : undefined;
            },
            onRelayed: outcome => getMetrics().recordRelayedRequest(outcome),
        });
        this.relayServer = new RelayServer({
            client: direct,
            links,
            getUsableEndpoint: head => this.getUsableEndpoint(head),
            isStopping,
            bodies,
            logger,
        });
    }

    /** Whether this instance reaches no endpoint itself. */
    get isStranded(): boolean {
        return this.links.isStranded;
    }

    /** Number of requests of other instances that are being relayed. */
    get openRelayCount(): number {
        return this.relayServer.openRelayCount;
    }

    /**
     * Serves the requests of other instances.
     *
     * @param server - The server that other instances call.
     */
    serve(server: RpcPeerServer): void {
        server.addRoute(RELAY_PATH, (request, response) => this.relayServer.handle(request, response));
        server.addMethod(
            METHODS.checkEndpoint,
            ({ endpointId }: { endpointId: string; }) => this.checkReach(endpointId),
        );
    }

    /** Ends background work. */
    stop(): void {
        this.links.stop();
    }

    /** What this instance says of an endpoint counts only while it reaches others. */
    private async checkReach(endpointId: string): Promise<ReachCheck> {
        const endpoint = this.deps.view.getEndpoint(endpointId);
        if (endpoint === undefined || !this.links.isDirect(endpoint)) {
            return "unknown";
        }
        if (await this.direct.canConnect(endpoint)) {
            return "reachable";
        }
        return await this.links.checkLink(endpoint) ? "unreachable" : "unknown";
    }

    /**
     * Another instance may not know yet that an endpoint leaves, that its data centre is evacuated, or that its id has been
     * registered anew.
     */
    private getUsableEndpoint(head: RelayRequestHead): EndpointEntry | undefined {
        const { endpointId, service, softwareVersion } = head;
        const { view, statements } = this.deps;
        const entry = view.getEndpoint(endpointId);
        const isUsable = entry?.state === "ready" && entry.service === service
            && getSoftwareVersion(entry) === softwareVersion && !view.evacuated.has(entry.dataCentre)
            && !statements.getLeavingIds(id => view.getEndpoint(id)).includes(endpointId);
        return isUsable ? entry : undefined;
    }
}
