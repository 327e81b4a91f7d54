import type { ResponseSink } from "@heatherline/serving";
import type http from "node:http";

/** Writes a response to a caller over HTTP. */
export class HttpSink implements ResponseSink {
    /**
     * @param response - The caller's response.
     */
    constructor(private readonly response: http.ServerResponse) {}

    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    begin(status: number, headers: Record<string, string>): void {
        this.response.writeHead(status, headers);
    }

    write(chunk: Buffer): Promise<void> | undefined {
        if (this.response.write(chunk) || this.response.destroyed) {
            return undefined;
        }
        return new Promise(resolve => {
            const finish = () => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.once("drain", finish);
            this.response.once("close", finish);
        });
    }

    end(): void {
        this.response.end();
    }

    abort(): void {
        this.response.destroy();
    }
}
