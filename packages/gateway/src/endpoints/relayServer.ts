import type { Logger } from "@heatherline/common";
import type { EndpointEntry } from "@heatherline/fleet";
import type http from "node:http";
import { waitUntilDrained } from "../callers/callerResponse";
import type { HeldBodies } from "../heldBodies";
import { readChunks } from "./bodyReader";
import type { EndpointClient, EndpointResponse } from "./endpointClient";
import type { EndpointLinks } from "./endpointLinks";
import { LoopDelayMonitor } from "./loopDelayMonitor";
import {
    decodeRelayRequest,
    RELAY_FAILURE_HEADER,
    RELAYED_ENDPOINT_HEADER,
    RELAYED_FRAMING_HEADER,
    type RelayFailure,
    type RelayRequestHead,
} from "./relayProtocol";

/** Requests of other instances that are relayed at the same time. */
const MAX_OPEN_RELAYS = 96;
/** An instance whose event loop is later than this serves its own callers only. */
const MAX_LOOP_DELAY_MS = 60;
const MAX_MESSAGE_BYTES = 33_554_432;
const STATUS_OK = 200;
const STATUS_BAD_GATEWAY = 502;
/** Headers that apply to one connection, or that this instance sets itself. */
const HEADERS_NOT_RELAYED = new Set([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "content-length",
    RELAYED_ENDPOINT_HEADER,
    RELAYED_FRAMING_HEADER,
    RELAY_FAILURE_HEADER,
]);

/** What a {@link RelayServer} depends on. */
export interface RelayServerDependencies {
    /** Sends requests over this instance's own connections; what is relayed is never relayed again. */
    readonly client: EndpointClient;
    readonly links: EndpointLinks;
    /** @returns An endpoint that may be sent requests, as far as this instance knows. */
    readonly getUsableEndpoint: (head: RelayRequestHead) => EndpointEntry | undefined;
    readonly isStopping: () => boolean;
    /** Counts the requests in memory with those of this instance's own callers; absent where they are not counted. */
    readonly bodies?: HeldBodies | undefined;
    readonly logger: Logger;
}

/** Sends requests of other instances, which don't reach the endpoints themselves, to endpoints. */
export class RelayServer {
    private openRelays = 0;
    private readonly loopDelay = new LoopDelayMonitor();

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: RelayServerDependencies) {}

    /** Number of requests that are being relayed. */
    get openRelayCount(): number {
        return this.openRelays;
    }

    /**
     * Relays one request.
     *
     * @param request - A message of another instance.
     * @param response - Receives the endpoint's response, or why there is none.
     */
    async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        this.loopDelay.start();
        const { bodies } = this.deps;
        const refusal = this.getRefusal();
        const held = refusal === undefined ? bodies?.holdOnline(getMessageBytes(request)) : undefined;
        if (refusal !== undefined || (bodies !== undefined && held === undefined)) {
            request.resume();
            sendFailure(response, refusal ?? "busy");
            return;
        }
        this.openRelays += 1;
        try {
            const message = decodeRelayRequest(await readMessage(request));
            if (message === undefined) {
                response.writeHead(STATUS_BAD_GATEWAY).end();
                return;
            }
            const failure = await this.relay(message.head, message.body, response);
            if (failure !== undefined) {
                sendFailure(response, failure);
            }
            this.log(message.head, failure ?? "relayed");
        }
        finally {
            this.openRelays -= 1;
            held?.release();
        }
    }

    /** @returns Why no request of another instance is taken now, whatever it is. */
    private getRefusal(): RelayFailure | undefined {
        if (this.deps.isStopping()) {
            return "stopping";
        }
        const isBusy = this.openRelays >= MAX_OPEN_RELAYS || this.loopDelay.delayMs > MAX_LOOP_DELAY_MS;
        return isBusy ? "busy" : undefined;
    }

    /** @returns Why there is no response, or `undefined` if one has been relayed, in part or wholly. */
    private async relay(
        head: RelayRequestHead,
        body: Buffer,
        response: http.ServerResponse,
    ): Promise<RelayFailure | undefined> {
        const { requestId, endpointId, method, path, headers, mayReuseConnection } = head;
        const { client, links, getUsableEndpoint } = this.deps;
        const endpoint = getUsableEndpoint(head);
        if (endpoint === undefined) {
            return "not-usable";
        }
        if (!links.isDirect(endpoint)) {
            return "stranded";
        }
        const abortController = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                abortController.abort("the other instance has closed the connection");
            }
        });
        const result = await client.send({
            requestId,
            endpoint,
            method,
            path,
            headers,
            body,
            mayReuseConnection,
            signal: abortController.signal,
        });
        if (result.isOk()) {
            await relayResponse(endpointId, result.value, response);
            return undefined;
        }
        const { kind } = result.error;
        return kind === "unreachable" && !await links.checkLink(endpoint) ? "stranded" : kind;
    }

    private log({ requestId, endpointId, instanceId }: RelayRequestHead, outcome: string): void {
        this.deps.logger.info({ event: "relay", requestId, endpoint: endpointId, instance: instanceId, outcome });
    }
}

/** A response that ended early is broken off, so that the other instance can tell. */
async function relayResponse(
    endpointId: string,
    { status, rawHeaders, incoming, endObserver }: EndpointResponse,
    response: http.ServerResponse,
): Promise<void> {
    const relayed = rawHeaders.filter((_, index) =>
        !HEADERS_NOT_RELAYED.has(rawHeaders[index - index % 2]?.toLowerCase() ?? "")
    );
    const { framing } = endObserver.responseEnd;
    response.writeHead(status, [...relayed, RELAYED_ENDPOINT_HEADER, endpointId, RELAYED_FRAMING_HEADER, framing]);
    response.flushHeaders();
    try {
        for await (const chunk of readChunks(incoming)) {
            if (!response.write(chunk) && !response.destroyed) {
                await waitUntilDrained(response);
            }
        }
    }
    catch {
        response.destroy();
        return;
    }
    if (endObserver.isComplete) {
        response.end();
    }
    else {
        response.destroy();
    }
}

function sendFailure(response: http.ServerResponse, failure: RelayFailure): void {
    response.writeHead(STATUS_OK, { [RELAY_FAILURE_HEADER]: failure }).end();
}

function getMessageBytes({ headers }: http.IncomingMessage): number {
    return Number(headers["content-length"] ?? MAX_MESSAGE_BYTES);
}

async function readMessage(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_MESSAGE_BYTES) {
            return Buffer.alloc(0);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
