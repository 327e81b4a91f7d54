import { connect, createServer, type Server, type Socket } from "node:net";

/** A TCP relay between two instances. While it is cut, it drops all bytes, as a network partition does. */
export class Relay {
    /** Whether it drops bytes instead of forwarding them. */
    isCut = false;
    private readonly sockets = new Set<Socket>();
    private server: Server | undefined;

    /**
     * @param getTargetPort - Returns the port on the loopback interface to which connections are relayed.
     */
    constructor(private readonly getTargetPort: () => number) {}

    /** @returns The port on which the relay listens. */
    listen(): Promise<number> {
        const server = createServer(socket => this.relay(socket));
        this.server = server;
        return new Promise(resolve => {
            server.listen(0, "127.0.0.1", () => {
                const address = server.address();
                resolve(typeof address === "object" && address !== null ? address.port : 0);
            });
        });
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.server?.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private relay(socket: Socket): void {
        const target = connect(this.getTargetPort(), "127.0.0.1");
        for (const [from, to] of [[socket, target], [target, socket]] as const) {
            this.sockets.add(from);
            from.on("data", data => {
                if (!this.isCut) {
                    to.write(data);
                }
            });
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.sockets.delete(from);
                to.destroy();
            });
        }
    }
}
