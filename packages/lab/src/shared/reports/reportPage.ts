/**
 * Report of runs as a self-contained HTML page and as a summary for the terminal.
 *
 * @packageDocumentation
 */

import Table from "cli-table3";
import { html, raw } from "hono/html";
import { type ComparedFigure, compareRun, type VersionRuns } from "./compareRuns.ts";
import { plotRun } from "./plotRun.ts";

const SIGNIFICANT_DIGITS = 4;

const formatValue = (value: number | undefined): string =>
    value === undefined ? "–" : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));

const formatRatio = (ratio: number | undefined): string =>
    ratio === undefined ? "" : `× ${formatValue(ratio)}`;

const headerCells = (versions: readonly VersionRuns[]): string[] => [
    "way",
    "figure",
    ...versions.map(({ version }) => version),
    "now",
    "change",
];

const rowCells = ({ way, figure, earlier, value, ratio }: ComparedFigure): string[] => [
    way,
    figure,
    ...earlier.map(formatValue),
    formatValue(value),
    formatRatio(ratio),
];

const STYLE = "body{font:15px/1.4 sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem}"
    + "table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;"
    + "text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}svg{max-width:100%;height:auto}";

/**
 * Creates the HTML page.
 *
 * @param current - runs of the present version
 * @param earlier - runs of earlier versions, oldest first
 * @returns HTML without references to other files
 */
export const createReportPage = async (
    current: VersionRuns,
    earlier: readonly VersionRuns[],
): Promise<string> => {
    const head = headerCells(earlier).map(text => html`<th>${text}</th>`);
    const sections = await Promise.all(current.runs.map(async run => {
        const plot = raw(await plotRun(run));
        const rows = compareRun(run, earlier).map(figure =>
            html`<tr>${rowCells(figure).map(text => html`<td>${text}</td>`)}</tr>`
        );
        return html`<section><h2>${run.title}</h2>${plot}<table><thead><tr>${head}</tr></thead>
<tbody>${rows}</tbody></table></section>`;
    }));
    const page =
        await html`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>magnolialock report</title>
<style>${raw(STYLE)}</style></head><body><h1>magnolialock: ${current.version}</h1>${sections}</body></html>`;
    return String(page);
};

/**
 * Creates the summary for the terminal.
 *
 * @param current - runs of the present version
 * @param earlier - runs of earlier versions, oldest first
 * @returns a table for each run
 */
export const createReportSummary = (current: VersionRuns, earlier: readonly VersionRuns[]): string =>
    current.runs.map(run => {
        const table = new Table({ head: headerCells(earlier), style: { head: [], border: [] } });
        table.push(...compareRun(run, earlier).map(rowCells));
        return `${run.title}\n${table.toString()}\n`;
    }).join("\n");
