/** Output formats. */
export const OUTPUT_FORMATS = ["table", "json"] as const;

/** One of {@link OUTPUT_FORMATS}. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** A row of a table: values by column heading. */
export type Row = Record<string, string | number | boolean | undefined>;

/** Prints results to standard output and progress to standard error. */
export class Printer {
    /**
     * @param format - Format of the results.
     */
    constructor(readonly format: OutputFormat) {}

    /**
     * Prints a result.
     *
     * @param value - Printed in the `json` format.
     * @param rows - Printed in the `table` format.
     */
    print(value: unknown, rows: readonly Row[]): void {
        process.stdout.write(this.format === "json" ? `${JSON.stringify(value, undefined, 2)}\n` : formatTable(rows));
    }

    /**
     * Prints a line on standard error, so that programs can parse standard output as JSON.
     *
     * @param text - One line.
     */
    printProgress(text: string): void {
        process.stderr.write(`${text}\n`);
    }
}

/**
 * @param rows - Rows of the table; a cell without a value is printed as `-`.
 * @returns The rows as aligned text, with a heading line.
 */
export function formatTable(rows: readonly Row[]): string {
    const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
    const cells = [
        columns.map(column => column.toUpperCase()),
        ...rows.map(row => columns.map(column => String(row[column] ?? "-"))),
    ];
    const widths = columns.map((_, columnIndex) => Math.max(...cells.map(line => line[columnIndex]?.length ?? 0)));
    return cells.map(line =>
        `${line.map((cell, columnIndex) => cell.padEnd(widths[columnIndex] ?? 0)).join("  ").trimEnd()}\n`
    ).join("");
}
