import http from "node:http";
import type { Readable } from "node:stream";
import { CliError } from "./errors";

/** Address of the daemon and the credentials to send. */
export interface ConnectionOptions {
    readonly url: string;
    /** Sent to `/admin/` paths only. */
    readonly operatorToken: string | undefined;
    /** API key of an organisation, sent to all other paths. */
    readonly key: string | undefined;
}

/** An HTTP response of the daemon. */
export interface DaemonResponse {
    readonly status: number;
    readonly text: string;
}

const TIMEOUT_MS = 120_000;
const FIRST_ERROR_STATUS = 400;

/** HTTP client for one daemon. */
export class DaemonClient {
    /**
     * @param connection - Address of the daemon and the credentials to send.
     */
    constructor(private readonly connection: ConnectionOptions) {}

    /**
     * Sends a request and parses the JSON response. Throws a {@link CliError} if the status is 400 or higher, or if the
     * daemon can't be reached.
     *
     * @param method - HTTP method.
     * @param path - Path with query string.
     * @param body - Sent unchanged if it is a string or a stream, otherwise as JSON.
     * @param headers - Additional headers.
     * @returns The parsed response.
     */
    async call<Body>(
        method: string,
        path: string,
        body?: unknown,
        headers: Record<string, string> = {},
    ): Promise<Body> {
        const response = await this.send(method, path, body, headers);
        if (response.status >= FIRST_ERROR_STATUS) {
            throw new CliError("refused", formatErrorResponse(response));
        }
        return JSON.parse(response.text) as Body;
    }

    /**
     * Sends a request. Throws a {@link CliError} if the daemon can't be reached.
     *
     * @param method - HTTP method.
     * @param path - Path with query string.
     * @param body - Sent unchanged if it is a string or a stream, otherwise as JSON.
     * @param headers - Additional headers.
     * @returns The response, whatever its status.
     */
    send(method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<DaemonResponse> {
        const { url, operatorToken, key } = this.connection;
        const allHeaders: Record<string, string> = { "content-type": "application/json", ...headers };
        if (operatorToken !== undefined && path.startsWith("/admin/")) {
            allHeaders["x-operator-token"] = operatorToken;
        }
        if (key !== undefined && !path.startsWith("/admin/")) {
            allHeaders.authorization = `Bearer ${key}`;
        }
        return new Promise((resolve, reject) => {
            const fail = (error: Error) =>
                reject(new CliError("unreachable", `${url} can't be reached: ${error.message}`, error));
            const request = http.request(
                new URL(path, url),
                { method, headers: allHeaders, timeout: TIMEOUT_MS },
                response => {
                    const chunks: Buffer[] = [];
                    response.on("data", (chunk: Buffer) => chunks.push(chunk));
                    response.on("error", fail);
                    response.on(
                        "end",
                        () =>
                            resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString("utf8") }),
                    );
                },
            );
            request.on("timeout", () => request.destroy(new Error(`no response within ${TIMEOUT_MS} ms`)));
            request.on("error", fail);
            if (isStream(body)) {
                body.on("error", fail);
                body.pipe(request);
                return;
            }
            request.end(body === undefined || typeof body === "string" ? body : JSON.stringify(body));
        });
    }
}

function isStream(body: unknown): body is Readable {
    return typeof body === "object" && body !== null && "pipe" in body;
}

function formatErrorResponse({ status, text }: DaemonResponse): string {
    try {
        const problem = JSON.parse(text) as {
            message?: string;
            detail?: string;
            code?: string;
            error?: string;
            faults?: string[];
        };
        const lines = [problem.detail ?? problem.message ?? text, ...(problem.faults ?? []).map(fault => `  ${fault}`)];
        return `${problem.code ?? problem.error ?? status}: ${lines.join("\n")}`;
    }
    catch {
        return `status ${status}: ${text}`;
    }
}
