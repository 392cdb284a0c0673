/**
 * SVG plots of a run.
 *
 * @packageDocumentation
 */

import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { ReportRun } from "./reportRun.ts";

const PLOT_WIDTH = 220;
const PLOTS_PER_ROW = 3;

/**
 * Plots the figures of a run: one small bar chart for each figure, with a bar for each variant.
 *
 * @param run - run to plot
 * @returns an SVG element
 */
export const plotRun = async (run: ReportRun): Promise<string> => {
    const { spec } = compile({
        data: { values: run.figures.map(figure => ({ ...figure })) },
        facet: { field: "figure", type: "nominal", title: "", header: { labelFontSize: 11 } },
        columns: PLOTS_PER_ROW,
        spec: {
            width: PLOT_WIDTH,
            height: { step: 16 },
            mark: { type: "bar", tooltip: false },
            encoding: {
                x: { field: "value", type: "quantitative", title: "", axis: { tickCount: 4 } },
                y: { field: "way", type: "nominal", title: "", sort: [] },
                color: { field: "way", type: "nominal", legend: { title: "" }, sort: [] },
            },
        },
        resolve: { scale: { x: "independent" } },
    });
    const view = new View(parse(spec), { renderer: "none" });
    return await view.toSVG();
};
