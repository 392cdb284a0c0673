/**
 * Settings of a scenario.
 *
 * @packageDocumentation
 */

/** Settings of a run. */
export interface ScenarioSettings {
    /** Name of the fleet. */
    fleet: string;
    /** Seed of all random numbers. */
    seed: number;
    /** Length of the run, in milliseconds; undefined ends after the last step. */
    durationMs: number | undefined;
}
