/**
 * Command `rollout`: shows the progress of rolling out a revision and can wait for its completion.
 *
 * @packageDocumentation
 */

import {
    createProcessRuntime,
    ExitCode,
    formatRevision,
    parseRevision,
    SettingsError,
} from "@magnolialock/kernel";
import { match } from "ts-pattern";
import { awaitRollout, type RolloutState } from "../../shared/awaitRollout.ts";
import { formatRejection } from "../../shared/formatStatus.ts";
import { commands } from "../command.ts";
import { addFleetOptions, readPeers } from "../peerOptions.ts";

const DEFAULT_WAIT_S = 30;
const MS_PER_S = 1_000;
/** Maximum number of missing processes listed in a progress line. */
const MAX_LISTED_PROCESSES = 10;

const formatState = (state: RolloutState): string =>
    match(state)
        .with({ kind: "in force" }, ({ revision, count }) =>
            `revision ${formatRevision(revision)} is in force on all ${count} processes\n`)
        .with({ kind: "rejected" }, ({ status }) =>
            formatRejection(status))
        .with({ kind: "missing" }, ({ revision, count, missing }) => {
            const more = missing.length > MAX_LISTED_PROCESSES
                ? ` and ${missing.length - MAX_LISTED_PROCESSES} more`
                : "";
            const names = missing.slice(0, MAX_LISTED_PROCESSES).join(", ");
            return `revision ${formatRevision(revision)} is in force on ${count} of ${
                count + missing.length
            } processes; `
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

const readRevision = (text: string): number => {
    const revision = parseRevision(text);
    if (revision === undefined) {
        throw new SettingsError(
            `--revision ${text} is not a revision: write it as status shows it, like 7 or 1:7`,
        );
    }
    return revision;
};

/** Shows the rollout state of a revision, or waits until it is in force on every live process. */
export const rolloutCommand = commands.register({
    name: "rollout",
    usage: "rollout",
    description: "Show rollout progress; fails if the revision is rejected or not in force on every process",
    builder: yargs =>
        addFleetOptions(yargs)
            .option("revision", {
                type: "string",
                describe: "revision to look for, as status shows it; by default the newest known",
            })
            .option("wait", {
                type: "boolean",
                default: false,
                describe: "wait until the revision is in force on every process",
            })
            .option("wait-s", {
                type: "number",
                default: DEFAULT_WAIT_S,
                describe: "longest time to wait, in seconds",
            }),
    run: async args => {
        const peers = readPeers(args);
        await using runtime = createProcessRuntime({ instance: "magnolialock" });
        let lastLine = "";
        const state = await awaitRollout({
            runtime,
            peers,
            timeoutMs: Number(args["timeoutMs"]),
            revision: args["revision"] === undefined ? undefined : readRevision(String(args["revision"])),
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
