import bunyan from "bunyan";

/** The structured logger; every line is one JSON object. */
export type Logger = bunyan;

/** Log levels that settings accept. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const FLUSH_INTERVAL_MS = 20;
/** Maximum size of the output that waits for a slow reader; lines beyond it are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_000_000;
/** Maximum rate of lines; lines beyond it are dropped and counted. */
const MAX_LINES_PER_S = 600;
/** Maximum rate of lines about single requests, items and jobs; the rest is reserved for changes of state. */
const MAX_REQUEST_LINES_PER_S = 500;
const WINDOW_MS = 1_000;
/** Events that are logged for each request, item or job. */
const REQUEST_EVENTS: ReadonlySet<unknown> = new Set([
    "attempt-ended",
    "item-run",
    "job-call-refused",
    "job-finished",
    "job-started",
    "job-submitted",
    "request",
    "results-written",
]);

interface StreamHandle {
    readonly _handle?: { setBlocking?: (isBlocking: boolean) => void; };
}

/** Buffers lines and writes them in batches. Drops lines instead of blocking the process. */
class LineBuffer {
    private lines = "";
    private timer: NodeJS.Timeout | undefined;
    private windowStartMs = 0;
    private linesInWindow = 0;
    private requestLinesInWindow = 0;
    private unreportedDrops = 0;
    private dropReportTimer: NodeJS.Timeout | undefined;

    constructor() {
        process.on("exit", () => this.flush());
        // By default, a write to a full pipe blocks the process.
        (process.stdout as unknown as StreamHandle)._handle?.setBlocking?.(false);
    }

    write(record: object): void {
        const nowMs = performance.now();
        if (nowMs - this.windowStartMs >= WINDOW_MS) {
            this.startWindow(nowMs);
        }
        const isPerRequest = "event" in record && REQUEST_EVENTS.has(record.event);
        if (!this.hasRoom(isPerRequest)) {
            this.unreportedDrops += 1;
            this.dropReportTimer ??= setTimeout(() => this.startWindow(performance.now()), WINDOW_MS).unref();
            return;
        }
        this.linesInWindow += 1;
        this.requestLinesInWindow += isPerRequest ? 1 : 0;
        this.add(record);
    }

    /** @returns Number of lines dropped since the process started. */
    getDroppedCount(): number {
        return reportedDrops + this.unreportedDrops;
    }

    private hasRoom(isPerRequest: boolean): boolean {
        return this.linesInWindow < MAX_LINES_PER_S
            && (!isPerRequest || this.requestLinesInWindow < MAX_REQUEST_LINES_PER_S)
            && process.stdout.writableLength <= MAX_BUFFERED_BYTES;
    }

    private startWindow(nowMs: number): void {
        clearTimeout(this.dropReportTimer);
        this.dropReportTimer = undefined;
        this.windowStartMs = nowMs;
        this.linesInWindow = 0;
        this.requestLinesInWindow = 0;
        if (this.unreportedDrops > 0) {
            this.add({ event: "lines-dropped", count: this.unreportedDrops, time: new Date() });
            reportedDrops += this.unreportedDrops;
            this.unreportedDrops = 0;
        }
    }

    private add(record: object): void {
        this.lines += `${JSON.stringify(record, bunyan.safeCycles())}\n`;
        this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
    }

    private flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        process.stdout.write(this.lines);
        this.lines = "";
    }
}

let reportedDrops = 0;
let buffer: LineBuffer | undefined;

/** @returns Number of log lines dropped since the process started. */
export function getDroppedLineCount(): number {
    return buffer?.getDroppedCount() ?? 0;
}

/**
 * @param name - Program name, included in every line.
 * @param level - Lowest level that is written.
 * @param fields - Fields to include in every line.
 * @returns A logger that writes JSON lines to standard output.
 */
export function newLogger(name: string, level: LogLevel, fields: Record<string, unknown> = {}): Logger {
    buffer ??= new LineBuffer();
    return bunyan.createLogger({
        name,
        streams: [{ level, type: "raw", stream: buffer as unknown as NodeJS.WritableStream }],
        ...fields,
    });
}
