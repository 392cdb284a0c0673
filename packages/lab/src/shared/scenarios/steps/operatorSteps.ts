/**
 * Actions of operators: published decisions and planned stops.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("take data centre <dataCentre> out", "Publishes rules with the data centre taken out.", {
    kind: "action",
    run: (world, { dataCentre }) => {
        if (!world.outDataCentres.has(dataCentre)) {
            world.outDataCentres.add(dataCentre);
            world.publish();
            world.recordDisturbance("data centre out", dataCentre, Number.POSITIVE_INFINITY);
        }
    },
});

defineStep("bring data centre <dataCentre> back", "Publishes rules with the data centre back in.", {
    kind: "action",
    run: (world, { dataCentre }) => {
        world.outDataCentres.delete(dataCentre);
        world.publish();
        world.endDisturbance("data centre out", dataCentre);
    },
});

defineStep("drain server <server>", "Publishes rules that drain the backend server.", {
    kind: "action",
    run: (world, { server }) => {
        if (!world.drainingServers.has(server)) {
            world.drainingServers.add(server);
            world.publish();
            world.recordDisturbance("drain", server, Number.POSITIVE_INFINITY);
        }
    },
});

defineStep("bring server <server> back", "Publishes rules that end the drain of the backend server.", {
    kind: "action",
    run: (world, { server }) => {
        world.drainingServers.delete(server);
        world.publish();
        world.endDisturbance("drain", server);
    },
});

defineStep("publish the rules again", "Publishes the current rules as a new revision.", {
    kind: "action",
    run: world => world.publish(),
});

defineStep(
    "publish rules with a mistake",
    "Publishes an invalid revision, which every process must reject.",
    {
        kind: "action",
        run: world => world.publishInvalid(),
    },
);

defineStep("stop entry <entry>", "Stops the entry as SIGTERM does.", {
    kind: "action",
    run: (world, { entry }) => world.stop(entry),
});

defineStep("stop agent of server <server>", "Stops the agent as SIGTERM does.", {
    kind: "action",
    run: (world, { server }) => world.stop(`agent-${server}`),
});
