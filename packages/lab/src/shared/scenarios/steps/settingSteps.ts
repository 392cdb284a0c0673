/**
 * Settings of the run.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("fleet <fleet>", "Chooses the fleet that the scenario runs on.", {
    kind: "setting",
    apply: (settings, { fleet }) => {
        settings.fleet = fleet;
    },
});

defineStep("seed <seed>", "Sets the seed of all random numbers.", {
    kind: "setting",
    apply: (settings, { seed }) => {
        settings.seed = seed;
    },
});

defineStep("run for <durationMs>", "Sets the length of the run.", {
    kind: "setting",
    apply: (settings, { durationMs }) => {
        settings.durationMs = durationMs;
    },
});
