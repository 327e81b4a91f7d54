import http from "node:http";
import { HOST, KEYS } from "./fleet";
import type { Random } from "./soakRandom";

const CALLER_TIMEOUT_MS = 5_500;
const MS_PER_S = 1_000;

/** A gateway that callers know. */
export interface CalledGateway {
    readonly name: string;
    readonly port: number;
}

/** Response to a request, or what came of it. */
export interface CallerResponse {
    readonly gateway: string;
    /** HTTP status; 0 without a response. */
    readonly status: number;
    /** Whether the response was received to its end. */
    readonly isComplete: boolean;
    readonly body: string;
    readonly signature: string | undefined;
    readonly retryAfter: string | undefined;
    /** Whether the connection had been used before. */
    readonly wasKept: boolean;
    /** Whether the caller gave up. */
    readonly isGivenUp: boolean;
    /** In milliseconds since the epoch. */
    readonly sentAtMs: number;
    readonly endedAtMs: number;
}

/** Sends requests to random gateways over connections that are kept. */
export class SoakClient {
    private readonly agents = new Map<number, http.Agent>();
    private sequence = 0;

    /**
     * @param random - Random numbers that select the gateways.
     * @param getGateways - Returns the gateways to call.
     * @param idPrefix - First letter of all ids, in which the clients of a soak differ.
     */
    constructor(
        private readonly random: Random,
        private readonly getGateways: () => readonly CalledGateway[],
        private readonly idPrefix = "s",
    ) {}

    /** @returns An id that no other request of this client has. */
    newId(): string {
        this.sequence += 1;
        return `${this.idPrefix}${this.sequence.toString(36).padStart(6, "0")}`;
    }

    /**
     * @param method - HTTP method.
     * @param path - Path with the query.
     * @param requestId - ID of the request.
     * @param body - Its body.
     * @param headers - Headers beside those that all requests have.
     * @param readBytesPerS - How many bytes of the response are read in a second; as many as arrive if left out.
     * @returns The response, or what came of the request.
     */
    request(
        method: string,
        path: string,
        requestId: string,
        body: string,
        headers: Record<string, string>,
        readBytesPerS = Infinity,
    ): Promise<CallerResponse> {
        const gateways = this.getGateways();
        const { name = "", port = 0 } = gateways[Math.floor(this.random() * gateways.length)] ?? {};
        const sentAtMs = Date.now();
        return new Promise(resolve => {
            let text = "";
            let isGivenUp = false;
            let response: http.IncomingMessage | undefined;
            const finish = () => {
                clearTimeout(timer);
                resolve({
                    gateway: name,
                    status: response?.statusCode ?? 0,
                    // Node.js discards what has arrived and wasn't read when a request is destroyed.
                    isComplete: !isGivenUp && response?.complete === true,
                    body: text,
                    signature: response?.headers["response-signature"] as string | undefined,
                    retryAfter: response?.headers["retry-after"],
                    wasKept: request.reusedSocket,
                    isGivenUp,
                    sentAtMs,
                    endedAtMs: Date.now(),
                });
            };
            const request = http.request({
                host: "127.0.0.1",
                port,
                method,
                path,
                agent: this.getAgent(port),
                headers: {
                    Host: HOST,
                    "Request-Id": requestId,
                    Deadline: "5000",
                    Authorization: `Token ${KEYS.alpha}`,
                    ...headers,
                },
            }, incoming => {
                response = incoming;
                incoming.setEncoding("utf8");
                incoming.on("data", (chunk: string) => {
                    text += chunk;
                    if (readBytesPerS !== Infinity) {
                        incoming.pause();
                        setTimeout(() => incoming.resume(), Buffer.byteLength(chunk) * MS_PER_S / readBytesPerS);
                    }
                });
                incoming.on("error", () => undefined);
                incoming.on("close", finish);
            });
            const timer = setTimeout(() => {
                isGivenUp = true;
                request.destroy();
            }, CALLER_TIMEOUT_MS);
            request.on("error", finish);
            request.end(body);
        });
    }

    private getAgent(port: number): http.Agent {
        let agent = this.agents.get(port);
        if (agent === undefined) {
            agent = new http.Agent({ keepAlive: true });
            this.agents.set(port, agent);
        }
        return agent;
    }
}
