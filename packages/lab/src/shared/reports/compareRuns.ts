/**
 * Comparison of a run's figures with those of earlier versions.
 *
 * @packageDocumentation
 */

import type { ReportFigure, ReportRun } from "./reportRun.ts";

/** Runs of one version. */
export interface VersionRuns {
    /** Name of the version. */
    readonly version: string;
    /** Runs of the version. */
    readonly runs: readonly ReportRun[];
}

/** Figure with its values in earlier versions. */
export interface ComparedFigure extends ReportFigure {
    /** Values of earlier versions, oldest first; undefined where a version has none. */
    readonly earlier: readonly (number | undefined)[];
    /** Present value ÷ newest earlier value; undefined when there is none, or when it is 0. */
    readonly ratio: number | undefined;
}

const findValue = (runs: readonly ReportRun[], title: string, wanted: ReportFigure): number | undefined =>
    runs.find(run => run.title === title)?.figures
        .find(({ way, figure }) => way === wanted.way && figure === wanted.figure)?.value;

/**
 * Compares the figures of a run with those of earlier versions.
 *
 * @param run - run of the present version
 * @param versions - earlier versions, oldest first
 * @returns figures of the run, each with its earlier values
 */
export const compareRun = (run: ReportRun, versions: readonly VersionRuns[]): ComparedFigure[] =>
    run.figures.map(figure => {
        const earlier = versions.map(({ runs }) => findValue(runs, run.title, figure));
        const previous = earlier.findLast(value => value !== undefined);
        return {
            ...figure,
            earlier,
            ratio: previous === undefined || previous === 0 ? undefined : figure.value / previous,
        };
    });
