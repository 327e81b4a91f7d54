import type http from "node:http";

/**
 * Who ended a connection before the response to a request on it was complete.
 *
 * - `handler`: whoever handled the request gave the response up.
 * - `connection`: this process closed the connection without regard to the request.
 * - `caller`: the caller closed the connection, or it broke.
 */
export type CutBy = "handler" | "connection" | "caller";

/**
 * Finds out who cut a response, after its connection has closed.
 *
 * @param response - The response, which is not complete.
 * @param wasGivenUp - Whether its handler has given it up.
 * @returns Who cut it.
 */
export function findCutBy(response: http.ServerResponse, wasGivenUp: boolean): CutBy {
    if (wasGivenUp) {
        return "handler";
    }
    const { socket } = response.req;
    const isClosedByCaller = socket.readableEnded || (socket.errored ?? undefined) !== undefined;
    return isClosedByCaller ? "caller" : "connection";
}
