/**
 * Command `overload`: runs the experiment `overload` on a virtual fleet.
 *
 * @packageDocumentation
 */

import { runOverload } from "../../shared/overload/overloadExperiment.ts";
import { addExperimentFlags, runExperimentCommand } from "../experimentCommand.ts";
import { labCommands } from "../labCommands.ts";

/** Measures service under a load of three times the fleet's capacity. */
export const overloadCommand = labCommands.register({
    name: "overload",
    usage: "overload",
    description: "Measure service under a load of three times the fleet's capacity",
    builder: addExperimentFlags,
    run: args =>
        runExperimentCommand(
            "overload",
            args,
            ({ seed, size }, variant) => runOverload({ seed, size, variant }),
        ),
});
