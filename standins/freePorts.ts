import { createSocket } from "node:dgram";
import { createServer } from "node:net";

/** Lowest port and number of ports to assign: below the ephemeral range, so that no outgoing connection takes one. */
const PORTS: PortRange = { minPort: 11_000, portCount: 21_000 };
const ATTEMPTS_PER_PORT = 100;

/** Ports from which free ones are chosen. */
export interface PortRange {
    readonly minPort: number;
    readonly portCount: number;
}

/**
 * Reserves TCP ports of the loopback interface on which nothing listens. No other caller gets them while this process
 * runs, in whichever process that caller is, so that a port is still free when a process that is started for it listens.
 * The reservation is a UDP socket with the port's number: the kernel lets one process have it and ends it with that process.
 *
 * @param count - How many ports are reserved.
 * @param range - Ports to choose from.
 * @returns The ports.
 * @throws Error if not enough free ports were found.
 */
export async function reserveFreePorts(count: number, range: PortRange = PORTS): Promise<number[]> {
    const ports: number[] = [];
    for (let attempt = 0; attempt < count * ATTEMPTS_PER_PORT && ports.length < count; attempt += 1) {
        const port = range.minPort + Math.floor(Math.random() * range.portCount);
        if (await tryReserve(port) && await isPortFree(port)) {
            ports.push(port);
        }
    }
    if (ports.length < count) {
        throw new Error(`only ${ports.length} of ${count} free ports were found`);
    }
    return ports;
}

/** @returns A TCP port that is reserved as {@link reserveFreePorts} reserves them. */
export async function reserveFreePort(): Promise<number> {
    const [port = 0] = await reserveFreePorts(1);
    return port;
}

function tryReserve(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const reservation = createSocket("udp4");
        reservation.once("error", () => {
            reservation.close();
            resolve(false);
        });
        reservation.bind({ port, address: "127.0.0.1", exclusive: true }, () => {
            reservation.unref();
            resolve(true);
        });
    });
}

function isPortFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "127.0.0.1", () => probe.close(() => resolve(true)));
    });
}
