import { err, ok, type Result } from "neverthrow";

const MAX_PROMPT_PARTS = 256;
const MAX_NUMBER = 1_000_000_000;
const PARAMETERS = ["kind", "route", "organisation", "promptParts", "tokens", "items"];

/** Asks where a request or a job would be sent. */
export interface WhereQuery {
    readonly kind: "request" | "job";
    /** Host in lower case, without port. */
    readonly host: string;
    readonly path: string;
    readonly organisation: string;
    readonly promptParts: readonly string[];
    /** Prompt tokens and maximum of output tokens, of the request or of each item. */
    readonly tokens: number;
    /** Number of items of the job. */
    readonly items: number;
}

/**
 * @param parameters - Parameters of the query.
 * @returns The query, or why it is invalid.
 */
export function parseWhereQuery(parameters: URLSearchParams): Result<WhereQuery, string> {
    const unknown = [...parameters.keys()].find(name => !PARAMETERS.includes(name));
    if (unknown !== undefined) {
        return err(`${unknown} is not one of ${PARAMETERS.join(", ")}`);
    }
    const kind = parameters.get("kind");
    if (kind !== "request" && kind !== "job") {
        return err("kind must be request or job");
    }
    const [, host, path] = /^([^/\s]+)(\/\S*)$/.exec(parameters.get("route") ?? "") ?? [];
    if (host === undefined || path === undefined) {
        return err("route must be HOST/PATH");
    }
    const organisation = parameters.get("organisation") ?? "";
    if (organisation === "") {
        return err("organisation is required");
    }
    const promptParts = (parameters.get("promptParts") ?? "").split(",").filter(part => part !== "");
    if (promptParts.length > MAX_PROMPT_PARTS) {
        return err(`promptParts has more than ${MAX_PROMPT_PARTS} parts`);
    }
    const tokens = parseCount(parameters.get("tokens") ?? "0", 0);
    if (tokens === undefined) {
        return err(`tokens must be a whole number from 0 to ${MAX_NUMBER}`);
    }
    const items = parseCount(parameters.get("items") ?? "1", 1);
    if (items === undefined) {
        return err(`items must be a whole number from 1 to ${MAX_NUMBER}`);
    }
    return ok({
        kind,
        host: host.toLowerCase().replace(/:\d+$/, ""),
        path: path.replace(/\?.*$/, ""),
        organisation,
        promptParts,
        tokens,
        items,
    });
}

function parseCount(text: string, min: number): number | undefined {
    const count = Number(text);
    return /^\d+$/.test(text) && count >= min && count <= MAX_NUMBER ? count : undefined;
}
