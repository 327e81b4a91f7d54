import { BURN_WINDOWS_MINUTES, type BurnRow } from "./burnRate";

const WIDTH_PX = 900;
const LABEL_WIDTH_PX = 300;
const ROW_HEIGHT_PX = 44;
const BAR_HEIGHT_PX = 8;
const TOP_PX = 56;
const MARGIN_PX = 16;
const MAX_ROWS = 40;
const COLOURS = ["#1b9e77", "#7570b3", "#d95f02", "#666666"];
const ALERT_COLOURS: Record<BurnRow["alert"], string> = { page: "#b2182b", ticket: "#ef8a62", none: "#333333" };

/**
 * Draws burn rates as horizontal bars on a logarithmic scale from 0.01 to 1,000, with a darker grid line at 1. Each row
 * is a group of bars, one for each window.
 *
 * @param rows - Rows, worst first; only the first 40 are drawn.
 * @returns An SVG document.
 */
export function drawBurnChart(rows: readonly BurnRow[]): string {
    const shown = rows.slice(0, MAX_ROWS);
    const height = TOP_PX + shown.length * ROW_HEIGHT_PX + MARGIN_PX;
    const parts = [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${WIDTH_PX}" height="${height}" fill="#ffffff"/>`,
        `<text x="${MARGIN_PX}" y="20" font-size="14">Burn rate of error budgets (1 spends the budget by the end of its period)</text>`,
        ...BURN_WINDOWS_MINUTES.map((minutes, index) => drawLegend(minutes, index)),
        ...[0.1, 1, 10, 100].map(rate => drawGridLine(rate, height)),
        ...shown.map((row, index) => drawRow(row, TOP_PX + index * ROW_HEIGHT_PX)),
        "</svg>",
    ];
    return `${parts.join("\n")}\n`;
}

function drawLegend(minutes: number, index: number): string {
    const x = MARGIN_PX + index * 90;
    return `<rect x="${x}" y="32" width="10" height="10" fill="${COLOURS[index]}"/><text x="${
        x + 14
    }" y="41">${minutes} min</text>`;
}

function drawGridLine(rate: number, height: number): string {
    const x = toX(rate);
    return `<line x1="${x}" y1="${TOP_PX - 6}" x2="${x}" y2="${height}" stroke="${
        rate === 1 ? "#999999" : "#dddddd"
    }"/>` +
        `<text x="${x + 2}" y="${TOP_PX - 8}" fill="#777777">${rate}</text>`;
}

function drawRow(row: BurnRow, y: number): string {
    const name = `${row.service} / ${row.organisation ?? "all"} / ${row.objective}`;
    const label = `<text x="${MARGIN_PX}" y="${y + 20}" fill="${ALERT_COLOURS[row.alert]}">${escapeXml(name)}</text>`;
    const bars = BURN_WINDOWS_MINUTES.map((minutes, index) => {
        const width = Math.max(0, toX(row.burnRates[minutes] ?? 0) - LABEL_WIDTH_PX);
        return `<rect x="${LABEL_WIDTH_PX}" y="${y + index * (BAR_HEIGHT_PX + 1)}" width="${
            width.toFixed(1)
        }" height="${BAR_HEIGHT_PX}" fill="${COLOURS[index]}"/>`;
    });
    return [label, ...bars].join("");
}

/** Maps a burn rate to an x coordinate on a logarithmic scale; rates outside 0.01 to 1,000 are clamped. */
function toX(rate: number): number {
    const position = (Math.log10(Math.min(Math.max(rate, 0.01), 1_000)) + 2) / 5;
    return LABEL_WIDTH_PX + position * (WIDTH_PX - LABEL_WIDTH_PX - MARGIN_PX);
}

function escapeXml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
