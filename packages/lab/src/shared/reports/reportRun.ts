/**
 * Runs of the lab as a report reads them: figures by way of running.
 *
 * @packageDocumentation
 */

import { z } from "zod";

/** One figure of one way of running. */
export interface ReportFigure {
    /** Policy or variant; `magnolialock` is the product's own. */
    readonly way: string;
    /** Name of the figure, with its unit. */
    readonly figure: string;
    /** Its value. */
    readonly value: number;
}

/** One run. */
export interface ReportRun {
    /** Experiment and what it ran with; equal for runs that can be compared. */
    readonly title: string;
    /** Its figures. */
    readonly figures: readonly ReportFigure[];
}

/** A run, or why the text is none. */
export type ParsedRun =
    | { readonly kind: "run"; readonly run: ReportRun; }
    | { readonly kind: "problem"; readonly message: string; };

const OWN_WAY = "magnolialock";
/** What a run was started with; it names the run and is no figure. */
const SETTINGS = [
    "seed",
    "size",
    "nodes",
    "dataCentres",
    "fault",
    "rulesBytes",
    "ranks",
    "experts",
    "layers",
    "drift",
];

const figuresSchema = z.record(z.string(), z.unknown());
const waysSchema = z.record(z.string(), figuresSchema);
const runSchema = z.looseObject({
    experiment: z.string().optional(),
    kind: z.string().optional(),
    baselines: waysSchema.optional(),
    policies: waysSchema.optional(),
    arguments: figuresSchema.optional(),
});

type RawRun = z.infer<typeof runSchema>;

const figuresOf = (way: string, values: Readonly<Record<string, unknown>>, prefix = ""): ReportFigure[] =>
    Object.entries(values).flatMap(([name, value]) => {
        if (typeof value === "number" && !SETTINGS.includes(name)) {
            return [{ way, figure: prefix + name, value }];
        }
        const isNested = typeof value === "object" && value !== undefined && !Array.isArray(value);
        return isNested && !["baselines", "policies", "arguments"].includes(name)
            ? figuresOf(way, (value ?? {}) as Record<string, unknown>, `${prefix}${name}.`)
            : [];
    });

/** Name of the experiment; runs of `rollout`, `maps` and `run` are known by their figures. */
const experimentOf = (raw: RawRun): string | undefined => {
    if (raw.experiment ?? raw.kind) {
        return raw.experiment ?? raw.kind;
    }
    if (raw.policies) {
        return "maps";
    }
    if ("inForceMaxMs" in raw) {
        return "rollout";
    }
    return "findings" in raw && "tries" in raw ? `run ${String(raw["source"])}` : undefined;
};

const titleOf = (experiment: string, raw: RawRun): string => {
    const settings = { ...raw, ...raw.arguments };
    const shown = SETTINGS.filter(name => name in settings)
        .map(name => `${name} ${String(settings[name as keyof typeof settings])}`);
    return [experiment, ...shown].join(", ");
};

/**
 * Reads a run.
 *
 * @param text - output of a command of the lab with `--json`
 * @returns the run, or what is wrong with it
 */
export const parseRun = (text: string): ParsedRun => {
    let json: unknown;
    try {
        json = JSON.parse(text);
    }
    catch {
        return {
            kind: "problem",
            message: "is no JSON: write the output of a magnolialock-lab command with --json",
        };
    }
    const parsed = runSchema.safeParse(json);
    const experiment = parsed.success ? experimentOf(parsed.data) : undefined;
    if (!parsed.success || experiment === undefined) {
        return {
            kind: "problem",
            message: "is of no known experiment: use the output of magnolialock-lab with --json",
        };
    }
    const raw = parsed.data;
    const ways = { ...raw.baselines, ...raw.policies };
    return {
        kind: "run",
        run: {
            title: titleOf(experiment, raw),
            figures: [
                ...figuresOf(OWN_WAY, raw),
                ...Object.entries(ways).flatMap(([way, values]) => figuresOf(way, values)),
            ],
        },
    };
};
