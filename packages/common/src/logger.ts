import bunyan from "bunyan";

/** The structured logger; every line is one JSON object. */
export type Logger = bunyan;

/** Log levels that settings accept. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const FLUSH_INTERVAL_MS = 20;
/** Bytes that may wait for a slow reader; what comes beyond them is dropped and counted. */
const MAX_WAITING_BYTES = 1_000_000;
/** Lines a second; what comes beyond them is dropped and counted. */
const MAX_LINES_PER_S = 600;
const WINDOW_MS = 1_000;

interface StreamHandle {
    readonly _handle?: { setBlocking?: (isBlocking: boolean) => void; };
}

/** Collects lines and writes them together; drops lines rather than hold the process up. */
class LineBuffer {
    private lines = "";
    private timer: NodeJS.Timeout | undefined;
    private windowStartMs = 0;
    private linesInWindow = 0;
    private dropped = 0;

    constructor() {
        process.on("exit", () => this.flush());
        // A write to a pipe blocks the process while the pipe is full, unless it is told not to.
        (process.stdout as unknown as StreamHandle)._handle?.setBlocking?.(false);
    }

    write(line: string): void {
        const nowMs = performance.now();
        if (nowMs - this.windowStartMs >= WINDOW_MS) {
            this.startWindow(nowMs);
        }
        this.linesInWindow += 1;
        if (this.linesInWindow > MAX_LINES_PER_S || process.stdout.writableLength > MAX_WAITING_BYTES) {
            this.dropped += 1;
            return;
        }
        this.lines += line;
        this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
    }

    /** @returns Lines dropped since the process started. */
    getDropped(): number {
        return totalDropped + this.dropped;
    }

    private startWindow(nowMs: number): void {
        this.windowStartMs = nowMs;
        this.linesInWindow = 0;
        if (this.dropped > 0) {
            this.lines += `${JSON.stringify({ event: "lines-dropped", count: this.dropped, time: new Date() })}\n`;
            totalDropped += this.dropped;
            this.dropped = 0;
        }
    }

    private flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        process.stdout.write(this.lines);
        this.lines = "";
    }
}

let totalDropped = 0;
let buffer: LineBuffer | undefined;

/** @returns Log lines that were dropped since the process started. */
export function getDroppedLines(): number {
    return buffer?.getDropped() ?? 0;
}

/**
 * @param name - Program name, on every line.
 * @param level - Lowest level that is written.
 * @param fields - Fields that every line carries.
 * @returns A logger that writes JSON lines to standard output.
 */
export function newLogger(name: string, level: LogLevel, fields: Record<string, unknown> = {}): Logger {
    buffer ??= new LineBuffer();
    return bunyan.createLogger({
        name,
        streams: [{ level, stream: buffer as unknown as NodeJS.WritableStream }],
        ...fields,
    });
}
