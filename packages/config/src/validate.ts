import { err, ok, type Result } from "neverthrow";
import { parseAllDocuments } from "yaml";
import { type ConfigDocument, documentSchema } from "./documents";
import { ConfigError } from "./errors";

/**
 * @param input - Untrusted input.
 * @returns The document with defaults filled in, or all errors with their paths.
 */
export function validateDocument(input: unknown): Result<ConfigDocument, ConfigError> {
    const parsed = documentSchema.safeParse(input);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const errors = parsed.error.issues.map(issue => {
        const path = issue.path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
        return `${path === "" ? "document" : path.replace(/^\./, "")}: ${issue.message}`;
    });
    return err(new ConfigError("invalid", "the document is invalid", errors));
}

/**
 * @param text - YAML or JSON text with one or more documents.
 * @returns The documents as plain values, or the syntax errors.
 */
export function parseDocuments(text: string): Result<unknown[], ConfigError> {
    const parsed = parseAllDocuments(text);
    const documents = Array.isArray(parsed) ? parsed : [];
    const errors = documents.flatMap(document => document.errors.map(error => error.message.split("\n")[0] ?? ""));
    if (errors.length > 0) {
        return err(new ConfigError("invalid", "the text is not valid YAML or JSON", errors));
    }
    const values = documents.map(document => document.toJS() as unknown).filter(value => value !== null);
    return values.length > 0 ? ok(values) : err(new ConfigError("invalid", "the text contains no document"));
}
