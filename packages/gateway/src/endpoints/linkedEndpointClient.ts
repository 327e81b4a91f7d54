import { sleep } from "@heatherline/common";
import type { EndpointEntry, MemberEntry } from "@heatherline/fleet";
import { err, ok, type Result } from "neverthrow";
import type { EndpointClient, EndpointRequest, EndpointResponse, EndpointSender, SendFailure } from "./endpointClient";
import type { EndpointLinks, Fault } from "./endpointLinks";
import type { RelayClient } from "./relayClient";
import type { RelayPeers } from "./relayPeers";
import type { RelayFailure } from "./relayProtocol";

/** Instances that are asked to relay one request. */
const MAX_RELAY_TRIES = 8;
/** Instances that may say of one endpoint that it takes no requests, until they are believed. */
const MAX_NOT_USABLE = 2;
/**
 * After an attempt to connect has failed, it is known within this time whether the link is at fault, unless others take as
 * long with the endpoint.
 */
const MAX_FAULT_WAIT_MS = 150;
/** Instances that are asked whether they reach an endpoint. */
const MAX_CHECKS = 3;

type NotSent = "stranded" | "busy" | "stopping" | "not-usable" | "no-path";

/** What another instance knows of an endpoint. */
export type ReachCheck = "reachable" | "unreachable" | "unknown";

/** What a {@link LinkedEndpointClient} depends on. */
export interface LinkedEndpointClientDependencies {
    readonly direct: EndpointClient;
    readonly links: EndpointLinks;
    readonly peers: RelayPeers;
    readonly relays: RelayClient;
    /** Asks another instance whether it reaches an endpoint; `undefined` if it doesn't reply. */
    readonly askPeer: (peer: MemberEntry, endpointId: string) => Promise<ReachCheck | undefined>;
    readonly onRelayed: (outcome: "response" | SendFailure["kind"]) => void;
}

/**
 * Sends requests over this instance's own connections while it reaches the endpoints, otherwise through another instance.
 * What is sent through another instance holds the same place as if it were sent directly.
 */
export class LinkedEndpointClient implements EndpointSender {
    private readonly pendingChecks = new Map<string, Promise<Fault>>();

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: LinkedEndpointClientDependencies) {}

    getLastDataAtMs(endpointId: string): number {
        return this.deps.direct.getLastDataAtMs(endpointId);
    }

    async send(request: EndpointRequest): Promise<Result<EndpointResponse, SendFailure>> {
        const { direct, links, onRelayed } = this.deps;
        const { endpoint } = request;
        if (links.isDirect(endpoint)) {
            let fault: Promise<Fault> | undefined;
            const onSlowConnect = () => void (fault ??= this.findFault(endpoint, "not-connected"));
            const result = await direct.send({ ...request, onSlowConnect });
            if (result.isOk() || result.error.kind !== "unreachable") {
                return result;
            }
            fault ??= this.findFault(endpoint, "not-connected");
            if (await Promise.race([fault, sleep(MAX_FAULT_WAIT_MS)]) !== "link") {
                return result;
            }
        }
        const relayed = await this.sendRelayed(request);
        onRelayed(relayed.isOk() ? "response" : relayed.error.kind);
        return relayed;
    }

    /**
     * Finds out why an endpoint has not answered as expected. One check serves all who ask at the same time.
     *
     * @param endpoint - The endpoint.
     * @param experience - `not-connected` if this instance has just tried in vain to connect to it.
     * @returns Where the fault is.
     */
    findFault(endpoint: EndpointEntry, experience: "not-connected" | "unknown" = "unknown"): Promise<Fault> {
        let fault = this.pendingChecks.get(endpoint.endpointId);
        if (fault === undefined) {
            fault = this.checkEndpoint(endpoint, experience).finally(() =>
                this.pendingChecks.delete(endpoint.endpointId)
            );
            this.pendingChecks.set(endpoint.endpointId, fault);
        }
        return fault;
    }

    private async checkEndpoint(endpoint: EndpointEntry, experience: "not-connected" | "unknown"): Promise<Fault> {
        const { direct, links } = this.deps;
        if (links.isDirect(endpoint)) {
            if (experience === "unknown" && await direct.canConnect(endpoint)) {
                return "none";
            }
            // Endpoints that have all crashed look like a fault of the own link, and others can tell.
            if (!await links.checkLink(endpoint) && experience === "not-connected") {
                return "link";
            }
        }
        const check = await this.askOthers(endpoint);
        if (check === "reachable" && links.isDirect(endpoint)) {
            links.markOutOfReach(endpoint);
        }
        return check === "unreachable" || (check === "unknown" && links.isDirect(endpoint)) ? "endpoint" : "link";
    }

    /** Asks one instance after the other until one has sent the request. */
    private async sendRelayed(request: EndpointRequest): Promise<Result<EndpointResponse, SendFailure>> {
        const { peers } = this.deps;
        const triedIds = new Set<string>();
        let notUsable = 0;
        let reason = "no other instance can be asked";
        while (triedIds.size < MAX_RELAY_TRIES && notUsable < MAX_NOT_USABLE) {
            const peer = peers.pick(request.endpoint.dataCentre, triedIds);
            const headers = request.renewHeaders === undefined ? request.headers : request.renewHeaders();
            if (peer === undefined || headers === undefined) {
                break;
            }
            if (request.signal.aborted) {
                return err({ kind: "aborted", reason: "aborted before sending" });
            }
            triedIds.add(peer.instanceId);
            const outcome = await this.sendThrough(peer, { ...request, headers });
            if (outcome.isOk()) {
                return ok(outcome.value);
            }
            const { kind } = outcome.error;
            reason = outcome.error.reason;
            if (!isNotSent(kind)) {
                return err({ kind, reason });
            }
            if (kind === "not-usable") {
                notUsable += 1;
            }
            else {
                peers.recordFailure(peer.instanceId);
            }
        }
        return err({ kind: "no-path", reason });
    }

    private async sendThrough(
        peer: MemberEntry,
        request: EndpointRequest,
    ): Promise<Result<EndpointResponse, { readonly kind: RelayFailure; readonly reason: string; }>> {
        const { peers, relays, direct } = this.deps;
        const { signal } = request;
        const onAbort = () => signal.reason === "silent" && void this.checkPeer(peer, request.endpoint);
        signal.addEventListener("abort", onAbort, { once: true });
        const sentAtMs = performance.now();
        const outcome = await relays.send(peer, request, request.headers);
        switch (outcome.kind) {
            case "response":
                outcome.response.incoming.once("close", () => signal.removeEventListener("abort", onAbort));
                peers.recordSuccess(peer.instanceId);
                // The other instance has checked that the response is no earlier one on its connection.
                return direct.checkResponse(request, outcome.response, { sentAtMs, isConnectionReused: false });
            case "failed":
                signal.removeEventListener("abort", onAbort);
                return err({ kind: outcome.failure, reason: outcome.reason });
            case "lost":
                signal.removeEventListener("abort", onAbort);
                peers.recordFailure(peer.instanceId);
                return err({ kind: "broken", reason: outcome.reason });
            case "not-taken":
                signal.removeEventListener("abort", onAbort);
                return err({ kind: "no-path", reason: outcome.reason });
        }
    }

    /** Either the other instance or the endpoint may be silent. */
    private async checkPeer(peer: MemberEntry, { endpointId }: EndpointEntry): Promise<void> {
        if (await this.deps.askPeer(peer, endpointId) === undefined) {
            this.deps.peers.recordFailure(peer.instanceId);
        }
    }

    private async askOthers(endpoint: EndpointEntry): Promise<ReachCheck> {
        const { peers, askPeer } = this.deps;
        const triedIds = new Set<string>();
        while (triedIds.size < MAX_CHECKS) {
            const peer = peers.pick(endpoint.dataCentre, triedIds);
            if (peer === undefined) {
                break;
            }
            triedIds.add(peer.instanceId);
            const check = await askPeer(peer, endpoint.endpointId);
            if (check === undefined) {
                peers.recordFailure(peer.instanceId);
            }
            if (check === "reachable" || check === "unreachable") {
                return check;
            }
        }
        return "unknown";
    }
}

/** Whether the request was not sent, so that another instance may be asked. */
function isNotSent(kind: RelayFailure): kind is NotSent {
    return kind === "stranded" || kind === "busy" || kind === "stopping" || kind === "not-usable" || kind === "no-path";
}
