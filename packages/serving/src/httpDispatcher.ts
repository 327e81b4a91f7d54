import { EndpointAgent, type EndpointRequestOptions, monotonicMs, ResponseEndObserver } from "@heatherline/common";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import type { CreditPool, EndpointSlot } from "./endpoints/creditPool";
import { DispatchError } from "./errors";
import type { DeliveredResponse, Exchange, WorkClass } from "./exchange";
import type { Dispatcher } from "./filters/attempt";
import { ResponseRelay } from "./responseRelay";

const REQUEST_ID_HEADER = "x-request-id";
const ENDPOINT_START_HEADER = "x-endpoint-start";
const IDLE_CONNECTION_MS = 4_000;
const OVERLOAD_STATUSES = new Set([429, 503]);

/**
 * Request headers that are never forwarded: hop-by-hop headers, the caller's secrets, and headers that this instance
 * handles itself.
 */
const STRIPPED_HEADERS = new Set([
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-deadline",
    "x-request-id",
    "x-timeout-ms",
]);

/** An endpoint's response; its body is yet to be read from `incoming`. */
interface EndpointResponse {
    readonly incoming: http.IncomingMessage;
    readonly endObserver: ResponseEndObserver;
}

/** Runs one attempt over HTTP; online requests and batch items use separate connection pools. */
export class HttpDispatcher implements Dispatcher {
    private readonly agents: Record<WorkClass, EndpointAgent> = { online: newAgent(), batch: newAgent() };

    /**
     * @param creditPool - Gets the time to first byte and the start mark of each response.
     */
    constructor(private readonly creditPool: CreditPool) {}

    async dispatch(exchange: Exchange, slot: EndpointSlot): Promise<Result<DeliveredResponse, DispatchError>> {
        const sentAtMs = monotonicMs();
        const response = await this.send(exchange, slot);
        if (response.isErr()) {
            return err(response.error);
        }
        const { incoming, endObserver } = response.value;
        exchange.firstByteMs = monotonicMs() - exchange.startedAtMs;
        const startMark = incoming.headers[ENDPOINT_START_HEADER];
        this.creditPool.recordResponse(
            slot.endpoint,
            monotonicMs() - sentAtMs,
            typeof startMark === "string" ? startMark : undefined,
        );
        const echoedRequestId = incoming.headers[REQUEST_ID_HEADER];
        if (echoedRequestId !== undefined && echoedRequestId !== exchange.requestId) {
            incoming.destroy();
            return err(new DispatchError("stray", `the response belongs to request ${String(echoedRequestId)}`, true));
        }
        // A non-idempotent request is not retried once it was sent, so its caller gets the endpoint's own response.
        if (OVERLOAD_STATUSES.has(incoming.statusCode ?? 0) && exchange.route?.idempotent === true) {
            incoming.resume();
            return err(new DispatchError("overloaded", `status ${incoming.statusCode}`, true));
        }
        return new ResponseRelay(exchange, incoming, endObserver).run();
    }

    private send(exchange: Exchange, slot: EndpointSlot): Promise<Result<EndpointResponse, DispatchError>> {
        const { signal } = exchange.abortController;
        if (signal.aborted) {
            return Promise.resolve(err(new DispatchError("aborted", "aborted before the request was sent", false)));
        }
        return new Promise(resolve => {
            let isSent = false;
            const markSent = () => {
                isSent = true;
                exchange.isSent = true;
            };
            const opened = this.openRequest(exchange, slot);
            if (opened.isErr()) {
                resolve(err(opened.error));
                return;
            }
            const request = opened.value;
            const onAbort = () => request.destroy(new Error("the request was aborted"));
            signal.addEventListener("abort", onAbort, { once: true });
            request.on("close", () => {
                signal.removeEventListener("abort", onAbort);
                // After a response that switches protocols, the connection closes without any other event.
                resolve(err(toDispatchError(new Error("closed without a response"), isSent, signal.aborted)));
            });
            request.on("socket", socket => {
                socket.setNoDelay(true);
                if (socket.connecting) {
                    socket.once("connect", markSent);
                }
                else {
                    markSent();
                }
            });
            request.on("response", incoming => {
                resolve(ok({ incoming, endObserver: new ResponseEndObserver(incoming, request) }));
            });
            request.on("error", (error: NodeJS.ErrnoException) => {
                resolve(err(toDispatchError(error, isSent, signal.aborted)));
            });
            request.end(exchange.body);
        });
    }

    /** Node.js throws at once for what can't be sent, such as a path with a space. */
    private openRequest(exchange: Exchange, slot: EndpointSlot): Result<http.ClientRequest, DispatchError> {
        const isIdempotent = exchange.route?.idempotent === true;
        const options: EndpointRequestOptions = {
            requestId: exchange.requestId,
            host: slot.spec.address,
            port: slot.spec.port,
            method: exchange.method,
            path: exchange.upstreamPath,
            headers: getUpstreamHeaders(exchange),
            // The endpoint may close an idle connection just as a request is sent on it; then it is unknown whether
            // the request ran. Requests that must not run twice therefore use a new connection.
            agent: isIdempotent ? this.agents[exchange.workClass] : false,
        };
        try {
            return ok(http.request(options));
        }
        catch (error) {
            return err(new DispatchError("refused", "the request can't be sent", false, error));
        }
    }
}

function newAgent(): EndpointAgent {
    return new EndpointAgent({ idleMs: IDLE_CONNECTION_MS, firstReused: "shortest-idle" });
}

function toDispatchError(error: NodeJS.ErrnoException, isSent: boolean, isAborted: boolean): DispatchError {
    if (isAborted) {
        return new DispatchError("aborted", "the request was aborted", isSent, error);
    }
    return isSent
        ? new DispatchError("reset", "the connection was lost", true, error)
        : new DispatchError("refused", "no connection to the endpoint", false, error);
}

function getUpstreamHeaders(exchange: Exchange): http.OutgoingHttpHeaders {
    const headers: http.OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(exchange.headers)) {
        if (!STRIPPED_HEADERS.has(name)) {
            headers[name] = value;
        }
    }
    headers[REQUEST_ID_HEADER] = exchange.requestId;
    headers["content-length"] = exchange.body.length;
    return headers;
}
