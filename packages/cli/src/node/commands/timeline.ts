/**
 * Command `timeline`: prints the events of several processes in causal order.
 *
 * @packageDocumentation
 */

import {
    compareTimelineEntries,
    createSystemClock,
    createTcpNetwork,
    ExitCode,
    formatFinding,
    formatTimelineEntry,
    type TimelineEntry,
    waitForStopSignal,
} from "@magnolialock/kernel";
import type { ArgumentsCamelCase } from "yargs";
import { commands } from "../command.ts";
import { addPeerOption, readPeers } from "../peerOptions.ts";
import { readLogs } from "../timeline/readLogs.ts";
import {
    passesFilter,
    readTimelines,
    type ReadTimelinesOptions,
    type TimelineFilter,
} from "../timeline/readTimelines.ts";
import { ReorderBuffer } from "../timeline/reorderBuffer.ts";

type TimelineSource = Omit<ReadTimelinesOptions, "follow" | "onEntry" | "signal">;

const createPrinter = (isJson: boolean) => (entry: TimelineEntry): void => {
    process.stdout.write(`${isJson ? JSON.stringify(entry) : formatTimelineEntry(entry)}\n`);
};

const readOnce = async (source: TimelineSource, print: (entry: TimelineEntry) => void) => {
    const entries: TimelineEntry[] = [];
    const { signal } = new AbortController();
    const onEntry = (entry: TimelineEntry): void => void entries.push(entry);
    const findings = await readTimelines({ ...source, signal, onEntry, follow: false });
    entries.sort(compareTimelineEntries).forEach(print);
    return findings;
};

const readFromLogs = async (
    paths: readonly string[],
    filter: TimelineFilter,
    print: (entry: TimelineEntry) => void,
) => {
    const entries: TimelineEntry[] = [];
    const findings = await readLogs(paths, entry => {
        if (passesFilter(filter, entry, undefined)) {
            entries.push(entry);
        }
    });
    entries.sort(compareTimelineEntries).forEach(print);
    return findings;
};

const readFromPeers = async (
    args: ArgumentsCamelCase,
    filter: TimelineFilter,
    print: (entry: TimelineEntry) => void,
) => {
    await using network = createTcpNetwork();
    const source: TimelineSource = { network, peers: readPeers(args), filter };
    return args["follow"] ? await followUntilStopped(source, print) : await readOnce(source, print);
};

const followUntilStopped = async (source: TimelineSource, print: (entry: TimelineEntry) => void) => {
    const stopController = new AbortController();
    void waitForStopSignal().then(() => stopController.abort());
    using buffer = new ReorderBuffer(createSystemClock(), print);
    const onEntry = (entry: TimelineEntry): void => buffer.add(entry);
    return await readTimelines({ ...source, signal: stopController.signal, onEntry, follow: true });
};

/** Prints the merged time line of several processes. */
export const timelineCommand = commands.register({
    name: "timeline",
    usage: "timeline",
    description: "Print the events of several processes in causal order",
    builder: yargs =>
        addPeerOption(yargs, "control addresses of the entries and agents to read events from")
            .option("log", {
                type: "string",
                array: true,
                describe: "log files to read instead of processes; - means standard input",
            })
            .option("request", { type: "string", describe: "show only events of this request" })
            .option("server", {
                type: "string",
                describe: "show only events of this backend server and its agent",
            })
            .option("data-centre", { type: "string", describe: "show only events of this data centre" })
            .option("revision", {
                type: "string",
                describe: "show only events of this configuration revision",
            })
            .option("follow", {
                type: "boolean",
                default: false,
                describe: "keep running and print new events",
            })
            .option("json", { type: "boolean", default: false, describe: "print one JSON object per event" })
            .check(args =>
                !(args["log"] && args["follow"])
                || "--follow cannot be used with --log, because it reads from processes"
            ),
    run: async args => {
        const text = (name: string): string | undefined =>
            args[name] === undefined ? undefined : String(args[name]);
        const filter: TimelineFilter = {
            request: text("request"),
            server: text("server"),
            dataCentre: text("dataCentre"),
            revision: text("revision"),
        };
        const print = createPrinter(Boolean(args["json"]));
        const logs = args["log"] as string[] | undefined;
        const findings = logs
            ? await readFromLogs(logs, filter, print)
            : await readFromPeers(args, filter, print);
        process.stderr.write(findings.map(finding => `${formatFinding(finding)}\n`).join(""));
        return findings.length > 0 ? ExitCode.Failure : ExitCode.Success;
    },
});
