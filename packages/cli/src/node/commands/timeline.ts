/**
 * Command `timeline`: events of all processes in one order.
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
import { OrderedPrinter } from "../timeline/printInOrder.ts";
import { readLogs } from "../timeline/readLogs.ts";
import {
    passesFilter,
    readTimelines,
    type ReadTimelinesOptions,
    type TimelineFilter,
} from "../timeline/readTimelines.ts";

type Reading = Omit<ReadTimelinesOptions, "follow" | "onEntry" | "signal">;

const printer = (isJson: boolean) => (entry: TimelineEntry): void => {
    process.stdout.write(`${isJson ? JSON.stringify(entry) : formatTimelineEntry(entry)}\n`);
};

const readOnce = async (reading: Reading, print: (entry: TimelineEntry) => void) => {
    const entries: TimelineEntry[] = [];
    const { signal } = new AbortController();
    const onEntry = (entry: TimelineEntry): void => void entries.push(entry);
    const findings = await readTimelines({ ...reading, signal, onEntry, follow: false });
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
    const reading: Reading = { network, peers: readPeers(args), filter };
    return args["follow"] ? await followUntilStopped(reading, print) : await readOnce(reading, print);
};

const followUntilStopped = async (reading: Reading, print: (entry: TimelineEntry) => void) => {
    const stopping = new AbortController();
    void waitForStopSignal().then(() => stopping.abort());
    using ordered = new OrderedPrinter(createSystemClock(), print);
    const onEntry = (entry: TimelineEntry): void => ordered.add(entry);
    return await readTimelines({ ...reading, signal: stopping.signal, onEntry, follow: true });
};

/** Prints the time line. */
export const timelineCommand = commands.register({
    name: "timeline",
    usage: "timeline",
    description: "Print the events of several processes in the order of causes",
    builder: yargs =>
        addPeerOption(yargs, "control addresses of entries and agents to read")
            .option("log", {
                type: "string",
                array: true,
                describe: "log files to read instead of processes; - is standard input",
            })
            .option("request", { type: "string", describe: "only events of this request" })
            .option("server", {
                type: "string",
                describe: "only events of this backend server and its agent",
            })
            .option("data-centre", { type: "string", describe: "only events of this data centre" })
            .option("revision", {
                type: "string",
                describe: "only events of this revision of the configuration",
            })
            .option("follow", { type: "boolean", default: false, describe: "wait for new events" })
            .option("json", { type: "boolean", default: false, describe: "print one JSON object an event" })
            .check(args =>
                !(args["log"] && args["follow"]) || "--follow reads processes; leave it out with --log"
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
        const print = printer(Boolean(args["json"]));
        const logs = args["log"] as string[] | undefined;
        const findings = logs
            ? await readFromLogs(logs, filter, print)
            : await readFromPeers(args, filter, print);
        process.stderr.write(findings.map(finding => `${formatFinding(finding)}\n`).join(""));
        return findings.length > 0 ? ExitCode.Failure : ExitCode.Success;
    },
});
