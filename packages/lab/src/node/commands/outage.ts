/**
 * Command `outage`: runs the experiment of that name on a virtual fleet.
 *
 * @packageDocumentation
 */

import { runOutage } from "../../shared/outage/outageExperiment.ts";
import { experimentFlags, runExperimentCommand } from "../experimentCommand.ts";
import { labCommands } from "../labCommands.ts";

/** Measures service while a data centre is out and another one is cut off. */
export const outageCommand = labCommands.register({
    name: "outage",
    usage: "outage",
    description: "Measure service while a data centre is out and another one is cut off",
    builder: experimentFlags,
    run: args =>
        runExperimentCommand("outage", args, ({ seed, size }, variant) => runOutage({ seed, size, variant })),
});
