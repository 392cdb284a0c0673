/**
 * Steps that inject faults into the platform.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("take the platform down", "Calls to the configuration service and the instance list fail.", {
    kind: "action",
    run: world => {
        world.recordDisturbance("platform", "", Number.POSITIVE_INFINITY);
        world.fleet.platform.mode = "down";
    },
});

defineStep(
    "bring the platform up",
    "The configuration service and the instance list answer again, with the latest values.",
    {
        kind: "action",
        run: world => {
            world.endDisturbance("platform", "");
            world.fleet.platform.mode = "up";
        },
    },
);

defineStep(
    "turn the platform back to revision <revision>",
    "The configuration service serves an old revision.",
    {
        kind: "action",
        run: (world, { revision }) => {
            world.recordDisturbance("platform", "", Number.POSITIVE_INFINITY);
            world.fleet.platform.serveOldRevision(revision);
        },
    },
);
