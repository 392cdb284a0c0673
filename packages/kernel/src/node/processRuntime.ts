/**
 * Runtime of a real process: system clock, sockets, event log, metrics and signals.
 *
 * @packageDocumentation
 */

import { randomInt } from "node:crypto";
import type { Address } from "../shared/brand.ts";
import { errorMessage, SettingsError } from "../shared/errors.ts";
import { EventLog } from "../shared/events.ts";
import { noMetrics } from "../shared/metrics.ts";
import { createRandomSource } from "../shared/random.ts";
import { ResourceScope } from "../shared/resourceScope.ts";
import type { Runtime } from "../shared/runtime.ts";
import { createDebugSink } from "./debugSink.ts";
import { ExitCode } from "./settings.ts";
import { createStatsdMetrics } from "./statsdMetrics.ts";
import { createSystemClock } from "./systemClock.ts";
import { createTcpNetwork } from "./tcpNetwork.ts";

/** Options of {@link createProcessRuntime}. */
export interface ProcessRuntimeOptions {
    /** Name of the process. */
    readonly instance: string;
    /** Address of a StatsD server; without it, no metrics are sent. */
    readonly statsd?: Address | undefined;
    /** Seed of the random numbers; chosen at random by default. */
    readonly seed?: number;
}

const MAX_SEED = 2 ** 31 - 1;

/**
 * Creates the runtime of a real process.
 *
 * @param options - name, metrics address and seed
 * @returns the runtime; disposing it closes its connections and the metrics client
 */
export const createProcessRuntime = (options: ProcessRuntimeOptions): Runtime & AsyncDisposable => {
    const scope = new ResourceScope();
    const clock = createSystemClock();
    const events = new EventLog({ clock, instance: options.instance, sinks: [createDebugSink()] });
    const network = scope.use(createTcpNetwork({ hybridClock: events.hybridClock }));
    const metrics = options.statsd
        ? scope.use(createStatsdMetrics(options.statsd, { instance: options.instance }))
        : noMetrics;
    return {
        clock,
        network,
        metrics,
        random: createRandomSource(options.seed ?? randomInt(MAX_SEED)),
        events,
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};

/**
 * Waits for the first SIGTERM or SIGINT.
 *
 * @returns the name of the signal
 */
export const waitForStopSignal = (): Promise<NodeJS.Signals> =>
    new Promise(resolve => {
        // The handlers stay registered: without one, a second signal would end the process while it drains.
        process.on("SIGTERM", resolve);
        process.on("SIGINT", resolve);
    });

/**
 * Runs the main function of a program. Errors are printed to standard error and turned into exit codes.
 *
 * @param main - the program; returns its exit code
 */
export const runProgram = async (main: () => Promise<number>): Promise<void> => {
    try {
        process.exitCode = await main();
    }
    catch (error) {
        process.stderr.write(`${errorMessage(error)}\n`);
        process.exitCode = error instanceof SettingsError ? ExitCode.Usage : ExitCode.Failure;
    }
};
