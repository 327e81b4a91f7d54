import type { KeyDocument } from "@heatherline/config";
import { newKey } from "@heatherline/config";
import { callJson, type Child, type DaemonChild } from "./cluster";

/** An endpoint in a test's service document. */
export interface TestEndpoint {
    readonly child: Child;
    readonly dataCentre: string;
    readonly maxConcurrency?: number;
    readonly coldConcurrency?: number;
    readonly warmUpMs?: number;
}

/** An organisation in a test's service document. */
export interface TestOrganisation {
    readonly organisation: string;
    readonly ratePerS: number;
    readonly burst: number;
}

/**
 * @param service - Name of the service.
 * @param endpoints - Its endpoints.
 * @param organisations - Organisations that may call it, with their rate limits.
 * @returns A document for a language model service.
 */
export function newModelService(
    service: string,
    endpoints: readonly TestEndpoint[],
    organisations: readonly TestOrganisation[],
): Record<string, unknown> {
    return {
        kind: "service",
        service,
        interface: "openai",
        models: [{ model: `${service}-model`, versions: ["1"] }],
        endpoints: endpoints.map(newEndpoint),
        organisations,
        routes: [
            { path: "/v1/chat/completions", timeoutMs: 30_000 },
            { path: "/v1/completions", timeoutMs: 30_000 },
            { path: "/v1/embeddings", timeoutMs: 30_000 },
        ],
        objectives: [
            { objective: "availability", targetFraction: 0.999 },
            { objective: "first-byte", targetFraction: 0.95, thresholdMs: 1_200 },
        ],
    };
}

/**
 * @param service - Name of the service.
 * @param endpoints - Its endpoints.
 * @param organisations - Organisations that may call it, with their rate limits.
 * @returns A document for a plain service: `/post` isn't idempotent, and `/open` needs no API key.
 */
export function newPlainService(
    service: string,
    endpoints: readonly TestEndpoint[],
    organisations: readonly TestOrganisation[],
): Record<string, unknown> {
    return {
        kind: "service",
        service,
        interface: "plain",
        endpoints: endpoints.map(newEndpoint),
        organisations,
        routes: [
            { path: "/post", idempotent: false, timeoutMs: 10_000 },
            { path: "/status/", methods: ["GET", "POST"], timeoutMs: 10_000 },
            { path: "/open", methods: ["GET", "POST"], access: "open", timeoutMs: 10_000 },
        ],
    };
}

/**
 * Applies configuration documents through a daemon's admin API, one after the other.
 *
 * @param daemon - The daemon.
 * @param documents - The documents.
 * @throws Error if the daemon refuses a document.
 */
export async function applyDocuments(daemon: DaemonChild, ...documents: unknown[]): Promise<void> {
    for (const document of documents) {
        const response = await callJson(daemon.port, "/admin/documents", { method: "PUT", body: document });
        if (response.status !== 200) {
            throw new Error(`document refused: ${response.text}`);
        }
    }
}

/**
 * Creates an API key and applies its document through a daemon.
 *
 * @param daemon - The daemon.
 * @param organisation - The organisation that gets the key.
 * @returns The key and its document.
 */
export async function issueKey(
    daemon: DaemonChild,
    organisation: string,
): Promise<{ secretKey: string; document: KeyDocument; }> {
    const issued = newKey(organisation);
    await applyDocuments(daemon, issued.document);
    return issued;
}

function newEndpoint(
    { child, dataCentre, maxConcurrency, coldConcurrency, warmUpMs }: TestEndpoint,
    index: number,
): object {
    return {
        endpoint: `endpoint-${index}`,
        dataCentre,
        address: "127.0.0.1",
        port: child.port,
        maxConcurrency: maxConcurrency ?? 8,
        coldConcurrency: coldConcurrency ?? 1,
        warmUpMs: warmUpMs ?? 0,
    };
}
