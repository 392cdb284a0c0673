/**
 * Dependencies that tasks get from the process or the test that runs them.
 *
 * @packageDocumentation
 */

import type { Clock } from "./clock.ts";
import type { EventLog } from "./events.ts";
import type { Metrics } from "./metrics.ts";
import type { Network } from "./network.ts";
import type { RandomSource } from "./random.ts";

/** Runtime of the tasks of one process. */
export interface Runtime {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Calls to and from other processes. */
    readonly network: Network;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Metrics of the process. */
    readonly metrics: Metrics;
}
