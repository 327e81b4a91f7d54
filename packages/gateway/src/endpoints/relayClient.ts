import { ResponseEndObserver } from "@heatherline/common";
import { getSoftwareVersion, type MemberEntry } from "@heatherline/fleet";
import http from "node:http";
import type { EndpointRequest, EndpointResponse } from "./endpointClient";
import {
    encodeRelayRequest,
    isRelayFailure,
    RELAY_FAILURE_HEADER,
    RELAY_PATH,
    RELAYED_ENDPOINT_HEADER,
    RELAYED_FRAMING_HEADER,
    type RelayFailure,
    toBodyFraming,
} from "./relayProtocol";

/** Instances accept connections of each other within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
const MAX_SOCKETS_PER_PEER = 256;
const IDLE_MS = 2_000;
const RELAY_HEADERS = new Set([RELAYED_ENDPOINT_HEADER, RELAYED_FRAMING_HEADER, RELAY_FAILURE_HEADER]);

/** What came of a request that was sent through another instance. */
export type RelaySendOutcome =
    | { readonly kind: "response"; readonly response: Omit<EndpointResponse, "head">; }
    | { readonly kind: "failed"; readonly failure: RelayFailure; readonly reason: string; }
    /** The connection to the other instance broke; the request may have been sent on. */
    | { readonly kind: "lost"; readonly reason: string; }
    /** The other instance didn't take the request: it can't be reached or doesn't relay. */
    | { readonly kind: "not-taken"; readonly reason: string; };

/** Sends requests to endpoints through another instance. */
export class RelayClient {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_PEER, timeout: IDLE_MS });

    /**
     * @param instanceId - This instance.
     */
    constructor(private readonly instanceId: string) {}

    /**
     * @param peer - The instance that is to relay the request.
     * @param request - The request.
     * @param headers - Its headers, names and values alternating.
     * @returns The endpoint's response, or why there is none.
     */
    send(peer: MemberEntry, request: EndpointRequest, headers: readonly string[]): Promise<RelaySendOutcome> {
        const { requestId, endpoint, method, path, mayReuseConnection, signal } = request;
        const { endpointId, service } = endpoint;
        const { instanceId } = this;
        const softwareVersion = getSoftwareVersion(endpoint);
        const head = {
            requestId,
            endpointId,
            service,
            softwareVersion,
            instanceId,
            method,
            path,
            headers,
            mayReuseConnection,
        };
        const message = encodeRelayRequest(head, request.body);
        return new Promise(resolve => {
            let isConnected = false;
            const outgoing = http.request({
                host: peer.host,
                port: peer.rpcPort,
                method: "POST",
                path: RELAY_PATH,
                headers: { "Content-Length": message.length, "X-Peer-Secret": "" },
                agent: mayReuseConnection ? this.agent : false,
            });
            const connectTimer = setTimeout(
                // A connection that was established meanwhile is seen first.
                () => setImmediate(() => isConnected || outgoing.destroy(new Error("connect timeout"))),
                CONNECT_TIMEOUT_MS,
            );
            const onAbort = () => {
                outgoing.destroy(new Error("aborted"));
                // A request that waits for a connection of the agent ends without an event.
                resolve({ kind: "failed", failure: "aborted", reason: `${peer.instanceId}: aborted` });
            };
            signal.addEventListener("abort", onAbort, { once: true });
            const onConnected = () => {
                isConnected = true;
                clearTimeout(connectTimer);
            };
            outgoing.on("socket", socket => socket.connecting ? socket.once("connect", onConnected) : onConnected());
            outgoing.on("close", () => {
                clearTimeout(connectTimer);
                signal.removeEventListener("abort", onAbort);
                // After a response that switches protocols, the connection closes without any other event.
                resolve({ kind: "lost", reason: `${peer.instanceId}: closed without a response` });
            });
            outgoing.on("error", (error: NodeJS.ErrnoException) => {
                const reason = `${peer.instanceId}: ${error.code ?? error.message}`;
                resolve(
                    signal.aborted
                        ? { kind: "failed", failure: "aborted", reason }
                        : { kind: isConnected ? "lost" : "not-taken", reason },
                );
            });
            outgoing.on("response", incoming => resolve(toOutcome(peer, endpointId, outgoing, incoming)));
            outgoing.end(message);
        });
    }
}

function toOutcome(
    peer: MemberEntry,
    endpointId: string,
    outgoing: http.ClientRequest,
    incoming: http.IncomingMessage,
): RelaySendOutcome {
    // Without a listener, an error while the body arrives would end the process.
    incoming.on("error", () => undefined);
    const failure = incoming.headers[RELAY_FAILURE_HEADER];
    if (typeof failure === "string" && isRelayFailure(failure)) {
        incoming.resume();
        return { kind: "failed", failure, reason: `${peer.instanceId} says ${failure}` };
    }
    const relayedId = incoming.headers[RELAYED_ENDPOINT_HEADER];
    if (relayedId !== endpointId) {
        incoming.resume();
        return relayedId === undefined
            ? { kind: "not-taken", reason: `${peer.instanceId} doesn't relay` }
            : { kind: "lost", reason: `${peer.instanceId} has relayed a request to ${String(relayedId)}` };
    }
    return {
        kind: "response",
        response: {
            status: incoming.statusCode ?? 0,
            rawHeaders: withoutRelayHeaders(incoming.rawHeaders),
            incoming,
            endObserver: new ResponseEndObserver(
                incoming,
                outgoing,
                toBodyFraming(incoming.headers[RELAYED_FRAMING_HEADER]),
            ),
        },
    };
}

function withoutRelayHeaders(rawHeaders: readonly string[]): string[] {
    return rawHeaders.filter((_, index) => !RELAY_HEADERS.has(rawHeaders[index - index % 2]?.toLowerCase() ?? ""));
}
