/**
 * Settings of a scenario.
 *
 * @packageDocumentation
 */

/** Settings that a scenario makes for its run. */
export interface ScenarioSettings {
    /** Name of the fleet. */
    fleet: string;
    /** Seed of all random numbers. */
    seed: number;
    /** Length of the run, in milliseconds; undefined ends the run a fixed time after the last step. */
    durationMs: number | undefined;
}
