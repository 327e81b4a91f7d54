import { connect } from "node:net";

/** Time for which the endpoint must keep the connection open. */
const PROBE_HOLD_MS = 60;
const PROBE_TIMEOUT_MS = 500;

/** Address of the endpoint to probe. */
export interface ProbeTarget {
    readonly address: string;
    readonly port: number;
}

/**
 * Distinguishes a crashed endpoint from one that only lost a single connection: a crashed one refuses new connections
 * or closes them at once.
 *
 * @param target - The endpoint.
 * @returns Whether it accepts a connection and keeps it open.
 */
export function probeEndpoint(target: ProbeTarget): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host: target.address, port: target.port });
        const finish = (isAlive: boolean) => {
            clearTimeout(timeout);
            socket.destroy();
            resolve(isAlive);
        };
        const timeout = setTimeout(() => finish(false), PROBE_TIMEOUT_MS);
        socket.once("connect", () => setTimeout(() => finish(true), PROBE_HOLD_MS));
        socket.once("error", () => finish(false));
        socket.once("close", () => finish(false));
    });
}
