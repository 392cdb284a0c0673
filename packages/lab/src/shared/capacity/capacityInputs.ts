/**
 * Measured inputs of docs/CAPACITY.md; docs/measurements/control.md names command, seed and machine of each.
 *
 * @packageDocumentation
 */

/** Size that decides the design. */
export const TARGET_SIZE = {
    entries: 400,
    agents: 600,
    dataCentres: 11,
    changesPerDay: 2_100,
    replacementsPerDay: 88,
    clientAccounts: 5_100,
    requestsPerS: 3_800,
    tokensPerS: 1_100_000,
} as const;

/** What control may cost a node. */
export const CONTROL_BUDGET = {
    cpuPercent: 2,
    memoryMb: 128,
    bytesPerS: 10_000,
} as const;

/** What real processes used, by role: 12 agents and 3 entries on one machine, 1 MB of rules, no callers. */
export const PROCESS_FIGURES = {
    agent: { quietCpuPercent: 1.72, cpuMsPerChange: 110.815, rssMb: 135.692 },
    entry: { quietCpuPercent: 2.061, cpuMsPerChange: 83.016, rssMb: 137.582 },
} as const;

/** Bytes that the control plane of one node sends, at the 99th percentile, by size of the fleet in 11 data centres. */
export const PLANE_BYTES_PER_S: Readonly<Record<number, number>> = {
    100: 1_606,
    200: 1_750,
    500: 2_240,
};

/** Bytes that one agent report has on the wire, with one cached and one evicted prefix. */
export const AGENT_REPORT_BYTES = 86;

/** Reports that an agent sends to each entry, when nothing changes. */
export const AGENT_REPORTS_PER_S = 2;

/** Size of the lab's rule file of 1 MB in its compressed form, in bytes. */
export const COMPRESSED_RULES_BYTES = 265_032;
