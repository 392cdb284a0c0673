/**
 * Figures of a run beside those of earlier versions.
 *
 * @packageDocumentation
 */

import type { ReportFigure, ReportRun } from "./reportRun.ts";

/** Runs of one version. */
export interface VersionRuns {
    /** Name of the version. */
    readonly version: string;
    /** Its runs. */
    readonly runs: readonly ReportRun[];
}

/** A figure with its earlier values. */
export interface ComparedFigure extends ReportFigure {
    /** Values of earlier versions, oldest first; undefined where a version has none. */
    readonly earlier: readonly (number | undefined)[];
    /** Present value divided by the newest earlier one. */
    readonly ratio: number | undefined;
}

const findValue = (runs: readonly ReportRun[], title: string, wanted: ReportFigure): number | undefined =>
    runs.find(run => run.title === title)?.figures
        .find(({ way, figure }) => way === wanted.way && figure === wanted.figure)?.value;

/**
 * Compares the figures of a run.
 *
 * @param run - the run
 * @param versions - earlier versions, oldest first
 * @returns its figures with the earlier ones
 */
export const compareRun = (run: ReportRun, versions: readonly VersionRuns[]): ComparedFigure[] =>
    run.figures.map(figure => {
        const earlier = versions.map(({ runs }) => findValue(runs, run.title, figure));
        const last = earlier.findLast(value => value !== undefined);
        return {
            ...figure,
            earlier,
            ratio: last === undefined || last === 0 ? undefined : figure.value / last,
        };
    });
