/**
 * Spreads the watches of all instances evenly over time.
 *
 * The load pattern: open connections to the store may all go silent at one moment. A watch that gets no answer at its end
 * shows it, so the time until the fleet notices is that between the ends of two watches, whichever instances they belong
 * to; each watch is a billed call. Evenly spread, a given number of calls leaves the shortest gaps.
 *
 * @packageDocumentation
 */

/** The watches of the live instances. */
export interface FleetWatches {
    /** Number of live instances, this one included. */
    readonly count: number;
    /** Place of this instance in an order that all of them agree on, from 0. */
    readonly place: number;
    /** Time until the current watch of each other instance ends, where known, in milliseconds; negative once it has. */
    readonly othersEndMs: readonly number[];
}

/** Time between the ends of two watches of the fleet, in milliseconds, unless watches would get too long or too short. */
const GAP_MS = 600;
/** The same, at most, for fleets of very few instances, in milliseconds. */
const MAX_GAP_MS = 1_250;
/** Shortest period of the watches of one instance, in milliseconds, unless the gaps would get too long. */
const MIN_PERIOD_MS = 3_750;
/** Longest period, in milliseconds; the platform accepts watches of 30 s. */
const MAX_PERIOD_MS = 25_000;
/** Share of the way to the middle between its neighbours by which a watch moves in one period; less is more stable. */
const GAIN = 0.6;
/** Longest and shortest watch, as shares of the period. */
const MAX_SHARE = 1.15;
const MIN_SHARE = 0.3;
/** Part of the period by which watches that end at the same time are set apart at random. */
const JITTER_SHARE = 0.02;

/**
 * Returns the time between two watches of one instance, in milliseconds.
 *
 * @param count - number of live instances
 */
export const watchPeriodMs = (count: number): number =>
    Math.min(MAX_PERIOD_MS, count * MAX_GAP_MS, Math.max(MIN_PERIOD_MS, count * GAP_MS));

/**
 * Returns the duration of a watch that all instances begin at about the same time, since an answer has ended all watches.
 *
 * @param watches - watches of the live instances
 * @returns the duration, in milliseconds
 */
export const firstWatchMs = ({ count, place }: FleetWatches): number =>
    watchPeriodMs(count) * (place + 1) / count;

/**
 * Returns the duration of a watch that follows one that has ended by itself: its end moves towards the middle between those
 * of the instances before and after this one.
 *
 * @param watches - watches of the live instances
 * @param random - random number from 0 to 1
 * @returns the duration, in milliseconds
 */
export const nextWatchMs = ({ count, othersEndMs }: FleetWatches, random: number): number => {
    const periodMs = watchPeriodMs(count);
    const phases = othersEndMs.map(endMs => ((endMs % periodMs) + periodMs) % periodMs);
    const afterMs = Math.min(periodMs, ...phases);
    const beforeMs = periodMs - Math.max(0, ...phases);
    const shiftMs = GAIN * (afterMs - beforeMs) / 2 + periodMs * JITTER_SHARE * (random - 0.5);
    return Math.min(periodMs * MAX_SHARE, Math.max(periodMs * MIN_SHARE, periodMs + shiftMs));
};
