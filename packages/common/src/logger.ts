import bunyan from "bunyan";

/** The structured logger; every line is one JSON object. */
export type Logger = bunyan;

/** Log levels that settings accept. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * @param name - Program name, on every line.
 * @param level - Lowest level that is written.
 * @param fields - Fields that every line carries.
 * @returns A logger that writes JSON lines to standard output.
 */
export function newLogger(name: string, level: LogLevel, fields: Record<string, unknown> = {}): Logger {
    return bunyan.createLogger({ name, level, ...fields });
}
