import { type ObjectStore, putWithReadBack, type StoreError } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import { type ConfigDocument, getDocumentId, getDocumentPath } from "./documents";
import { ConfigError } from "./errors";
import type { ConfigReplica } from "./replica";
import { validateDocument } from "./validate";

/** An accepted write. */
export interface AcceptedWrite {
    readonly path: string;
    readonly version: number;
}

/** Validates documents, writes them to the store and applies them to this instance's copy immediately. */
export class ConfigWriter {
    /**
     * @param store - The platform's store.
     * @param replica - This instance's copy of the configuration.
     */
    constructor(private readonly store: ObjectStore, private readonly replica: ConfigReplica) {}

    /**
     * Writes a document if its version in the store is the expected one. A lost response of the store is resolved by
     * reading the document back.
     *
     * @param input - The document as the operator sent it.
     * @param expectedVersion - Version that the operator's edit is based on; 0 to create the document; `undefined` for
     * the newest version.
     * @returns Path and version of the accepted document.
     */
    async write(input: unknown, expectedVersion?: number): Promise<Result<AcceptedWrite, ConfigError>> {
        const validated = validateDocument(input);
        if (validated.isErr()) {
            return err(validated.error);
        }
        const document = validated.value;
        const path = getDocumentPath(document.kind, getDocumentId(document));
        const current = await this.store.get(path);
        if (current.isErr()) {
            const message = `the store can't be reached; ${path} was not written`;
            return err(new ConfigError("unavailable", message, [], current.error));
        }
        const newest = current.value?.version ?? 0;
        if (expectedVersion !== undefined && expectedVersion !== newest) {
            const message = `${path} is at version ${newest}; the edit was based on ${expectedVersion}`;
            return err(new ConfigError("conflict", message));
        }
        const generationError = checkGeneration(current.value?.value, document);
        if (generationError !== undefined) {
            return err(generationError);
        }
        const written = await putWithReadBack(this.store, path, { ...document }, current.value);
        if (written.isErr()) {
            return err(toConfigError(written.error, path));
        }
        this.replica.merge({ path, version: written.value, value: { ...document } });
        return ok({ path, version: written.value });
    }
}

/**
 * Requires a new generation from a data centre that returns after it had ended: until the other data centres have seen
 * its return, they may still be using its shares of rate limits.
 */
function checkGeneration(
    before: Record<string, unknown> | undefined,
    document: ConfigDocument,
): ConfigError | undefined {
    if (document.kind !== "data-centre" || document.state === "ended" || before?.state !== "ended") {
        return undefined;
    }
    return document.generation > Number(before.generation ?? 0)
        ? undefined
        : new ConfigError("invalid", "a data centre that had ended needs a new generation to return", [
            "generation: must be higher than before",
        ]);
}

function toConfigError(error: StoreError, path: string): ConfigError {
    switch (error.kind) {
        case "conflict":
            return new ConfigError("conflict", `${path} was changed by another operator: ${error.message}`, [], error);
        case "rejected":
            return new ConfigError("invalid", `the store rejected ${path}`, [error.message], error);
        case "unknown":
            return new ConfigError("unknown", `it is unknown whether ${path} was written; read it again`, [], error);
        default:
            return new ConfigError("unavailable", `the store can't be reached; ${path} was not written`, [], error);
    }
}
