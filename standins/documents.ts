import type { KeyDocument } from "@heatherline/config";
import { newKey } from "@heatherline/config";
import { callJson, type Child, type DaemonChild } from "./cluster";

/** An endpoint of a test's service document. */
export interface TestEndpoint {
    readonly child: Child;
    readonly dataCentre: string;
    readonly maxConcurrency?: number;
    readonly coldConcurrency?: number;
    readonly warmUpMs?: number;
}

/** An organisation of a test's service document. */
export interface TestOrganisation {
    readonly organisation: string;
    readonly ratePerS: number;
    readonly burst: number;
}

/**
 * @param service - Name of the service.
 * @param endpoints - Its endpoints.
 * @param organisations - Who may call it.
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
 * @param organisations - Who may call it.
 * @returns A document for a plain service with one route that must not run twice, and one open to all.
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
 * Applies documents through a daemon; a refusal rejects.
 *
 * @param daemon - The daemon.
 * @param documents - The documents.
 */
export async function applyDocuments(daemon: DaemonChild, ...documents: unknown[]): Promise<void> {
    for (const document of documents) {
        const reply = await callJson(daemon.port, "/admin/documents", { method: "PUT", body: document });
        if (reply.status !== 200) {
            throw new Error(`document refused: ${reply.text}`);
        }
    }
}

/**
 * Issues a key through a daemon.
 *
 * @param daemon - The daemon.
 * @param organisation - Whom it is for.
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
