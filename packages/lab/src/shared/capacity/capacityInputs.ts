/**
 * Measured inputs of docs/CAPACITY.md. The command, seed and machine of each measurement are listed in
 * docs/measurements/control.md.
 *
 * @packageDocumentation
 */

/** Size of the fleet for which the system is designed. */
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

/** Limits of the control plane's resource use on one node. */
export const CONTROL_PLANE_BUDGET = {
    cpuPercent: 2,
    memoryMb: 128,
    bytesPerS: 10_000,
} as const;

/**
 * Measured resource use of real processes by role, with 12 agents and 3 entries on one machine, 1 MB of rules
 * and no callers: share of one core while the configuration does not change, additional CPU time of each
 * configuration change, and resident memory.
 */
export const MEASURED_PROCESS_COSTS = {
    agent: { quietCpuPercent: 1.72, cpuMsPerChange: 110.815, rssMb: 135.692 },
    entry: { quietCpuPercent: 2.061, cpuMsPerChange: 83.016, rssMb: 137.582 },
} as const;

/**
 * Bytes per second that the control plane of one node sends, at the 99th percentile, by the number of nodes
 * in a fleet of 11 data centres.
 */
export const CONTROL_PLANE_BYTES_PER_S: Readonly<Record<number, number>> = {
    100: 1_606,
    200: 1_750,
    500: 2_240,
};

/** Size of one agent report on the wire, with one cached and one evicted prefix, in bytes. */
export const AGENT_REPORT_BYTES = 86;

/** Reports per second that an agent sends to each entry while its state does not change. */
export const AGENT_REPORTS_PER_S = 2;

/** Compressed size of the lab's rule file of 1 MB, in bytes. */
export const COMPRESSED_RULES_BYTES = 265_032;
