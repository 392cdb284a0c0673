/**
 * Steps that happen to backend servers.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("turn server <server> cold", "The backend server turns cold without a sign.", {
    kind: "action",
    run: (world, { server }) => {
        const backend = world.fleet.backends.get(server);
        world.recordDisturbance("cold turn", server);
        backend?.engine?.turnCold();
        if (backend?.plain) {
            backend.plain.isCold = true;
        }
    },
});

defineStep("restart server <server>", "The backend server dies and starts again, cold.", {
    kind: "action",
    run: (world, { server }) => {
        const backend = world.fleet.backends.get(server);
        world.recordDisturbance("restart", server);
        backend?.engine?.restart();
        backend?.plain?.restart();
    },
});

defineStep("stall server <server> for <durationMs>", "The engine computes nothing for a time.", {
    kind: "action",
    run: (world, { server, durationMs }) => {
        world.recordDisturbance("stall", server, world.nowMs + durationMs);
        world.fleet.backends.get(server)?.engine?.stall(durationMs);
    },
});
