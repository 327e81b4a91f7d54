import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { CliError } from "../errors";
import type { Printer, Row } from "../output";

/** Log events for changes in an instance's state, which may explain how it handled a request. */
const STATE_CHANGE_EVENTS = new Set([
    "config-read",
    "coordinator-begins",
    "coordinator-dead",
    "coordinator-ends",
    "coordinator-lost",
    "coordinator-regained",
    "deputy-begins",
    "deputy-ends",
    "deputy-lost",
    "deputy-regained",
    "endpoint-paused",
    "endpoint-tried-again",
    "endpoints-changed",
    "feed-scope",
    "place-unusable",
    "places-freed",
    "reload",
    "rollout-begins",
    "rollout-ends",
    "rollout-order-invalid",
    "rollout-step",
    "silent-instances",
    "started",
    "stopping",
    "stopped",
    "store-lost",
    "store-regained",
]);
/** State changes that are logged at one instance and concern all of them. */
const FLEET_WIDE_EVENTS = new Set([
    "coordinator-begins",
    "endpoint-paused",
    "rollout-begins",
    "rollout-ends",
    "rollout-step",
]);
/** State changes up to this long before the start of a request are shown as its context. */
const CONTEXT_BEFORE_MS = 3_000;
/** Fields of every log line, left out of the printed details. */
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

/** A parsed line of an instance's log. */
interface LogLine {
    readonly event: string;
    readonly instance: string;
    readonly atMs: number;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** The log lines that explain what happened to a request, a job or an item. */
export interface Explanation {
    /** Lines that name it, by time. */
    readonly own: readonly LogLine[];
    /**
     * State changes during the same period and shortly before it, by time: all those at the instances of `own`, and at
     * the other instances only the start of a coordinator, the pause of an endpoint and the steps of roll-outs.
     */
    readonly context: readonly LogLine[];
}

/** Explains from logs what happened to a request, a job or a batch item. */
export class ExplainCommand {
    /**
     * @param printer - Prints the result.
     */
    constructor(private readonly printer: Printer) {}

    /**
     * Prints the explanation. Throws a {@link CliError} if no line names the id.
     *
     * @param id - Id of a request, a job or an item.
     * @param files - Paths of the logs of any number of instances.
     */
    async run(id: string, files: readonly string[]): Promise<void> {
        const logLines: LogLine[] = [];
        for (const file of files) {
            logLines.push(...await readLog(file));
        }
        const explanation = explain(id, logLines);
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
 * Finds the log lines that name a request, a job or an item, and the state changes that may have affected it.
 *
 * @param id - Id of a request, a job or an item.
 * @param lines - Lines of all logs, in any order.
 * @returns These lines.
 */
export function explain(id: string, lines: readonly LogLine[]): Explanation {
    const sortedLines = [...lines].sort((left, right) => left.atMs - right.atMs);
    const own = sortedLines.filter(({ fields }) =>
        fields.requestId === id || fields.job === id || fields.item === id
        || (Array.isArray(fields.items) && fields.items.some(item => String(item).startsWith(`${id}:`)))
    );
    const instances = new Set(own.map(({ instance }) => instance));
    const fromMs = (own[0]?.atMs ?? Infinity) - getDurationMs(own[0]) - CONTEXT_BEFORE_MS;
    const toMs = own.at(-1)?.atMs ?? -Infinity;
    const context = sortedLines.filter(({ event, instance, atMs }) =>
        STATE_CHANGE_EVENTS.has(event) && atMs >= fromMs && atMs <= toMs
        && (instances.has(instance) || FLEET_WIDE_EVENTS.has(event))
    );
    return { own, context };
}

/**
 * @param text - A line of a log. Anything before its JSON object is ignored.
 * @returns The parsed line, or `undefined` if it isn't a log line with an event and a time.
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
        // Logs may contain lines of other programs, and a truncated last line.
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
