/**
 * Time limits of a group's agents that depend on its size.
 *
 * Load pattern: in a group of 72 ranks, one sweep of calls to all ranks takes 20 to 50 ms of processor time,
 * and several times that in the first seconds of a process. At 0.405 of a core that exceeds limits that suit
 * 24 ranks: rounds were refused, and agents that heard nothing during a sweep or a round took over as leader.
 *
 * @packageDocumentation
 */

/** Shortest time between two cycles of a leader, in milliseconds; popularity shifts within a second. */
const MIN_CYCLE_MS = 150;
/** Time between two cycles for each rank, in milliseconds: a cycle of the leader reads all ranks. */
const CYCLE_PER_RANK_MS = 10;
/**
 * Time between two cycles below which a large group gains nothing, in milliseconds: a switch takes longer, and
 * counts of a shorter time vary at random.
 */
const FAST_CYCLE_MS = 300;
/** Time between two cycles, as a multiple of the time to read all ranks: the rest is for rounds and calls. */
const CYCLE_PER_READ = 2.5;
/** Time without a sign of life after which another agent leads, in milliseconds. */
const LEADER_TIMEOUT_MS = 700;
/** Longest cycles without a sign of life after which another agent leads. */
const LEADER_TIMEOUT_CYCLES = 2;
/** Additional time for each rank, in milliseconds, so that the agents do not all become leaders at once. */
const LEADER_TIMEOUT_PER_RANK_MS = 200;
/**
 * Time within which all agents must answer before any rank is armed, in milliseconds: a rank whose agent is
 * suspended could not be disarmed again.
 */
const PEER_CHECK_MS = 100;
/** The same for each rank of a large group, in milliseconds: the processor time of a call at 0.1 of a core. */
const PEER_CHECK_PER_RANK_MS = 4;
/**
 * Timeout of a status read, in milliseconds: a slower agent is busy or gone, and the other ranks wait
 * meanwhile.
 */
const STATUS_TIMEOUT_MS = 500;
/** The same for each rank of a large group: the first sweep of a process takes 8 ms for each rank. */
const STATUS_TIMEOUT_PER_RANK_MS = 10;
/**
 * Half-life of a selection in the estimate of the demand, in milliseconds. Popularity shifts within a second;
 * with a much shorter half-life the few requests in progress would dominate the estimate.
 */
const HALF_LIFE_MS = 500;
/** Ranks up to which the half-life applies; more ranks have more requests, which vary less. */
const HALF_LIFE_RANKS = 24;
/** Shortest half-life, in milliseconds; the estimate needs more than one cycle. */
const MIN_HALF_LIFE_MS = 200;

/**
 * Passes between the current one and the first on the new map: enough that the calls to all ranks finish
 * while the group keeps running, few enough that the map still fits the demand.
 */
const LEAD_PASSES = 3;
/** Ranks up to which these passes suffice. */
const LEAD_PASSES_RANKS = 24;
/** Most passes of a large group; the demand may have shifted once more after them. */
const MAX_LEAD_PASSES = 12;
/** Time to arm all ranks until a round has measured it, for each rank, in milliseconds. */
const ARM_PER_RANK_MS = 5;

/** Durations that decide how far ahead a pass is held. */
export interface SwitchDurations {
    /** Time that the latest switch took to hold the pass and arm all ranks, in milliseconds; undefined before one. */
    readonly armMs: number | undefined;
    /** Mean duration of a pass, in milliseconds; undefined before the first measurement. */
    readonly passMs: number | undefined;
}

/**
 * Chooses how many passes ahead the first pass on the new map is held. A group that reaches it before all ranks are
 * armed stands still until then: at 72 ranks arming took 212 to 550 ms, three passes 228 ms.
 *
 * @param size - number of ranks
 * @param durations - duration of a pass and of the latest switch
 */
export const leadPasses = (size: number, { armMs, passMs }: SwitchDurations): number => {
    if (size <= LEAD_PASSES_RANKS || passMs === undefined) {
        return LEAD_PASSES;
    }
    const needed = Math.ceil((armMs ?? size * ARM_PER_RANK_MS) / passMs) + 1;
    return Math.min(MAX_LEAD_PASSES, Math.max(LEAD_PASSES, needed));
};

/**
 * Longest time between two cycles of a leader, and the time between two cycles of another agent.
 *
 * @param size - number of ranks
 * @returns time, in milliseconds
 */
export const longestCycleMs = (size: number): number => Math.max(MIN_CYCLE_MS, size * CYCLE_PER_RANK_MS);

/**
 * Chooses the time until a leader's next cycle. The leader of a large group does not wait longer than its
 * processor share requires.
 *
 * @param size - number of ranks
 * @param readMs - time that it took to read all ranks, in milliseconds
 * @returns time, in milliseconds
 */
export const leaderCycleMs = (size: number, readMs: number): number => {
    const longestMs = longestCycleMs(size);
    return Math.min(longestMs, Math.max(FAST_CYCLE_MS, readMs * CYCLE_PER_READ));
};

/**
 * Time without a sign of life from a lower rank after which an agent takes over as leader.
 *
 * @param size - number of ranks
 * @param rank - rank of the agent
 * @returns time, in milliseconds
 */
export const leaderTimeoutMs = (size: number, rank: number): number =>
    Math.max(LEADER_TIMEOUT_MS, longestCycleMs(size) * LEADER_TIMEOUT_CYCLES)
    + rank * LEADER_TIMEOUT_PER_RANK_MS;

/**
 * Time within which all agents must answer before any rank is armed.
 *
 * @param size - number of ranks
 * @returns time, in milliseconds
 */
export const peerCheckTimeoutMs = (size: number): number =>
    Math.max(PEER_CHECK_MS, size * PEER_CHECK_PER_RANK_MS);

/**
 * Timeout of a status read while the statuses of all ranks are read.
 *
 * @param size - number of ranks
 * @returns time, in milliseconds
 */
export const statusTimeoutMs = (size: number): number =>
    Math.max(STATUS_TIMEOUT_MS, size * STATUS_TIMEOUT_PER_RANK_MS);

/**
 * Half-life of a selection in the estimate of the demand.
 *
 * @param size - number of ranks
 * @returns half-life, in milliseconds
 */
export const demandHalfLifeMs = (size: number): number =>
    Math.min(HALF_LIFE_MS, Math.max(MIN_HALF_LIFE_MS, HALF_LIFE_MS * HALF_LIFE_RANKS / size));
