import type http from "node:http";
import type { Socket } from "node:net";

/** Responses that wait for their turn on each connection; one listener serves all of a connection. */
const waitingBySocket = new WeakMap<Socket, Set<() => void>>();

/**
 * Responses to pipelined requests get the connection one after the other.
 *
 * @param response - A response that has not started.
 * @returns Resolves when earlier responses on the connection have been sent, or it has closed.
 */
export function waitForTurn(response: http.ServerResponse): Promise<void> {
    const { socket } = response.req;
    if (response.socket !== null || response.destroyed || socket.destroyed) {
        return Promise.resolve();
    }
    let waiting = waitingBySocket.get(socket);
    if (waiting === undefined) {
        const added = new Set<() => void>();
        waiting = added;
        waitingBySocket.set(socket, added);
        socket.once("close", () => added.forEach(done => done()));
    }
    const ownWaiting = waiting;
    return new Promise(resolve => {
        const done = () => {
            ownWaiting.delete(done);
            response.removeListener("socket", done);
            resolve();
        };
        ownWaiting.add(done);
        response.once("socket", done);
    });
}
