import bunyan from "bunyan";

/** The structured logger; every line is one JSON object. */
export type Logger = bunyan;

/** Log levels that settings accept. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const FLUSH_INTERVAL_MS = 20;

/** Collects lines and writes them together: a write to a pipe blocks the process, so there should be few. */
class LineBuffer {
    private lines = "";
    private timer: NodeJS.Timeout | undefined;

    constructor() {
        process.on("exit", () => this.flush());
    }

    write(line: string): void {
        this.lines += line;
        this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS).unref();
    }

    private flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        process.stdout.write(this.lines);
        this.lines = "";
    }
}

let buffer: LineBuffer | undefined;

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
