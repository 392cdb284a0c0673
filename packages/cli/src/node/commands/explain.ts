/**
 * Command `explain`: reconstructs what happened to one request.
 *
 * @packageDocumentation
 */

import {
    compareTimelineEntries,
    createTcpNetwork,
    ExitCode,
    type Finding,
    formatFinding,
    type TimelineEntry,
} from "@magnolialock/kernel";
import type { ArgumentsCamelCase } from "yargs";
import { commands } from "../command.ts";
import { addPeerOption, readPeers } from "../peerOptions.ts";
import { explainRequest } from "../timeline/explainRequest.ts";
import { readLogs } from "../timeline/readLogs.ts";
import { readTimelines } from "../timeline/readTimelines.ts";

/** Describes the events of one request in plain sentences. */
export const explainCommand = commands.register({
    name: "explain",
    usage: "explain <request>",
    description: "Describe in plain sentences what happened to a request",
    builder: yargs =>
        addPeerOption(yargs, "control addresses of the entries and agents to read events from")
            .option("log", {
                type: "string",
                array: true,
                describe: "log files to read instead of processes; - means standard input",
            })
            .positional("request", {
                type: "string",
                demandOption: true,
                describe: "identifier of the request",
            }),
    run: async args => {
        const logs = args["log"] as string[] | undefined;
        return logs ? explainFromLogs(String(args["request"]), logs) : explainFromPeers(args);
    },
});

const explainFromLogs = async (request: string, paths: readonly string[]): Promise<number> => {
    const all: TimelineEntry[] = [];
    const findings = await readLogs(paths, entry => void all.push(entry));
    all.sort(compareTimelineEntries);
    const entries = all.filter(({ fields }) => fields["requestId"] === request);
    return report(explainRequest(request, entries, all), entries, findings);
};

const explainFromPeers = async (args: ArgumentsCamelCase): Promise<number> => {
    await using network = createTcpNetwork();
    const request = String(args["request"]);
    const entries: TimelineEntry[] = [];
    const findings = await readTimelines({
        network,
        peers: readPeers(args),
        filter: { request },
        follow: false,
        signal: new AbortController().signal,
        onEntry: entry => void entries.push(entry),
    });
    return report(explainRequest(request, entries.sort(compareTimelineEntries)), entries, findings);
};

const report = (
    lines: readonly string[],
    entries: readonly TimelineEntry[],
    findings: readonly Finding[],
): number => {
    process.stdout.write(`${lines.join("\n")}\n`);
    process.stderr.write(findings.map(finding => `${formatFinding(finding)}\n`).join(""));
    return entries.length > 0 && findings.length === 0 ? ExitCode.Success : ExitCode.Failure;
};
