import {
    type ConfigDocument,
    type DocumentKind,
    getDocumentId,
    getDocumentPath,
    newKey,
    parseDocuments,
    validateDocument,
} from "@heatherline/config";
import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import type { DaemonClient } from "../client";
import { CliError } from "../errors";
import type { Printer } from "../output";

const POLL_INTERVAL_MS = 250;

interface StoredDocument {
    readonly version: number;
    readonly document: Record<string, unknown>;
}

/** Version of a document in force on each instance, without a version for instances that didn't reply. */
interface InForceStatus {
    readonly instances: readonly { instanceId: string; dataCentre: string; version?: number; }[];
}

/**
 * Whether a data centre or an instance is in service. `ended` applies to data centres only and declares that all their
 * instances have ended.
 */
export type OperationalState = "in" | "out" | "ended";

/** Options of `apply`. */
export interface ApplyOptions {
    /** Whether to validate the documents without applying them. */
    readonly isDryRun: boolean;
    /** How long to wait until each document is in force on all instances, in seconds. */
    readonly waitS: number;
}

/** Commands that read and write configuration documents. */
export class DocumentCommands {
    /**
     * @param client - Client of the daemon.
     * @param printer - Prints results.
     */
    constructor(private readonly client: DaemonClient, private readonly printer: Printer) {}

    /**
     * Applies documents from files and waits until they are in force on every instance. Throws a {@link CliError} if not all
     * instances have confirmed this in time.
     *
     * @param files - Paths; `-` for standard input.
     * @param options - Whether this is a dry run, and how long to wait.
     */
    async apply(files: readonly string[], options: ApplyOptions): Promise<void> {
        const documents = await readDocuments(files);
        if (options.isDryRun) {
            const rows = documents.map(document => ({
                kind: document.kind,
                name: getDocumentId(document),
                result: "valid",
            }));
            this.printer.print(rows, rows);
            return;
        }
        const results = [];
        for (const document of documents) {
            results.push(await this.applyAndWait(document, options.waitS));
        }
        this.printer.print(
            results,
            results.map(({ path, version, inForce, missing }) => ({
                path,
                version,
                "in force": inForce,
                "not confirmed": missing.join(" ") || "-",
            })),
        );
        const unconfirmed = results.filter(({ missing }) => missing.length > 0);
        if (unconfirmed.length > 0) {
            throw new CliError("incomplete", "accepted, but not confirmed by every instance; see `not confirmed`");
        }
    }

    /**
     * Prints the fields that `apply` would change.
     *
     * @param files - Paths; `-` for standard input.
     */
    async diff(files: readonly string[]): Promise<void> {
        const rows = [];
        for (const document of await readDocuments(files)) {
            const current = await this.fetchDocument(document.kind, getDocumentId(document));
            const before = flattenByPath(current?.document ?? {});
            const after = flattenByPath(document);
            for (const path of [...new Set([...before.keys(), ...after.keys()])].sort()) {
                if (before.get(path) !== after.get(path)) {
                    const name = `${document.kind}/${getDocumentId(document)}`;
                    rows.push({ document: name, path, before: before.get(path), after: after.get(path) });
                }
            }
        }
        this.printer.print(rows, rows);
    }

    /**
     * Prints one document, or all documents of a kind.
     *
     * @param kind - Kind of the documents.
     * @param id - Id of one document; all documents of the kind if omitted.
     */
    async get(kind: DocumentKind, id: string | undefined): Promise<void> {
        if (id !== undefined) {
            const found = await this.client.call<StoredDocument>("GET", `/admin/documents/${kind}/${id}`);
            this.printer.print(found, [...flattenByPath(found.document)].map(([path, value]) => ({ path, value })));
            return;
        }
        const { documents } = await this.client.call<{ documents: ConfigDocument[]; }>(
            "GET",
            `/admin/documents/${kind}`,
        );
        this.printer.print(
            documents,
            documents.map(document => ({
                kind: document.kind,
                name: getDocumentId(document),
                state: "state" in document ? document.state : undefined,
            })),
        );
    }

    /**
     * Issues an API key and prints it. This is the only time that its secret is shown.
     *
     * @param organisation - Organisation that the key is for.
     * @param waitS - How long to wait for all instances, in seconds.
     */
    async issueKey(organisation: string, waitS: number): Promise<void> {
        const { secretKey, document } = newKey(organisation);
        const result = await this.applyAndWait(document, waitS);
        const row = { key: secretKey, keyId: document.keyId, organisation };
        this.printer.print({ ...row, missing: result.missing }, [row]);
    }

    /** Prints all API keys without their secrets, which aren't stored. */
    async listKeys(): Promise<void> {
        const { documents } = await this.client.call<{ documents: ConfigDocument[]; }>("GET", "/admin/documents/key");
        const rows = documents.flatMap(document =>
            document.kind === "key"
                ? [{ keyId: document.keyId, organisation: document.organisation, state: document.state }]
                : []
        );
        this.printer.print(rows, rows);
    }

    /**
     * Withdraws an API key.
     *
     * @param keyId - Id of the key.
     * @param waitS - How long to wait for all instances, in seconds.
     */
    async withdrawKey(keyId: string, waitS: number): Promise<void> {
        const found = await this.fetchDocument("key", keyId);
        if (found === undefined) {
            throw new CliError("refused", `there is no key ${keyId}`);
        }
        await this.applyAndPrint({ ...found.document, state: "withdrawn" }, waitS);
    }

    /**
     * Takes a data centre or an instance out of service or back into service, or declares a data centre ended.
     *
     * @param kind - Whether `id` names a data centre or an instance.
     * @param id - Name of the data centre or instance.
     * @param state - The new state.
     * @param waitS - How long to wait for all instances, in seconds.
     */
    async setState(
        kind: "data-centre" | "instance",
        id: string,
        state: OperationalState,
        waitS: number,
    ): Promise<void> {
        if (kind === "instance") {
            await this.applyAndPrint({ kind, instance: id, state }, waitS);
            return;
        }
        const current = (await this.fetchDocument(kind, id))?.document;
        const generation = Number(current?.generation ?? 0);
        const isReturning = current?.state === "ended" && state !== "ended";
        await this.applyAndPrint({
            kind,
            dataCentre: id,
            state,
            generation: isReturning ? generation + 1 : generation,
        }, waitS);
    }

    private async applyAndPrint(input: unknown, waitS: number): Promise<void> {
        const validated = validateDocument(input);
        if (validated.isErr()) {
            throw new CliError("usage", validated.error.faults.join("\n"));
        }
        const result = await this.applyAndWait(validated.value, waitS);
        this.printer.print(result, [{
            path: result.path,
            version: result.version,
            "in force": result.inForce,
            "not confirmed": result.missing.join(" ") || "-",
        }]);
        if (result.missing.length > 0) {
            throw new CliError("incomplete", `accepted, but not confirmed by ${result.missing.join(", ")}`);
        }
    }

    private async applyAndWait(document: ConfigDocument, waitS: number) {
        const current = await this.fetchDocument(document.kind, getDocumentId(document));
        const expectedVersion = current?.version ?? 0;
        const written = await this.client.call<{ path: string; version: number; }>(
            "PUT",
            `/admin/documents?expected=${expectedVersion}`,
            document,
        );
        const path = getDocumentPath(document.kind, getDocumentId(document));
        const deadlineMs = Date.now() + waitS * 1_000;
        for (;;) {
            const { instances } = await this.client.call<InForceStatus>(
                "GET",
                `/admin/in-force?path=${encodeURIComponent(path)}`,
            );
            const missing = instances.filter(({ version }) => (version ?? -1) < written.version).map(({ instanceId }) =>
                instanceId
            );
            if (missing.length === 0 || Date.now() >= deadlineMs) {
                return { ...written, inForce: instances.length - missing.length, missing };
            }
            this.printer.printProgress(`waiting for ${missing.join(", ")}`);
            await delay(POLL_INTERVAL_MS);
        }
    }

    private async fetchDocument(kind: DocumentKind, id: string): Promise<StoredDocument | undefined> {
        const response = await this.client.send("GET", `/admin/documents/${kind}/${id}`);
        if (response.status === 404) {
            return undefined;
        }
        if (response.status !== 200) {
            throw new CliError("refused", response.text);
        }
        return JSON.parse(response.text) as StoredDocument;
    }
}

async function readDocuments(files: readonly string[]): Promise<ConfigDocument[]> {
    const documents: ConfigDocument[] = [];
    const errors: string[] = [];
    for (const file of files) {
        const text = await readText(file);
        const parsed = parseDocuments(text);
        if (parsed.isErr()) {
            errors.push(
                ...parsed.error.faults.map(error => `${file}: ${error}`),
                ...(parsed.error.faults.length === 0 ? [`${file}: ${parsed.error.message}`] : []),
            );
            continue;
        }
        for (const [position, value] of parsed.value.entries()) {
            const validated = validateDocument(value);
            if (validated.isErr()) {
                errors.push(...validated.error.faults.map(error => `${file}, document ${position + 1}: ${error}`));
            }
            else {
                documents.push(validated.value);
            }
        }
    }
    if (errors.length > 0) {
        throw new CliError("usage", `nothing was applied:\n${errors.map(error => `  ${error}`).join("\n")}`);
    }
    return documents;
}

async function readText(file: string): Promise<string> {
    try {
        return await readFile(file === "-" ? "/dev/stdin" : file, "utf8");
    }
    catch (error) {
        throw new CliError("usage", `${file} can't be read: ${error instanceof Error ? error.message : ""}`, error);
    }
}

function flattenByPath(value: unknown, path = ""): Map<string, string> {
    if (typeof value !== "object" || value === null) {
        return new Map([[path, JSON.stringify(value)]]);
    }
    const entries = Object.entries(value).flatMap((
        [name, part],
    ) => [...flattenByPath(part, path === "" ? name : `${path}.${name}`)]);
    return new Map(entries);
}
