/**
 * Computes the table of docs/CAPACITY.md.
 *
 * @packageDocumentation
 */

import {
    AGENT_REPORT_BYTES,
    AGENT_REPORTS_PER_S,
    COMPRESSED_RULES_BYTES,
    CONTROL_PLANE_BUDGET,
    CONTROL_PLANE_BYTES_PER_S,
    MEASURED_PROCESS_COSTS,
    TARGET_SIZE,
} from "./capacityInputs.ts";

/** One row of the table. */
export interface CapacityRow {
    /** Role of the node. */
    readonly role: "entry" | "agent";
    /** Description of the quantity. */
    readonly quantity: string;
    /** Computed value at the target size. */
    readonly value: number;
    /** Limit for the control plane. */
    readonly budget: number;
    /** Unit of the value and of the budget. */
    readonly unit: string;
}

const S_PER_DAY = 86_400;
const MS_PER_S = 1_000;
const PERCENT = 100;

/**
 * Extrapolates the traffic of a node's control plane linearly from the smallest and the largest measured
 * fleet.
 *
 * @param nodes - number of nodes in the fleet
 * @returns bytes per second that the control plane of one node sends
 */
export const controlPlaneBytesPerS = (nodes: number): number => {
    const sizes = Object.keys(CONTROL_PLANE_BYTES_PER_S).map(Number).sort((left, right) => left - right);
    const smallest = sizes[0] ?? 0;
    const largest = sizes.at(-1) ?? 0;
    const smallestBytesPerS = CONTROL_PLANE_BYTES_PER_S[smallest] ?? 0;
    const slope = ((CONTROL_PLANE_BYTES_PER_S[largest] ?? 0) - smallestBytesPerS)
        / Math.max(1, largest - smallest);
    return smallestBytesPerS + slope * (nodes - smallest);
};

/**
 * Returns the rate at which a node sends the full configuration to joining nodes, in bytes per second, on
 * average over a day.
 */
export const fullTransferBytesPerS = (): number => {
    const nodes = TARGET_SIZE.entries + TARGET_SIZE.agents;
    return TARGET_SIZE.replacementsPerDay * COMPRESSED_RULES_BYTES / S_PER_DAY / nodes;
};

/**
 * Computes the traffic of an agent's reports.
 *
 * @param entries - number of entries that receive them
 * @returns bytes per second
 */
export const reportBytesPerS = (entries: number): number =>
    entries * AGENT_REPORTS_PER_S * AGENT_REPORT_BYTES;

const cpuPercent = (role: "entry" | "agent"): number => {
    const { quietCpuPercent, cpuMsPerChange } = MEASURED_PROCESS_COSTS[role];
    return quietCpuPercent + cpuMsPerChange / MS_PER_S * TARGET_SIZE.changesPerDay / S_PER_DAY * PERCENT;
};

/**
 * Computes the rows of the table.
 *
 * @returns the rows
 */
export const computeCapacityRows = (): CapacityRow[] => {
    const controlPlaneBytes = controlPlaneBytesPerS(TARGET_SIZE.entries + TARGET_SIZE.agents)
        + fullTransferBytesPerS();
    const localEntries = Math.ceil(TARGET_SIZE.entries / TARGET_SIZE.dataCentres);
    const trafficBudget = { budget: CONTROL_PLANE_BUDGET.bytesPerS, unit: "bytes/s" };
    return [
        ...(["entry", "agent"] as const).flatMap((role): CapacityRow[] => [
            {
                role,
                quantity: "CPU, whole process without callers",
                value: cpuPercent(role),
                budget: CONTROL_PLANE_BUDGET.cpuPercent,
                unit: "% of a core",
            },
            {
                role,
                quantity: "memory, whole process without callers",
                value: MEASURED_PROCESS_COSTS[role].rssMb,
                budget: CONTROL_PLANE_BUDGET.memoryMb,
                unit: "MB",
            },
            {
                role,
                quantity: "configuration and membership traffic sent",
                value: controlPlaneBytes,
                ...trafficBudget,
            },
        ]),
        {
            role: "agent",
            quantity: "the same plus reports to the entries of its data centre",
            value: controlPlaneBytes + reportBytesPerS(localEntries),
            ...trafficBudget,
        },
        {
            role: "agent",
            quantity: "the same plus reports to all entries (current behaviour)",
            value: controlPlaneBytes + reportBytesPerS(TARGET_SIZE.entries),
            ...trafficBudget,
        },
    ];
};

const MAX_DECIMALS = 2;

/**
 * Formats the table as Markdown.
 *
 * @returns the Markdown text
 */
export const formatCapacityTable = (): string => {
    const rows = computeCapacityRows().map(({ role, quantity, value, budget, unit }) => {
        const verdict = value <= budget ? "within" : "**over**";
        const digits = value < 100 ? MAX_DECIMALS : 0;
        return `| ${role} | ${quantity} | ${
            value.toFixed(digits)
        } ${unit} | ${budget} ${unit} | ${verdict} |`;
    });
    return [
        "| role | quantity | at the target size | budget | verdict |",
        "|---|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
};
