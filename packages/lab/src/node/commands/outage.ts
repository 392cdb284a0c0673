/**
 * Command `outage`: runs the experiment `outage` on a virtual fleet.
 *
 * @packageDocumentation
 */

import { runOutage } from "../../shared/outage/outageExperiment.ts";
import { addExperimentFlags, runExperimentCommand } from "../experimentCommand.ts";
import { labCommands } from "../labCommands.ts";

/** Measures service while a data centre is out of service and another one is partitioned. */
export const outageCommand = labCommands.register({
    name: "outage",
    usage: "outage",
    description: "Measure service while a data centre is out of service and another one is partitioned",
    builder: addExperimentFlags,
    run: args =>
        runExperimentCommand("outage", args, ({ seed, size }, variant) => runOutage({ seed, size, variant })),
});
