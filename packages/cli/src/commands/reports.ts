import { BURN_WINDOWS_MINUTES, type BurnRow, drawBurnChart, findWorstServedOrganisation } from "@heatherline/reports";
import { writeFile } from "node:fs/promises";
import type { DaemonClient } from "../client";
import type { Printer, Row } from "../output";

const DEFAULT_RANGE_MS = 3_600_000;

/** Options of `audit`. Times are minutes in UTC, as `YYYY-MM-DDTHH:MM`. */
export interface AuditOptions {
    readonly from?: string;
    readonly to?: string;
    readonly organisation?: string;
    readonly service?: string;
}

/** Commands that print the audit log and SLO reports. */
export class ReportCommands {
    /**
     * @param client - Client of the daemon.
     * @param printer - Prints results.
     */
    constructor(private readonly client: DaemonClient, private readonly printer: Printer) {}

    /**
     * Prints the audit log page by page, so that a range of a year needs no more memory than one of a minute.
     *
     * @param options - Time range and filters.
     */
    async audit(options: AuditOptions): Promise<void> {
        const to = options.to ?? formatMinute(Date.now());
        let from: string | undefined = options.from ?? formatMinute(Date.now() - DEFAULT_RANGE_MS);
        while (from !== undefined) {
            const query = `from=${encodeURIComponent(from)}&to=${encodeURIComponent(to)}`;
            const page: { lines: string[]; next?: string; } = await this.client.call("GET", `/admin/audit?${query}`);
            for (const line of page.lines) {
                if (isSelected(line, options)) {
                    process.stdout.write(`${line}\n`);
                }
            }
            from = page.next;
        }
    }

    /**
     * Prints the burn rates of all services' objectives.
     *
     * @param svgFile - Path of an SVG chart to write; none if `undefined`.
     */
    async sloBurn(svgFile: string | undefined): Promise<void> {
        const { rows, silent } = await this.client.call<{ rows: BurnRow[]; silent: string[]; }>(
            "GET",
            "/admin/slo-burn",
        );
        this.printer.print({ rows, silent, worstServed: findWorstServedOrganisation(rows) }, rows.map(toRow));
        if (silent.length > 0) {
            this.printer.printProgress(`not included, because they can't be reached: ${silent.join(", ")}`);
        }
        const worst = findWorstServedOrganisation(rows);
        if (worst !== undefined) {
            this.printer.printProgress(
                `worst served: ${worst.organisation} at ${worst.service}, ${worst.wronglyRefused} wrongly refused`,
            );
        }
        if (svgFile !== undefined) {
            await writeFile(svgFile, drawBurnChart(rows));
        }
    }
}

function toRow(row: BurnRow): Row {
    const burnRateCells = BURN_WINDOWS_MINUTES.map(
        minutes => [`burn ${minutes} min`, (row.burnRates[minutes] ?? 0).toFixed(2)],
    );
    return {
        service: row.service,
        organisation: row.organisation ?? "all",
        objective: row.objective,
        target: row.targetFraction,
        requests: row.requests,
        ...Object.fromEntries(burnRateCells) as Row,
        "wrongly refused": row.wronglyRefused,
        "budget left": `${(row.budgetLeftFraction * 100).toFixed(1)}%`,
        alert: row.alert,
    };
}

/** Lines that report lost entries pass every filter, because the lost entries may have matched it. */
function isSelected(line: string, { organisation, service }: AuditOptions): boolean {
    if (organisation === undefined && service === undefined) {
        return true;
    }
    const entry = JSON.parse(line) as { organisation?: string; service?: string; lostEntries?: number; };
    return entry.lostEntries !== undefined ||
        ((organisation === undefined || entry.organisation === organisation) &&
            (service === undefined || entry.service === service));
}

function formatMinute(timeMs: number): string {
    return new Date(timeMs).toISOString().slice(0, 16);
}
