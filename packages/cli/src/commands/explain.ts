import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { CliError } from "../errors";
import type { Printer, Row } from "../output";

/** Changes of what an instance believes, which may explain what became of a request there. */
const STATE_EVENTS = new Set([
    "config-read",
    "coordinator-begins",
    "coordinator-dead",
    "coordinator-ends",
    "coordinator-lost",
    "coordinator-regained",
    "endpoint-paused",
    "endpoint-tried-again",
    "endpoints-changed",
    "feed-scope",
    "place-unusable",
    "places-freed",
    "reload",
    "silent-instances",
    "started",
    "stopping",
    "stopped",
    "store-lost",
    "store-regained",
]);
/** Changes this long before a request began still bear on it, in milliseconds. */
const BEFORE_MS = 3_000;
/** Fields that every line carries and that say nothing about the decision. */
const COMMON_FIELDS = new Set([
    "name",
    "instance",
    "dataCentre",
    "hostname",
    "pid",
    "level",
    "msg",
    "time",
    "v",
    "event",
]);

/** One decision as an instance logged it. */
interface LogLine {
    readonly event: string;
    readonly instance: string;
    readonly atMs: number;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** What is known of a request, a job or an item. */
export interface Explanation {
    /** Lines about it, in order of time. */
    readonly own: readonly LogLine[];
    /** Changes at the same instances shortly before and meanwhile. */
    readonly context: readonly LogLine[];
}

/** Explains from logs what became of a request, a job or a batch item. */
export class ExplainCommand {
    /**
     * @param printer - Prints the result.
     */
    constructor(private readonly printer: Printer) {}

    /**
     * @param id - Identity of a request, a job or an item.
     * @param files - Logs of any number of instances.
     */
    async run(id: string, files: readonly string[]): Promise<void> {
        const lines: LogLine[] = [];
        for (const file of files) {
            lines.push(...await readLog(file));
        }
        const explanation = explain(id, lines);
        if (explanation.own.length === 0) {
            throw new CliError("refused", `no line in ${files.length} files names ${id}`);
        }
        const own = new Set(explanation.own);
        const all = [...explanation.own, ...explanation.context].sort((left, right) => left.atMs - right.atMs);
        const startMs = explanation.own[0]?.atMs ?? 0;
        this.printer.print(explanation, all.map(line => toRow(line, startMs, own.has(line))));
    }
}

/**
 * @param id - Identity of a request, a job or an item.
 * @param lines - Lines of all logs.
 * @returns What the lines tell about it.
 */
export function explain(id: string, lines: readonly LogLine[]): Explanation {
    const byTime = [...lines].sort((left, right) => left.atMs - right.atMs);
    const own = byTime.filter(({ fields }) =>
        fields.requestId === id || fields.job === id || fields.item === id
        || (Array.isArray(fields.items) && fields.items.some(item => String(item).startsWith(`${id}:`)))
    );
    const instances = new Set(own.map(({ instance }) => instance));
    const fromMs = (own[0]?.atMs ?? Infinity) - getDurationMs(own[0]) - BEFORE_MS;
    const toMs = own.at(-1)?.atMs ?? -Infinity;
    const context = byTime.filter(({ event, instance, atMs }) =>
        STATE_EVENTS.has(event) && atMs >= fromMs && atMs <= toMs
        && (instances.has(instance) || event === "coordinator-begins" || event === "endpoint-paused")
    );
    return { own, context };
}

/**
 * @param text - A line of a log, with or without something before its JSON.
 * @returns The decision, or `undefined` if the line is none.
 */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const { event, instance, time } = value;
        if (typeof event !== "string" || typeof time !== "string") {
            return undefined;
        }
        return { event, instance: String(instance ?? ""), atMs: Date.parse(time), fields: value };
    }
    catch {
        // Logs may hold lines of other programs, and a last line that was cut.
        return undefined;
    }
}

async function readLog(file: string): Promise<LogLine[]> {
    const lines: LogLine[] = [];
    const reader = createInterface({ input: createReadStream(file) });
    try {
        for await (const text of reader) {
            const line = parseLogLine(text);
            if (line !== undefined) {
                lines.push(line);
            }
        }
    }
    catch (error) {
        throw new CliError("usage", `${file} can't be read`, error);
    }
    return lines;
}

function getDurationMs(line: LogLine | undefined): number {
    const durationMs = line?.fields.durationMs;
    return typeof durationMs === "number" ? durationMs : 0;
}

function toRow({ event, instance, atMs, fields }: LogLine, startMs: number, isOwn: boolean): Row {
    const details = Object.entries(fields)
        .filter(([name, value]) => !COMMON_FIELDS.has(name) && value !== "" && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "object" ? JSON.stringify(value) : String(value)}`);
    return {
        ms: Math.round(atMs - startMs),
        instance,
        event: isOwn ? event : `(${event})`,
        details: details.join(" "),
    };
}
