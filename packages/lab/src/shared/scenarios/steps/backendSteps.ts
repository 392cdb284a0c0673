/**
 * Steps that inject faults into backend servers.
 *
 * @packageDocumentation
 */

import { defineStep } from "../step.ts";

defineStep("turn server <server> cold", "Puts the backend server back into cold start, without any report.", {
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

defineStep("restart server <server>", "Kills the backend server and starts it again, cold.", {
    kind: "action",
    run: (world, { server }) => {
        const backend = world.fleet.backends.get(server);
        world.recordDisturbance("restart", server);
        backend?.engine?.restart();
        backend?.plain?.restart();
    },
});

defineStep("stall server <server> for <durationMs>", "Suspends the computation of the engine for a time.", {
    kind: "action",
    run: (world, { server, durationMs }) => {
        world.recordDisturbance("stall", server, world.nowMs + durationMs);
        world.fleet.backends.get(server)?.engine?.stall(durationMs);
    },
});
