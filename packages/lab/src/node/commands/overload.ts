/**
 * Command `overload`: runs the experiment of that name on a virtual fleet.
 *
 * @packageDocumentation
 */

import { runOverload } from "../../shared/overload/overloadExperiment.ts";
import { experimentFlags, runExperimentCommand } from "../experimentCommand.ts";
import { labCommands } from "../labCommands.ts";

/** Measures service under three times the load that the fleet can carry. */
export const overloadCommand = labCommands.register({
    name: "overload",
    usage: "overload",
    description: "Measure service under three times the load that the fleet can carry",
    builder: experimentFlags,
    run: args =>
        runExperimentCommand(
            "overload",
            args,
            ({ seed, size }, variant) => runOverload({ seed, size, variant }),
        ),
});
