/**
 * Command `status`: lists the processes of the fleet with their revision and condition.
 *
 * @packageDocumentation
 */

import { createProcessRuntime, ExitCode } from "@magnolialock/kernel";
import { readFleetStatus } from "../../shared/fleetStatus.ts";
import { formatStatus, formatStatusJson } from "../../shared/formatStatus.ts";
import { commands } from "../command.ts";
import { addFleetOptions, readPeers } from "../peerOptions.ts";

/** Shows the status of the fleet; fails if no process answers. */
export const statusCommand = commands.register({
    name: "status",
    usage: "status",
    description:
        "List processes by data centre, with revision, condition (cold, out, leaving) and rejected revisions",
    builder: addFleetOptions,
    run: async args => {
        const peers = readPeers(args);
        await using runtime = createProcessRuntime({ instance: "magnolialock" });
        const status = await readFleetStatus({ runtime, peers, timeoutMs: Number(args["timeoutMs"]) });
        process.stdout.write(args["json"] ? formatStatusJson(status) : formatStatus(status));
        return status.processes.some(({ answer }) => answer) ? ExitCode.Success : ExitCode.Failure;
    },
});
