/**
 * Arithmetic of docs/CAPACITY.md.
 *
 * @packageDocumentation
 */

import {
    AGENT_REPORT_BYTES,
    AGENT_REPORTS_PER_S,
    COMPRESSED_RULES_BYTES,
    CONTROL_BUDGET,
    PLANE_BYTES_PER_S,
    PROCESS_FIGURES,
    TARGET_SIZE,
} from "./capacityInputs.ts";

/** One line of the table. */
export interface CapacityLine {
    /** Role. */
    readonly role: "entry" | "agent";
    /** What is counted. */
    readonly what: string;
    /** Worked-out value at the target size. */
    readonly value: number;
    /** What control may cost. */
    readonly budget: number;
    /** Unit of both. */
    readonly unit: string;
}

const S_PER_DAY = 86_400;
const MS_PER_S = 1_000;
const PERCENT = 100;

/**
 * Draws a straight line through the smallest and the largest measured fleet.
 *
 * @param nodes - size of the fleet
 * @returns bytes that the plane of one node sends a second
 */
export const planeBytesPerS = (nodes: number): number => {
    const sizes = Object.keys(PLANE_BYTES_PER_S).map(Number).sort((left, right) => left - right);
    const smallest = sizes[0] ?? 0;
    const largest = sizes.at(-1) ?? 0;
    const low = PLANE_BYTES_PER_S[smallest] ?? 0;
    const slope = ((PLANE_BYTES_PER_S[largest] ?? 0) - low) / Math.max(1, largest - smallest);
    return low + slope * (nodes - smallest);
};

/** Bytes a second that a node sends to newcomers as whole contents, on average over a day. */
export const newcomerBytesPerS = (): number => {
    const nodes = TARGET_SIZE.entries + TARGET_SIZE.agents;
    return TARGET_SIZE.replacementsPerDay * COMPRESSED_RULES_BYTES / S_PER_DAY / nodes;
};

/**
 * Gives the bytes of reports that an agent sends.
 *
 * @param entries - entries that it reports to
 * @returns bytes a second
 */
export const reportBytesPerS = (entries: number): number =>
    entries * AGENT_REPORTS_PER_S * AGENT_REPORT_BYTES;

const cpuPercent = (role: "entry" | "agent"): number => {
    const { quietCpuPercent, cpuMsPerChange } = PROCESS_FIGURES[role];
    return quietCpuPercent + cpuMsPerChange / MS_PER_S * TARGET_SIZE.changesPerDay / S_PER_DAY * PERCENT;
};

/**
 * Works the table out.
 *
 * @returns its lines
 */
export const capacityLines = (): CapacityLine[] => {
    const plane = planeBytesPerS(TARGET_SIZE.entries + TARGET_SIZE.agents) + newcomerBytesPerS();
    const localEntries = Math.ceil(TARGET_SIZE.entries / TARGET_SIZE.dataCentres);
    const bytes = { budget: CONTROL_BUDGET.bytesPerS, unit: "bytes/s" };
    return [
        ...(["entry", "agent"] as const).flatMap((role): CapacityLine[] => [
            {
                role,
                what: "processor, whole process without callers",
                value: cpuPercent(role),
                budget: CONTROL_BUDGET.cpuPercent,
                unit: "% of a core",
            },
            {
                role,
                what: "memory, whole process without callers",
                value: PROCESS_FIGURES[role].rssMb,
                budget: CONTROL_BUDGET.memoryMb,
                unit: "MB",
            },
            { role, what: "configuration and membership sent", value: plane, ...bytes },
        ]),
        {
            role: "agent",
            what: "the same with reports to the entries of its data centre",
            value: plane + reportBytesPerS(localEntries),
            ...bytes,
        },
        {
            role: "agent",
            what: "the same with reports to all entries, as today",
            value: plane + reportBytesPerS(TARGET_SIZE.entries),
            ...bytes,
        },
    ];
};

const MAX_DECIMALS = 2;

/**
 * Writes the table in Markdown.
 *
 * @returns the table
 */
export const formatCapacityTable = (): string => {
    const rows = capacityLines().map(({ role, what, value, budget, unit }) => {
        const verdict = value <= budget ? "within" : "**over**";
        const digits = value < 100 ? MAX_DECIMALS : 0;
        return `| ${role} | ${what} | ${value.toFixed(digits)} ${unit} | ${budget} ${unit} | ${verdict} |`;
    });
    return [
        "| role | what | at the target size | budget | verdict |",
        "|---|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
};
