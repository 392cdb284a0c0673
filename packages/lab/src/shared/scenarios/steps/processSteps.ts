/**
 * Steps that pause, kill and replace processes.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("pause entry <entry> for <durationMs>", "Stops the entry as SIGSTOP does, then wakes it.", {
    kind: "action",
    run: (world, { entry, durationMs }) => world.pause(entry, durationMs),
});

defineStep(
    "pause agent of server <server> for <durationMs>",
    "Stops the agent as SIGSTOP does, then wakes it.",
    {
        kind: "action",
        run: (world, { server, durationMs }) => world.pause(`agent-${server}`, durationMs),
    },
);

defineStep("kill entry <entry>", "Ends the entry as SIGKILL does; nothing takes its place.", {
    kind: "action",
    run: (world, { entry }) => world.killEntry(entry),
});

defineStep("replace entry <entry>", "Kills the entry; a new one takes its place.", {
    kind: "action",
    run: (world, { entry }) => world.replaceEntry(entry),
});

defineStep(
    "replace agent of server <server>",
    "Kills the agent; a new one takes its place beside the same server.",
    {
        kind: "action",
        run: (world, { server }) => world.replaceAgent(server),
    },
);

defineStep(
    "replace all entries of <dataCentre>",
    "Kills all entries of the data centre; new ones take their place.",
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
