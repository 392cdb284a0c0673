/**
 * Command `rollout`: shows how far a revision has come, and waits for it.
 *
 * @packageDocumentation
 */

import { createProcessRuntime, ExitCode } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import { awaitRollout, type RolloutState } from "../../shared/awaitRollout.ts";
import { formatRejection } from "../../shared/formatStatus.ts";
import { commands } from "../command.ts";
import { declarePeerOptions, readPeers } from "../peerOptions.ts";

const DEFAULT_WAIT_S = 30;
const MS_PER_S = 1_000;
/** Missing processes that a line of progress names. */
const MAX_NAMED = 10;

const formatState = (state: RolloutState): string =>
    match(state)
        .with({ kind: "in force" }, ({ revision, count }) =>
            `revision ${revision} is in force on all ${count} processes\n`)
        .with({ kind: "rejected" }, ({ status }) =>
            formatRejection(status))
        .with({ kind: "missing" }, ({ revision, count, missing }) => {
            const more = missing.length > MAX_NAMED ? ` and ${missing.length - MAX_NAMED} more` : "";
            const names = missing.slice(0, MAX_NAMED).join(", ");
            return `revision ${revision} is in force on ${count} of ${count + missing.length} processes; `
                + `missing: ${names}${more}\n`;
        })
        .exhaustive();

const toJson = (state: RolloutState): string =>
    `${
        JSON.stringify(
            state.kind === "rejected"
                ? {
                    kind: state.kind,
                    revision: state.status.rejectedRevision,
                    findings: state.status.rejectedFindings,
                }
                : state,
        )
    }\n`;

/** Waits until a revision is in force on every live process. */
export const rolloutCommand = commands.register({
    name: "rollout",
    usage: "rollout",
    description: "Show how far a revision has come; fails when it is rejected or not in force everywhere",
    builder: yargs =>
        declarePeerOptions(yargs)
            .option("revision", { type: "number", describe: "revision; the newest that is known by default" })
            .option("wait", {
                type: "boolean",
                default: false,
                describe: "wait until it is in force everywhere",
            })
            .option("wait-s", {
                type: "number",
                default: DEFAULT_WAIT_S,
                describe: "longest wait, in seconds",
            }),
    run: async args => {
        const peers = readPeers(args);
        await using runtime = createProcessRuntime({ instance: "magnolialock" });
        let lastLine = "";
        const state = await awaitRollout({
            runtime,
            peers,
            timeoutMs: Number(args["timeoutMs"]),
            revision: args["revision"] === undefined ? undefined : Number(args["revision"]),
            waitMs: args["wait"] ? Number(args["waitS"]) * MS_PER_S : 0,
            onProgress: progress => {
                const line = args["json"] ? toJson(progress) : formatState(progress);
                if (line !== lastLine) {
                    process.stdout.write(line);
                }
                lastLine = line;
            },
        });
        return state.kind === "in force" ? ExitCode.Success : ExitCode.Failure;
    },
});
