/**
 * Steps that pause, kill and replace processes.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("pause entry <entry> for <durationMs>", "Pauses the entry as SIGSTOP does, then resumes it.", {
    kind: "action",
    run: (world, { entry, durationMs }) => world.pause(entry, durationMs),
});

defineStep(
    "pause agent of server <server> for <durationMs>",
    "Pauses the agent as SIGSTOP does, then resumes it.",
    {
        kind: "action",
        run: (world, { server, durationMs }) => world.pause(`agent-${server}`, durationMs),
    },
);

defineStep("kill entry <entry>", "Kills the entry as SIGKILL does, without a replacement.", {
    kind: "action",
    run: (world, { entry }) => world.killEntry(entry),
});

defineStep("replace entry <entry>", "Kills the entry and starts a new one in its place.", {
    kind: "action",
    run: (world, { entry }) => world.replaceEntry(entry),
});

defineStep(
    "replace agent of server <server>",
    "Kills the agent and starts a new one in its place; its backend server keeps running.",
    {
        kind: "action",
        run: (world, { server }) => world.replaceAgent(server),
    },
);

defineStep(
    "replace all entries of <dataCentre>",
    "Kills all entries of the data centre and starts new ones in their place.",
    {
        kind: "action",
        run: (world, { dataCentre }) => {
            for (const entry of [...world.fleet.entries.values()]) {
                if (entry.dataCentre === dataCentre) {
                    world.replaceEntry(entry.name);
                }
            }
        },
    },
);
