/**
 * Runs of the lab, parsed from JSON output into figures by variant.
 *
 * @packageDocumentation
 */

import { z } from "zod";

/** One figure of one variant. */
export interface ReportFigure {
    /** Variant that ran: a policy or a baseline; `magnolialock` is the product. */
    readonly way: string;
    /** Name of the figure, with its unit as a suffix; nested names are joined by dots. */
    readonly figure: string;
    /** Value of the figure. */
    readonly value: number;
}

/** One run of an experiment. */
export interface ReportRun {
    /** Name of the experiment and its parameters; equal for runs that can be compared. */
    readonly title: string;
    /** Figures of all variants. */
    readonly figures: readonly ReportFigure[];
}

/** Parsed run, or the reason why the text is not a run. */
export type ParsedRun =
    | { readonly kind: "run"; readonly run: ReportRun; }
    | { readonly kind: "problem"; readonly message: string; };

const OWN_VARIANT = "magnolialock";
/** Fields that are parameters of a run rather than figures; they are part of its title. */
const RUN_PARAMETERS = [
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
const variantsSchema = z.record(z.string(), figuresSchema);
const runSchema = z.looseObject({
    experiment: z.string().optional(),
    kind: z.string().optional(),
    baselines: variantsSchema.optional(),
    policies: variantsSchema.optional(),
    arguments: figuresSchema.optional(),
});

type RawRun = z.infer<typeof runSchema>;

const figuresOf = (way: string, values: Readonly<Record<string, unknown>>, prefix = ""): ReportFigure[] =>
    Object.entries(values).flatMap(([name, value]) => {
        if (typeof value === "number" && !RUN_PARAMETERS.includes(name)) {
            return [{ way, figure: prefix + name, value }];
        }
        const isNested = typeof value === "object" && value !== undefined && !Array.isArray(value);
        return isNested && !["baselines", "policies", "arguments"].includes(name)
            ? figuresOf(way, (value ?? {}) as Record<string, unknown>, `${prefix}${name}.`)
            : [];
    });

/**
 * Name of the experiment. Runs of `rollout`, `maps` and `run` do not name it and are recognised by their
 * fields.
 */
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
    const parameters = { ...raw, ...raw.arguments };
    const shown = RUN_PARAMETERS.filter(name => name in parameters)
        .map(name => `${name} ${String(parameters[name as keyof typeof parameters])}`);
    return [experiment, ...shown].join(", ");
};

/**
 * Parses a run.
 *
 * @param text - output of a command of the lab with `--json`
 * @returns the run, or the reason why the text is not a run
 */
export const parseRun = (text: string): ParsedRun => {
    let json: unknown;
    try {
        json = JSON.parse(text);
    }
    catch {
        return {
            kind: "problem",
            message: "not JSON: use the output of a magnolialock-lab command with --json",
        };
    }
    const parsed = runSchema.safeParse(json);
    const experiment = parsed.success ? experimentOf(parsed.data) : undefined;
    if (!parsed.success || experiment === undefined) {
        return {
            kind: "problem",
            message: "unknown experiment: use the output of a magnolialock-lab command with --json",
        };
    }
    const raw = parsed.data;
    const variants = { ...raw.baselines, ...raw.policies };
    return {
        kind: "run",
        run: {
            title: titleOf(experiment, raw),
            figures: [
                ...figuresOf(OWN_VARIANT, raw),
                ...Object.entries(variants).flatMap(([way, values]) => figuresOf(way, values)),
            ],
        },
    };
};
