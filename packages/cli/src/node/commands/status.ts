/**
 * Command `status`: shows who is where and on which revision.
 *
 * @packageDocumentation
 */

import { createProcessRuntime, ExitCode } from "@magnolialock/kernel";
import { readFleetStatus } from "../../shared/fleetStatus.ts";
import { formatStatus, formatStatusJson } from "../../shared/formatStatus.ts";
import { commands } from "../command.ts";
import { declarePeerOptions, readPeers } from "../peerOptions.ts";

/** Shows the status of the fleet. Fails when no process answers. */
export const statusCommand = commands.register({
    name: "status",
    usage: "status",
    description:
        "Show who is where, on which revision, what was rejected and why, who is cold, out or leaving",
    builder: declarePeerOptions,
    run: async args => {
        const peers = readPeers(args);
        await using runtime = createProcessRuntime({ instance: "magnolialock" });
        const status = await readFleetStatus({ runtime, peers, timeoutMs: Number(args["timeoutMs"]) });
        process.stdout.write(args["json"] ? formatStatusJson(status) : formatStatus(status));
        return status.processes.some(({ answer }) => answer) ? ExitCode.Success : ExitCode.Failure;
    },
});
